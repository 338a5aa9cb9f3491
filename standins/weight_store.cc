#include "standins/weight_store.h"

#include <array>
#include <string>
#include <string_view>

namespace anvilloom {

namespace {

constexpr std::string_view kWeightsPath = "/weights/";
constexpr std::string_view kJsonType = "application/json";

}  // namespace

weight_store::weight_store(std::uint32_t loads_per_minute)
    : load_interval_(std::chrono::milliseconds(std::chrono::minutes(1)) /
                     loads_per_minute) {}

awaitable<void> weight_store::Handle(http_exchange& exchange,
                                     std::size_t /*thread*/) {
  if (co_await faults_.HandleControl(exchange)) {
    co_return;
  }
  if (!exchange.path().starts_with(kWeightsPath)) {
    co_return;
  }
  const auto fault = faults_.Take(exchange);
  if (fault) {
    co_await AwaitFaultDelay(*fault);
  }
  if (fault && fault->action != fault_action::kDelay) {
    exchange.Abort();
    co_return;
  }
  const std::chrono::milliseconds wait = AcquireLoad();
  if (wait.count() == 0) {
    co_await exchange.Respond(http_status::ok, kJsonType, "{}");
    co_return;
  }
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(wait);
  const std::string retry_after = std::to_string(seconds.count());
  const std::array<http_header, 1> headers = {{{"Retry-After", retry_after}}};
  co_await exchange.Respond(http_status::too_many_requests, kJsonType, "{}",
                            headers);
}

std::chrono::milliseconds weight_store::AcquireLoad() {
  const std::lock_guard lock(mutex_);
  const auto now = std::chrono::steady_clock::now();
  if (now >= next_allowed_) {
    next_allowed_ = now + load_interval_;
    return std::chrono::milliseconds(0);
  }
  return std::chrono::ceil<std::chrono::milliseconds>(next_allowed_ - now);
}

}  // namespace anvilloom
