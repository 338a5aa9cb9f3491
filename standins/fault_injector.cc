#include "standins/fault_injector.h"

#include <array>
#include <chrono>
#include <string_view>
#include <utility>

#include "wire/json_text.h"
#include "wire/pause.h"

namespace anvilloom {

namespace {

constexpr std::string_view kFaultsPath = "/faults";

struct action_name {
  std::string_view name;
  fault_action action;
};

constexpr std::array<action_name, 13> kActionNames = {{
    {"refuse", fault_action::kRefuse},
    {"drop_before", fault_action::kDropBefore},
    {"drop_after", fault_action::kDropAfter},
    {"delay", fault_action::kDelay},
    {"hang", fault_action::kHang},
    {"truncate", fault_action::kTruncate},
    {"wrong_id", fault_action::kWrongId},
    {"duplicate", fault_action::kDuplicate},
    {"gap", fault_action::kGap},
    {"malformed", fault_action::kMalformed},
    {"cut_header", fault_action::kCutHeader},
    {"wrong_length", fault_action::kWrongLength},
    {"no_length", fault_action::kNoLength},
}};

std::optional<fault_action> FindAction(std::string_view name) {
  for (const action_name& known : kActionNames) {
    if (known.name == name) {
      return known.action;
    }
  }
  return std::nullopt;
}

std::uint32_t UnsignedOr(const boost::json::value& rule,
                         std::string_view key,
                         std::uint32_t fallback) {
  return static_cast<std::uint32_t>(
      UnsignedMember(rule, key).value_or(fallback));
}

std::optional<fault_rule> DecodeRule(std::string_view text) {
  const auto parsed = ParseJson(text);
  const auto name = parsed ? StringMember(*parsed, "action") : std::nullopt;
  const auto action = name ? FindAction(*name) : std::nullopt;
  if (!action) {
    return std::nullopt;
  }
  return fault_rule{*action,
                    std::string(StringMember(*parsed, "method").value_or("")),
                    std::string(StringMember(*parsed, "path").value_or("")),
                    UnsignedOr(*parsed, "count", 1),
                    UnsignedOr(*parsed, "delay_ms", 0),
                    UnsignedOr(*parsed, "after", 0)};
}

bool Matches(const fault_rule& rule, const http_exchange& exchange) {
  const auto method = exchange.request().method_string();
  const bool method_matches =
      rule.method.empty() ||
      rule.method == std::string_view(method.data(), method.size());
  return rule.count > 0 && method_matches &&
         exchange.path().starts_with(rule.path);
}

}  // namespace

awaitable<bool> fault_injector::HandleControl(http_exchange& exchange) {
  if (exchange.path() != kFaultsPath) {
    co_return false;
  }
  if (exchange.request().method() == boost::beast::http::verb::delete_) {
    {
      const std::lock_guard lock(mutex_);
      rules_.clear();
    }
    co_await exchange.Respond(http_status::ok, "application/json", "{}");
    co_return true;
  }
  auto rule = DecodeRule(exchange.request().body());
  if (!rule) {
    co_await exchange.Respond(http_status::bad_request, "application/json",
                              "{}");
    co_return true;
  }
  {
    const std::lock_guard lock(mutex_);
    rules_.push_back(std::move(*rule));
  }
  co_await exchange.Respond(http_status::ok, "application/json", "{}");
  co_return true;
}

std::optional<fault_rule> fault_injector::Take(const http_exchange& exchange) {
  const std::lock_guard lock(mutex_);
  for (fault_rule& rule : rules_) {
    if (Matches(rule, exchange)) {
      --rule.count;
      return rule;
    }
  }
  return std::nullopt;
}

awaitable<void> AwaitFaultDelay(const fault_rule& rule) {
  return Pause(std::chrono::milliseconds(rule.delay_ms));
}

awaitable<bool> ApplyBeforeEffect(http_exchange& exchange,
                                  std::optional<fault_rule> rule) {
  if (!rule) {
    co_return false;
  }
  co_await AwaitFaultDelay(*rule);
  switch (rule->action) {
    case fault_action::kRefuse:
      co_await exchange.Respond(http_status::service_unavailable,
                                "application/json", "{}");
      co_return true;
    case fault_action::kDropBefore:
    case fault_action::kHang:
      exchange.Abort();
      co_return true;
    default:
      co_return false;
  }
}

}  // namespace anvilloom
