// Guards against answers that reach the wrong caller or are incomplete.

#include "links/answer_check.h"

#include <catch2/catch.hpp>

#include "test/support/answer_chunks.h"

namespace anvilloom {

SCENARIO("An answer is checked chunk by chunk", "[answer_check]") {
  GIVEN("a check for request r1") {
    answer_check check("r1", 0);

    WHEN("two tokens and the finish arrive in order") {
      REQUIRE(check.Observe(TokenChunk("r1", 0)) == chunk_verdict::kAccept);
      REQUIRE(check.Observe(TokenChunk("r1", 1)) == chunk_verdict::kAccept);
      REQUIRE_FALSE(check.complete());
      REQUIRE(check.Observe(FinishChunk("r1", 2)) == chunk_verdict::kAccept);

      THEN("the answer is complete") {
        REQUIRE(check.complete());
      }
      AND_WHEN("another token follows") {
        THEN("it is rejected") {
          REQUIRE(check.Observe(TokenChunk("r1", 2)) ==
                  chunk_verdict::kAfterFinish);
        }
      }
    }

    WHEN("a chunk of another request arrives") {
      THEN("it is detected") {
        REQUIRE(check.Observe(TokenChunk("r2", 0)) ==
                chunk_verdict::kWrongRequest);
      }
    }

    WHEN("a token is repeated") {
      REQUIRE(check.Observe(TokenChunk("r1", 0)) == chunk_verdict::kAccept);

      THEN("the copy is a duplicate") {
        REQUIRE(check.Observe(TokenChunk("r1", 0)) ==
                chunk_verdict::kDuplicate);
      }
    }

    WHEN("a token is missing") {
      THEN("the gap is detected") {
        REQUIRE(check.Observe(TokenChunk("r1", 1)) == chunk_verdict::kGap);
      }
    }

    WHEN("the usage counts more tokens than arrived") {
      REQUIRE(check.Observe(TokenChunk("r1", 0)) == chunk_verdict::kAccept);
      REQUIRE(check.Observe(FinishChunk("r1", 2)) == chunk_verdict::kAccept);

      THEN("the answer is not complete") {
        REQUIRE_FALSE(check.complete());
      }
    }

    WHEN("the model version changes in the middle of the answer") {
      REQUIRE(check.Observe(TokenChunk("r1", 0)) == chunk_verdict::kAccept);
      answer_chunk other = TokenChunk("r1", 1);
      other.model_version = "v2";

      THEN("the change is detected") {
        REQUIRE(check.Observe(other) == chunk_verdict::kVersionChange);
      }
    }
  }

  GIVEN("a check for an attempt that resumes at token 5") {
    answer_check check("r1", 5);

    THEN("token 5 is the next one, and token 0 a duplicate") {
      REQUIRE(check.Observe(TokenChunk("r1", 0)) == chunk_verdict::kDuplicate);
      REQUIRE(check.Observe(TokenChunk("r1", 5)) == chunk_verdict::kAccept);
    }
  }
}

}  // namespace anvilloom
