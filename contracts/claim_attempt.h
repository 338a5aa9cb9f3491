// Defines claim_attempt, the state machine of one attempt to run an operation
// at most once. Its data types are in contracts/claim.h.
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
  kAcquiring,      // Creating the claim, or updating a free one.
  kReading,        // Reading the claim; nothing was sent.
  kWatching,       // Waiting before the next read of the claim.
  kClosing,        // Updating an abandoned claim to kUnknown.
  kSending,        // The request may have been sent.
  kRecording,      // Updating the claim with the result.
  kRecordingRead,  // Reading the claim to learn the outcome of that update.
  kRecordingWait,  // Waiting before the next such read.
  kReleasing,      // Updating the claim to kNotRun; nothing was sent.
  kReleasingRead,  // Reading the outcome of that update, or of the create.
  kReleasingWait,  // Waiting before the next such read.
  kFinished,
};

// The state of an attempt. Exposed for tests, which compare states.
struct claim_progress {
  claim_phase phase = claim_phase::kAcquiring;
  // Version of the attempt's own claim.
  std::uint64_t version = 0;
  deadline send_by = deadline::Never();
  deadline record_by = deadline::Never();
  // Version of the other attempt's claim that is watched, and when its lease
  // ends.
  std::uint64_t watched_version = 0;
  deadline lease_end = deadline::Never();
  // When the send window of that claim's owner ends.
  deadline watched_send_end = deadline::Never();
  std::uint32_t acquire_tries = 0;
  std::uint32_t read_failures = 0;
  std::uint32_t release_tries = 0;
  // A write that acquires the claim may have taken effect, or may still do so.
  bool acquire_ambiguous = false;
  // A claim of another attempt at the same request was read. That attempt may
  // have sent the request.
  bool saw_other_attempt = false;
  // The result of the attempt's own send: kDone with an answer, or kUnknown.
  // kOpen as long as there is none.
  claim_state result = claim_state::kOpen;
  // The claim is known to contain that result.
  bool result_stored = false;
  // The attempt's own claim is known to be closed as kNotRun.
  bool released = false;
  // The caller has its response. The remaining writes serve only duplicates.
  bool following_up = false;
  refusal reason{refusal_code::kOutcomeUnknown};
};

// One attempt at one operation, either as its owner or as a duplicate. Every
// function takes the current time of the caller's monotonic clock and returns
// the next effect. The caller performs the effect and passes its result to the
// matching function below. Ends with return_answer or return_refusal. Not
// thread-safe.
template <claim_policy Policy = full_claim_policy>
class claim_attempt {
 public:
  claim_attempt(claim_identity identity,
                const claim_settings& terms,
                deadline answer_by)
      : identity_(std::move(identity)), terms_(terms), answer_by_(answer_by) {}

  // `now` must be read before the create is issued.
  claim_effect Start(time_point now) { return Create(now); }

  // Called with the outcome of create_claim or update_claim.
  claim_effect OnWritten(time_point now, const claim_write_result& result);
  // Called with the result of read_claim.
  claim_effect OnRead(time_point now, const claim_read_result& reading);
  // Called when the wait of wait_for_claim has ended.
  claim_effect OnWaited(time_point now);
  // Called after send_request with the upstream's complete answer.
  claim_effect OnAnswer(time_point now, claim_answer answer);
  // Called if send_request got no complete answer. `sent` is false only if no
  // byte of the request has reached the upstream and none will.
  claim_effect OnSendFailed(time_point now, bool sent, refusal_code code);

  // Called after the caller has its response. Returns the next effect if the
  // result or the release of the claim still has to be stored. The results of
  // effects are passed on as before, and the next return_answer or
  // return_refusal only marks the end.
  std::optional<claim_effect> FollowUp(time_point now);

  const claim_progress& progress() const { return progress_; }

 private:
  using written = claim_write_outcome;

