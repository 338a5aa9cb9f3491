#include "entry/request_handler.h"

#include <string>
#include <string_view>

#include "entry/readiness.h"
#include "entry/refusal_reply.h"
#include "entry/unfinished_work.h"

namespace anvilloom {

namespace {

using http_verb = boost::beast::http::verb;

constexpr std::string_view kChatPath = "/v1/chat/completions";
constexpr std::string_view kStreamsPath = "/v1/streams/";
constexpr std::string_view kServicesPath = "/s/";

}  // namespace

awaitable<void> request_handler::Handle(http_exchange& exchange,
                                        std::size_t thread) {
  worker& self = *workers_[thread];
  const unfinished_work counted(self.process().unfinished);
  const process_state& process = self.process();
  const std::string_view path = exchange.path();
  if (path == kReadyPath) {
    co_await RespondReadiness(exchange, process);
    co_return;
  }
  const auto from = IdentifyCaller(process, exchange);
  if (!from) {
    ++self.metrics().refused;
    const refusal_code reason = process.revision_in_force.load() == 0
                                    ? refusal_code::kNoConfiguration
                                    : refusal_code::kUnauthenticated;
    co_await RespondRefusal(exchange, {reason}, ValidRequestId(exchange),
                            process.clock.Now());
    co_return;
  }
  const http_verb method = exchange.request().method();
  if (path == kChatPath && method == http_verb::post) {
    co_await chat_.Complete(exchange, self, *from);
  } else if (path.starts_with(kStreamsPath) && method == http_verb::get) {
    co_await chat_.Resume(exchange, self, *from,
                          path.substr(kStreamsPath.size()));
  } else if (path.starts_with(kServicesPath)) {
    const std::string_view rest =
        exchange.target().substr(kServicesPath.size());
    const std::size_t slash = rest.find('/');
    const std::string_view service_path =
        slash == std::string_view::npos ? "/" : rest.substr(slash);
    co_await plain_.Forward(exchange, self, *from, rest.substr(0, slash),
                            service_path);
  } else {
    co_await RespondRefusal(exchange, {refusal_code::kUnknownService},
                            from->request_id, process.clock.Now(),
                            "Nothing is served at this path.");
  }
}

}  // namespace anvilloom
