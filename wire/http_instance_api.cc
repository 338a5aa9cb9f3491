#include "wire/http_instance_api.h"

#include <boost/json/serialize.hpp>
#include <optional>
#include <utility>

#include "wire/json_text.h"
#include "wire/steady_clock.h"

namespace anvilloom {

namespace {

namespace json = boost::json;
using http_verb = boost::beast::http::verb;

// Extra time that lets the server end a wait before the client times out.
constexpr duration kWaitMargin = std::chrono::seconds(2);

// Returns an array member of a response, or null.
const json::array* ArrayMember(const json::value& answer,
                               std::string_view key) {
  const json::value* member = FindMember(answer, key);
  return member == nullptr ? nullptr : member->if_array();
}

std::optional<std::vector<listed_instance>> DecodeList(std::string_view text) {
  const auto parsed = ParseJson(text);
  const json::array* items = parsed ? ArrayMember(*parsed, "items") : nullptr;
  if (items == nullptr) {
    return std::nullopt;
  }
  std::vector<listed_instance> list;
  for (const json::value& item : *items) {
    const auto name = StringMember(item, "name");
    if (!name) {
      return std::nullopt;
    }
    const bool leaving =
        StringMember(item, "state").value_or("live") == "leaving";
    list.push_back(
        {std::string(*name),
         std::string(StringMember(item, "failure_domain").value_or("")),
         leaving ? instance_state::kLeaving : instance_state::kLive});
  }
  return list;
}

std::optional<notice_batch> DecodeNotices(std::string_view text) {
  const auto parsed = ParseJson(text);
  const json::array* items = parsed ? ArrayMember(*parsed, "notices") : nullptr;
  const auto next = parsed ? UnsignedMember(*parsed, "next") : std::nullopt;
  if (items == nullptr || !next) {
    return std::nullopt;
  }
  notice_batch batch;
  batch.next = *next;
  for (const json::value& item : *items) {
    const auto name = StringMember(item, "instance");
    const auto left = UnsignedMember(item, "until_reclaim_ms");
    if (!name || !left) {
      return std::nullopt;
    }
    batch.notices.push_back(
        {std::string(*name), std::chrono::milliseconds(*left)});
  }
  return batch;
}

}  // namespace

http_instance_api::http_instance_api(boost::asio::any_io_executor executor,
                                     std::string_view address)
    : address_(address), client_(std::move(executor)) {}

awaitable<instance_result<std::vector<listed_instance>>>
http_instance_api::List(deadline until) {
  const auto answer = co_await client_.Exchange(
      address_, MakeRequest(http_verb::get, "/instances"), until);
  if (!answer) {
    co_return instance_error::kUnavailable;
  }
  auto list = answer->result() == http_status::ok ? DecodeList(answer->body())
                                                  : std::nullopt;
  if (!list) {
    co_return instance_error::kRefused;
  }
  co_return std::move(*list);
}

awaitable<instance_result<notice_batch>> http_instance_api::AwaitNotices(
    std::uint64_t from,
    deadline until) {
  const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(
      until.Remaining(steady_source().Now()));
  const std::string target = "/notices?wait=1&from=" + std::to_string(from) +
                             "&timeout_ms=" + std::to_string(wait.count());
  const auto answer =
      co_await client_.Exchange(address_, MakeRequest(http_verb::get, target),
                                deadline(until.at() + kWaitMargin));
  if (!answer) {
    co_return instance_error::kUnavailable;
  }
  auto batch = answer->result() == http_status::ok
                   ? DecodeNotices(answer->body())
                   : std::nullopt;
  if (!batch) {
    co_return instance_error::kRefused;
  }
  co_return std::move(*batch);
}

awaitable<instance_result<std::string>> http_instance_api::Start(
    instance_order order,
    deadline until) {
  const json::value body = {{"failure_domain", order.domain},
                            {"machine_class", order.machine_class},
                            {"reclaimable", order.reclaimable}};
  // Uses a new connection, because a request on a pooled one may be retried and
  // start two instances.
  const auto answer = co_await client_.Exchange(
      address_,
      MakeRequest(http_verb::post, "/instances", json::serialize(body)), until,
      connection_use::kFresh);
  if (!answer) {
    co_return instance_error::kUnavailable;
  }
  if (answer->result() == http_status::conflict) {
    co_return instance_error::kNoCapacity;
  }
  const auto parsed = ParseJson(answer->body());
  const auto name = parsed ? StringMember(*parsed, "name") : std::nullopt;
  if (!name) {
    co_return instance_error::kRefused;
  }
  co_return std::string(*name);
}

}  // namespace anvilloom
