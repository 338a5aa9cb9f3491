#include "entry/cache_move.h"

#include "wire/kv_codec.h"

namespace anvilloom {

namespace {

using http_verb = boost::beast::http::verb;

}  // namespace

awaitable<std::optional<std::string>> MoveCache(http_client& client,
                                                const std::string& source,
                                                const std::string& target,
                                                std::string_view request_id,
                                                deadline until) {
  const auto exported = co_await client.Exchange(
      source,
      MakeRequest(http_verb::post, "/kv/export", EncodeKvExport(request_id)),
      until);
  if (!exported || exported->result() != http_status::ok) {
    co_return std::nullopt;
  }
  std::optional<std::string> handle = DecodeKvHandle(exported->body());
  if (!handle) {
    co_return std::nullopt;
  }
  const auto imported = co_await client.Exchange(
      target, MakeRequest(http_verb::post, "/kv/import", exported->body()),
      until);
  if (!imported || imported->result() != http_status::ok) {
    co_return std::nullopt;
  }
  co_return handle;
}

}  // namespace anvilloom
