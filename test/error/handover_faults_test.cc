// Guards the handover of streams against faults of the instances involved: no
// caller may lose a token or get one twice or from another stream.

#include <signal.h>

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <catch2/catch.hpp>
#include <future>
#include <iostream>
#include <mutex>
#include <optional>
#include <thread>

#include "test/support/local_system.h"
#include "test/support/stream_reader.h"
#include "test/support/three_entry_system.h"
#include "wire/peer_transport.h"

namespace anvilloom {

namespace {

using http_verb = boost::beast::http::verb;

constexpr std::string_view kTakenOver = "E511 ";
constexpr std::string_view kDraining = "E102 draining";
constexpr std::string_view kHandoverLost = "E513 ";

void SleepWhileTokensArrive() {
  std::this_thread::sleep_for(std::chrono::milliseconds(600));
}

std::string Prompt(std::size_t number) {
  return "caller " + std::to_string(number);
}

// Starts callers that begin at the first of `ports` and reconnect to the
// others.
std::vector<std::future<stream_result>> FollowMany(
    const three_entry_system& entries,
    std::size_t callers,
    const std::vector<std::uint16_t>& ports,
    std::uint32_t tokens = kLongStreamTokens) {
  std::vector<std::future<stream_result>> followed;
  followed.reserve(callers);
  for (std::size_t i = 0; i < callers; ++i) {
    followed.push_back(entries.Follow(ports, Prompt(i), tokens));
  }
  return followed;
}

void RequireWhole(const stream_result& stream,
                  std::string_view prompt,
                  std::uint32_t tokens = kLongStreamTokens) {
  CAPTURE(prompt, stream.stream_id, stream.status, stream.reconnects);
  REQUIRE(stream.ended);
  REQUIRE(stream.text == ExpectedAnswer(prompt, tokens));
  REQUIRE(stream.out_of_sequence == 0);
}

void RequireAllWhole(std::vector<std::future<stream_result>>& followed,
                     std::uint32_t tokens = kLongStreamTokens) {
  for (std::size_t i = 0; i < followed.size(); ++i) {
    RequireWhole(followed[i].get(), Prompt(i), tokens);
  }
}

// Simulates an entry instance that hands a stream over. The test decides which
// offers it makes and which answers are lost.
class scripted_sender {
 public:
  scripted_sender() : transport_("127.0.0.1:0", {}) {
    transport_.Start({[this](peer_message&& message) {
                        const std::lock_guard lock(mutex_);
                        answers_.push_back(std::move(message));
                      },
                      [] {}});
  }
  ~scripted_sender() { transport_.Stop(std::chrono::milliseconds(100)); }

  // Returns whether the peer accepts, or nothing if it does not answer.
  std::optional<bool> Offer(std::uint16_t peer_port,
                            const stream_handover& offer) {
    const std::uint64_t call = ++calls_;
    transport_.Send("127.0.0.1:" + std::to_string(peer_port),
                    {transport_.address(), call, offer});
    std::optional<bool> accepted;
    Eventually(
        [&] {
          accepted = AnswerTo(call);
          return accepted.has_value();
        },
        std::chrono::seconds(5));
    return accepted;
  }

 private:
  std::optional<bool> AnswerTo(std::uint64_t call) {
    const std::lock_guard lock(mutex_);
    for (const peer_message& each : answers_) {
      const auto* answer = std::get_if<stream_handover_answer>(&each.body);
      if (each.call == call && answer != nullptr) {
        return answer->accepted;
      }
    }
    return std::nullopt;
  }

