// Defines claim_explorer, a model checker that explores every interleaving of
// several attempts at one operation. It calls the real transition functions of
// claim_attempt and includes lost and delayed writes, crashes, pauses past the
// lease, slow upstreams and claim clean-up.
#ifndef TEST_SUPPORT_CLAIM_EXPLORER_H_
#define TEST_SUPPORT_CLAIM_EXPLORER_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <iostream>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_set>
#include <utility>
#include <variant>
#include <vector>

#include "common/hash.h"
#include "contracts/claim_attempt.h"

namespace anvilloom {

// Time of the explored system in ticks. One tick is one microsecond.
using ticks = std::int64_t;

inline time_point At(ticks tick) {
  return time_point(duration(tick));
}

enum class violation {
  kNone,
  kSecondSend,
  // The sender's claim is not open in the store, for example because an
  // observer has closed it.
  kSendWithoutClaim,
  kFalseNotRun,
  kLostResult,
  kWrongAnswer,
};

// The bounds of one exploration and the faults that it includes.
struct exploration {
  // Time from an attempt's start to its answer deadline, by attempt.
  std::vector<ticks> answer_limits;
  ticks last_tick = 6;
  // The first attempt starts at 0, the others until this tick.
  ticks last_start = 2;
  // Maximum number of faults of the store, the upstream and the instances
  // together.
  std::uint32_t faults = 2;
  // Whether owners may be reported gone at any time, even while they run.
  bool owner_reports = false;
  // Ticks after which a closed claim may be deleted; 0 means never.
  ticks retention = 0;
  // Whether the store checks the conditions of creates and updates.
  bool conditional_create = true;
  bool conditional_update = true;
  // The violation to search for; kNone means any.
  violation target_violation = violation::kNone;
};

inline std::string_view Name(violation found) {
  constexpr std::array<std::string_view, 6> kNames = {
      "none",          "second send", "send without claim",
      "false not run", "lost result", "wrong answer"};
  return kNames[static_cast<std::size_t>(found)];
}

// The result of an exploration.
struct exploration_result {
  std::uint64_t states = 0;
  violation first = violation::kNone;
  // Results that must be reachable, so that a passing exploration is not
  // vacuous.
  bool duplicate_got_answer = false;
  bool reported_unknown = false;
  bool reported_not_run = false;
  bool ran_after_not_run = false;
  bool unknown_became_done = false;
};

inline claim_settings Terms() {
  claim_settings terms;
  terms.send_window = duration(1);
  terms.record_limit = duration(1);
  terms.follow_up_limit = duration(1);
  terms.poll_interval = duration(2);
  terms.max_acquire_tries = 2;
  terms.max_read_tries = 2;
  return terms;
}

// An attempt on its own entry instance.
template <claim_policy Policy>
struct attempt_state {
  std::optional<claim_attempt<Policy>> machine;
  std::optional<claim_effect> next;
  bool crashed = false;
  // The request was sent, and the attempt waits for the answer.
  bool awaiting_answer = false;
  bool sent = false;
  // The upstream has the request and has not run it yet.
  bool run_pending = false;
  bool ran = false;
  bool reported_not_run = false;
};

// The attempts of one state, copied on write. States share unchanged attempts,
// because copying them takes most of the time of an exploration.
template <claim_policy Policy>
class attempt_list {
 public:
  explicit attempt_list(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      shared_.push_back(std::make_shared<attempt_state<Policy>>());
    }
  }

  std::size_t size() const { return shared_.size(); }
  const attempt_state<Policy>& operator[](std::size_t i) const {
    return *shared_[i];
  }
  // Valid until the list is copied.
  attempt_state<Policy>& Mutable(std::size_t i) {
    if (shared_[i].use_count() > 1) {
      shared_[i] = std::make_shared<attempt_state<Policy>>(*shared_[i]);
    }
    return *shared_[i];
  }

 private:
  std::vector<std::shared_ptr<attempt_state<Policy>>> shared_;
};

struct stored_claim {
  std::uint64_t version = 0;
  claim_record record;
};

