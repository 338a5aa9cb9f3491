// Defines claim_attempt, the state machine of one attempt to run an operation
// at most once. The values it uses are in contracts/claim.h.
#ifndef CONTRACTS_CLAIM_ATTEMPT_H_
#define CONTRACTS_CLAIM_ATTEMPT_H_

#include <cstdint>
#include <optional>
#include <utility>
#include <variant>

#include "common/time.h"
#include "contracts/claim.h"

namespace anvilloom {

enum class claim_phase : std::uint8_t {
  kAcquiring,      // A create, or an update of a free claim, is under way.
  kExamining,      // A read is under way; nothing was sent.
  kWatching,       // Waits before the next examination.
  kClosing,        // An update to kUnknown of an abandoned claim is under way.
  kSending,        // The request may have left.
  kRecording,      // The update with the result is under way.
  kRecordingRead,  // Reads what became of that update.
  kRecordingWait,  // Waits before it is repeated.
  kReleasing,      // An update to kNotRun is under way; nothing was sent.
  kReleasingRead,  // Reads what became of that update, or of the create.
  kReleasingWait,  // Waits before that read is repeated.
  kFinished,
};

// Where an attempt stands. Exposed for tests, which compare states.
struct claim_progress {
  claim_phase phase = claim_phase::kAcquiring;
  // Version of the own claim, or of the one that is watched.
  std::uint64_t version = 0;
  deadline send_by = deadline::Never();
  deadline record_by = deadline::Never();
  // Watched version and the time at which its lease ends.
  std::uint64_t watched_version = 0;
  deadline lease_end = deadline::Never();
  // From when the owner of that version can't send any more.
  deadline watched_send_end = deadline::Never();
  std::uint32_t acquire_tries = 0;
  std::uint32_t read_failures = 0;
  std::uint32_t release_tries = 0;
  // An acquiring write may have taken effect, or may still do so.
  bool acquire_ambiguous = false;
  // Another attempt at the same request was seen, which may have sent.
  bool saw_other = false;
  // The result of the own send: kDone with an answer, or kUnknown.
  claim_state result = claim_state::kOpen;
  // The claim is known to hold that result.
  bool result_stored = false;
  // The own claim is known to be closed as kNotRun.
  bool released = false;
  // The caller was told; what remains is for the sake of duplicates.
  bool following_up = false;
  refusal why{refusal_code::kOutcomeUnknown};
};

// One attempt at one operation, as owner or as duplicate. Every function takes
// the time on the caller's own monotonic clock and returns the next effect;
// the result of that effect goes to the function named after it. Ends with
// tell_answer or tell_refusal.
template <claim_policy Policy = full_claim_policy>
class claim_attempt {
 public:
  claim_attempt(claim_identity identity,
                const claim_terms& terms,
                deadline answer_by)
      : identity_(std::move(identity)), terms_(terms), answer_by_(answer_by) {}

  // `now` must be read before the create is issued.
  claim_effect Start(time_point now) { return Create(now); }

  // After create_claim and update_claim.
  claim_effect OnWritten(time_point now, const claim_write_result& result);
  // After read_claim.
  claim_effect OnRead(time_point now, const claim_reading& reading);
  // After wait_for_claim.
  claim_effect OnWaited(time_point now);
  // After send_request, with the upstream's whole answer.
  claim_effect OnAnswer(time_point now, claim_answer answer);
  // After send_request. `sent` is false only if no byte can have reached the
  // upstream and none will.
  claim_effect OnSendFailed(time_point now, bool sent, refusal_code code);

  // After the caller was told: what is left to store, if anything. The result
  // goes to the function named after the effect, as before, and the next
  // tell_answer or tell_refusal only marks the end.
  std::optional<claim_effect> FollowUp(time_point now);

  const claim_progress& progress() const { return at_; }

 private:
  using written = claim_write_outcome;

