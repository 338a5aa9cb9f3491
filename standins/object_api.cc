#include "standins/object_api.h"

#include <boost/json/serialize.hpp>
#include <charconv>
#include <chrono>
#include <utility>

#include "wire/http_text.h"
#include "wire/json_text.h"
#include "wire/pause.h"

namespace anvilloom {

namespace {

namespace json = boost::json;

// Changes retained for watches. A watch that starts before the oldest one gets
// status 410.
constexpr std::size_t kRetainedChanges = 4096;
constexpr std::size_t kMaxValueBytes = std::size_t{1024} * 1024;
constexpr std::chrono::milliseconds kWatchPollInterval{5};
constexpr std::chrono::milliseconds kDefaultWatchTime{30'000};
constexpr std::string_view kObjectsPath = "/objects/";
constexpr std::string_view kJsonType = "application/json";

std::uint64_t ToNumber(std::string_view text) {
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

std::string EncodeObject(std::string_view name,
                         std::uint64_t version,
                         std::string_view value) {
  std::string out = R"({"name":)" + json::serialize(json::string(name));
  out += R"(,"version":)" + std::to_string(version);
  out += R"(,"value":)" + std::string(value) + "}";
  return out;
}

std::string EncodeVersion(std::uint64_t version) {
  return R"({"version":)" + std::to_string(version) + "}";
}

}  // namespace

awaitable<void> object_api::Handle(http_exchange& exchange,
                                   std::size_t /*thread*/) {
  if (co_await faults_.HandleControl(exchange)) {
    co_return;
  }
  std::string_view path = exchange.path();
  if (!path.starts_with(kObjectsPath)) {
    co_return;
  }
  path.remove_prefix(kObjectsPath.size());
  const std::size_t slash = path.find('/');
  const std::string kind = PercentDecode(path.substr(0, slash));
  const std::string name = slash == std::string_view::npos
                               ? std::string()
                               : PercentDecode(path.substr(slash + 1));
  const std::optional<fault_rule> fault = faults_.Take(exchange);
  if (co_await ApplyBeforeEffect(exchange, fault)) {
    co_return;
  }
  if (exchange.Query("watch") == "1") {
    co_await Watch(exchange, kind);
    co_return;
  }
  const reply answer = Apply(exchange, kind, name);
  if (fault && fault->action == fault_action::kDropAfter) {
    exchange.Abort();
    co_return;
  }
  co_await exchange.Respond(answer.status, kJsonType, answer.body);
}

object_api::reply object_api::Apply(const http_exchange& exchange,
                                    std::string_view kind,
                                    std::string_view name) {
  const std::uint64_t version = ToNumber(exchange.Query("version"));
  const std::string_view body = exchange.request().body();
  switch (exchange.request().method()) {
    case boost::beast::http::verb::get:
      return name.empty() ? List(kind) : Get(kind, name);
    case boost::beast::http::verb::post:
      return Create(kind, body);
    case boost::beast::http::verb::put:
      return Update(kind, name, version, body);
    case boost::beast::http::verb::delete_:
      return Delete(kind, name, version);
    default:
      return {http_status::method_not_allowed, "{}"};
  }
}

object_api::reply object_api::List(std::string_view kind) {
  const std::lock_guard lock(mutex_);
  std::string body = R"({"version":)" + std::to_string(version_);
  body += R"(,"items":[)";
  bool first = true;
  for (const auto& [name, object] : kinds_[std::string(kind)]) {
    body += first ? "" : ",";
    body += EncodeObject(name, object.version, object.value);
    first = false;
  }
  return {http_status::ok, body + "]}"};
}

object_api::reply object_api::Get(std::string_view kind,
                                  std::string_view name) {
  const std::lock_guard lock(mutex_);
  const auto& objects = kinds_[std::string(kind)];
  const auto found = objects.find(std::string(name));
  if (found == objects.end()) {
    return {http_status::not_found, "{}"};
  }
  return {http_status::ok,
          EncodeObject(name, found->second.version, found->second.value)};
}

std::optional<object_api::reply> object_api::ReadValue(
    const std::optional<json::value>& parsed,
    std::string& text) {
  const json::value* value = parsed ? FindMember(*parsed, "value") : nullptr;
  if (value == nullptr) {
    return reply{http_status::bad_request, "{}"};
  }
  text = json::serialize(*value);
  if (text.size() > kMaxValueBytes) {
    return reply{http_status::payload_too_large, "{}"};
  }
  return std::nullopt;
}

std::optional<object_api::reply> object_api::RefuseChange(
    const object_map& objects,
    std::string_view name,
    std::uint64_t version) {
  const auto found = objects.find(std::string(name));
  if (found == objects.end()) {
    return reply{http_status::not_found, "{}"};
  }
  if (found->second.version != version) {
    return reply{http_status::conflict, "{}"};
  }
  return std::nullopt;
}

object_api::reply object_api::Create(std::string_view kind,
                                     std::string_view body) {
  const auto parsed = ParseJson(body);
  const auto name = parsed ? StringMember(*parsed, "name") : std::nullopt;
  if (!name) {
    return {http_status::bad_request, "{}"};
  }
  std::string text;
  if (auto refused = ReadValue(parsed, text)) {
    return std::move(*refused);
  }
  const std::lock_guard lock(mutex_);
  auto& objects = kinds_[std::string(kind)];
  if (objects.contains(std::string(*name))) {
    return {http_status::conflict, "{}"};
  }
  ++version_;
  versioned_value& created = objects[std::string(*name)];
  created = {version_, std::move(text)};
  Record(kind, "put", *name, created);
  return {http_status::created, EncodeVersion(version_)};
}

object_api::reply object_api::Update(std::string_view kind,
                                     std::string_view name,
                                     std::uint64_t version,
                                     std::string_view body) {
  std::string text;
  if (auto refused = ReadValue(ParseJson(body), text)) {
    return std::move(*refused);
  }
  const std::lock_guard lock(mutex_);
  auto& objects = kinds_[std::string(kind)];
  if (auto refused = RefuseChange(objects, name, version)) {
    return std::move(*refused);
  }
  ++version_;
  versioned_value& updated = objects[std::string(name)];
  updated = {version_, std::move(text)};
  Record(kind, "put", name, updated);
  return {http_status::ok, EncodeVersion(version_)};
}

object_api::reply object_api::Delete(std::string_view kind,
                                     std::string_view name,
                                     std::uint64_t version) {
  const std::lock_guard lock(mutex_);
  auto& objects = kinds_[std::string(kind)];
  if (auto refused = RefuseChange(objects, name, version)) {
    return std::move(*refused);
  }
  ++version_;
  Record(kind, "delete", name, versioned_value{version_, "null"});
  objects.erase(std::string(name));
  return {http_status::ok, EncodeVersion(version_)};
}

void object_api::Record(std::string_view kind,
                        std::string_view type,
                        std::string_view name,
                        const versioned_value& object) {
  std::string line = R"({"type":")" + std::string(type);
  line += R"(","version":)" + std::to_string(version_);
  line += R"(,"object":)" + EncodeObject(name, version_, object.value) + "}\n";
  changes_.push_back({version_, std::string(kind), std::move(line)});
  if (changes_.size() > kRetainedChanges) {
    changes_.pop_front();
  }
}

object_api::change_batch object_api::ChangesAfter(std::string_view kind,
                                                  std::uint64_t version) {
  const std::lock_guard lock(mutex_);
  change_batch batch;
  batch.version = version_;
  const bool too_old = !changes_.empty() &&
                       changes_.size() == kRetainedChanges &&
                       version + 1 < changes_.front().version;
  // A version above the current one was issued before a restart of the store,
  // which loses all objects.
  batch.gone = too_old || version > version_;
  for (const change& entry : changes_) {
    if (entry.version > version && entry.kind == kind) {
      batch.lines += entry.line;
    }
  }
  return batch;
}

awaitable<void> object_api::Watch(http_exchange& exchange,
                                  std::string_view kind) {
  std::uint64_t version = ToNumber(exchange.Query("from"));
  const std::uint64_t requested_ms = ToNumber(exchange.Query("timeout_ms"));
  const auto wait = requested_ms == 0 ? kDefaultWatchTime
                                      : std::chrono::milliseconds(requested_ms);
  const auto end = std::chrono::steady_clock::now() + wait;
  if (ChangesAfter(kind, version).gone) {
    co_await exchange.Respond(http_status::gone, kJsonType, "{}");
    co_return;
  }
  bool open = co_await exchange.BeginStream(http_status::ok, kJsonType);
  while (open && std::chrono::steady_clock::now() < end) {
    const change_batch batch = ChangesAfter(kind, version);
    if (batch.gone) {
      open =
          co_await exchange.WriteChunk("{\"type\":\"error\",\"version\":0}\n");
      break;
    }
    version = batch.version;
    if (!batch.lines.empty()) {
      open = co_await exchange.WriteChunk(batch.lines);
      continue;
    }
    co_await Pause(kWatchPollInterval);
  }
  if (open) {
    open = co_await exchange.WriteChunk(R"({"type":"bookmark","version":)" +
                                        std::to_string(version) + "}\n");
  }
  if (open) {
    co_await exchange.EndStream();
  }
}

}  // namespace anvilloom
