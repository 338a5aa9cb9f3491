// Lesson 3: following an answer chunk by chunk, and resuming it elsewhere.
//
// An engine can vanish in the middle of an answer. The entry instance keeps
// what it has delivered, starts another attempt at the next token, and the
// caller sees one stream with consecutive tokens. answer_check decides which
// chunk may be passed on and whether the answer is whole.

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

void Expect(bool holds, const char* claim) {
  std::cout << (holds ? "As expected: " : "Not as expected: ") << claim << '\n';
  if (!holds) {
    std::exit(EXIT_FAILURE);
  }
}

// Passes a chunk on to the caller if the check accepts it.
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

  // The first attempt delivers two tokens, then its engine is reclaimed.
  answer_check first("request-1", 0);
  Deliver(first, TokenChunk("request-1", 0, "A "), delivered);
  Deliver(first, TokenChunk("request-1", 1, "morning "), delivered);
  Expect(!first.complete(), "an answer without its end is not whole.");

  // The second attempt starts where the first one stopped. Its engine sends the
  // last token again; the check drops the copy.
  answer_check second("request-1", first.next_index());
  Expect(Deliver(second, TokenChunk("request-1", 1, "morning "), delivered) ==
             chunk_verdict::kDuplicate,
         "a token that was delivered before is dropped.");

  // An answer that was crossed with another request's is told apart by its id.
  Expect(Deliver(second, TokenChunk("request-2", 2, "permit "), delivered) ==
             chunk_verdict::kWrongRequest,
         "another request's token is not passed on.");

  // A token that skips an index would leave a hole in the answer.
  Expect(Deliver(second, TokenChunk("request-1", 3, "plan."), delivered) ==
             chunk_verdict::kGap,
         "a gap is found.");

  Deliver(second, TokenChunk("request-1", 2, "wedding "), delivered);
  Deliver(second, TokenChunk("request-1", 3, "plan."), delivered);

  // The end carries the number of tokens of the whole answer, over both
  // attempts. Only if it agrees with what arrived is the answer whole.
  Deliver(second, FinishChunk("request-1", 4), delivered);
  Expect(second.complete(), "the resumed answer is whole.");
  Expect(delivered == "A morning wedding plan.",
         "the caller sees one consecutive text.");
  return EXIT_SUCCESS;
}
