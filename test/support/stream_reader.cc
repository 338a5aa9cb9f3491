#include "test/support/stream_reader.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <charconv>
#include <chrono>
#include <thread>
#include <utility>

#include "test/support/local_system.h"
#include "wire/http_client.h"
#include "wire/line_splitter.h"
#include "wire/steady_clock.h"

namespace anvilloom {

namespace {

using http_verb = boost::beast::http::verb;

constexpr std::chrono::seconds kReadTimeout{60};
constexpr std::chrono::milliseconds kReconnectPause{50};
constexpr std::string_view kIdLine = "id: ";
constexpr std::string_view kDataLine = "data: ";

// Parses server-sent events and adds their tokens to the result.
class event_reader {
 public:
  event_reader(stream_result& result, std::string& last_event_id)
      : result_(result), last_event_id_(last_event_id) {}

  void HandleBytes(std::string_view bytes) {
    lines_.Append(bytes);
    while (const auto line = lines_.NextLine()) {
      if (line->starts_with(kIdLine)) {
        event_id_ = line->substr(kIdLine.size());
      } else if (line->starts_with(kDataLine)) {
        HandleData(line->substr(kDataLine.size()));
      }
    }
  }

 private:
  void HandleData(std::string_view data) {
    if (data == "[DONE]") {
      result_.ended = true;
      return;
    }
    const auto parsed = boost::json::parse({data.data(), data.size()});
    const boost::json::value* choices =
        parsed.as_object().if_contains("choices");
    if (choices == nullptr) {
      return;
    }
    const auto& delta = choices->at(0).at("delta").as_object();
    const boost::json::value* content = delta.if_contains("content");
    if (content == nullptr) {
      return;
    }
    CheckIndex();
    result_.text += std::string_view(content->as_string());
    last_event_id_ = event_id_;
  }

  void CheckIndex() {
    const auto index = [](std::string_view id) -> std::int64_t {
      const std::size_t colon = id.rfind(':');
      std::int64_t number = -1;
      if (colon != std::string_view::npos) {
        std::from_chars(id.data() + colon + 1, id.data() + id.size(), number);
      }
      return number;
    };
    if (index(event_id_) != index(last_event_id_) + 1) {
      ++result_.out_of_sequence;
    }
  }

  stream_result& result_;
  std::string& last_event_id_;
  std::string event_id_;
  line_splitter lines_;
};

awaitable<void> ReadResponse(http_client& client,
                             std::uint16_t port,
                             http_request request,
                             stream_result& result,
                             std::string& last_event_id) {
  const deadline until = deadline::After(steady_source().Now(), kReadTimeout);
  const std::string address = "127.0.0.1:" + std::to_string(port);
  const auto answer = co_await client.Open(address, std::move(request), until,
                                           connection_use::kFresh);
  if (!answer) {
    result.status = 0;
    co_return;
  }
  result.status = static_cast<unsigned>((*answer)->status());
  if (result.status != 200) {
    co_return;
  }
  const std::string_view id = (*answer)->Header("X-Stream-Id");
  if (!id.empty()) {
    result.stream_id = id;
  }
  event_reader reader(result, last_event_id);
  for (;;) {
    const auto bytes = co_await (*answer)->ReadSome(until);
    if (!bytes || bytes->empty()) {
      co_return;
    }
    reader.HandleBytes(*bytes);
  }
}

}  // namespace

stream_result FollowStream(std::span<const std::uint16_t> ports,
                           std::string_view prompt,
                           std::uint32_t max_tokens,
                           std::uint32_t max_reconnects) {
  stream_result followed;
  std::string last_event_id;
  for (std::size_t i = 0; !followed.ended; ++i) {
    const std::uint16_t port = ports[std::min(i, ports.size() - 1)];
    http_request request =
        followed.stream_id.empty()
            ? MakeRequest(http_verb::post, "/v1/chat/completions",
                          ChatBody(prompt, max_tokens, true))
            : MakeRequest(http_verb::get, "/v1/streams/" + followed.stream_id);
    request.set("Authorization", "Bearer " + std::string(kTestCredential));
    if (!last_event_id.empty()) {
      request.set("Last-Event-ID", last_event_id);
    }
    const time_point sent_at = steady_source().Now();
    const std::size_t bytes_before = followed.text.size();
    boost::asio::io_context context(1);
    http_client client(context.get_executor());
    boost::asio::co_spawn(
        context,
        ReadResponse(client, port, std::move(request), followed, last_event_id),
        boost::asio::detached);
    context.run();
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(
        steady_source().Now() - sent_at);
    followed.requests +=
        std::to_string(port) + " status " + std::to_string(followed.status) +
        " " + std::to_string(elapsed.count()) + " ms " +
        std::to_string(followed.text.size() - bytes_before) + " bytes\n";
    if (followed.ended || followed.reconnects == max_reconnects) {
      break;
    }
    ++followed.reconnects;
    std::this_thread::sleep_for(kReconnectPause);
  }
  return followed;
}

}  // namespace anvilloom