// A conditional write. In system_state::delayed, one whose answer was lost and
// which the store applies later.
struct delayed_write {
  // 0 for a create.
  std::uint64_t version;
  claim_record record;
};

template <claim_policy Policy>
struct system_state {
  explicit system_state(std::size_t attempt_count) : attempts(attempt_count) {}

  ticks now = 0;
  // Shared between states, because most steps do not change it. Null if there
  // is no claim.
  std::shared_ptr<const stored_claim> claim;
  std::uint64_t last_version = 0;
  std::vector<delayed_write> delayed;
  attempt_list<Policy> attempts;
  std::uint32_t faults = 0;
  std::uint32_t sends = 0;
  bool released = false;
  ticks closed_at = 0;
  violation found = violation::kNone;
};

// Hashes the values that identify a state. The buffer has a fixed size, because
// growing a string took most of the time in the address-sanitizer build.
class state_hasher {
 public:
  template <typename T>
  state_hasher& Add(T value) {
    words_.at(word_count_++) = static_cast<std::uint64_t>(value);
    return *this;
  }
  state_hasher& Add(deadline value) {
    return Add(value.at().time_since_epoch().count());
  }
  // Attempts are named by a single letter; an empty record has no name.
  state_hasher& Add(const claim_record& record) {
    const char letter = record.attempt.empty() ? '\0' : record.attempt.front();
    return Add(static_cast<unsigned char>(letter))
        .Add(record.state)
        .Add(record.lease.count());
  }
  std::uint64_t hash() const {
    return Hash64({reinterpret_cast<const char*>(words_.data()),
                   word_count_ * sizeof(std::uint64_t)});
  }

 private:
  static constexpr std::size_t kMaxWords = 256;
  std::array<std::uint64_t, kMaxWords> words_;
  std::size_t word_count_ = 0;
};

inline void HashProgress(state_hasher& hasher, const claim_progress& at) {
  hasher.Add(at.phase).Add(at.version).Add(at.send_by).Add(at.record_by);
  hasher.Add(at.watched_version).Add(at.lease_end).Add(at.watched_send_end);
  hasher.Add(at.acquire_tries);
  hasher.Add(at.read_failures).Add(at.release_tries).Add(at.acquire_ambiguous);
  hasher.Add(at.following_up).Add(at.released).Add(at.result_stored);
  hasher.Add(at.saw_other_attempt).Add(at.result).Add(at.reason.ran);
}

inline void HashEffect(state_hasher& hasher, const claim_effect& effect) {
  hasher.Add(effect.index());
  if (const auto* create = std::get_if<create_claim>(&effect)) {
    hasher.Add(create->record);
  } else if (const auto* update = std::get_if<update_claim>(&effect)) {
    hasher.Add(update->version).Add(update->record);
  } else if (const auto* send = std::get_if<send_request>(&effect)) {
    hasher.Add(send->send_by);
  } else if (const auto* wait = std::get_if<wait_for_claim>(&effect)) {
    hasher.Add(wait->until);
  }
}

template <claim_policy Policy>
std::uint64_t HashState(const system_state<Policy>& node) {
  state_hasher hasher;
  hasher.Add(node.now).Add(node.last_version).Add(node.faults);
  hasher.Add(node.sends);
  hasher.Add(node.closed_at);
  hasher.Add(node.released).Add(node.claim != nullptr);
  if (node.claim) {
    hasher.Add(node.claim->version).Add(node.claim->record);
  }
  hasher.Add(node.delayed.size());
  for (const delayed_write& write : node.delayed) {
    hasher.Add(write.version).Add(write.record);
  }
  for (std::size_t i = 0; i < node.attempts.size(); ++i) {
    const auto& attempt = node.attempts[i];
    hasher.Add(attempt.crashed).Add(attempt.awaiting_answer).Add(attempt.sent);
    hasher.Add(attempt.run_pending)
        .Add(attempt.ran)
        .Add(attempt.reported_not_run);
    hasher.Add(attempt.machine.has_value()).Add(attempt.next.has_value());
    // The progress of a finished attempt is left out, because it has no effect
    // on later states.
    if (attempt.machine && (attempt.next || attempt.awaiting_answer)) {
      HashProgress(hasher, attempt.machine->progress());
    }
    if (attempt.next) {
      HashEffect(hasher, *attempt.next);
    }
  }
  return hasher.hash();
}

