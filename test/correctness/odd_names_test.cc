// Guards against names of store entries that another writer chose and that
// change the request, the line or the message that they become a part of.

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "common/printable_text.h"
#include "platform/object_store_client.h"
#include "platform/platform.h"
#include "platform/standin/platform_api.h"
#include "standins/object_api.h"
#include "wire/announcement_check.h"
#include "wire/http_object_store.h"
#include "wire/http_server.h"
#include "wire/http_text.h"
#include "wire/io_pool.h"
#include "wire/json_text.h"
#include "wire/steady_clock.h"

namespace anvilloom::platform {

namespace {

using namespace std::string_literals;

constexpr std::string_view kKind = "servers";
constexpr std::string_view kSound =
    R"({"service":"s","address":"10.0.0.1:80","zone":"a","state":"ready"})";

// What stands behind "e06" in the names of odd entries. Without encoding, most
// of them end a query, a path or a request line.
std::vector<std::string> OddEndings() {
  std::vector<std::string> endings = {
      "&b", "%",   "%2F",     "+b",   "#b",   "?b",      "/b",     "/../b",
      " b", "\nb", "\r\nA:b", "\x7f", "=b&c", ";b",      "\"b",    "\\b",
      "\t", "%00", ".",       "..",   "ü",    "\u2028b", "?x=1&y", " HTTP/1.1"};
  endings.emplace_back(1, '\0');
  endings.emplace_back(200, 'x');
  return endings;
}

deadline Soon() {
  return deadline::After(steady_source().Now(), std::chrono::seconds(20));
}

// Runs a coroutine that takes a store of type `Store`, served by `handler`.
template <typename Store, typename Handler, typename Calls>
void WithStore(Handler& handler, Calls calls) {
  io_pool pool(1);
  http_server server(pool, "127.0.0.1:0", {}, handler);
  pool.Start();
  boost::asio::io_context context;
  Store store(context.get_executor(),
              "127.0.0.1:" + std::to_string(server.port()));
  boost::asio::co_spawn(
      context, calls(store),
      [](const std::exception_ptr& error) { REQUIRE(!error); });
  context.run();
  server.Close();
  pool.Stop();
}

std::set<std::string> Names(const object_list& list) {
  std::set<std::string> names;
  for (const stored_object& each : list.objects) {
    names.insert(each.name);
  }
  return names;
}

// The names "e00" to "e13"; a page of the stand-in ends between "e06" and
// "e07" if an odd name lies there.
std::vector<std::string> SoundNames() {
  std::vector<std::string> names(14);
  for (std::size_t i = 0; i < names.size(); ++i) {
    names[i] = (i < 10 ? "e0" : "e") + std::to_string(i);
  }
  return names;
}

// Answers each call with a page that depends on the decoded position.
struct scripted_pages {
  std::map<std::string, std::string> pages;
  std::vector<std::string> asked;

