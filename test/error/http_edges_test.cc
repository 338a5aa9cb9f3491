// Guards against malformed, oversized, slow or excessive requests that crash an
// entry instance or block the requests of other callers.

#include <signal.h>

#include <boost/json/parse.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <thread>
#include <vector>

#include "test/support/local_system.h"
#include "test/support/raw_connection.h"

namespace anvilloom {

namespace {

using http_verb = boost::beast::http::verb;

// Limits that a test reaches quickly; read_limit_ms is long enough for a loaded
// machine.
constexpr std::string_view kLimits =
    R"(,"limits":{"header_bytes":4096,"body_bytes":65536,"connections":40,)"
    R"("idle_limit_ms":2000,"read_limit_ms":1500,"write_limit_ms":1500})";
constexpr duration kReadTimeout = std::chrono::seconds(20);

std::string RequestHead(std::string_view first_line,
                        std::string_view more = {}) {
  std::string text(first_line);
  text += "\r\nHost: a\r\nAuthorization: Bearer test-credential\r\n";
  text += more;
  return text + "\r\n";
}

std::string Post(std::string_view body, std::string_view more = {}) {
  std::string text =
      RequestHead("POST /v1/chat/completions HTTP/1.1",
                  "Content-Length: " + std::to_string(body.size()) + "\r\n" +
                      std::string(more));
  text += body;
  return text;
}

std::string Chunked(std::string_view chunks) {
  return RequestHead("POST /v1/chat/completions HTTP/1.1",
                     "Transfer-Encoding: chunked\r\n") +
         std::string(chunks);
}

std::string Repeat(std::string_view text, std::size_t times) {
  std::string repeated;
  for (std::size_t i = 0; i < times; ++i) {
    repeated += text;
  }
  return repeated;
}

// An entry instance with low limits, an engine and a service.
struct http_edge_fixture {
  http_edge_fixture() {
    system.Start("objects", "standins/standin_objects");
    const auto engine = system.Start(
        "e1", "standins/standin_engine",
        {"--first-token-us", "1000", "--token-interval-us", "1000"});
    const auto service = system.Start("s1", "standins/standin_service");
    port = system.StartEntry("entry-a", "zone-a", kLimits);
    system.WriteConfiguration("10-all.json",
                              TestConfiguration({engine}, {service}));
    REQUIRE(system.PublishConfiguration() == 0);
    REQUIRE(system.AwaitReady("entry-a"));
  }

  // Whether a request on a new connection succeeds.
  bool ServesRequests() const {
    return Call(port, http_verb::post, "/v1/chat/completions",
                ChatBody("a plan", 3, false))
               .status == 200;
  }

