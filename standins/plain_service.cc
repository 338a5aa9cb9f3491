#include "standins/plain_service.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <optional>
#include <string>

namespace anvilloom {

namespace {

namespace json = boost::json;

constexpr std::string_view kJsonType = "application/json";

std::string Header(std::optional<std::size_t> content_length) {
  std::string header = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";
  if (content_length) {
    header += "Content-Length: " + std::to_string(*content_length) + "\r\n";
  }
  return header + "\r\n";
}

// Writes a malformed response if the fault requires one. Returns whether it
// did.
awaitable<bool> WriteFaultyAnswer(http_exchange& exchange,
                                  const fault_rule& fault,
                                  const std::string& body) {
  std::string bytes;
  switch (fault.action) {
    case fault_action::kTruncate:
      bytes = Header(body.size()) + body.substr(0, fault.after);
      break;
    case fault_action::kCutHeader:
      bytes = Header(body.size()).substr(0, fault.after);
      break;
    case fault_action::kWrongLength:
      bytes = Header(fault.after) + body;
      break;
    case fault_action::kNoLength:
      bytes = Header(std::nullopt) + body.substr(0, fault.after);
      break;
    default:
      co_return false;
  }
  co_await exchange.WriteRaw(bytes);
  if (fault.action != fault_action::kWrongLength) {
    exchange.Abort();
  }
  co_return true;
}

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
  if (co_await ApplyBeforeEffect(exchange, fault)) {
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
  const json::value fields = {{"path", std::string(exchange.path())},
                              {"key", key},
                              {"run", count},
                              {"echo", exchange.request().body()}};
  const std::string answer = json::serialize(fields);
  if (fault && co_await WriteFaultyAnswer(exchange, *fault, answer)) {
    co_return;
  }
  co_await exchange.Respond(http_status::ok, kJsonType, answer);
}

}  // namespace anvilloom