  awaitable<void> Handle(http_exchange& exchange, std::size_t /*thread*/) {
    const std::string after = exchange.Query("after");
    asked.push_back(after);
    const auto found = pages.find(after);
    if (found == pages.end()) {
      co_await exchange.Respond(http_status::bad_request, "", "");
      co_return;
    }
    co_await exchange.Respond(http_status::ok, "application/json",
                              found->second);
  }
};

// `name` is JSON text.
std::string Entry(std::string_view name) {
  return R"({"metadata":{"name":)" + std::string(name) +
         R"(,"revision":4},"spec":)" + std::string(kSound) +
         R"(,"status":null})";
}

std::string Page(std::string_view entries, bool truncated) {
  return R"({"entries":[)" + std::string(entries) + R"(],"truncated":)" +
         (truncated ? "true" : "false") + R"(,"at":9})";
}

}  // namespace

SCENARIO("A list goes on behind an odd name at the end of a page",
         "[odd_names]") {
  std::vector<std::string> endings = OddEndings();
  endings.emplace_back(2'000, 'x');
  endings.emplace_back(600'000, 'x');
  for (const std::string& ending : endings) {
    CAPTURE(ToPrintable(ending.substr(0, 40)), ending.size());
    platform_api handler;
    WithStore<object_store_client>(
        handler, [&](object_store_client& store) -> awaitable<void> {
          for (const std::string& name : SoundNames()) {
            const auto made =
                co_await store.Create(kKind, name, kSound, Soon());
            REQUIRE(made.has_value());
          }
          const auto made =
              co_await store.Create(kKind, "e06" + ending, "null", Soon());
          REQUIRE(made.has_value());
          const auto list = co_await store.List(kKind, Soon());
          CHECK(list.has_value());
          if (list) {
            CHECK(list->complete);
            CHECK(list->objects.size() == SoundNames().size() + 1);
            const std::set<std::string> names = Names(*list);
            for (const std::string& name : SoundNames()) {
              CHECK(names.contains(name));
            }
          }
        });
  }
}

SCENARIO("A call for an object with an odd name reaches this object alone",
         "[odd_names]") {
  const auto check = [](auto& store, std::string name,
                        std::string_view neighbour) -> awaitable<void> {
    const auto created = co_await store.Create(kKind, name, "1", Soon());
    REQUIRE(created.has_value());
    const auto read = co_await store.Get(kKind, name, Soon());
    CHECK((read && read->name == name && read->value == "1"));
    const auto updated =
        co_await store.Update(kKind, name, *created, "2", Soon());
    CHECK(updated.has_value());
    const auto deleted =
        co_await store.Delete(kKind, name, updated ? *updated : 0, Soon());
    CHECK(deleted.has_value());
    const auto gone = co_await store.Get(kKind, name, Soon());
    CHECK((!gone && gone.error() == store_error::kNotFound));
    const auto kept = co_await store.Get(kKind, neighbour, Soon());
    CHECK((kept && kept->value == "0"));
  };
  GIVEN("the platform's store") {
    platform_api handler;
    WithStore<object_store_client>(
        handler, [&](object_store_client& store) -> awaitable<void> {
          const auto made = co_await store.Create(kKind, "e06", "0", Soon());
          REQUIRE(made.has_value());
          for (const std::string& ending : OddEndings()) {
            const std::string name = "e06" + ending;
            CAPTURE(ToPrintable(name));
            co_await check(store, name, "e06");
            const auto created =
                co_await store.Create(kKind, name, "1", Soon());
            const auto noted = co_await store.UpdateStatus(
                kKind, name, created ? *created : 0, R"({"step":1})", Soon());
            CHECK(noted.has_value());
            const auto read = co_await store.Get(kKind, name, Soon());
            CHECK((read && read->status == R"({"step":1})"));
          }
        });
  }
  GIVEN("an object API") {
    object_api handler;
    WithStore<http_object_store>(
        handler, [&](http_object_store& store) -> awaitable<void> {
          const auto made = co_await store.Create(kKind, "e06", "0", Soon());
          REQUIRE(made.has_value());
          for (const std::string& ending : OddEndings()) {
            CAPTURE(ToPrintable(ending));
            co_await check(store, "e06" + ending, "e06");
          }
        });
  }
}

SCENARIO("A name that no path can hold is refused without a call",
         "[odd_names]") {
  scripted_pages handler;
  for (const std::string_view name : {"", ".", ".."}) {
    WithStore<object_store_client>(
        handler, [&](object_store_client& store) -> awaitable<void> {
          const auto read = co_await store.Get(kKind, name, Soon());
          CHECK((!read && read.error() == store_error::kRefused));
          const auto removed = co_await store.Delete(kKind, name, 4, Soon());
          CHECK((!removed && removed.error() == store_error::kRefused));
        });
    WithStore<http_object_store>(
        handler, [&](http_object_store& store) -> awaitable<void> {
          const auto read = co_await store.Get(kKind, name, Soon());
          CHECK((!read && read.error() == store_error::kRefused));
          const auto removed = co_await store.Delete(kKind, name, 4, Soon());
          CHECK((!removed && removed.error() == store_error::kRefused));
        });
  }
  REQUIRE(handler.asked.empty());
}

SCENARIO("A list goes on behind an entry that can't be decoded",
         "[odd_names]") {
  struct odd_entry {
    std::string text;
    // The position that continues the list.
    std::string position;
  };
  const std::vector<odd_entry> entries = {
      {Entry(R"("e1\ud800")"), "e1\xed\xa0\x80"},
      {Entry("\"e1\xff\""), "e1\xff"},
      {R"({"metadata":{"name":"e1x","revision":-4},"spec":null})", "e1x"},
      {R"({"metadata":{"name":"e1x","revision":1e300},"spec":null})", "e1x"},
      {R"({"metadata":{"name":"e1\ud83d\ude00","finalizers":)" +
           std::string(40, '[') + std::string(40, ']') + "}}",
       "e1\xf0\x9f\x98\x80"},
      {R"({"metadata":{"name":7,"revision":4},"spec":null})", "e1"},
      {R"({"metadata":"e1x"})", "e1"},
      {"null", "e1"},
  };
  for (const odd_entry& odd : entries) {
    CAPTURE(odd.text.substr(0, 80));
    scripted_pages handler;
    handler.pages[""] = Page(Entry(R"("e1")") + "," + odd.text, true);
    handler.pages[odd.position] =
        Page(odd.text + "," + Entry(R"("e2")") + "," + odd.text, false);
    WithStore<object_store_client>(
        handler, [&](object_store_client& store) -> awaitable<void> {
          const auto list = co_await store.List(kKind, Soon());
          CHECK(list.has_value());
          if (list) {
            CHECK(list->complete);
            CHECK(Names(*list) == std::set<std::string>{"e1", "e2"});
          }
        });
  }
}

SCENARIO("A list that the store does not continue is not a complete one",
         "[odd_names]") {
  scripted_pages handler;
  std::set<std::string> read;
  GIVEN("a store that sends the same page again") {
    handler.pages[""] = Page(Entry(R"("e1")"), true);
    handler.pages["e1"] = handler.pages[""];
    read = {"e1"};
  }
  GIVEN("a first page without a name that can be read") {
    handler.pages[""] = Page(R"({"metadata":null})", true);
  }
  GIVEN("an empty page behind others") {
    handler.pages[""] = Page(Entry(R"("e1")"), true);
    handler.pages["e1"] = Page("", true);
    read = {"e1"};
  }
  WithStore<object_store_client>(
      handler, [&](object_store_client& store) -> awaitable<void> {
        const auto list = co_await store.List(kKind, Soon());
        CHECK(list.has_value());
        if (list) {
          CHECK(!list->complete);
          CHECK(Names(*list) == read);
        }
      });
}

SCENARIO("One odd entry of an object API leaves the others in force",
         "[odd_names]") {
  const std::string deep = std::string(60, '[') + std::string(60, ']');
  for (const std::string& odd :
       {R"({"name":7,"version":3,"value":1})"s, "null"s,
        R"({"name":"o","version":-3,"value":1})"s,
        R"({"name":"\ud800","version":3,"value":1})"s,
        R"({"name":"o","version":3,"value":)" + deep + "}"}) {
    CAPTURE(odd);
    struct fixed_store {
      std::string list;
      std::string changes;

      awaitable<void> Handle(http_exchange& exchange, std::size_t /*thread*/) {
        const std::string& body =
            exchange.Query("watch").empty() ? list : changes;
        co_await exchange.Respond(http_status::ok, "application/json", body);
      }
    };
    const auto replace = [&](std::string text) {
      text.replace(text.find("ODD"), 3, odd);
      return text;
    };
    fixed_store handler{replace(R"({"version":9,"items":[ODD,
                          {"name":"e1","version":4,"value":1}]})"),
                        replace(R"({"type":"put","version":10,"object":ODD}
{"type":"put","version":11,"object":{"name":"e1","version":4,"value":1}}
)")};
    WithStore<http_object_store>(
        handler, [&](http_object_store& store) -> awaitable<void> {
          const auto list = co_await store.List(kKind, Soon());
          CHECK((list && Names(*list).contains("e1")));
          std::set<std::string> seen;
          const auto reached = co_await store.Watch(
              kKind, 9,
              [&](const object_event& event) {
                seen.insert(event.object.name);
                return true;
              },
              Soon());
          CHECK((reached && *reached == 11));
          CHECK(seen.contains("e1"));
        });
  }
}

SCENARIO("An id that can't be the value of a header names no upstream",
         "[odd_names]") {
  REQUIRE(DecodeUpstream("e1", kSound));
  REQUIRE(DecodeUpstream("e 1", kSound));
  for (const std::string_view id : {"", " e1", "e1 ", "e1\r\nA: b", "e1\x7f"}) {
    CAPTURE(ToPrintable(id));
    CHECK(!DecodeUpstream(id, kSound));
  }
  GIVEN("a workspace of this name in a manifest") {
    const auto decoded =
        DecodeManifest(R"({"version":3,"routes":[],"services":[],"tenants":[)"
                       R"({"name":"a\r\nA: b","apiKeys":["k1"]},)"
                       R"({"name":"sound","apiKeys":["k2"]}]})");
    THEN("it is left out, and the others hold") {
      REQUIRE(decoded);
      REQUIRE(decoded->workspaces.size() == 1);
      REQUIRE(decoded->workspaces.front().name == "sound");
    }
  }
}

SCENARIO("Text of any content becomes a part of a request or a line",
         "[odd_names]") {
  std::string all;
  for (int byte = 0; byte < 256; ++byte) {
    all += static_cast<char>(byte);
  }
  GIVEN("all bytes in a request target") {
    const std::string encoded = PercentEncode(all);
    THEN("only unreserved characters and escapes are left, and none is lost") {
      REQUIRE(encoded.find_first_not_of(
                  "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
                  "0123456789-._~%") == encoded.npos);
      REQUIRE(PercentDecode(encoded) == all);
      REQUIRE(DecodeQueryText(encoded) == all);
      REQUIRE(DecodeQueryText("a+b%2Bc") == "a b+c");
      REQUIRE(PercentDecode("%%4%zz%4") == "%%4%zz%4");
    }
  }
  GIVEN("all bytes in a line") {
    const std::string printable = ToPrintable(all);
    THEN("neither control characters nor invalid UTF-8 are left") {
      for (const char each : printable) {
        REQUIRE((each >= ' ' && each <= '~'));
      }
      REQUIRE(ToPrintable("e1 ü \u2028\U0001F600") == "e1 ü \u2028\U0001F600");
      REQUIRE(ToPrintable("\u0085\x1b[2J\xed\xa0\x80") ==
              "\\xc2\\x85\\x1b[2J\\xed\\xa0\\x80");
    }
  }
  GIVEN("a text that is cut") {
    THEN("no character is cut in two") {
      REQUIRE(CutText("aü", 2) == "a");
      REQUIRE(CutText("aü", 3) == "aü");
      REQUIRE(CutText("\U0001F600b", 3).empty());
    }
  }
  GIVEN("strings in JSON") {
    THEN("their bytes are found, also if they are not Unicode") {
      REQUIRE(StringBytes(R"("a\"\\\/\b\f\n\r\t\u00fc\u20ac")") ==
              "a\"\\/\b\f\n\r\tü€");
      REQUIRE(StringBytes(R"("\ud83d\ude00\ud83dx")") ==
              "\U0001F600\xed\xa0\xbdx");
      for (const char* odd : {"", "\"", "7", "\"\\\"", "\"\\x\"", "\"\\u12\"",
                              "\"\\u12g4\"", "null"}) {
        CAPTURE(odd);
        CHECK(!StringBytes(odd));
      }
    }
  }
}

}  // namespace anvilloom::platform
