// Defines the data types of the claim protocol, which gives calls at-most-once
// semantics: claim_record, the stored object of one operation, and the effects
// and results of the state machine in contracts/claim_attempt.h. The design is
// described in docs/claims.md.
#ifndef CONTRACTS_CLAIM_H_
#define CONTRACTS_CLAIM_H_

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

#include "common/time.h"
#include "contracts/outcome.h"

namespace anvilloom {

// What is known about the operation of a claim.
enum class claim_state : std::uint8_t {
  kOpen,     // Its owner may be about to send, or has sent.
  kDone,     // It ran; the answer is stored.
  kUnknown,  // It may have run. It is never sent again.
  kNotRun,   // Its owner has not sent it and never will; the key is free.
};

// Stable lower-case name used in stored claims, for example "not_run".
std::string_view Name(claim_state state);
std::optional<claim_state> FindClaimState(std::string_view name);

// The upstream's answer, stored so that duplicates of the call can get it.
struct claim_answer {
  unsigned status = 0;
  std::string content_type;
  std::string body;
  // The body was too large to store. Duplicates are told only that the
  // operation ran.
  bool omitted = false;

  friend bool operator==(const claim_answer&, const claim_answer&) = default;
};

// The stored object of one operation. Only the attempt named in it may send the
// request.
struct claim_record {
  claim_state state = claim_state::kOpen;
  // Unique token of the attempt that owns the claim.
  std::string attempt;
  // Name and epoch of the entry instance that runs the attempt. The epoch
  // differs between process runs of the same instance.
  std::string owner;
  // SHA-256 of the request, to detect a key that is reused for another request.
  std::string request_digest;
  // Time without a change after which an observer may close the claim, in
  // microseconds on the observer's clock.
  duration lease{0};
  // Wall-clock time of the last write, in seconds since 1970. Used only to
  // decide whether the retention period has ended.
  std::int64_t written_at_s = 0;
  claim_answer answer;
};

// A claim that was read from the store, with the version of its object.
struct versioned_claim {
  std::uint64_t version = 0;
  claim_record record;
  // The owner has left, was declared failed or has restarted. It may still run
  // if it was only partitioned from the reader.
  bool owner_gone = false;
};

struct claim_absent {};
struct claim_unreadable {};
// The result of reading a claim.
using claim_read_result =
    std::variant<versioned_claim, claim_absent, claim_unreadable>;

// The outcome of a conditional write.
enum class claim_write_outcome : std::uint8_t {
  kApplied,
  kConflict,    // The object exists already, or has another version.
  kMissing,     // The object to update does not exist.
  kNotApplied,  // The write has had no effect and never will.
  kAmbiguous,   // The write may have taken effect, or may still do so.
};

struct claim_write_result {
  claim_write_outcome outcome;
  // The new version of the object if the write was applied.
  std::uint64_t version = 0;
};

// Effects: the action that the caller of claim_attempt must perform next.
struct create_claim {
  claim_record record;
};
struct read_claim {};
struct update_claim {
  std::uint64_t version;
  claim_record record;
};
// The first byte of the request may be sent only before `send_by`.
struct send_request {
  deadline send_by;
};
struct wait_for_claim {
  deadline until;
};
struct return_answer {
  claim_answer answer;
};
struct return_refusal {
  refusal reason;
};
// The final result that is returned to the caller of an operation.
using claim_response = std::variant<return_answer, return_refusal>;
using claim_effect = std::variant<create_claim,
                                  read_claim,
                                  update_claim,
                                  send_request,
                                  wait_for_claim,
                                  return_answer,
                                  return_refusal>;

// Timing and retry limits of the protocol. Times are in microseconds.
struct claim_settings {
  // Time from just before the create until the owner may no longer send.
  duration send_window = std::chrono::seconds(2);
  // How long the owner tries to store the answer before it responds without
  // having stored it.
  duration record_limit = std::chrono::seconds(2);
  // How long the owner keeps trying to store its result or to release its claim
  // after it has responded to its caller.
  duration follow_up_limit = std::chrono::seconds(30);
  // Time between two reads of a claim that another attempt holds open.
  duration poll_interval = std::chrono::milliseconds(50);
  // Maximum number of writes by which one attempt tries to acquire the claim,
  // including the first.
  std::uint32_t max_acquire_tries = 3;
  // Number of consecutive failed reads after which an attempt gives up.
  std::uint32_t max_read_tries = 3;
};

// Selects the mechanisms of the protocol. Tests disable single mechanisms to
// show that each one is needed.
template <typename T>
concept claim_policy = requires {
  { T::kSendDeadline } -> std::convertible_to<bool>;
  { T::kReadBack } -> std::convertible_to<bool>;
  { T::kAttemptToken } -> std::convertible_to<bool>;
  { T::kUnknownIsFinal } -> std::convertible_to<bool>;
  { T::kNotRunOnlyIfUnsent } -> std::convertible_to<bool>;
  { T::kWaitsForSendEnd } -> std::convertible_to<bool>;
};

struct full_claim_policy {
  // The owner sends the request only before its send deadline.
  static constexpr bool kSendDeadline = true;
  // An ambiguous write is resolved by reading the claim back.
  static constexpr bool kReadBack = true;
  // An attempt treats a claim as its own only if the claim has its token.
  static constexpr bool kAttemptToken = true;
  // An abandoned claim is closed as unknown and never taken over.
  static constexpr bool kUnknownIsFinal = true;
  // A failure after the first byte was sent is reported as unknown.
  static constexpr bool kNotRunOnlyIfUnsent = true;
  // The claim of an owner that is reported gone is closed only after the send
  // window of that owner has ended.
  static constexpr bool kWaitsForSendEnd = true;
};

// Identifies one attempt; see the fields of claim_record.
struct claim_identity {
  std::string attempt;
  std::string owner;
  std::string request_digest;
};

// Returns whether a closed claim is past its retention period. Open claims are
// never past it.
bool PastRetention(const claim_record& record,
                   std::int64_t wall_now_s,
                   std::chrono::seconds retention);

}  // namespace anvilloom

#endif  // CONTRACTS_CLAIM_H_