  claim_effect Create(time_point now);
  claim_effect Reopen(time_point now, std::uint64_t version);
  claim_effect ReadClaim();
  claim_effect OnClaimRead(time_point now, const versioned_claim& seen);
  claim_effect OnOwnClaimRead(time_point now, const versioned_claim& seen);
  claim_effect WatchOtherClaim(time_point now, const versioned_claim& seen);
  claim_effect WaitBeforeRead(time_point now);
  claim_effect Send(time_point now);
  claim_effect StoreResult(time_point now, claim_state result);
  claim_effect WriteResult();
  claim_effect RetryRecord(time_point now);
  claim_effect OnRecordingRead(time_point now,
                               const claim_read_result& reading);
  claim_effect Release(const refusal& reason);
  claim_effect WriteRelease();
  claim_effect OnReleasingRead(time_point now,
                               const claim_read_result& reading);
  claim_effect FinishStoreUnavailable();
  claim_effect FinishDeadlineExceeded();
  claim_effect FinishWithRefusal(const refusal& reason);
  claim_effect FinishWithResult();

  claim_effect OnAcquired(time_point now, const claim_write_result& result);
  claim_effect OnClosed(time_point now, written outcome);
  claim_effect OnRecorded(time_point now, written outcome);
  claim_effect OnReleased(written outcome);

  bool IsOwnClaim(const claim_record& record) const;
  bool CanAcquire(time_point now) const;
  void BeginAcquire(time_point now);
  claim_record OpenRecord(time_point now) const;
  claim_record OwnClosed(claim_state state) const;

  claim_identity identity_;
  claim_settings terms_;
  deadline answer_by_;
  // The record of the attempt's own claim while it is open.
  claim_record own_record_;
  claim_progress progress_;
  claim_answer answer_;
  // The other attempt's claim with the state kUnknown, as written to close it.
  claim_record watched_record_;
};

template <claim_policy Policy>
bool claim_attempt<Policy>::IsOwnClaim(const claim_record& record) const {
  if constexpr (!Policy::kAttemptToken) {
    return progress_.acquire_ambiguous && record.state == claim_state::kOpen;
  }
  return record.attempt == identity_.attempt;
}

template <claim_policy Policy>
claim_record claim_attempt<Policy>::OpenRecord(time_point now) const {
  claim_record record;
  record.attempt = identity_.attempt;
  record.owner = identity_.owner;
  record.request_digest = identity_.request_digest;
  // The lease covers the whole time in which the owner can still make progress,
  // so that the claim of a running owner is never treated as abandoned.
  record.lease =
      terms_.send_window + answer_by_.Remaining(now) + terms_.record_limit;
  return record;
}

template <claim_policy Policy>
claim_record claim_attempt<Policy>::OwnClosed(claim_state state) const {
  claim_record record = own_record_;
  record.state = state;
  if (state == claim_state::kDone) {
    record.answer = answer_;
  }
  return record;
}

// The send deadline is not extended after an ambiguous write, because that
// write may still take effect and make the claim visible with the earlier time.
template <claim_policy Policy>
void claim_attempt<Policy>::BeginAcquire(time_point now) {
  ++progress_.acquire_tries;
  progress_.phase = claim_phase::kAcquiring;
  if (progress_.acquire_ambiguous) {
    return;
  }
  progress_.send_by = Policy::kSendDeadline
                          ? deadline::After(now, terms_.send_window)
                          : deadline::Never();
  own_record_ = OpenRecord(now);
}

template <claim_policy Policy>
bool claim_attempt<Policy>::CanAcquire(time_point now) const {
  if (progress_.acquire_tries >= terms_.max_acquire_tries ||
      answer_by_.Expired(now)) {
    return false;
  }
  return !progress_.acquire_ambiguous || !progress_.send_by.Expired(now);
}

template <claim_policy Policy>
claim_effect claim_attempt<Policy>::Create(time_point now) {
  BeginAcquire(now);
  return create_claim{own_record_};
}

template <claim_policy Policy>
claim_effect claim_attempt<Policy>::Reopen(time_point now,
                                           std::uint64_t version) {
  BeginAcquire(now);
  return update_claim{version, own_record_};
}

