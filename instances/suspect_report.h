// Defines suspect_report, what an instance tells the others about a part of
// prompts that may crash upstreams.
#ifndef INSTANCES_SUSPECT_REPORT_H_
#define INSTANCES_SUSPECT_REPORT_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include "common/time.h"

namespace anvilloom {

// Instances have no common clock, so reports carry ages instead of times.
struct suspect_report {
  // An upstream that ended before it had answered a call with the parts.
  struct crash {
    std::uint64_t upstream_hash = 0;
    std::uint64_t call_hash = 0;
    duration age{0};
  };

  // Hashes of the service and the part, for parts of which all that follows
  // holds.
  std::vector<std::uint64_t> parts;
  // Age of the latest answer to a call with each part, if there was one.
  std::optional<duration> answered_age;
  // Age of the latest trial of the parts, if there was one.
  std::optional<duration> tried_age;
  std::vector<crash> crashes;
  // Whether the parts are blocked. Only stored: from a report, each instance
  // draws its own conclusion.
  bool blocked = false;
};

// An upstream that ended, whatever the parts of its calls.
struct upstream_end {
  std::uint64_t upstream_hash = 0;
  duration age{0};
};

// What is known of the parts that may crash upstreams, with the ends of
// upstreams that they have to explain.
struct suspect_evidence {
  std::vector<suspect_report> suspects;
  std::vector<upstream_end> ends;
};

// Whether `stored` has all that `known` says: each part with as many crashes
// and the same verdict, and as many ends of upstreams. Exact if `known` has
// taken over `stored`.
bool Includes(const suspect_evidence& stored, const suspect_evidence& known);

// Maximum number of crashes that are kept for a part. More than a part causes
// before it is blocked, together with the calls that are then in flight.
inline constexpr std::size_t kCrashesPerSuspect = 16;
// Encoded sizes of a suspect without crashes, of each crash and of each part,
// and what the suspects of one message may take, so that it fits into one
// packet.
inline constexpr std::size_t kSuspectBytes = 32;
inline constexpr std::size_t kCrashBytes = 26;
inline constexpr std::size_t kPartBytes = 8;
inline constexpr std::size_t kSuspectBytesPerReport = 1200;
inline constexpr std::size_t kPartsPerReport =
    kSuspectBytesPerReport / kPartBytes;
inline constexpr std::size_t kMaxSuspectsPerReport =
    kSuspectBytesPerReport / (kSuspectBytes + kPartBytes);

// Fills one message with suspects.
class suspect_message_builder {
 public:
  // Whether a suspect with this number of crashes and at least one part fits.
  bool Fits(std::size_t crashes) const {
    return bytes_ + kSuspectBytes + crashes * kCrashBytes + kPartBytes <=
           kSuspectBytesPerReport;
  }
  // Whether another part of a suspect fits.
  bool FitsPart() const {
    return bytes_ + kPartBytes <= kSuspectBytesPerReport;
  }
  // Adds a suspect with its first part. Returns its index.
  std::size_t Add(suspect_report suspect) {
    bytes_ += kSuspectBytes + suspect.crashes.size() * kCrashBytes +
              suspect.parts.size() * kPartBytes;
    suspects_.push_back(std::move(suspect));
    return suspects_.size() - 1;
  }
  void AddPart(std::size_t index, std::uint64_t part) {
    bytes_ += kPartBytes;
    suspects_[index].parts.push_back(part);
  }
  std::vector<suspect_report> Build() && { return std::move(suspects_); }

 private:
  std::size_t bytes_ = 0;
  std::vector<suspect_report> suspects_;
};

}  // namespace anvilloom

#endif  // INSTANCES_SUSPECT_REPORT_H_
