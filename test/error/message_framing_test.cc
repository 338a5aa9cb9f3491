// Guards against messages whose end the two sides of a connection may see at
// different places: requests inside the body of another one, answers that are
// taken for whole or for those of other calls, and trailers that act as header
// fields.

#include <array>
#include <catch2/catch.hpp>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "test/support/mutators.h"
#include "test/support/platform_system.h"
#include "test/support/raw_connection.h"
#include "test/support/scripted_engine.h"

namespace anvilloom {

namespace {

constexpr duration kReadTimeout = std::chrono::seconds(10);

std::string Request(std::string_view first_line,
                    std::string_view id,
                    std::string_view framing,
                    std::string_view body) {
  std::string text(first_line);
  text += "\r\nHost: a.example\r\nX-Request-Id: ";
  text += id;
  text += "\r\nX-Deadline-Ms: 6000\r\nAuthorization: Token key-1\r\n";
  text += framing;
  text += "\r\n";
  text += body;
  return text;
}

std::string Post(std::string_view id,
                 std::string_view framing,
                 std::string_view body) {
  return Request("POST /once/1 HTTP/1.1", id, framing, body);
}

std::string Length(std::size_t bytes) {
  return "Content-Length: " + std::to_string(bytes) + "\r\n";
}

std::string SoundAnswer(std::string_view head) {
  return "HTTP/1.1 200 OK\r\n" + IdLine(head) +
         "X-Response-Signature: s\r\nContent-Length: 2\r\n\r\nok";
}

// A gateway and an engine that records the headers of what it runs.
class framing_system {
 public:
  // Maps the header of a request to the bytes that answer it.
  using answer_script = std::function<std::string(std::string_view)>;

  explicit framing_system(answer_script answer = SoundAnswer,
                          bool closes = false,
                          std::string_view service = "desk")
      : engine_(scripted_engine::head_script(
            [this, answer = std::move(answer), closes](std::string_view head) {
              const std::lock_guard lock(mutex_);
              heads_.emplace_back(head);
              return scripted_answer{.bytes = answer(head), .close = closes};
            })) {
    system_.PutManifest();
    port_ = system_.StartGateway("g1");
    REQUIRE(system_.AwaitReady("g1"));
    system_.Announce("e1", service, engine_.port());
    REQUIRE(system_.AwaitUpstreams("g1", 1));
  }

  // The headers of the requests with this id that the engine has run.
  std::vector<std::string> Runs(std::string_view id) {
    const std::lock_guard lock(mutex_);
    std::vector<std::string> runs;
    for (const std::string& head : heads_) {
      if (HeaderOf(head, "X-Request-Id") == id) {
        runs.push_back(head);
      }
    }
    return runs;
  }

  caller_answer CallOnce(std::string_view path = "/once/1") {
    return system_.CallOnce(port_, path);
  }
  std::uint16_t port() const { return port_; }

