// Defines the cloud_duties concept: the calls to the cloud API that only the
// holder of the duty lease makes, each with the fencing number of its lease.
#ifndef ENTRY_CLOUD_DUTIES_H_
#define ENTRY_CLOUD_DUTIES_H_

#include <concepts>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "common/time.h"
#include "wire/transfer.h"

namespace anvilloom {

// The outcome of a call to the cloud API.
enum class duty_result : std::uint8_t {
  kDone,
  kFenced,       // A lease holder with a higher fencing number has acted.
  kUnavailable,  // The cloud has no capacity for the requested engines now.
  kRefused,      // Rate limit exceeded or invalid call; it had no effect.
  kUnknown,      // No response; the call may still take effect.
};

std::string_view Name(duty_result result);

// The usage in one accounting window, as request counts by workspace.
struct usage_report {
  std::uint64_t window = 0;
  std::map<std::string, std::uint64_t> requests;
};

struct engine_order {
  std::string service;
  std::string domain;
  bool reclaimable = false;
  std::uint32_t count = 0;
};

template <typename T>
concept cloud_duties = requires(T& cloud,
                                const usage_report& usage,
                                const engine_order& order,
                                std::uint64_t fencing,
                                deadline until) {
  {
    cloud.ReportUsage(usage, fencing, until)
    } -> std::same_as<awaitable<duty_result>>;
  {
    cloud.OrderEngines(order, fencing, until)
    } -> std::same_as<awaitable<duty_result>>;
};

}  // namespace anvilloom

#endif  // ENTRY_CLOUD_DUTIES_H_
