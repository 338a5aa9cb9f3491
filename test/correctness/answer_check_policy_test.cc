// Guards the checks on the chunks of an answer: with any single one off, some
// answer that is not the right one would pass as whole.

#include <catch2/catch.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "links/answer_check.h"

namespace anvilloom {

namespace {

struct no_request_id : full_answer_policy {
  static constexpr bool kRequestId = false;
};
struct no_token_index : full_answer_policy {
  static constexpr bool kTokenIndex = false;
};
struct no_finish_reason : full_answer_policy {
  static constexpr bool kFinishReason = false;
};
struct no_usage : full_answer_policy {
  static constexpr bool kUsage = false;
};
struct no_model_version : full_answer_policy {
  static constexpr bool kModelVersion = false;
};

constexpr std::string_view kRequest = "r1";
constexpr std::string_view kWholeText = "zero one two ";

answer_chunk Token(std::uint32_t index,
                   std::string_view text,
                   std::string_view request = kRequest,
                   std::string_view version = "v1") {
  answer_chunk chunk;
  chunk.request_id = request;
  chunk.model_version = version;
  chunk.text = text;
  chunk.token_index = index;
  return chunk;
}

answer_chunk Finish() {
  answer_chunk chunk;
  chunk.request_id = kRequest;
  chunk.model_version = "v1";
  chunk.finished = true;
  chunk.reported_tokens = 3;
  return chunk;
}

// A token with the usage so far, as engines send that report it continuously.
answer_chunk TokenWithUsage(std::uint32_t index, std::string_view text) {
  answer_chunk chunk = Token(index, text);
  chunk.reported_tokens = index + 1;
  return chunk;
}

// What a caller is given when the connection has ended after the chunks.
struct given_answer {
  std::string text;
  bool complete = false;

  bool IsWrong() const { return complete && text != kWholeText; }
};

// Treats verdicts as entry/stream_attempt does: a duplicate is dropped, and any
// other fault ends the attempt, which is then not complete.
template <answer_policy Policy>
given_answer Read(const std::vector<answer_chunk>& chunks) {
  basic_answer_check<Policy> check(kRequest, 0);
  given_answer given;
  for (const answer_chunk& chunk : chunks) {
    const chunk_verdict verdict = check.Observe(chunk);
    if (verdict == chunk_verdict::kAccept) {
      given.text += chunk.text;
    } else if (verdict != chunk_verdict::kDuplicate) {
      return given;
    }
  }
  given.complete = check.complete();
  return given;
}

// An answer at fault, and how it reads with every check and without one.
struct faulty_answer {
  std::string fault;
  std::vector<answer_chunk> chunks;
  given_answer (*without_check)(const std::vector<answer_chunk>&);
};

}  // namespace

SCENARIO("Each check on the chunks of an answer is needed", "[answer_check]") {
  GIVEN("an answer without a fault") {
    const std::vector<answer_chunk> chunks = {
        Token(0, "zero "), Token(1, "one "), Token(2, "two "), Finish()};

    THEN("it is whole with every check, and with any of them off") {
      for (const given_answer& given :
           {Read<full_answer_policy>(chunks), Read<no_request_id>(chunks),
            Read<no_token_index>(chunks), Read<no_finish_reason>(chunks),
            Read<no_usage>(chunks), Read<no_model_version>(chunks)}) {
        REQUIRE(given.complete);
        REQUIRE(given.text == kWholeText);
      }
    }
  }

  GIVEN("an answer at fault") {
    const faulty_answer answer = GENERATE(values<faulty_answer>({
        {"crossed: a token of another request",
         {Token(0, "zero "), Token(1, "foreign ", "r2"), Token(2, "two "),
          Finish()},
         Read<no_request_id>},
        {"crossed: every token of another request",
         {Token(0, "not ", "r2"), Token(1, "for ", "r2"),
          Token(2, "you ", "r2"), Finish()},
         Read<no_request_id>},
        {"doubled and lost: a token twice, the next one left out",
         {Token(0, "zero "), Token(1, "one "), Token(1, "one "), Finish()},
         Read<no_token_index>},
        {"crossed: tokens in another order",
         {Token(0, "zero "), Token(2, "two "), Token(1, "one "), Finish()},
         Read<no_token_index>},
        {"truncated: usage so far, then the end of the connection",
         {TokenWithUsage(0, "zero "), TokenWithUsage(1, "one ")},
         Read<no_finish_reason>},
        {"truncated: the last token left out before the finish",
         {Token(0, "zero "), Token(1, "one "), Finish()},
         Read<no_usage>},
        {"lost: a finish with no token at all", {Finish()}, Read<no_usage>},
        {"crossed: the rest comes from another model version",
         {Token(0, "zero "), Token(1, "uno ", kRequest, "v2"),
          Token(2, "due ", kRequest, "v2"), Finish()},
         Read<no_model_version>},
    }));
    CAPTURE(answer.fault);

    THEN("it does not pass for whole with every check") {
      REQUIRE_FALSE(Read<full_answer_policy>(answer.chunks).IsWrong());
      REQUIRE_FALSE(Read<full_answer_policy>(answer.chunks).complete);
    }

    THEN("without the one check, the caller is given a wrong answer") {
      REQUIRE(answer.without_check(answer.chunks).IsWrong());
    }
  }
}

}  // namespace anvilloom
