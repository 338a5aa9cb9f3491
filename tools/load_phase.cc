#include "tools/load_phase.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cmath>
#include <string_view>
#include <utility>

#include "wire/http_client.h"
#include "wire/line_splitter.h"
#include "wire/steady_clock.h"

namespace anvilloom {

namespace {

namespace net = boost::asio;
using http_verb = boost::beast::http::verb;

constexpr std::chrono::seconds kCallLimit{120};
constexpr std::string_view kEventData = "data: ";
constexpr std::string_view kDone = "data: [DONE]";

double Microseconds(duration elapsed) {
  return static_cast<double>(elapsed.count());
}

http_request WithCredential(http_request request, const load_order& order) {
  request.set("Authorization", "Bearer " + order.credential);
  return request;
}

// The clients of one phase share it; all run on one thread.
struct load_run {
  const load_order& order;
  load_outcome& outcome;
  http_client& client;
  steady_source clock;

  deadline Limit() const { return deadline::After(clock.Now(), kCallLimit); }
};

awaitable<void> CallOnce(load_run& run) {
  const time_point begin = run.clock.Now();
  const auto answer = co_await run.client.Exchange(
      run.order.address,
      WithCredential(MakeRequest(http_verb::get, run.order.path), run.order),
      run.Limit());
  if (!answer || answer->result() != http_status::ok) {
    ++run.outcome.failed;
    co_return;
  }
  ++run.outcome.completed;
  run.outcome.latencies.push_back(Microseconds(run.clock.Now() - begin));
}

// Follows the tokens of one stream as they arrive.
class token_timer {
 public:
  token_timer(load_run& run, time_point begin) : run_(run), last_(begin) {}

  void Take(std::string_view piece) {
    lines_.Append(piece);
    while (const auto line = lines_.NextLine()) {
      if (line->starts_with(kDone)) {
        done_ = true;
      } else if (line->starts_with(kEventData) &&
                 line->find("\"content\":") != std::string_view::npos) {
        ObserveToken();
      }
    }
  }

  bool complete() const { return done_ && tokens_ == run_.order.tokens; }

 private:
  void ObserveToken() {
    const time_point now = run_.clock.Now();
    auto& series =
        tokens_ == 0 ? run_.outcome.latencies : run_.outcome.token_intervals;
    series.push_back(Microseconds(now - last_));
    last_ = now;
    ++tokens_;
    ++run_.outcome.tokens;
  }

  load_run& run_;
  line_splitter lines_;
  time_point last_;
  std::uint32_t tokens_ = 0;
  bool done_ = false;
};

std::string StreamBody(const load_order& order, std::uint64_t number) {
  return R"({"model":")" + order.service + R"(","stream":true,"max_tokens":)" +
         std::to_string(order.tokens) +
         R"(,"messages":[{"role":"user","content":"question )" +
         std::to_string(number) + R"("}]})";
}

awaitable<void> StreamOnce(load_run& run, std::uint64_t number) {
  token_timer timer(run, run.clock.Now());
  const auto answer = co_await run.client.Open(
      run.order.address,
      WithCredential(MakeRequest(http_verb::post, "/v1/chat/completions",
                                 StreamBody(run.order, number)),
                     run.order),
      run.Limit());
  if (!answer || (*answer)->status() != http_status::ok) {
    ++run.outcome.failed;
    co_return;
  }
  for (;;) {
    const auto piece = co_await (*answer)->ReadSome(run.Limit());
    if (!piece || piece->empty()) {
      break;
    }
    timer.Take(*piece);
  }
  ++(timer.complete() ? run.outcome.completed : run.outcome.failed);
}

awaitable<void> RunClient(load_run& run, std::uint32_t client) {
  for (std::uint32_t i = 0; i < run.order.repeats; ++i) {
    if (run.order.tokens == 0) {
      co_await CallOnce(run);
    } else {
      const std::uint64_t number =
          std::uint64_t{client} * run.order.repeats + i;
      co_await StreamOnce(run, number);
    }
  }
}

}  // namespace

load_outcome RunLoad(const load_order& order) {
  net::io_context context(1);
  http_client client(context.get_executor(),
                     {.idle_connections_per_server = order.concurrency});
  load_outcome outcome;
  load_run run{order, outcome, client, {}};
  const time_point begin = run.clock.Now();
  for (std::uint32_t i = 0; i < order.concurrency; ++i) {
    net::co_spawn(context, RunClient(run, i), net::detached);
  }
  context.run();
  outcome.seconds = Microseconds(run.clock.Now() - begin) / 1e6;
  return outcome;
}

double Quantile(std::vector<double>& values, double share) {
  if (values.empty()) {
    return 0;
  }
  std::ranges::sort(values);
  const double position =
      std::floor(share * static_cast<double>(values.size()));
  const auto index = static_cast<std::size_t>(position);
  return values[std::min(index, values.size() - 1)];
}

}  // namespace anvilloom