  claim_effect Create(time_point now);
  claim_effect Reopen(time_point now, std::uint64_t version);
  claim_effect Examine();
  claim_effect Examined(time_point now, const seen_claim& seen);
  claim_effect ExaminedOwn(time_point now, const seen_claim& seen);
  claim_effect Watch(time_point now, const seen_claim& seen);
  claim_effect Pause(time_point now);
  claim_effect Send(time_point now);
  claim_effect StoreResult(time_point now, claim_state result);
  claim_effect WriteResult();
  claim_effect RetryRecord(time_point now);
  claim_effect RecordRead(time_point now, const claim_reading& reading);
  claim_effect Release(const refusal& why);
  claim_effect WriteRelease();
  claim_effect ReleaseRead(time_point now, const claim_reading& reading);
  claim_effect StoreFailed();
  claim_effect OutOfTime();
  claim_effect Tell(const refusal& why);
  claim_effect TellResult();

  claim_effect OnAcquired(time_point now, const claim_write_result& result);
  claim_effect OnClosed(time_point now, written outcome);
  claim_effect OnRecorded(time_point now, written outcome);
  claim_effect OnReleased(written outcome);

  bool IsOwn(const claim_record& record) const;
  bool MayAcquire(time_point now) const;
  void BeginAcquire(time_point now);
  claim_record OpenRecord(time_point now) const;
  claim_record OwnClosed(claim_state state) const;