template <claim_policy Policy>
claim_effect claim_attempt<Policy>::ReadClaim() {
  progress_.phase = claim_phase::kReading;
  return read_claim{};
}

template <claim_policy Policy>
claim_effect claim_attempt<Policy>::WaitBeforeRead(time_point now) {
  progress_.phase = claim_phase::kWatching;
  const deadline next = deadline::After(now, terms_.poll_interval);
  return wait_for_claim{next.Earlier(answer_by_)};
}

template <claim_policy Policy>
claim_effect claim_attempt<Policy>::OnWritten(
    time_point now,
    const claim_write_result& result) {
  switch (progress_.phase) {
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
    progress_.version = result.version;
    return Send(now);
  }
  if (result.outcome == written::kNotApplied) {
    return FinishStoreUnavailable();
  }
  if (result.outcome == written::kAmbiguous) {
    progress_.acquire_ambiguous = true;
    if constexpr (!Policy::kReadBack) {
      return Send(now);
    }
  }
  return ReadClaim();
}

template <claim_policy Policy>
claim_effect claim_attempt<Policy>::OnRead(time_point now,
                                           const claim_read_result& reading) {
  if (progress_.phase == claim_phase::kRecordingRead) {
    return OnRecordingRead(now, reading);
  }
  if (progress_.phase == claim_phase::kReleasingRead) {
    return OnReleasingRead(now, reading);
  }
  if (std::holds_alternative<claim_unreadable>(reading)) {
    ++progress_.read_failures;
    // A read that was cut short by the caller's deadline does not show that the
    // store is unavailable.
    if (progress_.saw_other_attempt && answer_by_.Expired(now)) {
      return FinishDeadlineExceeded();
    }
    const bool stop = progress_.read_failures >= terms_.max_read_tries;
    return stop || answer_by_.Expired(now) ? FinishStoreUnavailable()
                                           : WaitBeforeRead(now);
  }
  progress_.read_failures = 0;
  if (const auto* seen = std::get_if<versioned_claim>(&reading)) {
    return OnClaimRead(now, *seen);
  }
  return CanAcquire(now) ? Create(now) : FinishStoreUnavailable();
}

template <claim_policy Policy>
claim_effect claim_attempt<Policy>::OnClaimRead(time_point now,
                                                const versioned_claim& seen) {
  if (IsOwnClaim(seen.record)) {
    return OnOwnClaimRead(now, seen);
  }
  if (seen.record.state == claim_state::kNotRun) {
    return CanAcquire(now) ? Reopen(now, seen.version)
                           : FinishStoreUnavailable();
  }
  if (seen.record.request_digest != identity_.request_digest) {
    return FinishWithRefusal(
        {refusal_code::kIdempotencyKeyReused, outcome::kNotRun});
  }
  progress_.saw_other_attempt = true;
  if (seen.record.state == claim_state::kOpen) {
    return WatchOtherClaim(now, seen);
  }
  if (seen.record.state == claim_state::kUnknown) {
    return FinishWithRefusal(
        {refusal_code::kOutcomeUnknown, outcome::kUnknown});
  }
  progress_.phase = claim_phase::kFinished;
  if (seen.record.answer.omitted) {
    return FinishWithRefusal({refusal_code::kIncompleteAnswer, outcome::kRan});
  }
  return return_answer{seen.record.answer};
}

template <claim_policy Policy>
claim_effect claim_attempt<Policy>::OnOwnClaimRead(
    time_point now,
    const versioned_claim& seen) {
  progress_.version = seen.version;
  if (seen.record.state == claim_state::kOpen) {
    return Send(now);
  }
  if (seen.record.state == claim_state::kUnknown) {
    return Release({refusal_code::kDeadlineExceeded, outcome::kNotRun});
  }
  return FinishWithRefusal({refusal_code::kDeadlineExceeded, outcome::kNotRun});
}

