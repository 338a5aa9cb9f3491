// Defines instance_registry, a stand-in for the cloud's instance API: a list
// that lags, notices of reclaims, and orders that may be refused.
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

#include "standins/fault_switch.h"
#include "wire/http_exchange.h"

namespace anvilloom {

// A handler for http_server. Thread-safe. Tests control it by
// POST /control/instances {"name","failure_domain"}, which adds an instance,
// POST /control/notices {"instance","until_reclaim_ms"}, which gives notice,
// POST /control/capacity {"available":false}, which refuses orders, and
// POST /faults.
class instance_registry {
 public:
  // `list_lag` is the age of the list that GET /instances answers.
  explicit instance_registry(std::chrono::milliseconds list_lag)
      : list_lag_(list_lag) {}

  awaitable<void> Handle(http_exchange& exchange, std::size_t thread);

 private:
  using clock = std::chrono::steady_clock;

  struct record {
    std::string domain;
    clock::time_point added_at;
    std::optional<clock::time_point> noticed_at;
    clock::time_point gone_at = clock::time_point::max();
  };
  struct given_notice {
    std::string instance;
    clock::time_point reclaim_at;
  };

  void Add(std::string_view name, std::string_view domain);
  bool GiveNotice(std::string_view name, std::chrono::milliseconds left);
  std::string EncodeList();
  // The notices from position `from` on; nothing if there are none yet.
  std::optional<std::string> EncodeNotices(std::uint64_t from, bool even_none);
  // The name of the started instance; nothing without capacity.
  std::optional<std::string> StartOne(std::string_view domain);
  awaitable<void> AnswerNotices(http_exchange& exchange);
  awaitable<void> AnswerOrder(http_exchange& exchange);
  awaitable<void> Control(http_exchange& exchange);

  std::chrono::milliseconds list_lag_;
  fault_switch faults_;
  std::mutex mutex_;
  bool has_capacity_ = true;
  std::uint64_t started_ = 0;
  std::map<std::string, record, std::less<>> instances_;
  std::vector<given_notice> notices_;
};

}  // namespace anvilloom

#endif  // STANDINS_INSTANCE_API_H_
