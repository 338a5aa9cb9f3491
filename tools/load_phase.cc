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

constexpr std::chrono::seconds kCallTimeout{120};
constexpr std::string_view kEventData = "data: ";
constexpr std::string_view kEndOfStream = "data: [DONE]";

double Microseconds(duration elapsed) {
  return static_cast<double>(elapsed.count());
}

http_request AddCredential(http_request request, const load_spec& spec) {
  request.set("Authorization", "Bearer " + spec.credential);
  return request;
}

// State shared by the clients of one load, which run on one thread.
struct load_state {
  const load_spec& spec;
  load_outcome& outcome;
  http_client& client;
  steady_source clock;

  deadline CallDeadline() const {
    return deadline::After(clock.Now(), kCallTimeout);
  }
};

awaitable<void> CallOnce(load_state& state) {
  const time_point begin = state.clock.Now();
  const auto answer = co_await state.client.Exchange(
      state.spec.address,
      AddCredential(MakeRequest(http_verb::get, state.spec.path), state.spec),
      state.CallDeadline());
  if (!answer || answer->result() != http_status::ok) {
    ++state.outcome.failed;
    co_return;
  }
  ++state.outcome.completed;
  state.outcome.latencies.push_back(Microseconds(state.clock.Now() - begin));
}

// Records the arrival times of the tokens of one stream.
class token_timer {
 public:
  token_timer(load_state& state, time_point begin)
      : state_(state), last_(begin) {}

  void Consume(std::string_view piece) {
    lines_.Append(piece);
    while (const auto line = lines_.NextLine()) {
      if (line->starts_with(kEndOfStream)) {
        done_ = true;
      } else if (line->starts_with(kEventData) &&
                 line->find("\"content\":") != std::string_view::npos) {
        ObserveToken();
      }
    }
  }

  bool complete() const { return done_ && tokens_ == state_.spec.tokens; }

 private:
  void ObserveToken() {
    const time_point now = state_.clock.Now();
    auto& series = tokens_ == 0 ? state_.outcome.latencies
                                : state_.outcome.token_intervals;
    series.push_back(Microseconds(now - last_));
    last_ = now;
    ++tokens_;
    ++state_.outcome.tokens;
  }

  load_state& state_;
  line_splitter lines_;
  time_point last_;
  std::uint32_t tokens_ = 0;
  bool done_ = false;
};

std::string StreamBody(const load_spec& spec, std::uint64_t number) {
  return R"({"model":")" + spec.service + R"(","stream":true,"max_tokens":)" +
         std::to_string(spec.tokens) +
         R"(,"messages":[{"role":"user","content":"question )" +
         std::to_string(number) + R"("}]})";
}

awaitable<void> StreamOnce(load_state& state, std::uint64_t number) {
  token_timer timer(state, state.clock.Now());
  const auto answer = co_await state.client.Open(
      state.spec.address,
      AddCredential(MakeRequest(http_verb::post, "/v1/chat/completions",
                                StreamBody(state.spec, number)),
                    state.spec),
      state.CallDeadline());
  if (!answer || (*answer)->status() != http_status::ok) {
    ++state.outcome.failed;
    co_return;
  }
  for (;;) {
    const auto piece = co_await (*answer)->ReadSome(state.CallDeadline());
    if (!piece || piece->empty()) {
      break;
    }
    timer.Consume(*piece);
  }
  ++(timer.complete() ? state.outcome.completed : state.outcome.failed);
}

awaitable<void> RunClient(load_state& state, std::uint32_t client) {
  for (std::uint32_t i = 0; i < state.spec.repeats; ++i) {
    if (state.spec.tokens == 0) {
      co_await CallOnce(state);
    } else {
      const std::uint64_t number =
          std::uint64_t{client} * state.spec.repeats + i;
      co_await StreamOnce(state, number);
    }
  }
}

}  // namespace

load_outcome RunLoad(const load_spec& spec) {
  net::io_context context(1);
  http_client client(context.get_executor(),
                     {.idle_connections_per_server = spec.concurrency});
  load_outcome outcome;
  load_state state{spec, outcome, client, {}};
  const time_point begin = state.clock.Now();
  for (std::uint32_t i = 0; i < spec.concurrency; ++i) {
    net::co_spawn(context, RunClient(state, i), net::detached);
  }
  context.run();
  outcome.seconds = Microseconds(state.clock.Now() - begin) / 1e6;
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