  local_system system;
  std::uint16_t port = 0;
};

// A malformed request and the allowed response statuses; 0 means that the
// connection is closed without a response.
struct malformed_request {
  std::string name;
  std::string bytes;
  std::vector<unsigned> statuses;
  std::string outcome = "not_run";
};

std::vector<malformed_request> MalformedRequests() {
  const std::string chat = ChatBody("a plan", 3, false);
  return {
      {"bytes that are not HTTP", "\x16\x03\x01\x02\x01", {400, 0}},
      {"the preface of HTTP/2", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", {400}},
      {"an unknown version", RequestHead("GET /readyz HTTP/3.7"), {400}},
      {"no target", RequestHead("GET HTTP/1.1"), {400}},
      {"an absolute target",
       RequestHead("GET http://a/readyz HTTP/1.1"),
       {400}},
      {"an unknown method", RequestHead("BREW /readyz HTTP/1.1"), {405}},
      {"CONNECT", RequestHead("CONNECT a:80 HTTP/1.1"), {405}},
      {"TRACE to a service", RequestHead("TRACE /s/lookup/x HTTP/1.1"), {405}},
      {"a method that the path lacks",
       RequestHead("DELETE /v1/chat/completions HTTP/1.1"),
       {404, 405}},
      {"a header that is too large",
       RequestHead("GET /readyz HTTP/1.1",
                   "X: " + std::string(8000, 'x') + "\r\n"),
       {431}},
      {"a target that is too long",
       RequestHead("GET /" + std::string(8000, 'x') + " HTTP/1.1"),
       {431}},
      {"too many headers",
       RequestHead("GET /readyz HTTP/1.1", Repeat("A: b\r\n", 2000)),
       {431}},
      {"a header without a colon",
       RequestHead("GET /readyz HTTP/1.1", "nonsense\r\n"),
       {400}},
      {"a space in a header name",
       RequestHead("GET /readyz HTTP/1.1", "A b: c\r\n"),
       {400}},
      {"a null byte in a header",
       RequestHead("GET /readyz HTTP/1.1", std::string("A: b\0c\r\n", 8)),
       {400}},
      {"a body that is too large", Post(std::string(70'000, 'x')), {413}},
      {"a huge Content-Length",
       RequestHead("POST /v1/chat/completions HTTP/1.1",
                   "Content-Length: 18446744073709551615\r\n"),
       {413, 400}},
      {"a Content-Length beyond 64 bits",
       RequestHead("POST /v1/chat/completions HTTP/1.1",
                   "Content-Length: 99999999999999999999999\r\n"),
       {400}},
      {"a negative Content-Length",
       RequestHead("POST /v1/chat/completions HTTP/1.1",
                   "Content-Length: -1\r\n"),
       {400}},
      {"two lengths",
       RequestHead("POST /v1/chat/completions HTTP/1.1",
                   "Content-Length: 5\r\nContent-Length: 6\r\n") +
           "aaaaaa",
       {400}},
      {"a length and chunks",
       RequestHead("POST /v1/chat/completions HTTP/1.1",
                   "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n") +
           "0\r\n\r\n",
       {400}},
      {"an invalid chunk size", Chunked("zz\r\nhello\r\n"), {400}},
      {"a chunk size beyond 64 bits",
       Chunked("fffffffffffffffffff\r\nx\r\n"),
       {400}},
      {"a chunk above the limit", Chunked("fffffff\r\nx"), {413}},
      {"a chunk without its end", Chunked("5\r\nhelloXX0\r\n\r\n"), {400}},
      {"a body that is not JSON", Post("{"), {400}},
      {"an empty body", Post(""), {400}},
      {"a body that is not UTF-8", Post("{\"model\":\"\xff\xfe\"}"), {400}},
      {"deep nesting", Post(Repeat("[", 30'000)), {400}},
      {"deep nesting in messages",
       Post(R"({"model":"plan","messages":)" + Repeat("[", 20'000) +
            Repeat("]", 20'000) + "}"),
       {400}},
      {"messages of the wrong type",
       Post(R"({"model":"plan","messages":7})"),
       {400}},
      {"a token count out of range",
       Post(R"({"model":"plan","messages":[],"max_tokens":1e300})"),
       {400}},
      {"a deadline that is not a number",
       Post(chat, "X-Deadline-Ms: soon\r\n"),
       {400}},
      {"a deadline out of range",
       Post(chat, "X-Deadline-Ms: 99999999999999999999\r\n"),
       {400}},
      {"a request id that is not UTF-8 and no credential",
       "GET /s/lookup/x HTTP/1.1\r\nHost: a\r\nX-Request-Id: \xff\xfe\r\n\r\n",
       {401}},
      {"a resume of a stream id that is not UTF-8",
       RequestHead("GET /v1/streams/\xff\xff HTTP/1.1"),
       {400, 404},
       "unknown"},
      {"a resume of a stream that never existed",
       RequestHead("GET /v1/streams/entry-a.0.0.999 HTTP/1.1",
                   "Last-Event-ID: x:y\r\n"),
       {400, 404},
       "unknown"},
      {"a service that does not exist",
       RequestHead("GET /s//x HTTP/1.1"),
       {404}},
  };
}

}  // namespace

SCENARIO("A malformed request does not affect other requests", "[http_edges]") {
  GIVEN("an entry instance with an engine and a service") {
    http_edge_fixture fixture;

    WHEN("each malformed request is sent on its own connection") {
      for (const malformed_request& one : MalformedRequests()) {
        CAPTURE(one.name);
        raw_connection connection(fixture.port);
        connection.Send(one.bytes);
        connection.ShutdownSend();
        const std::string answer = connection.ReadAll(kReadTimeout);
        CAPTURE(answer);
        CHECK(connection.closed());
        CHECK_THAT(one.statuses,
                   Catch::Matchers::VectorContains(FirstStatus(answer)));
        const std::size_t body = answer.find("\r\n\r\n");
        if (body != std::string::npos && answer[body + 4] == '{') {
          // The response must be valid JSON even if the request was not.
          boost::system::error_code error;
          const auto parsed =
              boost::json::parse(answer.substr(body + 4), error);
          CHECK_FALSE(error);
          CHECK(answer.find(R"("outcome":")" + one.outcome + '"') !=
                std::string::npos);
        }
      }

      THEN("the instance still answers") {
        REQUIRE(fixture.ServesRequests());
      }
    }

    WHEN("a request is cut off after each seventh byte") {
      const std::string whole = Post(ChatBody("a plan", 3, false));
      for (std::size_t sent = 1; sent < whole.size(); sent += 7) {
        CAPTURE(sent);
        raw_connection connection(fixture.port);
        connection.Send(whole.substr(0, sent));
        connection.ShutdownSend();
        const unsigned status = FirstStatus(connection.ReadAll(kReadTimeout));
        CHECK(connection.closed());
        CHECK((status == 0 || status == 400));
      }

      THEN("the instance still answers") {
        REQUIRE(fixture.ServesRequests());
      }
    }
  }
}

SCENARIO("A slow client is cut off", "[http_edges]") {
  GIVEN("an entry instance with short limits") {
    http_edge_fixture fixture;

    WHEN("a client connects and sends nothing") {
      raw_connection connection(fixture.port);
      const std::string answer = connection.ReadAll(kReadTimeout);

      THEN("the connection is closed without an answer") {
        REQUIRE(connection.closed());
        REQUIRE(answer.empty());
        REQUIRE(fixture.ServesRequests());
      }
    }

    WHEN("a client sends its header byte by byte without end") {
      raw_connection connection(fixture.port);
      const std::string line = "X-Slow: x\r\n";
      connection.Send("GET /readyz HTTP/1.1\r\n");
      std::size_t sent = 0;
      const bool cut_off = Eventually(
          [&] {
            const std::string_view byte(&line[sent++ % line.size()], 1);
            connection.Send(byte);
            connection.ReadAll(std::chrono::milliseconds(20));
            return connection.closed();
          },
          std::chrono::seconds(15));

      THEN("the request time limit closes the connection") {
        REQUIRE(cut_off);
        REQUIRE(fixture.ServesRequests());
      }
    }

    WHEN("a client sends half a body and waits") {
      raw_connection connection(fixture.port);
      const std::string whole = Post(ChatBody("a plan", 3, false));
      connection.Send(whole.substr(0, whole.size() - 5));
      connection.ReadAll(kReadTimeout);

      THEN("the connection is closed") {
        REQUIRE(connection.closed());
        REQUIRE(fixture.ServesRequests());
      }
    }

    WHEN("a client asks for a long stream and reads nothing") {
      raw_connection connection(fixture.port);
      connection.Send(Post(ChatBody("a plan", 20'000, true)));

      THEN("other callers are served meanwhile") {
        for (int i = 0; i < 5; ++i) {
          REQUIRE(fixture.ServesRequests());
        }
      }
    }
  }
}

SCENARIO("Connections are reused and limited in number", "[http_edges]") {
  GIVEN("an entry instance with a limit of 40 connections") {
    http_edge_fixture fixture;

    WHEN("a client sends three requests at once") {
      raw_connection connection(fixture.port);
      connection.Send(RequestHead("GET /s/lookup/one HTTP/1.1") +
                      Post(ChatBody("a plan", 3, false)) +
                      RequestHead("GET /s/lookup/three HTTP/1.1"));
      connection.ShutdownSend();
      const std::string answers = connection.ReadAll(kReadTimeout);

      THEN("they are answered in order") {
        const std::size_t first = answers.find("/one");
        const std::size_t second = answers.find("chat.completion");
        const std::size_t third = answers.find("/three");
        CAPTURE(answers);
        REQUIRE(first != std::string::npos);
        REQUIRE(first < second);
        REQUIRE(second < third);
        REQUIRE(third != std::string::npos);
      }
    }

    WHEN("a client asks with HEAD and then with GET") {
      raw_connection connection(fixture.port);
      connection.Send(
          RequestHead("HEAD /readyz HTTP/1.1") +
          RequestHead("HEAD /s/lookup/x HTTP/1.1") +
          RequestHead("GET /readyz HTTP/1.1", "Connection: close\r\n"));
      const std::string answers = connection.ReadAll(kReadTimeout);

      THEN("the answers to HEAD have no body") {
        CAPTURE(answers);
        REQUIRE(connection.closed());
        REQUIRE(FirstStatus(answers) == 200);
        REQUIRE(answers.ends_with("\r\n\r\nready\n"));
        REQUIRE(answers.find("ready\n") == answers.size() - 6);
      }
    }

    WHEN("a client waits for 100 Continue before it sends its body") {
      raw_connection connection(fixture.port);
      const std::string body = ChatBody("a plan", 3, false);
      connection.Send(
          RequestHead("POST /v1/chat/completions HTTP/1.1",
                      "Expect: 100-continue\r\nConnection: close\r\n"
                      "Content-Length: " +
                          std::to_string(body.size()) + "\r\n"));
      const std::string first = connection.ReadUntil("\r\n\r\n", kReadTimeout);
      REQUIRE(FirstStatus(first) == 100);
      connection.Send(body);

      THEN("it is answered") {
        REQUIRE(FirstStatus(connection.ReadAll(kReadTimeout)) == 200);
      }
    }

    WHEN("more clients connect than the limit allows") {
      std::vector<std::unique_ptr<raw_connection>> clients;
      clients.reserve(80);
      for (int i = 0; i < 80; ++i) {
        clients.push_back(std::make_unique<raw_connection>(fixture.port));
      }
      std::size_t refused = 0;
      for (const auto& one : clients) {
        one->ReadAll(std::chrono::milliseconds(5));
        refused += one->closed() ? 1 : 0;
      }

      THEN(
          "connections above the limit are closed, and the instance recovers") {
        REQUIRE(refused >= 30);
        clients.clear();
        REQUIRE(
            Eventually([&] { return fixture.ServesRequests(); }, kReadTimeout));
      }
    }

    WHEN("idle clients hold more connections than the limit allows") {
      std::vector<std::unique_ptr<raw_connection>> idle;
      for (int i = 0; i < 45; ++i) {
        idle.push_back(std::make_unique<raw_connection>(fixture.port));
        idle.back()->Send(RequestHead("GET /readyz HTTP/1.1"));
        idle.back()->ReadUntil("ready\n", kReadTimeout);
      }

      THEN("new callers are served, and the longest idle ones are closed") {
        for (int i = 0; i < 5; ++i) {
          REQUIRE(fixture.ServesRequests());
        }
        idle.front()->ReadAll(std::chrono::milliseconds(50));
        REQUIRE(idle.front()->closed());
        idle.back()->ReadAll(std::chrono::milliseconds(5));
        REQUIRE_FALSE(idle.back()->closed());
      }
    }

    WHEN("it is told to stop while a body is arriving") {
      raw_connection connection(fixture.port);
      const std::string whole = Post(ChatBody("a plan", 3, false));
      connection.Send(whole.substr(0, whole.size() - 5));
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
      fixture.system.process("entry-a").Signal(SIGTERM);
      std::this_thread::sleep_for(std::chrono::milliseconds(1000));
      connection.Send(whole.substr(whole.size() - 5));
      const std::string answer = connection.ReadAll(kReadTimeout);

      THEN("the request is answered before the process ends") {
        CAPTURE(answer);
        REQUIRE(FirstStatus(answer) == 200);
        REQUIRE(fixture.system.process("entry-a").Wait() == 0);
      }
    }

    WHEN("it is told to stop while idle clients are connected") {
      raw_connection idle(fixture.port);
      idle.Send(RequestHead("GET /readyz HTTP/1.1"));
      idle.ReadUntil("ready\n", kReadTimeout);
      const auto begin = std::chrono::steady_clock::now();
      fixture.system.process("entry-a").Signal(SIGTERM);
      const int code = fixture.system.process("entry-a").Wait();

      THEN("it does not wait for them to time out") {
        const auto took = std::chrono::steady_clock::now() - begin;
        REQUIRE(code == 0);
        REQUIRE(took < std::chrono::milliseconds(1900));
      }
    }
  }
}

}  // namespace anvilloom
