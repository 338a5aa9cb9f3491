// Defines claim_explorer, which walks every interleaving of several attempts at
// one operation over the real transition functions of claim_attempt, with lost
// and late writes, crashes, pauses past the lease, late upstreams and clean-up.
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

// One tick of the explored time line, in microseconds.
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

// What may happen in one exploration.
struct exploration {
  // Time from an attempt's start to its answer deadline, by attempt.
  std::vector<ticks> patience;
  ticks last_tick = 6;
  // The first attempt starts at 0, the others until this tick.
  ticks last_start = 2;
  // Faults of the store, the upstream and the instances, together.
  std::uint32_t faults = 2;
  // Owners may be reported gone at any time, also while they run.
  bool owner_reports = false;
  // Ticks after which a closed claim may be deleted; 0 means never.
  ticks retention = 0;
  // Whether the store honours the conditions of creates and updates.
  bool conditional_create = true;
  bool conditional_update = true;
  // The only violation to look for; kNone means any.
  violation wanted = violation::kNone;
};

inline std::string_view Name(violation found) {
  constexpr std::array<std::string_view, 6> kNames = {
      "none",          "second send", "send without claim",
      "false not run", "lost result", "wrong answer"};
  return kNames[static_cast<std::size_t>(found)];
}

// What the exploration found.
struct findings {
  std::uint64_t states = 0;
  violation first = violation::kNone;
  // Ends that must be reachable, so that a passing exploration is not empty.
  bool duplicate_got_answer = false;
  bool told_unknown = false;
  bool told_not_run = false;
  bool ran_after_not_run = false;
  bool unknown_became_done = false;
};

inline claim_terms Terms() {
  claim_terms terms;
  terms.send_window = duration(1);
  terms.record_limit = duration(1);
  terms.follow_up_limit = duration(1);
  terms.poll_interval = duration(2);
  terms.acquire_tries = 2;
  terms.read_tries = 2;
  return terms;
}

// An attempt on its own entry instance.
template <claim_policy Policy>
struct attempt_state {
  std::optional<claim_attempt<Policy>> machine;
  std::optional<claim_effect> next;
  bool crashed = false;
  // The request has left, and the attempt waits for the answer.
  bool awaiting = false;
  bool sent = false;
  // The upstream has the request and has not run it yet.
  bool run_pending = false;
  bool ran = false;
  bool told_not_run = false;
};

// The attempts of one state. States share the attempts that did not change, as
// copying them takes most of the time of an exploration.
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
  attempt_state<Policy>& Edit(std::size_t i) {
    if (shared_[i].use_count() > 1) {
      shared_[i] = std::make_shared<attempt_state<Policy>>(*shared_[i]);
    }
    return *shared_[i];
  }

 private:
  std::vector<std::shared_ptr<attempt_state<Policy>>> shared_;
};

struct held_claim {
  std::uint64_t version = 0;
  claim_record record;
};

// A write whose answer was lost and that the store applies later.
struct late_write {
  // 0 for a create.
  std::uint64_t version;
  claim_record record;
};

template <claim_policy Policy>
struct world_state {
  explicit world_state(std::size_t attempt_count) : attempts(attempt_count) {}

  ticks now = 0;
  // Shared, as most steps leave it as it is. Null if there is none.
  std::shared_ptr<const held_claim> claim;
  std::uint64_t last_version = 0;
  std::vector<late_write> late;
  attempt_list<Policy> attempts;
  std::uint32_t faults = 0;
  std::uint32_t sends = 0;
  bool released = false;
  ticks closed_at = 0;
  violation found = violation::kNone;
};

// Collects fixed-size values that identify a state. The buffer is fixed, as
// growing a text took most of the time of the address-sanitizer build.
class fingerprint {
 public:
  template <typename T>
  fingerprint& Add(T value) {
    words_.at(used_++) = static_cast<std::uint64_t>(value);
    return *this;
  }
  fingerprint& Add(deadline value) {
    return Add(value.at().time_since_epoch().count());
  }
  // Attempts are named by one letter; an empty record names none.
  fingerprint& Add(const claim_record& record) {
    const char letter = record.attempt.empty() ? '\0' : record.attempt.front();
    return Add(static_cast<unsigned char>(letter))
        .Add(record.state)
        .Add(record.lease.count());
  }
  std::uint64_t hash() const {
    return Hash64({reinterpret_cast<const char*>(words_.data()),
                   used_ * sizeof(std::uint64_t)});
  }

