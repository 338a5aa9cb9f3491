// Defines the instance_api concept, the cloud API that lists instances,
// announces reclaims and starts new instances.
#ifndef WIRE_INSTANCE_API_H_
#define WIRE_INSTANCE_API_H_

#include <boost/system/result.hpp>
#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "common/time.h"
#include "wire/transfer.h"

namespace anvilloom {

enum class instance_state { kLive, kLeaving };

// An entry of the instance list. The list lags behind the actual state.
struct listed_instance {
  std::string name;
  std::string domain;
  instance_state state = instance_state::kLive;
};

// The announcement that the cloud will reclaim an instance.
struct reclaim_notice {
  std::string instance;
  // Time left when the response was sent.
  duration until_reclaim{};
};

// Notices in the order in which they were issued.
struct notice_batch {
  // Position from which to continue with AwaitNotices().
  std::uint64_t next = 0;
  std::vector<reclaim_notice> notices;
};

// Describes an instance to start.
struct instance_order {
  std::string domain;
  std::string machine_class;
  bool reclaimable = true;
};

// Why a call to the instance API failed.
enum class instance_error {
  kNoCapacity,   // The cloud has no capacity for such an instance.
  kRefused,      // The response is an error or could not be decoded.
  kUnavailable,  // No response; an instance may have been started.
};

[[noreturn]] void throw_exception_from_error(
    instance_error error,
    const boost::source_location& location);

template <typename T>
using instance_result = boost::system::result<T, instance_error>;

// A client of the instance API. Every call completes by its deadline.
template <typename T>
concept instance_api = requires(T& api,
                                std::uint64_t from,
                                const instance_order& order,
                                deadline until) {
  {
    api.List(until)
    } -> std::same_as<awaitable<instance_result<std::vector<listed_instance>>>>;
  // Waits for notices starting at position `from`; returns an empty batch at
  // the deadline.
  {
    api.AwaitNotices(from, until)
    } -> std::same_as<awaitable<instance_result<notice_batch>>>;
  // Starts an instance and returns its name.
  {
    api.Start(order, until)
    } -> std::same_as<awaitable<instance_result<std::string>>>;
};

}  // namespace anvilloom

#endif  // WIRE_INSTANCE_API_H_
