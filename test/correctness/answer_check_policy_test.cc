// Guards the checks on the chunks of an answer: with any single check disabled,
// some wrong answer would be accepted as complete.

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
constexpr std::string_view kExpectedText = "zero one two ";

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

// A token with the usage so far, as sent by engines that report it
// continuously.
answer_chunk TokenWithUsage(std::uint32_t index, std::string_view text) {
  answer_chunk chunk = Token(index, text);
  chunk.reported_tokens = index + 1;
  return chunk;
}

// What the caller has received when the connection ends after the chunks.
struct received_answer {
  std::string text;
  bool complete = false;

  bool IsWrong() const { return complete && text != kExpectedText; }
};

// Handles verdicts like entry/stream_attempt: a duplicate is dropped, and any
// other fault ends the attempt, which is then incomplete.
template <answer_policy Policy>
received_answer Read(const std::vector<answer_chunk>& chunks) {
  basic_answer_check<Policy> check(kRequest, 0);
  received_answer received;
  for (const answer_chunk& chunk : chunks) {
    const chunk_verdict verdict = check.Observe(chunk);
    if (verdict == chunk_verdict::kAccept) {
      received.text += chunk.text;
    } else if (verdict != chunk_verdict::kDuplicate) {
      return received;
    }
  }
  received.complete = check.complete();
  return received;
}

// A faulty answer and the check that detects it: `without_check` reads the
// answer with this check disabled.
struct faulty_answer {
  std::string fault;
  std::vector<answer_chunk> chunks;
  received_answer (*without_check)(const std::vector<answer_chunk>&);
};

}  // namespace

SCENARIO("Each check on the chunks of an answer is needed", "[answer_check]") {
  GIVEN("an answer without a fault") {
    const std::vector<answer_chunk> chunks = {
        Token(0, "zero "), Token(1, "one "), Token(2, "two "), Finish()};

    THEN("it is complete with all checks and with any one disabled") {
      for (const received_answer& received :
           {Read<full_answer_policy>(chunks), Read<no_request_id>(chunks),
            Read<no_token_index>(chunks), Read<no_finish_reason>(chunks),
            Read<no_usage>(chunks), Read<no_model_version>(chunks)}) {
        REQUIRE(received.complete);
        REQUIRE(received.text == kExpectedText);
      }
    }
  }

  GIVEN("a faulty answer") {
    const faulty_answer answer = GENERATE(values<faulty_answer>({
        {"mixed up: a token of another request",
         {Token(0, "zero "), Token(1, "foreign ", "r2"), Token(2, "two "),
          Finish()},
         Read<no_request_id>},
        {"mixed up: every token of another request",
         {Token(0, "not ", "r2"), Token(1, "for ", "r2"),
          Token(2, "you ", "r2"), Finish()},
         Read<no_request_id>},
        {"duplicated and lost: a token twice, the next one missing",
         {Token(0, "zero "), Token(1, "one "), Token(1, "one "), Finish()},
         Read<no_token_index>},
        {"reordered: tokens in the wrong order",
         {Token(0, "zero "), Token(2, "two "), Token(1, "one "), Finish()},
         Read<no_token_index>},
        {"truncated: usage so far, then the end of the connection",
         {TokenWithUsage(0, "zero "), TokenWithUsage(1, "one ")},
         Read<no_finish_reason>},
        {"truncated: the last token missing before the finish",
         {Token(0, "zero "), Token(1, "one "), Finish()},
         Read<no_usage>},
        {"lost: a finish without any token", {Finish()}, Read<no_usage>},
        {"mixed up: the rest comes from another model version",
         {Token(0, "zero "), Token(1, "uno ", kRequest, "v2"),
          Token(2, "due ", kRequest, "v2"), Finish()},
         Read<no_model_version>},
    }));
    CAPTURE(answer.fault);

    THEN("it is not accepted as complete with all checks") {
      REQUIRE_FALSE(Read<full_answer_policy>(answer.chunks).IsWrong());
      REQUIRE_FALSE(Read<full_answer_policy>(answer.chunks).complete);
    }

    THEN("without the one check, the caller receives a wrong answer") {
      REQUIRE(answer.without_check(answer.chunks).IsWrong());
    }
  }
}

}  // namespace anvilloom
