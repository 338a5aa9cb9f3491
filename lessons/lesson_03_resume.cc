// Lesson 3: checking a streamed answer and resuming it on another engine.
//
// An engine can fail in the middle of an answer. The entry instance keeps the
// delivered tokens and starts another attempt at the next token, so that the
// caller receives one stream of consecutive tokens. answer_check decides which
// chunks may be forwarded and whether the answer is complete.

#include <cstdlib>
#include <iostream>
#include <string>

#include "links/answer_check.h"
#include "test/support/answer_chunks.h"

namespace {

using anvilloom::answer_check;
using anvilloom::answer_chunk;
using anvilloom::chunk_verdict;
using anvilloom::FinishChunk;
using anvilloom::TokenChunk;

// Fails the lesson, which also runs as a test, if a condition is false.
void Expect(bool holds, const char* condition) {
  std::cout << (holds ? "As expected: " : "Not as expected: ") << condition
            << '\n';
  if (!holds) {
    std::exit(EXIT_FAILURE);
  }
}

// Forwards a chunk to the caller if the check accepts it.
chunk_verdict Deliver(answer_check& check,
                      const answer_chunk& chunk,
                      std::string& delivered) {
  const chunk_verdict verdict = check.Observe(chunk);
  if (verdict == chunk_verdict::kAccept) {
    delivered += chunk.text;
  }
  return verdict;
}

}  // namespace

int main() {
  std::string delivered;

  // The first attempt delivers two tokens before its engine is reclaimed.
  answer_check first("request-1", 0);
  Deliver(first, TokenChunk("request-1", 0, "A "), delivered);
  Deliver(first, TokenChunk("request-1", 1, "morning "), delivered);
  Expect(!first.complete(), "an answer without an end marker is not complete.");

  // The second attempt starts after the last delivered token. Its engine sends
  // that token again, and the check rejects the duplicate.
  answer_check second("request-1", first.next_index());
  Expect(Deliver(second, TokenChunk("request-1", 1, "morning "), delivered) ==
             chunk_verdict::kDuplicate,
         "a duplicate token is rejected.");

  // A chunk of another request is detected by its request id.
  Expect(Deliver(second, TokenChunk("request-2", 2, "permit "), delivered) ==
             chunk_verdict::kWrongRequest,
         "a token of another request is rejected.");

  // A skipped token index would leave a gap in the answer.
  Expect(Deliver(second, TokenChunk("request-1", 3, "plan."), delivered) ==
             chunk_verdict::kGap,
         "a gap is detected.");

  Deliver(second, TokenChunk("request-1", 2, "wedding "), delivered);
  Deliver(second, TokenChunk("request-1", 3, "plan."), delivered);

  // The end marker states the number of tokens of the whole answer, from both
  // attempts. The answer is complete only if that many tokens have arrived.
  Deliver(second, FinishChunk("request-1", 4), delivered);
  Expect(second.complete(), "the resumed answer is complete.");
  Expect(delivered == "A morning wedding plan.",
         "the caller receives one continuous text.");
  return EXIT_SUCCESS;
}
