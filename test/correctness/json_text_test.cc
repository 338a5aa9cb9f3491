// Guards against JSON of clients that takes many times its size when it is
// read, and against reading it otherwise than ParseJson() does.

#include <catch2/catch.hpp>
#include <string>
#include <string_view>

#include "wire/chat_codec.h"
#include "wire/json_text.h"

namespace anvilloom {

SCENARIO("Text is checked as it would be parsed", "[json_text]") {
  const std::string deep = std::string(40, '[') + std::string(40, ']');
  const std::string less_deep = std::string(30, '[') + std::string(30, ']');
  for (const std::string_view text :
       {std::string_view(" {\"a\": [1, -2.5e3, null, true, \"\\u00fc\\n\"]}\n"),
        std::string_view("[]"), std::string_view("17"),
        std::string_view("\"x\" "), std::string_view(less_deep),
        std::string_view(deep), std::string_view(""), std::string_view(" "),
        std::string_view("{"), std::string_view("{\"a\":}"),
        std::string_view("{\"a\":1,}"), std::string_view("[1] 2"),
        std::string_view("01"), std::string_view("\"\\ud800\""),
        std::string_view("\"\xff\""), std::string_view("/* */ 1"),
        std::string_view("{\"a\":1"), std::string_view("nul"),
        std::string_view("1e99999")}) {
    CAPTURE(text.substr(0, 40));
    CHECK(IsValidJson(text) == ParseJson(text).has_value());
  }
}

SCENARIO("A member is found without parsing the others", "[json_text]") {
  const std::string_view text =
      R"( {"a" : [1, {"b":"]}\""}] , "c":"x,y","a":2, "d": {"e":3}} )";
  REQUIRE(FindRawMember(text, "a") == "2");
  REQUIRE(FindRawMember(text, "c") == R"("x,y")");
  REQUIRE(FindRawMember(text, "d") == R"({"e":3})");
  REQUIRE(FindRawMember(text, "e").empty());
  REQUIRE(FindRawMember("{}", "a").empty());
  REQUIRE(FindRawMember("[1]", "a").empty());
}

SCENARIO("JSON is compacted to the same value", "[json_text]") {
  const std::string_view text =
      " [ 1 , { \"a b\" : \"c \\\" d\" ,\n\t\"e\":[ ] } , null ]\r\n";
  REQUIRE(CompactJson(text) == R"([1,{"a b":"c \" d","e":[]},null])");
  REQUIRE(ParseJson(CompactJson(text)) == ParseJson(text));
  REQUIRE(CompactJson("").empty());
  REQUIRE(CompactJson("\"a b\"") == "\"a b\"");
}

SCENARIO("A chat request is decoded from its members", "[json_text]") {
  GIVEN("a request in an unusual spelling") {
    const auto request = DecodeChatRequest(
        R"( { "stream" : true, "max_tokens":12, "other":[[{}]],
              "messages": [ {"role":"user", "content":"a  b"} ],
              "model":"p\u006can" } )");
    THEN("it is the same request") {
      REQUIRE(request);
      REQUIRE(request->service == "plan");
      REQUIRE(request->messages == R"([{"role":"user","content":"a  b"}])");
      REQUIRE(request->max_tokens == 12);
      REQUIRE(request->stream);
    }
  }
  GIVEN("requests that are malformed") {
    for (const std::string_view body :
         {"", "[]", "{}", "{\"model\":\"m\",\"messages\":[]}",
          "{\"model\":\"m\",\"messages\":[ ]}",
          "{\"model\":\"m\",\"messages\":{}}",
          "{\"model\":\"\",\"messages\":[1]}", "{\"model\":7,\"messages\":[1]}",
          "{\"model\":\"m\",\"messages\":[1],\"max_tokens\":0}",
          "{\"model\":\"m\",\"messages\":[1],\"max_tokens\":\"7\"}",
          "{\"model\":\"m\",\"messages\":[1],\"max_tokens\":-1}",
          "{\"model\":\"m\",\"messages\":[1],\"max_tokens\":32769}",
          "{\"model\":\"m\",\"messages\":[1],\"max_tokens\":null}",
          "{\"model\":\"m\",\"messages\":[1}"}) {
      CAPTURE(body);
      CHECK(!DecodeChatRequest(body));
    }
  }
}

}  // namespace anvilloom