// Explores the reachable states depth first until the first violation.
template <claim_policy Policy>
class claim_explorer {
 public:
  explicit claim_explorer(const exploration& limits) : limits_(limits) {}

  exploration_result Run() {
    node start(limits_.answer_limits.size());
    start.faults = limits_.faults;
    Visit(std::move(start));
    while (!frontier_.empty() && result_.first == violation::kNone) {
      const node state = std::move(frontier_.back());
      frontier_.pop_back();
      Expand(state);
    }
    result_.states = visited_.size();
    return result_;
  }

 private:
  using node = system_state<Policy>;
  using written = claim_write_outcome;

  void Visit(node state) {
    const bool matches = limits_.target_violation == violation::kNone ||
                         limits_.target_violation == state.found;
    if (result_.first == violation::kNone && matches) {
      result_.first = state.found;
    }
    if (visited_.insert(HashState(state)).second) {
      frontier_.push_back(std::move(state));
    }
  }

  void Expand(const node& state) {
    if (state.now < limits_.last_tick) {
      node next = state;
      ++next.now;
      Visit(std::move(next));
    }
    for (std::size_t i = 0; i < state.delayed.size(); ++i) {
      node next = state;
      const delayed_write write = state.delayed[i];
      next.delayed.erase(next.delayed.begin() + static_cast<std::ptrdiff_t>(i));
      Apply(next, write);
      Visit(std::move(next));
    }
    CleanUp(state);
    for (std::size_t i = 0; i < state.attempts.size(); ++i) {
      ExpandUpstream(state, i);
      if (!state.attempts[i].crashed) {
        ExpandAttempt(state, i);
      }
    }
  }

  void CleanUp(const node& state) {
    const bool closed =
        state.claim && state.claim->record.state != claim_state::kOpen;
    if (limits_.retention > 0 && closed &&
        state.now >= state.closed_at + limits_.retention) {
      node next = state;
      next.claim.reset();
      // The key is free again, so a later call is a new operation.
      next.sends = 0;
      Visit(std::move(next));
    }
  }

  void ExpandUpstream(const node& state, std::size_t i) {
    if (state.attempts[i].run_pending) {
      node next = state;
      next.attempts.Mutable(i).run_pending = false;
      next.attempts.Mutable(i).ran = true;
      Visit(std::move(next));
    }
  }

  void ExpandAttempt(const node& state, std::size_t i) {
    const auto& attempt = state.attempts[i];
    if (attempt.machine && state.faults > 0 &&
        (attempt.next || attempt.awaiting_answer)) {
      node next = state;
      --next.faults;
      next.attempts.Mutable(i).crashed = true;
      next.attempts.Mutable(i).next.reset();
      next.attempts.Mutable(i).awaiting_answer = false;
      Visit(std::move(next));
    }
    if (!attempt.machine) {
      if (state.now > (i == 0 ? 0 : limits_.last_start)) {
        return;
      }
      node next = state;
      auto& started = next.attempts.Mutable(i);
      started.machine.emplace(
          claim_identity{std::string(1, static_cast<char>('a' + i)), "owner",
                         "digest"},
          Terms(),
          deadline::After(At(state.now), duration(limits_.answer_limits[i])));
      HandleEffect(next, i, started.machine->Start(At(state.now)));
    } else if (attempt.awaiting_answer) {
      ExpandAwaiting(state, i);
    } else if (attempt.next) {
      PerformEffect(state, i, *attempt.next);
    }
  }