 private:
  platform_system system_;
  std::mutex mutex_;
  std::vector<std::string> heads_;
  scripted_engine engine_;
  std::uint16_t port_ = 0;
};

struct framing_case {
  std::string name;
  std::string header;
  unsigned status;
  std::string version = "HTTP/1.1";
};

// Header fields after which the end of the body is unknown or in doubt.
std::vector<framing_case> DoubtfulFramings() {
  const std::string length = Length(5);
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  return {
      {"a coding that is not chunked", "Transfer-Encoding: gzip\r\n", 400},
      {"identity", "Transfer-Encoding: identity\r\n", 400},
      {"a coding that nobody knows", "Transfer-Encoding: x-new\r\n", 400},
      {"no coding", "Transfer-Encoding: \r\n", 400},
      {"chunked before another coding", "Transfer-Encoding: chunked, gzip\r\n",
       400},
      {"chunked before identity", "Transfer-Encoding: chunked, identity\r\n",
       400},
      {"chunked twice", "Transfer-Encoding: chunked, chunked\r\n", 400},
      {"chunked twice on two lines", chunked + chunked, 400},
      {"chunked with a parameter", "Transfer-Encoding: chunked;q=1\r\n", 400},
      {"a quoted coding", "Transfer-Encoding: \"chunked\"\r\n", 400},
      {"two words", "Transfer-Encoding: chunked x\r\n", 400},
      {"another coding on a second line",
       chunked + "Transfer-Encoding: gzip\r\n", 400},
      {"a coding under chunked", "Transfer-Encoding: gzip, chunked\r\n", 501},
      {"a coding on the line before chunked",
       "Transfer-Encoding: gzip\r\n" + chunked, 501},
      {"chunked and then a length", chunked + length, 400},
      {"a length and then chunked", length + chunked, 400},
      {"another coding and then a length",
       "Transfer-Encoding: identity\r\n" + length, 400},
      {"a length and then another coding",
       length + "Transfer-Encoding: gzip\r\n", 400},
      {"chunked in a request of HTTP/1.0", chunked, 400, "HTTP/1.0"},
      {"two lengths", length + Length(6), 400},
      {"a length with a sign", "Content-Length: +5\r\n", 400},
      {"a length with a fraction", "Content-Length: 5.0\r\n", 400},
      {"an empty length", "Content-Length: \r\n", 400},
      {"a length on two lines", "Content-Length: 1\r\n 5\r\n", 400},
      {"a space before the colon", "Transfer-Encoding : chunked\r\n", 400},
      {"a line that ends without a carriage return",
       "Transfer-Encoding: gzip\nX: y\r\n", 400},
  };
}

// Header fields with which the body ends at one place for all.
std::vector<framing_case> SoundFramings(std::size_t bytes) {
  return {
      {"a length", Length(bytes), 200},
      {"the same length twice", Length(bytes) + Length(bytes), 200},
      {"chunks", "Transfer-Encoding: chunked\r\n", 200},
      {"chunks in capitals", "TRANSFER-ENCODING: Chunked\r\n", 200},
      {"chunks with white space", "Transfer-Encoding: \t chunked \t\r\n", 200},
  };
}

// Generates requests with random framings. The body of each reads like a
// request of its own.
class framing_generator {
 public:
  explicit framing_generator(std::uint64_t seed) : random_(seed) {}

  struct request {
    std::string bytes;
    // Whether the end of the body is beyond doubt.
    bool sound = false;
  };

  request Next(std::string_view id, std::string_view body) {
    constexpr std::array<std::string_view, 8> kOddLengths = {
        "+", "-", "0x", "0 ", "1,", "", "9,", "1e"};
    constexpr std::array<std::string_view, 12> kCodings = {"gzip",
                                                           "identity",
                                                           "deflate",
                                                           "x-new",
                                                           "",
                                                           "chunkedx",
                                                           "xchunked",
                                                           "chunked;q=1",
                                                           "\"chunked\"",
                                                           "chunked chunked",
                                                           "\x0b"
                                                           "chunked",
                                                           "chunked\x7f"};
    const std::string exact = std::to_string(body.size());
    std::vector<std::string> lines;
    std::size_t chunked = 0;
    std::size_t others = 0;
    std::size_t lengths = 0;
    bool odd_length = false;
    for (std::size_t i = random_.Below(3); i > 0; --i) {
      std::string line;
      for (std::size_t j = 1 + random_.Below(2); j > 0; --j) {
        const bool known = random_.Below(2) == 0;
        line += known ? random_.ElementOf(kChunkedForms)
                      : random_.ElementOf(kCodings);
        line += j > 1 ? ", " : "";
        chunked += known ? 1 : 0;
        others += known ? 0 : 1;
      }
      lines.push_back(std::string(random_.ElementOf(kCodingNames)) + ": " +
                      line + "\r\n");
    }
    for (std::size_t i = random_.Below(3); i > 0; --i) {
      const bool odd = random_.Below(4) == 0;
      odd_length = odd_length || odd;
      ++lengths;
      lines.push_back("Content-Length: " +
                      (odd ? std::string(random_.ElementOf(kOddLengths)) : "") +
                      exact + "\r\n");
    }
    if (lines.empty()) {
      lines.push_back(Length(body.size()));
      lengths = 1;
    }
    std::string header;
    while (!lines.empty()) {
      const std::size_t at = random_.Below(lines.size());
      header += lines[at];
      lines.erase(lines.begin() + static_cast<std::ptrdiff_t>(at));
    }
    const bool old_version = random_.Below(8) == 0;
    const bool has_codings = chunked + others > 0;
    const bool in_chunks = has_codings && random_.Below(4) > 0;
    return {
        Request(old_version ? "POST /once/1 HTTP/1.0" : "POST /once/1 HTTP/1.1",
                id, header, in_chunks ? InChunks(body) : std::string(body)),
        has_codings ? in_chunks && chunked == 1 && others == 0 &&
                          lengths == 0 && !old_version
                    : !odd_length};
  }

