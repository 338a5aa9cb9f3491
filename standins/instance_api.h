// Defines instance_registry, a stand-in for the cloud's instance API. It serves
// a delayed list of instances and reclaim notices, and accepts or refuses
// orders for new instances.
#ifndef STANDINS_INSTANCE_API_H_
#define STANDINS_INSTANCE_API_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "standins/fault_injector.h"
#include "wire/http_exchange.h"

namespace anvilloom {

// A handler for http_server. Thread-safe. Tests control it over HTTP:
// POST /control/instances {"name","failure_domain"} adds an instance,
// POST /control/notices {"instance","until_reclaim_ms"} adds a reclaim notice,
// POST /control/capacity {"available":false} makes it refuse orders, and
// POST /faults adds a fault rule (standins/fault_injector.h).
class instance_registry {
 public:
  // GET /instances returns the list as it was `list_lag` ago.
  explicit instance_registry(std::chrono::milliseconds list_lag)
      : list_lag_(list_lag) {}

  awaitable<void> Handle(http_exchange& exchange, std::size_t thread);

 private:
  using clock = std::chrono::steady_clock;

  struct instance_record {
    std::string domain;
    clock::time_point added_at;
    std::optional<clock::time_point> notice_at;
    clock::time_point removed_at = clock::time_point::max();
  };
  struct reclaim_notice {
    std::string instance;
    clock::time_point reclaim_at;
  };

  void Add(std::string_view name, std::string_view domain);
  bool AddNotice(std::string_view name, std::chrono::milliseconds time_left);
  std::string EncodeList();
  // Returns the notices from position `from` on. Without any, returns an empty
  // list if `allow_empty` is set, else nullopt.
  std::optional<std::string> EncodeNotices(std::uint64_t from,
                                           bool allow_empty);
  // Returns the name of the started instance, or nullopt without capacity.
  std::optional<std::string> StartInstance(std::string_view domain);
  awaitable<void> AnswerNotices(http_exchange& exchange);
  awaitable<void> AnswerOrder(http_exchange& exchange);
  awaitable<void> HandleControlRequest(http_exchange& exchange);

  std::chrono::milliseconds list_lag_;
  fault_injector faults_;
  std::mutex mutex_;
  bool has_capacity_ = true;
  std::uint64_t started_ = 0;
  std::map<std::string, instance_record, std::less<>> instances_;
  std::vector<reclaim_notice> notices_;
};

}  // namespace anvilloom

#endif  // STANDINS_INSTANCE_API_H_