template <claim_policy Policy>
claim_effect claim_attempt<Policy>::WatchOtherClaim(
    time_point now,
    const versioned_claim& seen) {
  if (progress_.watched_version != seen.version) {
    progress_.watched_version = seen.version;
    progress_.lease_end = deadline::After(now, seen.record.lease);
    progress_.watched_send_end = deadline::After(now, terms_.send_window);
  }
  const bool send_window_ended =
      !Policy::kWaitsForSendEnd || progress_.watched_send_end.Expired(now);
  if (progress_.lease_end.Expired(now) ||
      (seen.owner_gone && send_window_ended)) {
    if constexpr (!Policy::kUnknownIsFinal) {
      return Reopen(now, seen.version);
    }
    progress_.phase = claim_phase::kClosing;
    watched_record_ = seen.record;
    watched_record_.state = claim_state::kUnknown;
    return update_claim{seen.version, watched_record_};
  }
  return answer_by_.Expired(now) ? FinishDeadlineExceeded()
                                 : WaitBeforeRead(now);
}

template <claim_policy Policy>
claim_effect claim_attempt<Policy>::OnClosed(time_point now, written outcome) {
  if (outcome == written::kApplied) {
    return FinishWithRefusal(
        {refusal_code::kOutcomeUnknown, outcome::kUnknown});
  }
  if (outcome == written::kConflict || outcome == written::kMissing) {
    return ReadClaim();
  }
  return answer_by_.Expired(now) ? FinishDeadlineExceeded()
                                 : WaitBeforeRead(now);
}

template <claim_policy Policy>
claim_effect claim_attempt<Policy>::OnWaited(time_point /*now*/) {
  if (progress_.phase == claim_phase::kRecordingWait) {
    progress_.phase = claim_phase::kRecordingRead;
    return read_claim{};
  }
  if (progress_.phase == claim_phase::kReleasingWait) {
    progress_.phase = claim_phase::kReleasingRead;
    return read_claim{};
  }
  return ReadClaim();
}

template <claim_policy Policy>
claim_effect claim_attempt<Policy>::Send(time_point now) {
  const deadline send_by = progress_.send_by.Earlier(answer_by_);
  if (Policy::kSendDeadline && send_by.Expired(now)) {
    return Release({refusal_code::kDeadlineExceeded, outcome::kNotRun});
  }
  progress_.phase = claim_phase::kSending;
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
  progress_.reason = {code, outcome::kUnknown};
  return StoreResult(now, claim_state::kUnknown);
}

template <claim_policy Policy>
claim_effect claim_attempt<Policy>::StoreResult(time_point now,
                                                claim_state result) {
  progress_.result = result;
  progress_.record_by = deadline::After(now, terms_.record_limit);
  return WriteResult();
}

template <claim_policy Policy>
claim_effect claim_attempt<Policy>::WriteResult() {
  progress_.phase = claim_phase::kRecording;
  return update_claim{progress_.version, OwnClosed(progress_.result)};
}

template <claim_policy Policy>
claim_effect claim_attempt<Policy>::OnRecorded(time_point now,
                                               written outcome) {
  if (outcome == written::kApplied || outcome == written::kMissing) {
    progress_.result_stored = outcome == written::kApplied;
    return FinishWithResult();
  }
  // Waits before the read: an immediate one would call a failing store in a
  // tight loop.
  if (outcome != written::kConflict) {
    return RetryRecord(now);
  }
  progress_.phase = claim_phase::kRecordingRead;
  return read_claim{};
}

template <claim_policy Policy>
claim_effect claim_attempt<Policy>::RetryRecord(time_point now) {
  if (progress_.record_by.Expired(now)) {
    return FinishWithResult();
  }
  progress_.phase = claim_phase::kRecordingWait;
  return wait_for_claim{
      deadline::After(now, terms_.poll_interval).Earlier(progress_.record_by)};
}

template <claim_policy Policy>
claim_effect claim_attempt<Policy>::OnRecordingRead(
    time_point now,
    const claim_read_result& reading) {
  if (std::holds_alternative<claim_unreadable>(reading)) {
    return RetryRecord(now);
  }
  const auto* seen = std::get_if<versioned_claim>(&reading);
  if (seen == nullptr || !IsOwnClaim(seen->record)) {
    return FinishWithResult();
  }
  progress_.result_stored = seen->record.state == progress_.result;
  if (progress_.result_stored || progress_.record_by.Expired(now)) {
    return FinishWithResult();
  }
  progress_.version = seen->version;
  return WriteResult();
}