  std::size_t Below(std::size_t bound) { return random_.Below(bound); }

 private:
  static constexpr std::array<std::string_view, 3> kChunkedForms = {
      "chunked", "Chunked", "CHUNKED"};
  static constexpr std::array<std::string_view, 3> kCodingNames = {
      "Transfer-Encoding", "transfer-encoding", "TRANSFER-ENCODING"};

  // Splits the body into chunks, some with extensions, and adds a trailer.
  std::string InChunks(std::string_view body) {
    std::string chunks;
    while (!body.empty()) {
      const std::size_t size = 1 + random_.Below(body.size());
      std::string chunk = Chunk(body.substr(0, size));
      if (random_.Below(3) == 0) {
        chunk.insert(chunk.find('\r'), ";a=\"b\"");
      }
      chunks += chunk;
      body.remove_prefix(size);
    }
    return chunks + "0\r\n" +
           (random_.Below(2) == 0 ? "X-Request-Id: trailed\r\n" : "") + "\r\n";
  }

  mutation_source random_;
};

}  // namespace

// An engine would run a request that no caller sent.
SCENARIO("A request in the body of another one is not run",
         "[message_framing]") {
  framing_system system;
  const std::string inner = Post("inside", Length(0), "");

  GIVEN("an outer request whose end is in doubt") {
    for (const framing_case& each : DoubtfulFramings()) {
      CAPTURE(each.name);
      raw_connection connection(system.port());
      connection.Send(Request("POST /once/1 " + each.version, "outside",
                              each.header, inner));
      const std::string answers = connection.ReadAll(kReadTimeout);
      CAPTURE(answers);

      CHECK(FirstStatus(answers) == each.status);
      CHECK(answers.find("HTTP/1.", 1) == std::string::npos);
      CHECK(connection.closed());
      CHECK(system.Runs("inside").empty());
      CHECK(system.Runs("outside").empty());
    }
  }

  GIVEN("an outer request with a sound end") {
    for (const framing_case& each : SoundFramings(inner.size())) {
      CAPTURE(each.name);
      const std::string id = "outside " + each.name;
      const bool in_chunks = each.name.starts_with("chunks");
      raw_connection connection(system.port());
      connection.Send(Post(id, each.header,
                           in_chunks ? Chunk(inner) + "0\r\n\r\n" : inner));
      const std::string answers =
          connection.ReadUntil("\r\n\r\nok", kReadTimeout);
      CAPTURE(answers);

      CHECK(FirstStatus(answers) == each.status);
      const std::vector<std::string> runs = system.Runs(id);
      CHECK(runs.size() == 1);
      CHECK((!runs.empty() && HeaderOf(runs[0], "Content-Length") ==
                                  std::to_string(inner.size())));
      CHECK(system.Runs("inside").empty());

      // A further request on the same connection is read from its first byte.
      connection.Send(Post("next " + each.name, Length(0), ""));
      CHECK(FirstStatus(connection.ReadUntil("\r\n\r\nok", kReadTimeout)) ==
            200);
      CHECK(system.Runs("next " + each.name).size() == 1);
    }
  }

  THEN("the gateway still answers") {
    REQUIRE(system.CallOnce().status == 200);
  }
}

// As above, for framings that nobody thought of.
SCENARIO("Requests with random framings run as they were sent or not at all",
         "[message_framing]") {
  constexpr int kRequests = 400;
  const std::uint64_t seed = GENERATE(1, 2, 3);
  CAPTURE(seed);
  framing_system system;
  framing_generator generator(seed);
  const std::string inner = Post("inside", Length(0), "");
  int served = 0;
  int refused = 0;
  for (int i = 0; i < kRequests; ++i) {
    const std::string id = "outside" + std::to_string(i);
    const std::string next_id = "next" + std::to_string(i);
    framing_generator::request request = generator.Next(id, inner);
    request.bytes += Post(next_id, Length(0) + "Connection: close\r\n", "");
    CAPTURE(request.bytes);
    raw_connection connection(system.port());
    const std::size_t first = generator.Below(request.bytes.size());
    connection.Send(request.bytes.substr(0, first));
    connection.Send(request.bytes.substr(first));
    std::string answers = connection.ReadAll(kReadTimeout);
    CAPTURE(answers);
    // Requests of HTTP/1.0 are answered with that version.
    if (answers.starts_with("HTTP/1.0")) {
      answers.replace(0, 8, "HTTP/1.1");
    }

    const std::vector<std::string> runs = system.Runs(id);
    const unsigned status = FirstStatus(answers);
    served += status == 200 ? 1 : 0;
    refused += status == 200 ? 0 : 1;
    CHECK(connection.closed());
    CHECK(runs.size() == (status == 200 ? 1 : 0));
    CHECK(system.Runs(next_id).size() <= runs.size());
    CHECK((!request.sound || status == 200));
    for (const std::string& head : runs) {
      CHECK(HeaderOf(head, "Content-Length") == std::to_string(inner.size()));
    }
    CHECK(system.Runs("inside").empty());
    CHECK(system.Runs("trailed").empty());
  }
  REQUIRE(served > kRequests / 8);
  REQUIRE(refused > kRequests / 8);
}

// Trailers would set what the caller's header doesn't, after the call has been
// admitted under it; an engine would get a header that no caller sent.
SCENARIO("A trailer of a request is no header field", "[message_framing]") {
  framing_system system;
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  const auto send = [&](std::string_view id, std::string_view trailer) {
    raw_connection connection(system.port());
    connection.Send(Post(
        id, chunked, Chunk("body") + "0\r\n" + std::string(trailer) + "\r\n"));
    return FirstStatus(connection.ReadUntil("\r\n\r\nok", kReadTimeout));
  };

  WHEN("trailers name fields that decide or are forwarded") {
    const std::vector<std::string> names = {
        "X-Prefix-Hash", "X-Model",       "X-Token-Counts", "X-Custom",
        "X-Request-Id",  "X-Deadline-Ms", "Last-Event-Id",
    };
    for (const std::string& name : names) {
      CAPTURE(name);
      CHECK(send("with " + name, name + ": trailed\r\n") == 200);
      const std::vector<std::string> runs = system.Runs("with " + name);
      REQUIRE(runs.size() == 1);
      CHECK(runs[0].find("trailed") == std::string::npos);
    }
  }

  WHEN("only a trailer has the caller's key") {
    raw_connection connection(system.port());
    connection.Send(
        "POST /once/1 HTTP/1.1\r\nHost: a.example\r\n"
        "X-Request-Id: keyless\r\n" +
        chunked + "\r\n" + Chunk("body") +
        "0\r\nAuthorization: Token key-1\r\n\r\n");
    THEN("the call is refused") {
      CHECK(FirstStatus(connection.ReadUntil("}", kReadTimeout)) == 401);
      CHECK(system.Runs("keyless").empty());
    }
  }

  WHEN("a trailer is longer than any field may be") {
    // Once more than a header field can hold, and once more than is buffered.
    for (const std::size_t bytes : {60'000, 70'000, 300'000}) {
      CAPTURE(bytes);
      raw_connection connection(system.port());
      connection.Send(Post("long", chunked,
                           Chunk("body") + "0\r\nX-Long: " +
                               std::string(bytes, 'x') + "\r\n\r\n"));
      connection.ReadUntil("\r\n\r\n", kReadTimeout);
    }
    THEN("the process goes on") {
      REQUIRE(system.CallOnce().status == 200);
    }
  }
}

// A caller would get a body that is not the engine's, or a part of it, as a
// whole answer.
SCENARIO("An answer whose end is in doubt is not delivered",
         "[message_framing]") {
  struct answer_case {
    std::string name;
    std::string first_line;
    std::string header;
    std::string body;
  };
  const std::string ok = "HTTP/1.1 200 OK";
  const std::string chunks = Chunk("ok") + "0\r\n\r\n";
  const std::vector<answer_case> cases = {
      {"a coding that is not chunked", ok, "Transfer-Encoding: gzip\r\n", "ok"},
      {"identity", ok, "Transfer-Encoding: identity\r\n", "ok"},
      {"a coding under chunked", ok, "Transfer-Encoding: gzip, chunked\r\n",
       chunks},
      {"chunked before another coding", ok,
       "Transfer-Encoding: chunked, gzip\r\n", chunks},
      {"chunked twice", ok, "Transfer-Encoding: chunked, chunked\r\n", chunks},
      {"a length and chunks", ok,
       "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n", chunks},
      {"another coding and a length", ok,
       "Transfer-Encoding: identity\r\nContent-Length: 2\r\n", "ok"},
      {"chunks in an answer of HTTP/1.0", "HTTP/1.0 200 OK",
       "Transfer-Encoding: chunked\r\n", chunks},
      {"two lengths", ok, "Content-Length: 1\r\nContent-Length: 2\r\n", "ok"},
  };
  for (const answer_case& each : cases) {
    GIVEN("an engine that frames its answers with " + each.name) {
      framing_system system(
          [&](std::string_view head) {
            return each.first_line + "\r\n" + IdLine(head) +
                   "X-Response-Signature: s\r\n" + each.header + "\r\n" +
                   each.body;
          },
          true);

      THEN("the caller is told that the call may have run") {
        const caller_answer answer = system.CallOnce();
        CAPTURE(answer.body);
        REQUIRE(answer.status == 502);
      }
    }
  }
}

// A caller would get other fields than the engine put at the head of its
// answer, among them a second signature.
SCENARIO("A trailer of an answer is no header field", "[message_framing]") {
  const auto answer = [](std::string_view head) {
    return "HTTP/1.1 200 OK\r\n" + IdLine(head) +
           "X-Response-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n" +
           Chunk("ok") +
           "0\r\nX-Response-Signature: trailed\r\nX-Custom: trailed\r\n"
           "Content-Type: trailed\r\n\r\n";
  };
  framing_system system(answer);
  raw_connection connection(system.port());
  connection.Send(Post("r1", Length(0) + "Connection: close\r\n", ""));
  const std::string received = connection.ReadAll(kReadTimeout);
  CAPTURE(received);

  REQUIRE(FirstStatus(received) == 200);
  REQUIRE(received.ends_with("\r\n\r\nok"));
  REQUIRE(received.find("X-Response-Signature: s\r\n") != received.npos);
  REQUIRE(received.find("trailed") == received.npos);
}

// A caller would take an interim answer for the final one, and the final one
// for that to its next call; or a call that has run would fail.
SCENARIO("Interim answers of an engine are skipped", "[message_framing]") {
  const std::string id = "X-Request-Id: r1\r\n";
  struct interim_case {
    std::string name;
    std::string bytes;
    unsigned status;
  };
  const std::vector<interim_case> cases = {
      {"100 Continue", "HTTP/1.1 100 Continue\r\n\r\n", 200},
      {"hints", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", 200},
      {"hints with the id of the request",
       "HTTP/1.1 103 Early Hints\r\n" + id + "\r\n", 200},
      {"two of them",
       "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n", 200},
      {"a switch of protocols",
       "HTTP/1.1 101 Switching Protocols\r\n" + id + "Upgrade: x\r\n\r\n", 502},
  };
  for (const interim_case& each : cases) {
    GIVEN("an engine that first sends " + each.name) {
      framing_system system([&](std::string_view head) {
        return each.bytes + SoundAnswer(head);
      });
      raw_connection connection(system.port());
      connection.Send(Post("r1", Length(0) + "Connection: close\r\n", ""));
      const std::string received = connection.ReadAll(kReadTimeout);
      CAPTURE(received);

      THEN("the caller gets one final answer") {
        REQUIRE(FirstStatus(received) == each.status);
        REQUIRE(received.find("HTTP/1.", 1) == received.npos);
      }
    }
  }

  GIVEN("an engine that sends interim answers without end") {
    framing_system system([](std::string_view) {
      std::string many;
      for (int i = 0; i < 1000; ++i) {
        many += "HTTP/1.1 100 Continue\r\n\r\n";
      }
      return many;
    });
    THEN("the call fails before its deadline") {
      const auto begin = std::chrono::steady_clock::now();
      REQUIRE(system.CallOnce().status == 502);
      REQUIRE(std::chrono::steady_clock::now() - begin <
              std::chrono::seconds(2));
    }
  }
}

// A caller would get status 0 for each status that the HTTP library has no name
// for.
SCENARIO("The status of an engine reaches the caller unchanged",
         "[message_framing]") {
  struct status_case {
    std::string sent;
    unsigned received;
  };
  const std::vector<status_case> cases = {
      {"200", 200}, {"299", 299}, {"418", 418}, {"499", 499},
      {"599", 599}, {"099", 502}, {"600", 502}, {"000", 502},
  };
  for (const status_case& each : cases) {
    GIVEN("an engine that answers with status " + each.sent) {
      framing_system system([&](std::string_view head) {
        return "HTTP/1.1 " + each.sent + " X\r\n" + IdLine(head) +
               "X-Response-Signature: s\r\nContent-Length: 2\r\n\r\nok";
      });
      raw_connection connection(system.port());
      connection.Send(Post("r1", Length(0) + "Connection: close\r\n", ""));
      REQUIRE(FirstStatus(connection.ReadAll(kReadTimeout)) == each.received);
    }
  }
}

// The length that an answer to HEAD states would be waited for as its body.
SCENARIO("An answer to HEAD has no body, also after the answer to another call",
         "[message_framing]") {
  const std::string first_id = "X-Request-Id: first\r\n";
  framing_system system([&](std::string_view head) {
    const std::string answer =
        "HTTP/1.1 200 OK\r\n" + IdLine(head) +
        "X-Response-Signature: s\r\nContent-Length: 2\r\n\r\n";
    if (!head.starts_with("HEAD")) {
      return answer + "ok";
    }
    return "HTTP/1.1 200 OK\r\n" + first_id +
           "X-Response-Signature: s\r\nContent-Length: 0\r\n\r\n" + answer;
  });
  raw_connection connection(system.port());
  connection.Send(Post("first", Length(0), ""));
  REQUIRE(FirstStatus(connection.ReadUntil("ok", kReadTimeout)) == 200);
  const auto begin = std::chrono::steady_clock::now();
  connection.Send(Request("HEAD /once/1 HTTP/1.1", "second", "", ""));
  const std::string received = connection.ReadUntil("\r\n\r\n", kReadTimeout);
  CAPTURE(received);

  REQUIRE(FirstStatus(received) == 200);
  REQUIRE(std::chrono::steady_clock::now() - begin < std::chrono::seconds(2));
}

// A client of HTTP/1.0 would take the chunk headers for a part of the body, and
// a stream that broke off for a whole one.
SCENARIO("A stream to a client of HTTP/1.0 has no chunks",
         "[message_framing]") {
  const std::string event = "id: 1\ndata: 1\n\n";
  const bool whole = GENERATE(true, false);
  CAPTURE(whole);
  framing_system system(
      [&](std::string_view head) {
        return "HTTP/1.1 200 OK\r\n" + IdLine(head) +
               "X-Response-Signature: s\r\nContent-Type: text/event-stream\r\n"
               "Transfer-Encoding: chunked\r\n\r\n" +
               Chunk(event) + (whole ? "0\r\n\r\n" : "5\r\nid: 2");
      },
      true, "model");
  raw_connection connection(system.port());
  connection.Send(Request("POST /stream/1 HTTP/1.0", "r1", Length(0), ""));
  const std::string received = connection.ReadAll(kReadTimeout);
  CAPTURE(received);

  REQUIRE(received.starts_with("HTTP/1.0 200"));
  REQUIRE(received.find("Transfer-Encoding") == received.npos);
  REQUIRE(received.find("\r\n\r\n" + event) != received.npos);
  REQUIRE(connection.closed());
  REQUIRE(connection.reset() == !whole);
}

}  // namespace anvilloom
