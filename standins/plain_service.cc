#include "standins/plain_service.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

namespace anvilloom {

namespace {

namespace json = boost::json;

constexpr std::string_view kJsonType = "application/json";

}  // namespace

awaitable<void> plain_service::Handle(http_exchange& exchange,
                                      std::size_t /*thread*/) {
  if (co_await faults_.HandleControl(exchange)) {
    co_return;
  }
  if (exchange.path() == "/runs") {
    json::object counts;
    {
      const std::lock_guard lock(mutex_);
      for (const auto& [key, count] : runs_) {
        counts[key] = count;
      }
    }
    co_await exchange.Respond(http_status::ok, kJsonType,
                              json::serialize(counts));
    co_return;
  }
  const std::optional<fault_rule> fault = faults_.Take(exchange);
  if (fault) {
    co_await PassFaultDelay(*fault);
  }
  if (fault && fault->action == fault_action::kRefuse) {
    co_await exchange.Respond(http_status::service_unavailable, kJsonType,
                              "{}");
    co_return;
  }
  if (fault && (fault->action == fault_action::kDropBefore ||
                fault->action == fault_action::kHang)) {
    exchange.Abort();
    co_return;
  }
  const std::string key(exchange.Header("Idempotency-Key"));
  std::uint32_t count = 0;
  {
    const std::lock_guard lock(mutex_);
    count = ++runs_[key];
  }
  if (fault && fault->action == fault_action::kDropAfter) {
    exchange.Abort();
    co_return;
  }
  const json::value answer = {{"path", std::string(exchange.path())},
                              {"key", key},
                              {"run", count},
                              {"echo", exchange.request().body()}};
  co_await exchange.Respond(http_status::ok, kJsonType,
                            json::serialize(answer));
}

}  // namespace anvilloom
