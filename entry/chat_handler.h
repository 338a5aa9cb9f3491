// Defines chat_handler, which serves chat completions and resumed streams.
#ifndef ENTRY_CHAT_HANDLER_H_
#define ENTRY_CHAT_HANDLER_H_

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>

#include "entry/caller.h"
#include "entry/worker.h"
#include "wire/http_exchange.h"

namespace anvilloom {

// What came of a stream that another instance was asked for.
enum class resume_end {
  kServed,
  kUnknownStream,
  kHolderSilent,  // The instance that should hold it did not give it.
};

// One for the process; keeps no state of its own.
class chat_handler {
 public:
  explicit chat_handler(std::span<const std::unique_ptr<worker>> workers)
      : workers_(workers) {}

  // POST /v1/chat/completions.
  awaitable<void> Complete(http_exchange& exchange,
                           worker& self,
                           const caller& from);
  // GET /v1/streams/<stream>, from the position in Last-Event-ID.
  awaitable<void> Resume(http_exchange& exchange,
                         worker& self,
                         const caller& from,
                         std::string_view stream_id);

 private:
  // Serves a stream that this instance holds. False if it holds none of that
  // name; `moved_to` is then the holder that it was handed over to, if any.
  awaitable<bool> ResumeHere(http_exchange& exchange,
                             const caller& from,
                             std::string_view stream_id,
                             std::string& moved_to);
  // Passes a resumed stream on from the instance that holds it, `holder` if it
  // is known. Nothing was written unless it was served.
  awaitable<resume_end> ResumeElsewhere(http_exchange& exchange,
                                        worker& self,
                                        std::string_view stream_id,
                                        std::string holder);

  std::span<const std::unique_ptr<worker>> workers_;
};

}  // namespace anvilloom

#endif  // ENTRY_CHAT_HANDLER_H_
