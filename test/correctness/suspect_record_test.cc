// Guards against stored verdicts that are lost, or that end a process, because
// the stored text can't be read.

#include "entry/suspect_record.h"

#include <catch2/catch.hpp>
#include <limits>
#include <string>
#include <vector>

#include "wire/report_codec.h"

namespace anvilloom {

namespace {

using std::chrono::seconds;

constexpr std::int64_t kStoredAt = 1'000'000'000;
constexpr std::int64_t kSecond = 1'000'000;

suspect_report ExampleSuspect() {
  suspect_report suspect;
  suspect.parts = {std::numeric_limits<std::uint64_t>::max(), 3, 4};
  suspect.tried_age = seconds(3);
  suspect.blocked = true;
  suspect.crashes = {
      {1, 2, seconds(9)},
      {std::numeric_limits<std::uint64_t>::max(), 4, seconds(8)}};
  return suspect;
}

}  // namespace

SCENARIO("Blocked parts are stored and read", "[suspect_record]") {
  const suspect_evidence stored = {{ExampleSuspect()}, {{5, seconds(7)}}};
  const std::string text = EncodeEvidence(stored, kStoredAt);

  THEN("their ages have grown by the time in between") {
    const auto read = DecodeEvidence(text, kStoredAt + 5 * kSecond);
    REQUIRE(read);
    REQUIRE(read->suspects.size() == 1);
    const suspect_report& suspect = read->suspects[0];
    REQUIRE(suspect.parts == ExampleSuspect().parts);
    REQUIRE(suspect.tried_age == seconds(8));
    REQUIRE(suspect.crashes.size() == 2);
    REQUIRE(suspect.crashes[1].upstream_hash ==
            ExampleSuspect().crashes[1].upstream_hash);
    REQUIRE(suspect.crashes[1].age == seconds(13));
    REQUIRE(suspect.blocked);
    REQUIRE(read->ends.size() == 1);
    REQUIRE(read->ends[0].upstream_hash == 5);
    REQUIRE(read->ends[0].age == seconds(12));
  }
  THEN("a clock that went back makes no ages negative") {
    const auto read = DecodeEvidence(text, kStoredAt - 5 * kSecond);
    REQUIRE(read);
    REQUIRE(read->suspects.at(0).crashes[1].age == seconds(8));
  }
}

SCENARIO("Stored text that is no list of parts is ignored",
         "[suspect_record]") {
  THEN("odd texts hold nothing") {
    for (const char* text :
         {"", "[]", "{}", "7", R"({"wall_us":-1,"parts":[]})",
          R"({"wall_us":1,"parts":{}})"}) {
      REQUIRE_FALSE(DecodeEvidence(text, kStoredAt));
    }
  }
  THEN("an odd part is left out and the others hold") {
    const auto read = DecodeEvidence(
        R"({"wall_us":1,"parts":[{"part":"zz","crashes":[]},{"part":7},
            {"part":"7","crashes":[{"upstream":"1","call":"2","age_us":1e300},
                                   {"upstream":"1","call":"2","age_us":-1},
                                   {"upstream":"1","call":"2","age_us":5}]}]})",
        kStoredAt);
    REQUIRE(read);
    REQUIRE(read->suspects.size() == 1);
    REQUIRE(read->suspects[0].crashes.size() == 1);
  }
  THEN("an odd end is left out and the others hold") {
    const auto read = DecodeEvidence(
        R"({"wall_us":1,"parts":[],"ends":[7,{"upstream":"x","age_us":1},
            {"upstream":"1","age_us":-1},{"upstream":"1","age_us":5}]})",
        kStoredAt);
    REQUIRE(read);
    REQUIRE(read->ends.size() == 1);
    REQUIRE(read->ends[0].upstream_hash == 1);
  }
  THEN("a record of an earlier version has no ends") {
    const auto read = DecodeEvidence(R"({"wall_us":1,"parts":[]})", kStoredAt);
    REQUIRE(read);
    REQUIRE(read->ends.empty());
  }
}

SCENARIO("Reports between instances carry suspects", "[suspect_record]") {
  peer_report report;
  report.name = "g1";
  report.content = report_content::kSuspects;
  report.suspects = {ExampleSuspect()};
  report.suspects[0].answered_age = seconds(1);

  THEN("they arrive as sent") {
    const auto read = DecodePeerReport(EncodePeerReport(report));
    REQUIRE(read);
    REQUIRE(read->content == report_content::kSuspects);
    REQUIRE(read->suspects.size() == 1);
    REQUIRE(read->suspects[0].parts == report.suspects[0].parts);
    REQUIRE(read->suspects[0].answered_age == seconds(1));
    REQUIRE(read->suspects[0].tried_age == seconds(3));
    REQUIRE(read->suspects[0].crashes.size() == 2);
  }
  THEN("a full report fits into one packet") {
    constexpr std::size_t kPacketBytes = 1'472;
    const std::size_t crashes = GENERATE(0U, 1U, 3U, kCrashesPerSuspect);
    const std::size_t parts = GENERATE(1U, 2U, 20U, 1'000U);
    CAPTURE(crashes, parts);
    suspect_message_builder builder;
    while (builder.Fits(crashes)) {
      suspect_report suspect;
      suspect.parts = {std::numeric_limits<std::uint64_t>::max()};
      suspect.answered_age = seconds(4'000'000);
      suspect.tried_age = seconds(4'000'000);
      suspect.crashes.resize(crashes, {1, 2, seconds(4'000'000)});
      const std::size_t index = builder.Add(suspect);
      for (std::size_t i = 1; i < parts && builder.FitsPart(); ++i) {
        builder.AddPart(index, i);
      }
    }
    report.suspects = std::move(builder).Build();
    REQUIRE(!report.suspects.empty());
    REQUIRE(EncodePeerReport(report).size() <= kPacketBytes);
    const auto read = DecodePeerReport(EncodePeerReport(report));
    REQUIRE(read);
    REQUIRE(read->suspects.size() == report.suspects.size());
    REQUIRE(read->suspects.back().parts == report.suspects.back().parts);
  }
}

}  // namespace anvilloom