  void ExpandAwaiting(const node& state, std::size_t i) {
    if (state.attempts[i].ran) {
      node next = state;
      next.attempts.Mutable(i).awaiting_answer = false;
      claim_answer answer;
      answer.status = 200;
      answer.body = std::string(1, static_cast<char>('a' + i));
      HandleEffect(
          next, i,
          next.attempts.Mutable(i).machine->OnAnswer(At(state.now), answer));
    }
    if (state.faults > 0) {
      node next = state;
      --next.faults;
      next.attempts.Mutable(i).awaiting_answer = false;
      HandleEffect(next, i,
                   next.attempts.Mutable(i).machine->OnSendFailed(
                       At(state.now), true, refusal_code::kUpstreamFailed));
    }
  }

  void PerformEffect(const node& state,
                     std::size_t i,
                     const claim_effect& effect) {
    if (const auto* create = std::get_if<create_claim>(&effect)) {
      Write(state, i, {0, create->record});
    } else if (const auto* update = std::get_if<update_claim>(&effect)) {
      Write(state, i, {update->version, update->record});
    } else if (const auto* send = std::get_if<send_request>(&effect)) {
      Send(state, i, send->send_by);
    } else if (const auto* wait = std::get_if<wait_for_claim>(&effect)) {
      if (wait->until.Expired(At(state.now))) {
        node next = state;
        HandleEffect(next, i,
                     next.attempts.Mutable(i).machine->OnWaited(At(state.now)));
      }
    } else {
      Read(state, i);
    }
  }

  void Read(const node& state, std::size_t i) {
    node next = state;
    claim_read_result reading = claim_absent{};
    if (state.claim) {
      reading = versioned_claim{state.claim->version, state.claim->record};
    }
    HandleEffect(
        next, i,
        next.attempts.Mutable(i).machine->OnRead(At(state.now), reading));
    if (limits_.owner_reports && state.claim) {
      node reported = state;
      HandleEffect(reported, i,
                   reported.attempts.Mutable(i).machine->OnRead(
                       At(state.now), versioned_claim{state.claim->version,
                                                      state.claim->record,
                                                      /*owner_gone=*/true}));
    }
    if (state.faults > 0) {
      node failed = state;
      --failed.faults;
      HandleEffect(failed, i,
                   failed.attempts.Mutable(i).machine->OnRead(
                       At(state.now), claim_unreadable{}));
    }
  }

  void Write(const node& state, std::size_t i, const delayed_write& write) {
    node next = state;
    const claim_write_result result = Apply(next, write);
    Written(next, i, result);
    if (state.faults == 0) {
      return;
    }
    node refused = state;
    --refused.faults;
    Written(refused, i, {written::kNotApplied});
    node lost = state;
    --lost.faults;
    Written(lost, i, {written::kAmbiguous});
    node applied = state;
    --applied.faults;
    Apply(applied, write);
    Written(applied, i, {written::kAmbiguous});
    node delayed = state;
    --delayed.faults;
    delayed.delayed.push_back(write);
    Written(delayed, i, {written::kAmbiguous});
  }

  void Written(node& next, std::size_t i, const claim_write_result& result) {
    HandleEffect(
        next, i,
        next.attempts.Mutable(i).machine->OnWritten(At(next.now), result));
  }

  void Send(const node& state, std::size_t i, deadline send_by) {
    if (send_by.Expired(At(state.now))) {
      node expired = state;
      SendFailed(expired, i, refusal_code::kDeadlineExceeded);
      return;
    }
    if (state.faults > 0) {
      node refused = state;
      --refused.faults;
      SendFailed(refused, i, refusal_code::kUpstreamFailed);
    }
    node next = state;
    auto& attempt = next.attempts.Mutable(i);
    attempt.sent = true;
    attempt.awaiting_answer = true;
    attempt.run_pending = true;
    attempt.next.reset();
    ++next.sends;
    result_.ran_after_not_run = result_.ran_after_not_run || state.released;
    if (next.sends > 1) {
      next.found = violation::kSecondSend;
    } else if (!HoldsClaim(state, i)) {
      next.found = violation::kSendWithoutClaim;
    }
    Check(next);
    Visit(std::move(next));
  }

  static bool HoldsClaim(const node& state, std::size_t i) {
    return state.claim && state.claim->record.state == claim_state::kOpen &&
           state.claim->record.attempt.at(0) == static_cast<char>('a' + i);
  }

