#include "wire/http_object_store.h"

#include <boost/json/serialize.hpp>
#include <boost/json/value_to.hpp>
#include <optional>
#include <utility>

#include "wire/http_text.h"
#include "wire/json_text.h"
#include "wire/line_splitter.h"
#include "wire/steady_clock.h"

namespace anvilloom {

namespace {

namespace json = boost::json;
using http_verb = boost::beast::http::verb;

// Extra time that lets the server close a watch before the client times out.
constexpr duration kWatchMargin = std::chrono::seconds(2);

std::string KindPath(std::string_view kind) {
  return "/objects/" + std::string(kind);
}

std::string ObjectPath(std::string_view kind, std::string_view name) {
  return KindPath(kind) + "/" + PercentEncode(name);
}

// Maps a failed transfer to a store error. Once any byte was sent, a write may
// have taken effect.
store_error ToStoreError(const transfer_failure& failure) {
  return failure.sent ? store_error::kAmbiguous : store_error::kUnavailable;
}

// Returns the error for an HTTP status, or nullopt on success. A 5xx response
// does not tell whether a write took effect.
std::optional<store_error> StatusToStoreError(unsigned status) {
  constexpr unsigned kNotFoundStatus = 404;
  constexpr unsigned kConflictStatus = 409;
  constexpr unsigned kGoneStatus = 410;
  constexpr unsigned kFirstServerError = 500;
  if (status >= 200 && status < 300) {
    return std::nullopt;
  }
  if (status == kNotFoundStatus) {
    return store_error::kNotFound;
  }
  if (status == kConflictStatus) {
    return store_error::kConflict;
  }
  if (status == kGoneStatus) {
    return store_error::kGone;
  }
  return status >= kFirstServerError ? store_error::kAmbiguous
                                     : store_error::kRefused;
}

std::optional<std::uint64_t> DecodeVersion(const json_members& members) {
  return ParseUnsigned(FindValue(members, "version"));
}

// Decodes an object whose value may be of any content, since other programs
// write objects, too: a value that can't be parsed stays as it is, so that its
// reader refuses this one object only.
std::optional<stored_object> DecodeObject(std::string_view text) {
  const auto members = SplitObject(text);
  if (!members) {
    return std::nullopt;
  }
  const auto name = ParseJson(FindValue(*members, "name"));
  const auto version = DecodeVersion(*members);
  if (!name || !name->is_string() || !version) {
    return std::nullopt;
  }
  const std::string_view value = FindValue(*members, "value");
  const auto parsed = value.empty() ? json::value() : ParseJson(value);
  return stored_object{json::value_to<std::string>(*name), *version,
                       parsed ? json::serialize(*parsed) : std::string(value)};
}

// Objects that can't be decoded are left out, so that the others hold.
std::optional<object_list> DecodeList(std::string_view text) {
  const auto members = SplitObject(text);
  if (!members) {
    return std::nullopt;
  }
  const auto version = DecodeVersion(*members);
  const auto items = SplitArray(FindValue(*members, "items"));
  if (!version || !items) {
    return std::nullopt;
  }
  object_list list;
  list.version = *version;
  list.read_until = *version;
  for (const std::string_view item : *items) {
    if (auto object = DecodeObject(item)) {
      list.objects.push_back(std::move(*object));
    }
  }
  return list;
}

// A decoded line of a watch response. It has no event if its object can't be
// decoded: the watch goes on behind it.
struct watch_line {
  std::optional<object_event> event;
  std::uint64_t version = 0;
  bool gone = false;
};

std::optional<watch_line> DecodeWatchLine(std::string_view text) {
  const auto members = SplitObject(text);
  if (!members) {
    return std::nullopt;
  }
  const std::string_view type = FindValue(*members, "type");
  const auto version = DecodeVersion(*members);
  if (type.empty() || !version) {
    return std::nullopt;
  }
  watch_line line;
  line.version = *version;
  line.gone = type == R"("error")";
  if (line.gone || type == R"("bookmark")") {
    return line;
  }
  if (auto object = DecodeObject(FindValue(*members, "object"))) {
    line.event = object_event{type == R"("delete")" ? object_event_kind::kDelete
                                                    : object_event_kind::kPut,
                              std::move(*object)};
  }
  return line;
}

std::string ObjectBody(std::string_view name, std::string_view value) {
  const json::value parsed = ParseJson(value).value_or(json::value());
  return json::serialize(
      json::value{{"name", std::string(name)}, {"value", parsed}});
}

}  // namespace

http_object_store::http_object_store(boost::asio::any_io_executor executor,
                                     std::string_view address)
    : address_(address), client_(std::move(executor)) {}

awaitable<store_result<object_list>> http_object_store::List(
    std::string_view kind,
    deadline until) {
  const auto answer = co_await client_.Exchange(
      address_, MakeRequest(http_verb::get, KindPath(kind)), until);
  if (!answer) {
    co_return ToStoreError(answer.error());
  }
  if (const auto error = StatusToStoreError(answer->result_int())) {
    co_return *error;
  }
  auto list = DecodeList(answer->body());
  if (!list) {
    co_return store_error::kRefused;
  }
  co_return std::move(*list);
}

awaitable<store_result<stored_object>> http_object_store::Get(
    std::string_view kind,
    std::string_view name,
    deadline until) {
  if (!IsPathSegment(name)) {
    co_return store_error::kRefused;
  }
  const auto answer = co_await client_.Exchange(
      address_, MakeRequest(http_verb::get, ObjectPath(kind, name)), until);
  if (!answer) {
    co_return ToStoreError(answer.error());
  }
  if (const auto error = StatusToStoreError(answer->result_int())) {
    co_return *error;
  }
  auto object = DecodeObject(answer->body());
  if (!object) {
    co_return store_error::kRefused;
  }
  co_return std::move(*object);
}

awaitable<store_result<std::uint64_t>> http_object_store::Write(
    std::string_view name,
    http_request request,
    deadline until) {
  if (!IsPathSegment(name)) {
    co_return store_error::kRefused;
  }
  // Uses a new connection, because a request on a pooled one may be retried and
  // write twice.
  const auto answer = co_await client_.Exchange(address_, std::move(request),
                                                until, connection_use::kFresh);
  if (!answer) {
    co_return ToStoreError(answer.error());
  }
  if (const auto error = StatusToStoreError(answer->result_int())) {
    co_return *error;
  }
  const auto parsed = ParseJson(answer->body());
  const auto version =
      parsed ? UnsignedMember(*parsed, "version") : std::nullopt;
  if (!version) {
    co_return store_error::kAmbiguous;
  }
  co_return *version;
}

awaitable<store_result<std::uint64_t>> http_object_store::Create(
    std::string_view kind,
    std::string_view name,
    std::string_view value,
    deadline until) {
  return Write(
      name,
      MakeRequest(http_verb::post, KindPath(kind), ObjectBody(name, value)),
      until);
}

awaitable<store_result<std::uint64_t>> http_object_store::Update(
    std::string_view kind,
    std::string_view name,
    std::uint64_t version,
    std::string_view value,
    deadline until) {
  return Write(name,
               MakeRequest(http_verb::put,
                           ObjectPath(kind, name) +
                               "?version=" + std::to_string(version),
                           ObjectBody(name, value)),
               until);
}

awaitable<store_result<std::uint64_t>> http_object_store::Delete(
    std::string_view kind,
    std::string_view name,
    std::uint64_t version,
    deadline until) {
  return Write(name,
               MakeRequest(http_verb::delete_,
                           ObjectPath(kind, name) +
                               "?version=" + std::to_string(version)),
               until);
}

awaitable<store_result<std::uint64_t>> http_object_store::Watch(
    std::string_view kind,
    std::uint64_t version,
    const object_event_sink& sink,
    deadline until) {
  const duration wait = until.Remaining(steady_source().Now());
  const auto wait_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
  const std::string target = KindPath(kind) +
                             "?watch=1&from=" + std::to_string(version) +
                             "&timeout_ms=" + std::to_string(wait_ms);
  const deadline cutoff(until.at() + kWatchMargin);
  auto answer = co_await client_.Open(
      address_, MakeRequest(http_verb::get, target), cutoff);
  if (!answer) {
    co_return ToStoreError(answer.error());
  }
  if (const auto error =
          StatusToStoreError(static_cast<unsigned>((*answer)->status()))) {
    co_return *error;
  }
  line_splitter lines;
  for (;;) {
    const auto piece = co_await (*answer)->ReadSome(cutoff);
    if (!piece) {
      co_return ToStoreError(piece.error());
    }
    if (piece->empty()) {
      co_return version;
    }
    lines.Append(*piece);
    while (const auto text = lines.NextLine()) {
      const auto line = DecodeWatchLine(*text);
      if (!line) {
        co_return store_error::kRefused;
      }
      if (line->gone) {
        co_return store_error::kGone;
      }
      version = line->version;
      if (line->event && !sink(*line->event)) {
        co_return version;
      }
    }
  }
}

}  // namespace anvilloom