  claim_identity identity_;
  claim_terms terms_;
  deadline answer_by_;
  // What the own claim holds while it is open.
  claim_record own_;
  claim_progress at_;
  claim_answer answer_;
  // The claim of another attempt that is watched.
  claim_record watched_;
};

template <claim_policy Policy>
bool claim_attempt<Policy>::IsOwn(const claim_record& record) const {
  if constexpr (!Policy::kAttemptToken) {
    return at_.acquire_ambiguous && record.state == claim_state::kOpen;
  }
  return record.attempt == identity_.attempt;
}

template <claim_policy Policy>
claim_record claim_attempt<Policy>::OpenRecord(time_point now) const {
  claim_record record;
  record.attempt = identity_.attempt;
  record.owner = identity_.owner;
  record.request_digest = identity_.request_digest;
  // Covers the whole time in which the owner can still make progress, so that
  // an owner that runs is never taken for an abandoned one.
  record.lease =
      terms_.send_window + answer_by_.Remaining(now) + terms_.record_limit;
  return record;
}

template <claim_policy Policy>
claim_record claim_attempt<Policy>::OwnClosed(claim_state state) const {
  claim_record record = own_;
  record.state = state;
  if (state == claim_state::kDone) {
    record.answer = answer_;
  }
  return record;
}

// A write that may still take effect makes the claim visible with the earlier
// time, so its send deadline must not be moved.
template <claim_policy Policy>
void claim_attempt<Policy>::BeginAcquire(time_point now) {
  ++at_.acquire_tries;
  at_.phase = claim_phase::kAcquiring;
  if (at_.acquire_ambiguous) {
    return;
  }
  at_.send_by = Policy::kSendDeadline ? deadline::After(now, terms_.send_window)
                                      : deadline::Never();
  own_ = OpenRecord(now);
}

template <claim_policy Policy>
bool claim_attempt<Policy>::MayAcquire(time_point now) const {
  if (at_.acquire_tries >= terms_.acquire_tries || answer_by_.Expired(now)) {
    return false;
  }
  return !at_.acquire_ambiguous || !at_.send_by.Expired(now);
}

template <claim_policy Policy>
claim_effect claim_attempt<Policy>::Create(time_point now) {
  BeginAcquire(now);
  return create_claim{own_};
}

template <claim_policy Policy>
claim_effect claim_attempt<Policy>::Reopen(time_point now,
                                           std::uint64_t version) {
  BeginAcquire(now);
  return update_claim{version, own_};
}

template <claim_policy Policy>
claim_effect claim_attempt<Policy>::Examine() {
  at_.phase = claim_phase::kExamining;
  return read_claim{};
}

template <claim_policy Policy>
claim_effect claim_attempt<Policy>::Pause(time_point now) {
  at_.phase = claim_phase::kWatching;
  const deadline next = deadline::After(now, terms_.poll_interval);
  return wait_for_claim{next.Earlier(answer_by_)};
}

template <claim_policy Policy>
claim_effect claim_attempt<Policy>::OnWritten(
    time_point now,
    const claim_write_result& result) {
  switch (at_.phase) {
    case claim_phase::kAcquiring:
      return OnAcquired(now, result);
    case claim_phase::kClosing:
      return OnClosed(now, result.outcome);
    case claim_phase::kRecording:
      return OnRecorded(now, result.outcome);
    default:
      return OnReleased(result.outcome);
  }
}

template <claim_policy Policy>
claim_effect claim_attempt<Policy>::OnAcquired(
    time_point now,
    const claim_write_result& result) {
  if (result.outcome == written::kApplied) {
    at_.version = result.version;
    return Send(now);
  }
  if (result.outcome == written::kNotApplied) {
    return StoreFailed();
  }
  if (result.outcome == written::kAmbiguous) {
    at_.acquire_ambiguous = true;
    if constexpr (!Policy::kReadBack) {
      return Send(now);
    }
  }
  return Examine();
}

template <claim_policy Policy>
claim_effect claim_attempt<Policy>::OnRead(time_point now,
                                           const claim_reading& reading) {
  if (at_.phase == claim_phase::kRecordingRead) {
    return RecordRead(now, reading);
  }
  if (at_.phase == claim_phase::kReleasingRead) {
    return ReleaseRead(now, reading);
  }
  if (std::holds_alternative<claim_unreadable>(reading)) {
    ++at_.read_failures;
    // A read that the caller's deadline cut short says nothing of the store.
    if (at_.saw_other && answer_by_.Expired(now)) {
      return OutOfTime();
    }
    const bool stop = at_.read_failures >= terms_.read_tries;
    return stop || answer_by_.Expired(now) ? StoreFailed() : Pause(now);
  }
  at_.read_failures = 0;
  if (const auto* seen = std::get_if<seen_claim>(&reading)) {
    return Examined(now, *seen);
  }
  return MayAcquire(now) ? Create(now) : StoreFailed();
}

template <claim_policy Policy>
claim_effect claim_attempt<Policy>::Examined(time_point now,
                                             const seen_claim& seen) {
  if (IsOwn(seen.record)) {
    return ExaminedOwn(now, seen);
  }
  if (seen.record.state == claim_state::kNotRun) {
    return MayAcquire(now) ? Reopen(now, seen.version) : StoreFailed();
  }
  if (seen.record.request_digest != identity_.request_digest) {
    return Tell({refusal_code::kIdempotencyKeyReused, outcome::kNotRun});
  }
  at_.saw_other = true;
  if (seen.record.state == claim_state::kOpen) {
    return Watch(now, seen);
  }
  if (seen.record.state == claim_state::kUnknown) {
    return Tell({refusal_code::kOutcomeUnknown, outcome::kUnknown});
  }
  at_.phase = claim_phase::kFinished;
  if (seen.record.answer.omitted) {
    return Tell({refusal_code::kIncompleteAnswer, outcome::kRan});
  }
  return tell_answer{seen.record.answer};
}

template <claim_policy Policy>
claim_effect claim_attempt<Policy>::ExaminedOwn(time_point now,
                                                const seen_claim& seen) {
  at_.version = seen.version;
  if (seen.record.state == claim_state::kOpen) {
    return Send(now);
  }
  if (seen.record.state == claim_state::kUnknown) {
    return Release({refusal_code::kDeadlineExceeded, outcome::kNotRun});
  }
  return Tell({refusal_code::kDeadlineExceeded, outcome::kNotRun});
}

template <claim_policy Policy>
claim_effect claim_attempt<Policy>::Watch(time_point now,
                                          const seen_claim& seen) {
  if (at_.watched_version != seen.version) {
    at_.watched_version = seen.version;
    at_.lease_end = deadline::After(now, seen.record.lease);
    at_.watched_send_end = deadline::After(now, terms_.send_window);
  }
  const bool send_ended =
      !Policy::kWaitsForSendEnd || at_.watched_send_end.Expired(now);
  if (at_.lease_end.Expired(now) || (seen.owner_gone && send_ended)) {
    if constexpr (!Policy::kUnknownIsFinal) {
      return Reopen(now, seen.version);
    }
    at_.phase = claim_phase::kClosing;
    watched_ = seen.record;
    watched_.state = claim_state::kUnknown;
    return update_claim{seen.version, watched_};
  }
  return answer_by_.Expired(now) ? OutOfTime() : Pause(now);
}

template <claim_policy Policy>
claim_effect claim_attempt<Policy>::OnClosed(time_point now, written outcome) {
  if (outcome == written::kApplied) {
    return Tell({refusal_code::kOutcomeUnknown, outcome::kUnknown});
  }
  if (outcome == written::kConflict || outcome == written::kMissing) {
    return Examine();
  }
  return answer_by_.Expired(now) ? OutOfTime() : Pause(now);
}

template <claim_policy Policy>
claim_effect claim_attempt<Policy>::OnWaited(time_point /*now*/) {
  if (at_.phase == claim_phase::kRecordingWait) {
    at_.phase = claim_phase::kRecordingRead;
    return read_claim{};
  }
  if (at_.phase == claim_phase::kReleasingWait) {
    at_.phase = claim_phase::kReleasingRead;
    return read_claim{};
  }
  return Examine();
}

template <claim_policy Policy>
claim_effect claim_attempt<Policy>::Send(time_point now) {
  const deadline send_by = at_.send_by.Earlier(answer_by_);
  if (Policy::kSendDeadline && send_by.Expired(now)) {
    return Release({refusal_code::kDeadlineExceeded, outcome::kNotRun});
  }
  at_.phase = claim_phase::kSending;
  return send_request{Policy::kSendDeadline ? send_by : deadline::Never()};
}

template <claim_policy Policy>
claim_effect claim_attempt<Policy>::OnAnswer(time_point now,
                                             claim_answer answer) {
  answer_ = std::move(answer);
  return StoreResult(now, claim_state::kDone);
}

template <claim_policy Policy>
claim_effect claim_attempt<Policy>::OnSendFailed(time_point now,
                                                 bool sent,
                                                 refusal_code code) {
  if (!sent || !Policy::kNotRunOnlyIfUnsent) {
    return Release({code, outcome::kNotRun});
  }
  at_.why = {code, outcome::kUnknown};
  return StoreResult(now, claim_state::kUnknown);
}

template <claim_policy Policy>
claim_effect claim_attempt<Policy>::StoreResult(time_point now,
                                                claim_state result) {
  at_.result = result;
  at_.record_by = deadline::After(now, terms_.record_limit);
  return WriteResult();
}

template <claim_policy Policy>
claim_effect claim_attempt<Policy>::WriteResult() {
  at_.phase = claim_phase::kRecording;
  return update_claim{at_.version, OwnClosed(at_.result)};
}

template <claim_policy Policy>
claim_effect claim_attempt<Policy>::OnRecorded(time_point now,
                                               written outcome) {
  if (outcome == written::kApplied || outcome == written::kMissing) {
    at_.result_stored = outcome == written::kApplied;
    return TellResult();
  }
  // A read at once would let an unwell store be called in a tight loop.
  if (outcome != written::kConflict) {
    return RetryRecord(now);
  }
  at_.phase = claim_phase::kRecordingRead;
  return read_claim{};
}

template <claim_policy Policy>
claim_effect claim_attempt<Policy>::RetryRecord(time_point now) {
  if (at_.record_by.Expired(now)) {
    return TellResult();
  }
  at_.phase = claim_phase::kRecordingWait;
  return wait_for_claim{
      deadline::After(now, terms_.poll_interval).Earlier(at_.record_by)};
}

template <claim_policy Policy>
claim_effect claim_attempt<Policy>::RecordRead(time_point now,
                                               const claim_reading& reading) {
  if (std::holds_alternative<claim_unreadable>(reading)) {
    return RetryRecord(now);
  }
  const auto* seen = std::get_if<seen_claim>(&reading);
  if (seen == nullptr || !IsOwn(seen->record)) {
    return TellResult();
  }
  at_.result_stored = seen->record.state == at_.result;
  if (at_.result_stored || at_.record_by.Expired(now)) {
    return TellResult();
  }
  at_.version = seen->version;
  return WriteResult();
}

template <claim_policy Policy>
claim_effect claim_attempt<Policy>::Release(const refusal& why) {
  at_.why = why;
  return WriteRelease();
}

template <claim_policy Policy>
claim_effect claim_attempt<Policy>::WriteRelease() {
  ++at_.release_tries;
  at_.phase = claim_phase::kReleasing;
  return update_claim{at_.version, OwnClosed(claim_state::kNotRun)};
}

template <claim_policy Policy>
claim_effect claim_attempt<Policy>::OnReleased(written outcome) {
  const bool unsettled =
      outcome == written::kConflict || outcome == written::kAmbiguous;
  at_.released = outcome == written::kApplied;
  if (!unsettled || at_.release_tries >= terms_.acquire_tries) {
    return Tell(at_.why);
  }
  at_.phase = claim_phase::kReleasingRead;
  return read_claim{};
}

template <claim_policy Policy>
claim_effect claim_attempt<Policy>::ReleaseRead(time_point now,
                                                const claim_reading& reading) {
  if (std::holds_alternative<claim_unreadable>(reading) && at_.following_up &&
      !at_.record_by.Expired(now)) {
    at_.phase = claim_phase::kReleasingWait;
    return wait_for_claim{deadline::After(now, terms_.poll_interval)};
  }
  const auto* seen = std::get_if<seen_claim>(&reading);
  if (seen == nullptr || !IsOwn(seen->record) ||
      seen->record.state == claim_state::kNotRun) {
    return Tell(at_.why);
  }
  at_.version = seen->version;
  return WriteRelease();
}

// Nothing was sent by this attempt. If another attempt at the same request was
// seen, that one may have sent, so its outcome is not known here.
template <claim_policy Policy>
claim_effect claim_attempt<Policy>::StoreFailed() {
  return Tell({refusal_code::kStoreUnavailable,
               at_.saw_other ? outcome::kUnknown : outcome::kNotRun});
}

// Another attempt holds the claim open, so that one may have sent.
template <claim_policy Policy>
claim_effect claim_attempt<Policy>::OutOfTime() {
  return Tell({refusal_code::kDeadlineExceeded, outcome::kUnknown});
}

template <claim_policy Policy>
claim_effect claim_attempt<Policy>::Tell(const refusal& why) {
  at_.phase = claim_phase::kFinished;
  at_.why = why;
  return tell_refusal{why};
}

template <claim_policy Policy>
claim_effect claim_attempt<Policy>::TellResult() {
  if (at_.result == claim_state::kDone) {
    at_.phase = claim_phase::kFinished;
    return tell_answer{answer_};
  }
  return Tell(at_.why);
}

template <claim_policy Policy>
std::optional<claim_effect> claim_attempt<Policy>::FollowUp(time_point now) {
  if (at_.following_up) {
    return std::nullopt;
  }
  at_.following_up = true;
  at_.record_by = deadline::After(now, terms_.follow_up_limit);
  if (at_.result != claim_state::kOpen && !at_.result_stored) {
    at_.phase = claim_phase::kRecordingRead;
    return read_claim{};
  }
  // A create of unknown effect may have left an open claim behind.
  if (at_.result == claim_state::kOpen && at_.acquire_ambiguous &&
      !at_.released) {
    at_.phase = claim_phase::kReleasingRead;
    return read_claim{};
  }
  return std::nullopt;
}

}  // namespace anvilloom

#endif  // CONTRACTS_CLAIM_ATTEMPT_H_
