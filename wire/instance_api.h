// Defines the instance_api concept, the cloud's list of instances, its notices
// of reclaims and its orders for new instances, as the system uses them.
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

// One line of the list, which lags behind what happens.
struct listed_instance {
  std::string name;
  std::string domain;
  instance_state state = instance_state::kLive;
};

// The announcement that an instance is taken back.
struct reclaim_notice {
  std::string instance;
  // Time left when the answer was sent.
  duration until_reclaim{};
};

// Notices in the order in which they were given.
struct notice_batch {
  // Position to ask from next.
  std::uint64_t next = 0;
  std::vector<reclaim_notice> notices;
};

// What to start.
struct instance_order {
  std::string domain;
  std::string machine_class;
  bool reclaimable = true;
};

// Why a call to the instance API failed.
enum class instance_error {
  kNoCapacity,   // The cloud has no such instance to give now.
  kRefused,      // The answer is an error or not understood.
  kUnavailable,  // No answer; an order may have been carried out.
};

[[noreturn]] void throw_exception_from_error(
    instance_error error,
    const boost::source_location& location);

template <typename T>
using instance_result = boost::system::result<T, instance_error>;

// The instance API. Every call ends by its deadline.
template <typename T>
concept instance_api = requires(T& api,
                                std::uint64_t from,
                                const instance_order& order,
                                deadline until) {
  {
    api.List(until)
    } -> std::same_as<awaitable<instance_result<std::vector<listed_instance>>>>;
  // Waits for notices from position `from` on; an empty batch at the deadline.
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