 private:
  static constexpr std::size_t kMostWords = 256;
  std::array<std::uint64_t, kMostWords> words_;
  std::size_t used_ = 0;
};

inline void AddProgress(fingerprint& print, const claim_progress& at) {
  print.Add(at.phase).Add(at.version).Add(at.send_by).Add(at.record_by);
  print.Add(at.watched_version).Add(at.lease_end).Add(at.watched_send_end);
  print.Add(at.acquire_tries);
  print.Add(at.read_failures).Add(at.release_tries).Add(at.acquire_ambiguous);
  print.Add(at.following_up).Add(at.released).Add(at.result_stored);
  print.Add(at.saw_other).Add(at.result).Add(at.why.ran);
}

inline void AddEffect(fingerprint& print, const claim_effect& effect) {
  print.Add(effect.index());
  if (const auto* create = std::get_if<create_claim>(&effect)) {
    print.Add(create->record);
  } else if (const auto* update = std::get_if<update_claim>(&effect)) {
    print.Add(update->version).Add(update->record);
  } else if (const auto* send = std::get_if<send_request>(&effect)) {
    print.Add(send->send_by);
  } else if (const auto* wait = std::get_if<wait_for_claim>(&effect)) {
    print.Add(wait->until);
  }
}

template <claim_policy Policy>
std::uint64_t Fingerprint(const world_state<Policy>& world) {
  fingerprint print;
  print.Add(world.now).Add(world.last_version).Add(world.faults);
  print.Add(world.sends);
  print.Add(world.closed_at);
  print.Add(world.released).Add(world.claim != nullptr);
  if (world.claim) {
    print.Add(world.claim->version).Add(world.claim->record);
  }
  print.Add(world.late.size());
  for (const late_write& write : world.late) {
    print.Add(write.version).Add(write.record);
  }
  for (std::size_t i = 0; i < world.attempts.size(); ++i) {
    const auto& attempt = world.attempts[i];
    print.Add(attempt.crashed).Add(attempt.awaiting).Add(attempt.sent);
    print.Add(attempt.run_pending).Add(attempt.ran).Add(attempt.told_not_run);
    print.Add(attempt.machine.has_value()).Add(attempt.next.has_value());
    // What an attempt that has ended holds no longer matters.
    if (attempt.machine && (attempt.next || attempt.awaiting)) {
      AddProgress(print, attempt.machine->progress());
    }
    if (attempt.next) {
      AddEffect(print, *attempt.next);
    }
  }
  return print.hash();
}

// Walks the reachable states depth first, until the first violation.
template <claim_policy Policy>
class claim_explorer {
 public:
  explicit claim_explorer(const exploration& limits) : limits_(limits) {}

  findings Run() {
    world start(limits_.patience.size());
    start.faults = limits_.faults;
    Visit(std::move(start));
    while (!open_.empty() && found_.first == violation::kNone) {
      const world state = std::move(open_.back());
      open_.pop_back();
      Expand(state);
    }
    found_.states = seen_.size();
    return found_;
  }

 private:
  using world = world_state<Policy>;
  using written = claim_write_outcome;

  void Visit(world state) {
    const bool wanted =
        limits_.wanted == violation::kNone || limits_.wanted == state.found;
    if (found_.first == violation::kNone && wanted) {
      found_.first = state.found;
    }
    if (seen_.insert(Fingerprint(state)).second) {
      open_.push_back(std::move(state));
    }
  }

