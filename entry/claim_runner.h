// Defines claim_runner, which drives claim_attempt against an object store.
#ifndef ENTRY_CLAIM_RUNNER_H_
#define ENTRY_CLAIM_RUNNER_H_

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>
#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

#include "common/log.h"
#include "common/time.h"
#include "contracts/claim_attempt.h"
#include "entry/unfinished_work.h"
#include "wire/claim_json.h"
#include "wire/object_store.h"
#include "wire/pause.h"

namespace anvilloom {

// Kind of the claim objects in the object API.
inline constexpr std::string_view kClaimKind = "claims";

// A send that got no answer. `sent` is false only if no byte of the request can
// have reached an upstream.
struct claim_send_failure {
  bool sent;
  refusal_code code;
};
using claim_send_result = std::variant<claim_answer, claim_send_failure>;

// Sends the request once; the first byte must leave before the deadline.
template <typename T>
concept request_sender = requires(T& send, deadline send_by) {
  { send(send_by) } -> std::same_as<awaitable<claim_send_result>>;
};

// Reports whether the owner of a claim is gone. May be wrong about an owner
// that is partitioned.
template <typename T>
concept claim_owner_view = requires(const T& owners, std::string_view owner) {
  { owners.IsGone(owner) } -> std::same_as<bool>;
};

// Translate results of the store into inputs of the claim protocol.
claim_write_result ToClaimWriteResult(
    const store_result<std::uint64_t>& result);
claim_read_result ToClaimReadResult(const store_result<stored_object>& result);
// Seconds since 1970.
std::int64_t WallClockSeconds();
// Logs the outcome of an attempt if an operator may have to act on it.
void LogClaimEnd(std::string_view name,
                 const claim_progress& progress,
                 const claim_response& verdict);

// Runs one attempt at a time; each call needs its own runner.
template <object_store Store, clock_source Clock, claim_owner_view Owners>
class claim_runner {
 public:
  // `name` is the name of the claim object. Background work is counted in
  // `unfinished`. All references must outlive the runner.
  claim_runner(Store& store,
               const Clock& clock,
               Owners owners,
               std::atomic<std::uint32_t>& unfinished,
               std::string_view name)
      : store_(store),
        clock_(clock),
        owners_(std::move(owners)),
        unfinished_(unfinished),
        name_(name) {}

  // Reads the claim without acquiring it.
  awaitable<claim_read_result> Read(deadline answer_by) {
    const deadline until =
        deadline::After(clock_.Now(), kStoreCallTimeout).Earlier(answer_by);
    co_return ToClaimReadResult(co_await store_.Get(kClaimKind, name_, until));
  }

  // Runs the attempt until there is a verdict for its caller. Remaining writes
  // to the store continue in the background; the references must outlive these
  // writes too. `answer_by` bounds every wait before the send.
  template <request_sender Send>
  awaitable<claim_response> Run(claim_identity identity,
                                const claim_settings& terms,
                                deadline answer_by,
                                Send& send) {
    claim_attempt<> attempt(std::move(identity), terms, answer_by);
    claim_effect next = attempt.Start(clock_.Now());
    for (;;) {
      if (auto* answer = std::get_if<return_answer>(&next)) {
        co_return co_await Finish(std::move(attempt),
                                  claim_response(std::move(*answer)));
      }
      if (auto* refused = std::get_if<return_refusal>(&next)) {
        co_return co_await Finish(std::move(attempt), claim_response(*refused));
      }
      if (const auto* send_action = std::get_if<send_request>(&next)) {
        auto result = co_await send(send_action->send_by);
        next = AfterSend(attempt, std::move(result));
      } else {
        next = co_await Perform(attempt, std::move(next), answer_by);
      }
    }
  }

 private:
  // The object API answers in milliseconds when it is healthy.
  static constexpr duration kStoreCallTimeout = std::chrono::seconds(1);

  awaitable<claim_response> Finish(claim_attempt<> attempt,
                                   claim_response verdict) {
    LogClaimEnd(name_, attempt.progress(), verdict);
    auto more = attempt.FollowUp(clock_.Now());
    if (more) {
      const auto executor = co_await boost::asio::this_coro::executor;
      boost::asio::co_spawn(
          executor,
          FollowUp(*this, std::move(attempt), std::move(*more),
                   unfinished_work(unfinished_)),
          boost::asio::detached);
    }
    co_return verdict;
  }

  // Works on a copy of the runner, since the original is destroyed with the
  // call.
  static awaitable<void> FollowUp(claim_runner self,
                                  claim_attempt<> attempt,
                                  claim_effect next,
                                  unfinished_work /*counted*/) {
    while (!std::holds_alternative<return_answer>(next) &&
           !std::holds_alternative<return_refusal>(next)) {
      next = co_await self.Perform(attempt, std::move(next), deadline::Never());
    }
  }

  deadline StoreDeadline(const claim_attempt<>& attempt, deadline answer_by) {
    const deadline limit = deadline::After(clock_.Now(), kStoreCallTimeout);
    const bool recording = attempt.progress().result != claim_state::kOpen;
    return limit.Earlier(recording ? attempt.progress().record_by : answer_by);
  }

  claim_effect AfterSend(claim_attempt<>& attempt, claim_send_result result) {
    if (auto* answer = std::get_if<claim_answer>(&result)) {
      return attempt.OnAnswer(clock_.Now(), std::move(*answer));
    }
    const auto& failed = std::get<claim_send_failure>(result);
    return attempt.OnSendFailed(clock_.Now(), failed.sent, failed.code);
  }

  awaitable<claim_effect> Perform(claim_attempt<>& attempt,
                                  claim_effect effect,
                                  deadline answer_by) {
    const deadline until = StoreDeadline(attempt, answer_by);
    if (auto* create = std::get_if<create_claim>(&effect)) {
      create->record.written_at_s = WallClockSeconds();
      const std::string text = EncodeClaim(create->record);
      const auto result = ToClaimWriteResult(
          co_await store_.Create(kClaimKind, name_, text, until));
      co_return attempt.OnWritten(clock_.Now(), result);
    }
    if (auto* update = std::get_if<update_claim>(&effect)) {
      co_return co_await Update(attempt, std::move(*update), until);
    }
    if (const auto* wait = std::get_if<wait_for_claim>(&effect)) {
      co_await PauseUntil(wait->until);
      co_return attempt.OnWaited(clock_.Now());
    }
    claim_read_result reading =
        ToClaimReadResult(co_await store_.Get(kClaimKind, name_, until));
    if (auto* seen = std::get_if<versioned_claim>(&reading)) {
      seen->owner_gone = owners_.IsGone(seen->record.owner);
    }
    co_return attempt.OnRead(clock_.Now(), reading);
  }

  awaitable<claim_effect> Update(claim_attempt<>& attempt,
                                 update_claim update,
                                 deadline until) {
    update.record.written_at_s = WallClockSeconds();
    const bool closing = attempt.progress().phase == claim_phase::kClosing;
    const std::string text = EncodeClaim(update.record);
    const auto result = ToClaimWriteResult(
        co_await store_.Update(kClaimKind, name_, update.version, text, until));
    if (closing && result.outcome == claim_write_outcome::kApplied) {
      Log(log_level::kWarning, log_event::kClaimClosedUnknown,
          {{"claim", name_}, {"owner", update.record.owner}});
    }
    co_return attempt.OnWritten(clock_.Now(), result);
  }

  Store& store_;
  const Clock& clock_;
  Owners owners_;
  std::atomic<std::uint32_t>& unfinished_;
  std::string name_;
};

}  // namespace anvilloom

#endif  // ENTRY_CLAIM_RUNNER_H_
