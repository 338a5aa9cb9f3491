// Guards against log lines that a value can end, or that are not valid UTF-8.

#include <catch2/catch.hpp>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "common/hash.h"
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

// Guards against a part of a long prompt that crashes engines and stands in no
// log line, since the parts that most prompts share come first.
SCENARIO("Long lists of hashes are logged by their two ends", "[log]") {
  const std::vector<std::uint64_t> hashes = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10};
  const std::span<const std::uint64_t> all = hashes;
  THEN("a short list is whole") {
    REQUIRE(FormatHashes(all.first(0)) == "none");
    REQUIRE(FormatHashes(all.first(1)) == "1");
    REQUIRE(FormatHashes(all.first(6)) == "1,2,3,4,5,6");
  }
  THEN("a long one has its first and last hashes, and the number of others") {
    REQUIRE(FormatHashes(all.first(7)) == "1,2,3,+1,5,6,7");
    REQUIRE(FormatHashes(all) == "1,2,3,+4,8,9,a");
  }
}

}  // namespace anvilloom