  void Expand(const world& state) {
    if (state.now < limits_.last_tick) {
      world next = state;
      ++next.now;
      Visit(std::move(next));
    }
    for (std::size_t i = 0; i < state.late.size(); ++i) {
      world next = state;
      const late_write write = state.late[i];
      next.late.erase(next.late.begin() + static_cast<std::ptrdiff_t>(i));
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

  void CleanUp(const world& state) {
    const bool closed =
        state.claim && state.claim->record.state != claim_state::kOpen;
    if (limits_.retention > 0 && closed &&
        state.now >= state.closed_at + limits_.retention) {
      world next = state;
      next.claim.reset();
      // The key is free again: a later call is another operation.
      next.sends = 0;
      Visit(std::move(next));
    }
  }

  void ExpandUpstream(const world& state, std::size_t i) {
    if (state.attempts[i].run_pending) {
      world next = state;
      next.attempts.Edit(i).run_pending = false;
      next.attempts.Edit(i).ran = true;
      Visit(std::move(next));
    }
  }

  void ExpandAttempt(const world& state, std::size_t i) {
    const auto& attempt = state.attempts[i];
    if (attempt.machine && state.faults > 0 &&
        (attempt.next || attempt.awaiting)) {
      world next = state;
      --next.faults;
      next.attempts.Edit(i).crashed = true;
      next.attempts.Edit(i).next.reset();
      next.attempts.Edit(i).awaiting = false;
      Visit(std::move(next));
    }
    if (!attempt.machine) {
      if (state.now > (i == 0 ? 0 : limits_.last_start)) {
        return;
      }
      world next = state;
      auto& started = next.attempts.Edit(i);
      started.machine.emplace(
          claim_identity{std::string(1, static_cast<char>('a' + i)), "owner",
                         "digest"},
          Terms(),
          deadline::After(At(state.now), duration(limits_.patience[i])));
      Continue(next, i, started.machine->Start(At(state.now)));
    } else if (attempt.awaiting) {
      ExpandAwaiting(state, i);
    } else if (attempt.next) {
      Perform(state, i, *attempt.next);
    }
  }

  void ExpandAwaiting(const world& state, std::size_t i) {
    if (state.attempts[i].ran) {
      world next = state;
      next.attempts.Edit(i).awaiting = false;
      claim_answer answer;
      answer.status = 200;
      answer.body = std::string(1, static_cast<char>('a' + i));
      Continue(next, i,
               next.attempts.Edit(i).machine->OnAnswer(At(state.now), answer));
    }
    if (state.faults > 0) {
      world next = state;
      --next.faults;
      next.attempts.Edit(i).awaiting = false;
      Continue(next, i,
               next.attempts.Edit(i).machine->OnSendFailed(
                   At(state.now), true, refusal_code::kUpstreamFailed));
    }
  }

  void Perform(const world& state, std::size_t i, const claim_effect& effect) {
    if (const auto* create = std::get_if<create_claim>(&effect)) {
      Write(state, i, {0, create->record});
    } else if (const auto* update = std::get_if<update_claim>(&effect)) {
      Write(state, i, {update->version, update->record});
    } else if (const auto* send = std::get_if<send_request>(&effect)) {
      Send(state, i, send->send_by);
    } else if (const auto* wait = std::get_if<wait_for_claim>(&effect)) {
      if (wait->until.Expired(At(state.now))) {
        world next = state;
        Continue(next, i,
                 next.attempts.Edit(i).machine->OnWaited(At(state.now)));
      }
    } else {
      Read(state, i);
    }
  }

  void Read(const world& state, std::size_t i) {
    world next = state;
    claim_reading reading = claim_absent{};
    if (state.claim) {
      reading = seen_claim{state.claim->version, state.claim->record};
    }
    Continue(next, i,
             next.attempts.Edit(i).machine->OnRead(At(state.now), reading));
    if (limits_.owner_reports && state.claim) {
      world reported = state;
      Continue(reported, i,
               reported.attempts.Edit(i).machine->OnRead(
                   At(state.now),
                   seen_claim{state.claim->version, state.claim->record,
                              /*owner_gone=*/true}));
    }
    if (state.faults > 0) {
      world failed = state;
      --failed.faults;
      Continue(failed, i,
               failed.attempts.Edit(i).machine->OnRead(At(state.now),
                                                       claim_unreadable{}));
    }
  }

  void Write(const world& state, std::size_t i, const late_write& write) {
    world next = state;
    const claim_write_result result = Apply(next, write);
    Written(next, i, result);
    if (state.faults == 0) {
      return;
    }
    world refused = state;
    --refused.faults;
    Written(refused, i, {written::kNotApplied});
    world lost = state;
    --lost.faults;
    Written(lost, i, {written::kAmbiguous});
    world applied = state;
    --applied.faults;
    Apply(applied, write);
    Written(applied, i, {written::kAmbiguous});
    world late = state;
    --late.faults;
    late.late.push_back(write);
    Written(late, i, {written::kAmbiguous});
  }

  void Written(world& next, std::size_t i, const claim_write_result& result) {
    Continue(next, i,
             next.attempts.Edit(i).machine->OnWritten(At(next.now), result));
  }

  void Send(const world& state, std::size_t i, deadline send_by) {
    if (send_by.Expired(At(state.now))) {
      world late = state;
      SendFailed(late, i, refusal_code::kDeadlineExceeded);
      return;
    }
    if (state.faults > 0) {
      world refused = state;
      --refused.faults;
      SendFailed(refused, i, refusal_code::kUpstreamFailed);
    }
    world next = state;
    auto& attempt = next.attempts.Edit(i);
    attempt.sent = true;
    attempt.awaiting = true;
    attempt.run_pending = true;
    attempt.next.reset();
    ++next.sends;
    found_.ran_after_not_run = found_.ran_after_not_run || state.released;
    if (next.sends > 1) {
      next.found = violation::kSecondSend;
    } else if (!HoldsClaim(state, i)) {
      next.found = violation::kSendWithoutClaim;
    }
    Check(next);
    Visit(std::move(next));
  }

  static bool HoldsClaim(const world& state, std::size_t i) {
    return state.claim && state.claim->record.state == claim_state::kOpen &&
           state.claim->record.attempt.at(0) == static_cast<char>('a' + i);
  }

  void SendFailed(world& next, std::size_t i, refusal_code code) {
    Continue(
        next, i,
        next.attempts.Edit(i).machine->OnSendFailed(At(next.now), false, code));
  }

  // Takes the next effect of an attempt; what it tells is checked at once.
  void Continue(world& next, std::size_t i, claim_effect effect) {
    auto& attempt = next.attempts.Edit(i);
    attempt.next.reset();
    if (const auto* answer = std::get_if<tell_answer>(&effect)) {
      CheckAnswer(next, answer->answer);
      found_.duplicate_got_answer =
          found_.duplicate_got_answer || !attempt.sent;
    } else if (const auto* refused = std::get_if<tell_refusal>(&effect)) {
      attempt.told_not_run =
          attempt.told_not_run || refused->why.ran == outcome::kNotRun;
      found_.told_not_run = found_.told_not_run || attempt.told_not_run;
      found_.told_unknown =
          found_.told_unknown || refused->why.ran == outcome::kUnknown;
    } else {
      attempt.next = std::move(effect);
    }
    if (!attempt.next) {
      attempt.next = attempt.machine->FollowUp(At(next.now));
    }
    Check(next);
    Visit(std::move(next));
  }

  // An answer names the attempt that was sent; that one must have run.
  void CheckAnswer(world& next, const claim_answer& answer) {
    const auto runner = static_cast<std::size_t>(answer.body.at(0) - 'a');
    if (!next.attempts[runner].ran) {
      next.found = violation::kWrongAnswer;
    }
  }

  void Check(world& next) {
    for (std::size_t i = 0; i < next.attempts.size(); ++i) {
      const auto& attempt = next.attempts[i];
      if (attempt.told_not_run && attempt.sent) {
        next.found = violation::kFalseNotRun;
      }
    }
  }

  claim_write_result Apply(world& next, const late_write& write) {
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
    next.claim = std::make_shared<const held_claim>(
        held_claim{++next.last_version, write.record});
    return {written::kApplied, next.last_version};
  }

  void NoteTransition(world& next, const claim_record& record) {
    const claim_state before =
        next.claim ? next.claim->record.state : claim_state::kOpen;
    if (before == claim_state::kDone && record.state != claim_state::kDone) {
      next.found = violation::kLostResult;
    }
    if (record.state == claim_state::kDone) {
      CheckAnswer(next, record.answer);
      found_.unknown_became_done =
          found_.unknown_became_done || before == claim_state::kUnknown;
    }
    next.released = record.state == claim_state::kNotRun || next.released;
    next.closed_at = limits_.retention > 0 ? next.now : 0;
  }

  exploration limits_;
  findings found_;
  std::vector<world> open_;
  std::unordered_set<std::uint64_t> seen_;
};

template <claim_policy Policy>
findings Explore(std::string_view name, const exploration& limits) {
  const findings found = claim_explorer<Policy>(limits).Run();
  std::cout << name << ": " << found.states
            << " states, first violation: " << Name(found.first) << '\n';
  return found;
}

inline exploration TwoAttempts() {
  exploration limits;
  limits.patience = {1, 6};
  return limits;
}

// The first attempt can be paused past its lease while the second closes its
// claim, the claim is cleaned up and the third starts anew.
inline exploration ThreeAttempts() {
  exploration limits;
  limits.patience = {1, 5, 1};
  limits.last_start = 5;
  limits.faults = 0;
  limits.retention = 1;
  return limits;
}

}  // namespace anvilloom

#endif  // TEST_SUPPORT_CLAIM_EXPLORER_H_
