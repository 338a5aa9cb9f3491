// Defines the values of the claim protocol, which makes calls at-most-once:
// claim_record, the stored object that stands for one operation, and the
// effects and results of the state machine in contracts/claim_attempt.h. The
// design note is docs/claims.md.
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

// What is known about the operation that a claim stands for.
enum class claim_state : std::uint8_t {
  kOpen,     // Its owner may be about to send, or has sent.
  kDone,     // It ran; the answer is stored.
  kUnknown,  // It may have run. It is never sent again.
  kNotRun,   // Its owner has not sent and never will; the key is free.
};

// Stable lower-case name used in stored claims, for example "not_run".
std::string_view Name(claim_state state);
std::optional<claim_state> FindClaimState(std::string_view name);

// The upstream's answer as it is stored for duplicates.
struct claim_answer {
  unsigned status = 0;
  std::string content_type;
  std::string body;
  // The body was too large to store; duplicates learn only that it ran.
  bool omitted = false;

  friend bool operator==(const claim_answer&, const claim_answer&) = default;
};

// The stored object. Only the attempt named in it may send.
struct claim_record {
  claim_state state = claim_state::kOpen;
  // Unique token of the attempt that owns the claim.
  std::string attempt;
  // Name and epoch of the entry instance that runs the attempt; the epoch
  // tells its runs apart.
  std::string owner;
  // SHA-256 of the request, to find a key used for another request.
  std::string request_digest;
  // Time without a change after which an observer may close the claim, in
  // microseconds on the observer's clock.
  duration lease{0};
  // Wall clock of the last writer, in seconds since 1970; used only to find
  // claims that are past their retention period.
  std::int64_t written_at_s = 0;
  claim_answer answer;
};

// A record and the version of the object that holds it.
struct seen_claim {
  std::uint64_t version = 0;
  claim_record record;
  // The owner has left, was taken for failed or was started anew. It may still
  // run if it was only cut off.
  bool owner_gone = false;
};

struct claim_absent {};
struct claim_unreadable {};
// What a read of the claim gave.
using claim_reading = std::variant<seen_claim, claim_absent, claim_unreadable>;

// What became of a conditional write.
enum class claim_write_outcome : std::uint8_t {
  kApplied,
  kConflict,    // The object exists already, or has another version.
  kMissing,     // The object to update does not exist.
  kNotApplied,  // It certainly has no effect.
  kAmbiguous,   // It may have taken effect, or may still do so.
};

struct claim_write_result {
  claim_write_outcome outcome;
  // The new version, if it was applied.
  std::uint64_t version = 0;
};

// Effects: what the caller of claim_attempt has to do next.
struct create_claim {
  claim_record record;
};
struct read_claim {};
struct update_claim {
  std::uint64_t version;
  claim_record record;
};
// The first byte may leave only before `send_by`.
struct send_request {
  deadline send_by;
};
struct wait_for_claim {
  deadline until;
};
struct tell_answer {
  claim_answer answer;
};
struct tell_refusal {
  refusal why;
};
// What the caller of an operation is told.
using claim_verdict = std::variant<tell_answer, tell_refusal>;
using claim_effect = std::variant<create_claim,
                                  read_claim,
                                  update_claim,
                                  send_request,
                                  wait_for_claim,
                                  tell_answer,
                                  tell_refusal>;

// Times of the protocol, in microseconds.
struct claim_terms {
  // From just before the create to the last moment at which the owner sends.
  duration send_window = std::chrono::seconds(2);
  // How long the owner tries to store the answer before it answers anyway.
  duration record_limit = std::chrono::seconds(2);
  // How long the owner goes on storing its result, or freeing its claim, after
  // its caller was told.
  duration follow_up_limit = std::chrono::seconds(30);
  // Between two reads of a claim that another attempt holds open.
  duration poll_interval = std::chrono::milliseconds(50);
  // Acquiring writes of one attempt, the first included.
  std::uint32_t acquire_tries = 3;
  // Unreadable answers in a row after which an attempt gives up.
  std::uint32_t read_tries = 3;
};

// The mechanisms of the protocol. Tests switch single ones off to show that
// each is needed.
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
  // The owner sends only before its send deadline.
  static constexpr bool kSendDeadline = true;
  // An ambiguous write is resolved by reading the claim.
  static constexpr bool kReadBack = true;
  // What is read back counts as one's own only with one's own token.
  static constexpr bool kAttemptToken = true;
  // An abandoned claim is closed and not taken over.
  static constexpr bool kUnknownIsFinal = true;
  // A failure after the first byte is reported as unknown.
  static constexpr bool kNotRunOnlyIfUnsent = true;
  // The claim of an owner that is gone is closed only once that owner can't
  // send any more.
  static constexpr bool kWaitsForSendEnd = true;
};

// What identifies one attempt.
struct claim_identity {
  std::string attempt;
  std::string owner;
  std::string request_digest;
};

// Whether a closed claim is past its retention period. Open claims are kept.
bool PastRetention(const claim_record& record,
                   std::int64_t wall_now_s,
                   std::chrono::seconds retention);

}  // namespace anvilloom

#endif  // CONTRACTS_CLAIM_H_
