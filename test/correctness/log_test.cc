// Guards against log lines that a value can end, or that are not valid UTF-8.

#include <catch2/catch.hpp>
#include <string>

#include "common/log.h"
#include "common/printable_text.h"

namespace anvilloom {

SCENARIO("A value of any content stays one field of one line", "[log]") {
  GIVEN("a value of visible characters") {
    THEN("it stands as it is") {
      REQUIRE(LogValue("edge-1:80/a?b") == "edge-1:80/a?b");
    }
  }
  GIVEN("a value that a reader could not tell from its line") {
    THEN("it is quoted") {
      REQUIRE(LogValue("").size() == 2);
      REQUIRE(LogValue("a b=c") == R"("a b=c")");
      REQUIRE(LogValue(R"(a"\b)") == R"("a\"\\b")");
    }
  }
  GIVEN("a value with control characters or bytes that are not UTF-8") {
    THEN("they are escaped") {
      REQUIRE(LogValue("a\nE100 b") == R"("a\x0aE100 b")");
      REQUIRE(LogValue("\x1b[2J\x7f\u0085") == R"("\x1b[2J\x7f\xc2\x85")");
      REQUIRE(LogValue("\xff\xed\xa0\x80") == R"("\xff\xed\xa0\x80")");
      REQUIRE(LogValue("ü") == "\"ü\"");
    }
  }
}

}  // namespace anvilloom