  peer_transport transport_;
  std::mutex mutex_;
  std::vector<peer_message> answers_;
  std::uint64_t calls_ = 0;
};

// Returns an offer of a stream of which a caller has the first `delivered`
// tokens.
stream_handover MakeOffer(std::string_view prompt, std::uint32_t delivered) {
  stream_handover offer;
  offer.stream = "entry-gone.0.1";
  offer.request_id = "request-1";
  offer.workspace = "studio";
  offer.service = "plan";
  offer.messages = boost::json::serialize(boost::json::value(
      boost::json::array{{{"role", "user"}, {"content", prompt}}}));
  offer.max_tokens = kLongStreamTokens;
  offer.wants_stream = true;
  offer.first_token_remaining = std::chrono::seconds(5);
  offer.answer_remaining = std::chrono::seconds(30);
  for (std::uint32_t i = 1; i <= delivered; ++i) {
    offer.text = ExpectedAnswer(prompt, i);
    offer.ends.push_back(static_cast<std::uint32_t>(offer.text.size()));
  }
  offer.transfer = 1;
  return offer;
}

std::size_t Count(std::string_view text, std::string_view needle) {
  std::size_t count = 0;
  for (std::size_t at = text.find(needle); at != std::string_view::npos;
       at = text.find(needle, at + needle.size())) {
    ++count;
  }
  return count;
}

}  // namespace

SCENARIO("A peer fails while it takes streams over", "[handover]") {
  GIVEN("twenty streams at an instance that stops") {
    three_entry_system entries("6000");
    constexpr std::uint32_t kTokens = 400;
    auto followed =
        FollowMany(entries, 20, {entries.a(), entries.c()}, kTokens);
    SleepWhileTokensArrive();

    WHEN("a peer is killed as soon as it has accepted the first ones") {
      child_process& dying = entries.system().process("entry-b");
      entries.system().process("entry-a").Signal(SIGTERM);
      REQUIRE(Eventually(
          [&] { return dying.Output().find(kTakenOver) != std::string::npos; },
          std::chrono::seconds(5)));
      dying.Kill();
      const int exit_code = entries.system().process("entry-a").Wait();

      THEN(
          "its streams are handed over to another peer, and all are complete") {
        RequireAllWhole(followed, kTokens);
        const std::string log = entries.system().process("entry-a").Output();
        std::cout << "taken_by_dead=" << Count(dying.Output(), kTakenOver)
                  << " lost=" << Count(log, kHandoverLost) << '\n';
        REQUIRE(exit_code == 0);
      }
    }
  }
}

SCENARIO("A peer refuses a stream that it is offered", "[handover]") {
  GIVEN("a peer that is itself stopping and holds a stream") {
    three_entry_system entries("6000");
    auto own = entries.Follow({entries.a(), entries.c()}, "own");
    SleepWhileTokensArrive();
    child_process& stopping = entries.system().process("entry-a");
    stopping.Signal(SIGTERM);
    // Until the peer handles the signal, accepting is correct.
    REQUIRE(Eventually(
        [&] { return stopping.Output().find(kDraining) != std::string::npos; },
        std::chrono::seconds(5)));
    scripted_sender sender;

    WHEN("a stream is offered to it") {
      const auto accepted = sender.Offer(entries.system().peer_port("entry-a"),
                                         MakeOffer("offered", 20));

      THEN("it refuses, another peer accepts, and both streams are complete") {
        CAPTURE(accepted.has_value(), accepted.value_or(false));
        REQUIRE(accepted == std::optional(false));
        REQUIRE(sender.Offer(entries.system().peer_port("entry-c"),
                             MakeOffer("offered", 20)) == std::optional(true));
        const caller_answer fetched = Call(
            entries.b(), http_verb::get, "/v1/streams/entry-gone.0.1?whole=1");
        REQUIRE(fetched.status == 200);
        REQUIRE(fetched.body.find(ExpectedAnswer(
                    "offered", kLongStreamTokens)) != std::string::npos);
        RequireWhole(own.get(), "own");
      }
    }
  }

  GIVEN("a peer that has just joined and is not ready") {
    three_entry_system entries("6000");
    auto followed = FollowMany(entries, 8, {entries.a(), entries.c()}, 300);
    SleepWhileTokensArrive();
    entries.system().process("entry-b").Kill();
    entries.system().StartEntry(
        "entry-b", "zone-b",
        R"(,"peer_listen":"127.0.0.1:0")" + entries.JoinSettings());
    REQUIRE(Eventually([&] { return entries.MembersSeen("entry-b") == 3; },
                       std::chrono::seconds(10)));

    WHEN("an instance stops") {
      entries.system().process("entry-a").Signal(SIGTERM);
      const int exit_code = entries.system().process("entry-a").Wait();

      THEN("the other peer takes over all streams") {
        RequireAllWhole(followed, 300);
        REQUIRE(exit_code == 0);
        REQUIRE(Count(entries.system().process("entry-b").Output(),
                      kTakenOver) == 0);
      }
    }
  }
}

SCENARIO("The answer to an accepted offer is lost", "[handover]") {
  GIVEN("an instance that offers a stream of 20 tokens") {
    three_entry_system entries("1500");
    scripted_sender sender;
    const stream_handover offer = MakeOffer("answer lost", 20);
    const std::uint16_t peer = entries.system().peer_port("entry-b");
    REQUIRE(sender.Offer(peer, offer) == std::optional(true));

    WHEN("it misses the answer and repeats the same offer") {
      const auto accepted = sender.Offer(peer, offer);

      THEN("the offer is accepted again, and the stream is generated once") {
        REQUIRE(accepted == std::optional(true));
        const caller_answer fetched =
            Call(entries.c(), http_verb::get, "/v1/streams/" + offer.stream, {},
                 {{"Last-Event-ID", offer.stream + ":19"}});
        REQUIRE(fetched.status == 200);
        REQUIRE(fetched.body.ends_with("data: [DONE]\n\n"));
        REQUIRE(Count(fetched.body, "id: " + offer.stream + ":") >=
                kLongStreamTokens - 20);
        REQUIRE(Count(fetched.body, "id: " + offer.stream + ":19\n") == 0);
        REQUIRE(Count(fetched.body, "id: " + offer.stream + ":20\n") == 1);
        REQUIRE(entries.EngineRequests() == 1);
        REQUIRE(Count(entries.system().process("entry-b").Output(),
                      kTakenOver) == 1);
      }
    }
  }
}

SCENARIO("A stream has ended but was not fetched", "[handover]") {
  GIVEN("a caller whose connection broke before the end of its stream") {
    three_entry_system entries("3000");
    constexpr std::uint32_t kTokens = 60;
    // The call is cut off after 0.5 s; the 60 tokens take 1.2 s.
    Call(entries.a(), http_verb::post, "/v1/chat/completions",
         ChatBody("unfetched", kTokens, true), {}, 500);
    const std::vector<std::string> streams = entries.Streams("entry-a");
    REQUIRE(streams.size() == 1);
    std::this_thread::sleep_for(std::chrono::milliseconds(1500));

    WHEN("the instance stops before the caller reconnects") {
      entries.system().process("entry-a").Signal(SIGTERM);
      const int exit_code = entries.system().process("entry-a").Wait();

      THEN("the caller gets the rest at any other instance") {
        REQUIRE(exit_code == 0);
        const std::string target = "/v1/streams/" + streams.front();
        const caller_answer rest =
            Call(entries.c(), http_verb::get, target, {},
                 {{"Last-Event-ID", streams.front() + ":9"}});
        REQUIRE(rest.status == 200);
        REQUIRE(rest.body.ends_with("data: [DONE]\n\n"));
        REQUIRE(Count(rest.body, "id: " + streams.front() + ":9\n") == 0);
        REQUIRE(Count(rest.body, "id: " + streams.front() + ":10\n") == 1);
        const caller_answer whole =
            Call(entries.b(), http_verb::get, target + "?whole=1");
        REQUIRE(whole.status == 200);
        REQUIRE(whole.body.find(ExpectedAnswer("unfetched", kTokens)) !=
                std::string::npos);
        // The receiver keeps the tokens and generates none.
        REQUIRE(entries.EngineRequests() == 1);
      }
    }
  }
}

SCENARIO("The cloud reclaims an entry instance", "[handover]") {
  GIVEN("streams at an instance that would stop within 30 s") {
    three_entry_system entries("30000");
    constexpr std::uint32_t kTokens = 400;
    auto followed = FollowMany(entries, 6, {entries.a(), entries.b()}, kTokens);
    SleepWhileTokensArrive();

    WHEN("it gets a reclaim notice of 3 s") {
      const auto begin = std::chrono::steady_clock::now();
      const caller_answer given =
          Call(entries.system().port("instances"), http_verb::post,
               "/control/notices",
               R"({"instance":"entry-a","until_reclaim_ms":3000})");
      REQUIRE(given.status == 200);
      const int exit_code = entries.system().process("entry-a").Wait();
      const auto took = std::chrono::steady_clock::now() - begin;

      THEN("it has handed its streams over in time, and all are complete") {
        REQUIRE(exit_code == 0);
        REQUIRE(took < std::chrono::seconds(3));
        RequireAllWhole(followed, kTokens);
      }
    }
  }
}

SCENARIO("Two of three entry instances stop at the same time", "[handover]") {
  GIVEN("streams at two instances") {
    three_entry_system entries("4000");
    constexpr std::uint32_t kTokens = 400;
    auto at_a = FollowMany(entries, 6, {entries.a(), entries.c()}, kTokens);
    auto at_b = FollowMany(entries, 6, {entries.b(), entries.c()}, kTokens);
    SleepWhileTokensArrive();

    WHEN("both are told to stop at the same moment") {
      entries.system().process("entry-a").Signal(SIGTERM);
      entries.system().process("entry-b").Signal(SIGTERM);
      const int exit_a = entries.system().process("entry-a").Wait();
      const int exit_b = entries.system().process("entry-b").Wait();

      THEN("the third one takes over all streams, and all are complete") {
        REQUIRE(exit_a == 0);
        REQUIRE(exit_b == 0);
        RequireAllWhole(at_a, kTokens);
        RequireAllWhole(at_b, kTokens);
      }
    }
  }
}

}  // namespace anvilloom
