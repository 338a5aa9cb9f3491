#include "standins/instance_api.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>

#include "wire/json_text.h"
#include "wire/pause.h"

namespace anvilloom {

namespace {

namespace json = boost::json;

constexpr std::string_view kJsonType = "application/json";
constexpr std::chrono::milliseconds kWaitPollInterval{5};
constexpr std::uint64_t kDefaultWaitMs = 30'000;
constexpr std::uint64_t kDefaultNoticeMs = 30'000;

std::uint64_t ToNumber(std::string_view text, std::uint64_t fallback) {
  std::uint64_t number = fallback;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

}  // namespace

awaitable<void> instance_registry::Handle(http_exchange& exchange,
                                          std::size_t /*thread*/) {
  if (co_await faults_.HandleControl(exchange)) {
    co_return;
  }
  const std::string_view path = exchange.path();
  if (path.starts_with("/control/")) {
    co_await HandleControlRequest(exchange);
    co_return;
  }
  if (const auto fault = faults_.Take(exchange)) {
    co_await AwaitFaultDelay(*fault);
    if (fault->action == fault_action::kRefuse) {
      co_await exchange.Respond(http_status::service_unavailable, kJsonType,
                                "{}");
      co_return;
    }
    if (fault->action != fault_action::kDelay) {
      exchange.Abort();
      co_return;
    }
  }
  if (path == "/notices") {
    co_await AnswerNotices(exchange);
  } else if (path == "/instances" &&
             exchange.request().method() == boost::beast::http::verb::post) {
    co_await AnswerOrder(exchange);
  } else if (path == "/instances") {
    co_await exchange.Respond(http_status::ok, kJsonType, EncodeList());
  }
}

void instance_registry::Add(std::string_view name, std::string_view domain) {
  instance_record added;
  added.domain = domain;
  added.added_at = clock::now();
  const std::lock_guard lock(mutex_);
  instances_.insert_or_assign(std::string(name), std::move(added));
}

bool instance_registry::AddNotice(std::string_view name,
                                  std::chrono::milliseconds time_left) {
  const std::lock_guard lock(mutex_);
  const auto found = instances_.find(name);
  if (found == instances_.end()) {
    return false;
  }
  const clock::time_point now = clock::now();
  found->second.notice_at = now;
  found->second.removed_at = now + time_left;
  notices_.push_back({std::string(name), now + time_left});
  return true;
}

std::string instance_registry::EncodeList() {
  const clock::time_point as_of = clock::now() - list_lag_;
  json::array items;
  const std::lock_guard lock(mutex_);
  for (const auto& [name, entry] : instances_) {
    if (entry.added_at > as_of || entry.removed_at <= as_of) {
      continue;
    }
    const bool leaving = entry.notice_at && *entry.notice_at <= as_of;
    items.push_back({{"name", name},
                     {"failure_domain", entry.domain},
                     {"state", leaving ? "leaving" : "live"}});
  }
  return json::serialize(json::value{{"items", std::move(items)}});
}

std::optional<std::string> instance_registry::EncodeNotices(std::uint64_t from,
                                                            bool allow_empty) {
  const std::lock_guard lock(mutex_);
  // Notices are lost when this process restarts. A client whose position is
  // past the end of the list continues at its start.
  if (from > notices_.size()) {
    from = 0;
  }
  if (from == notices_.size() && !allow_empty) {
    return std::nullopt;
  }
  json::array items;
  for (std::size_t i = from; i < notices_.size(); ++i) {
    const auto time_left =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            notices_[i].reclaim_at - clock::now());
    items.push_back(
        {{"instance", notices_[i].instance},
         {"until_reclaim_ms", std::max<std::int64_t>(time_left.count(), 0)}});
  }
  return json::serialize(
      json::value{{"next", notices_.size()}, {"notices", std::move(items)}});
}

std::optional<std::string> instance_registry::StartInstance(
    std::string_view domain) {
  std::string name;
  {
    const std::lock_guard lock(mutex_);
    if (!has_capacity_) {
      return std::nullopt;
    }
    name = "started-" + std::to_string(++started_);
  }
  Add(name, domain);
  return name;
}

awaitable<void> instance_registry::AnswerNotices(http_exchange& exchange) {
  const std::uint64_t from = ToNumber(exchange.Query("from"), 0);
  const clock::time_point end =
      clock::now() + std::chrono::milliseconds(ToNumber(
                         exchange.Query("timeout_ms"), kDefaultWaitMs));
  for (;;) {
    const bool may_wait = exchange.Query("wait") == "1" && clock::now() < end;
    if (const auto text = EncodeNotices(from, !may_wait)) {
      co_await exchange.Respond(http_status::ok, kJsonType, *text);
      co_return;
    }
    co_await Pause(kWaitPollInterval);
  }
}

awaitable<void> instance_registry::AnswerOrder(http_exchange& exchange) {
  const auto parsed = ParseJson(exchange.request().body());
  const auto domain =
      parsed ? StringMember(*parsed, "failure_domain") : std::nullopt;
  const auto name = StartInstance(domain.value_or(""));
  if (!name) {
    co_await exchange.Respond(http_status::conflict, kJsonType,
                              R"({"error":"no_capacity"})");
    co_return;
  }
  const json::value started = {{"name", *name}};
  co_await exchange.Respond(http_status::created, kJsonType,
                            json::serialize(started));
}

awaitable<void> instance_registry::HandleControlRequest(
    http_exchange& exchange) {
  const auto parsed = ParseJson(exchange.request().body());
  const std::string_view path = exchange.path();
  bool done = parsed.has_value();
  if (done && path == "/control/instances") {
    Add(StringMember(*parsed, "name").value_or(""),
        StringMember(*parsed, "failure_domain").value_or(""));
  } else if (done && path == "/control/notices") {
    done = AddNotice(
        StringMember(*parsed, "instance").value_or(""),
        std::chrono::milliseconds(UnsignedMember(*parsed, "until_reclaim_ms")
                                      .value_or(kDefaultNoticeMs)));
  } else if (done && path == "/control/capacity") {
    const std::lock_guard lock(mutex_);
    has_capacity_ = BoolMember(*parsed, "available").value_or(true);
  } else {
    done = false;
  }
  co_await exchange.Respond(done ? http_status::ok : http_status::bad_request,
                            kJsonType, "{}");
}

}  // namespace anvilloom