template <claim_policy Policy>
claim_effect claim_attempt<Policy>::Release(const refusal& reason) {
  progress_.reason = reason;
  return WriteRelease();
}

template <claim_policy Policy>
claim_effect claim_attempt<Policy>::WriteRelease() {
  ++progress_.release_tries;
  progress_.phase = claim_phase::kReleasing;
  return update_claim{progress_.version, OwnClosed(claim_state::kNotRun)};
}

template <claim_policy Policy>
claim_effect claim_attempt<Policy>::OnReleased(written outcome) {
  const bool unresolved =
      outcome == written::kConflict || outcome == written::kAmbiguous;
  progress_.released = outcome == written::kApplied;
  if (!unresolved || progress_.release_tries >= terms_.max_acquire_tries) {
    return FinishWithRefusal(progress_.reason);
  }
  progress_.phase = claim_phase::kReleasingRead;
  return read_claim{};
}

template <claim_policy Policy>
claim_effect claim_attempt<Policy>::OnReleasingRead(
    time_point now,
    const claim_read_result& reading) {
  if (std::holds_alternative<claim_unreadable>(reading) &&
      progress_.following_up && !progress_.record_by.Expired(now)) {
    progress_.phase = claim_phase::kReleasingWait;
    return wait_for_claim{deadline::After(now, terms_.poll_interval)};
  }
  const auto* seen = std::get_if<versioned_claim>(&reading);
  if (seen == nullptr || !IsOwnClaim(seen->record) ||
      seen->record.state == claim_state::kNotRun) {
    return FinishWithRefusal(progress_.reason);
  }
  progress_.version = seen->version;
  return WriteRelease();
}

// This attempt has sent nothing. If it read a claim of another attempt at the
// same request, that attempt may have sent it, so the outcome is unknown.
template <claim_policy Policy>
claim_effect claim_attempt<Policy>::FinishStoreUnavailable() {
  return FinishWithRefusal(
      {refusal_code::kStoreUnavailable,
       progress_.saw_other_attempt ? outcome::kUnknown : outcome::kNotRun});
}

// The outcome is unknown because another attempt holds the claim open and may
// have sent the request.
template <claim_policy Policy>
claim_effect claim_attempt<Policy>::FinishDeadlineExceeded() {
  return FinishWithRefusal(
      {refusal_code::kDeadlineExceeded, outcome::kUnknown});
}

template <claim_policy Policy>
claim_effect claim_attempt<Policy>::FinishWithRefusal(const refusal& reason) {
  progress_.phase = claim_phase::kFinished;
  progress_.reason = reason;
  return return_refusal{reason};
}

template <claim_policy Policy>
claim_effect claim_attempt<Policy>::FinishWithResult() {
  if (progress_.result == claim_state::kDone) {
    progress_.phase = claim_phase::kFinished;
    return return_answer{answer_};
  }
  return FinishWithRefusal(progress_.reason);
}

template <claim_policy Policy>
std::optional<claim_effect> claim_attempt<Policy>::FollowUp(time_point now) {
  if (progress_.following_up) {
    return std::nullopt;
  }
  progress_.following_up = true;
  progress_.record_by = deadline::After(now, terms_.follow_up_limit);
  if (progress_.result != claim_state::kOpen && !progress_.result_stored) {
    progress_.phase = claim_phase::kRecordingRead;
    return read_claim{};
  }
  // An ambiguous create may have left an open claim behind.
  if (progress_.result == claim_state::kOpen && progress_.acquire_ambiguous &&
      !progress_.released) {
    progress_.phase = claim_phase::kReleasingRead;
    return read_claim{};
  }
  return std::nullopt;
}

}  // namespace anvilloom

#endif  // CONTRACTS_CLAIM_ATTEMPT_H_