  void SendFailed(node& next, std::size_t i, refusal_code code) {
    HandleEffect(next, i,
                 next.attempts.Mutable(i).machine->OnSendFailed(At(next.now),
                                                                false, code));
  }

  // Stores the next effect of an attempt, or checks the response if the effect
  // ends the attempt.
  void HandleEffect(node& next, std::size_t i, claim_effect effect) {
    auto& attempt = next.attempts.Mutable(i);
    attempt.next.reset();
    if (const auto* answer = std::get_if<return_answer>(&effect)) {
      CheckAnswer(next, answer->answer);
      result_.duplicate_got_answer =
          result_.duplicate_got_answer || !attempt.sent;
    } else if (const auto* refused = std::get_if<return_refusal>(&effect)) {
      attempt.reported_not_run =
          attempt.reported_not_run || refused->reason.ran == outcome::kNotRun;
      result_.reported_not_run =
          result_.reported_not_run || attempt.reported_not_run;
      result_.reported_unknown =
          result_.reported_unknown || refused->reason.ran == outcome::kUnknown;
    } else {
      attempt.next = std::move(effect);
    }
    if (!attempt.next) {
      attempt.next = attempt.machine->FollowUp(At(next.now));
    }
    Check(next);
    Visit(std::move(next));
  }

  // The body of an answer names the attempt that sent the request. That attempt
  // must have run.
  void CheckAnswer(node& next, const claim_answer& answer) {
    const auto runner = static_cast<std::size_t>(answer.body.at(0) - 'a');
    if (!next.attempts[runner].ran) {
      next.found = violation::kWrongAnswer;
    }
  }

  void Check(node& next) {
    for (std::size_t i = 0; i < next.attempts.size(); ++i) {
      const auto& attempt = next.attempts[i];
      if (attempt.reported_not_run && attempt.sent) {
        next.found = violation::kFalseNotRun;
      }
    }
  }

  claim_write_result Apply(node& next, const delayed_write& write) {
    const bool create = write.version == 0 && limits_.conditional_create;
    if (create && next.claim) {
      return {written::kConflict};
    }
    if (write.version != 0 && !next.claim) {
      return {written::kMissing};
    }
    if (write.version != 0 && limits_.conditional_update &&
        next.claim->version != write.version) {
      return {written::kConflict};
    }
    NoteTransition(next, write.record);
    next.claim = std::make_shared<const stored_claim>(
        stored_claim{++next.last_version, write.record});
    return {written::kApplied, next.last_version};
  }

  void NoteTransition(node& next, const claim_record& record) {
    const claim_state before =
        next.claim ? next.claim->record.state : claim_state::kOpen;
    if (before == claim_state::kDone && record.state != claim_state::kDone) {
      next.found = violation::kLostResult;
    }
    if (record.state == claim_state::kDone) {
      CheckAnswer(next, record.answer);
      result_.unknown_became_done =
          result_.unknown_became_done || before == claim_state::kUnknown;
    }
    next.released = record.state == claim_state::kNotRun || next.released;
    next.closed_at = limits_.retention > 0 ? next.now : 0;
  }

  exploration limits_;
  exploration_result result_;
  std::vector<node> frontier_;
  std::unordered_set<std::uint64_t> visited_;
};

template <claim_policy Policy>
exploration_result Explore(std::string_view name, const exploration& limits) {
  const exploration_result found = claim_explorer<Policy>(limits).Run();
  std::cout << name << ": " << found.states
            << " states, first violation: " << Name(found.first) << '\n';
  return found;
}

inline exploration TwoAttempts() {
  exploration limits;
  limits.answer_limits = {1, 6};
  return limits;
}

// The first attempt can be paused past its lease while the second one closes
// its claim, the claim is deleted by the clean-up, and the third one creates a
// new claim.
inline exploration ThreeAttempts() {
  exploration limits;
  limits.answer_limits = {1, 5, 1};
  limits.last_start = 5;
  limits.faults = 0;
  limits.retention = 1;
  return limits;
}

}  // namespace anvilloom

#endif  // TEST_SUPPORT_CLAIM_EXPLORER_H_
