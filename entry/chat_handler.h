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

// Result of resuming a stream at another instance.
enum class resume_result {
  kServed,
  kUnknownStream,
  kHolderUnresponsive,  // The instance that should hold it did not serve it.
};

// Keeps no per-request state; one instance serves the whole process.
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
  // Serves a stream that this instance holds. Returns false if it holds none
  // with this id; `moved_to` is then the address of the instance that the
  // stream was handed over to, if any.
  awaitable<bool> ResumeLocal(http_exchange& exchange,
                              const caller& from,
                              std::string_view stream_id,
                              std::string& moved_to);
  // Proxies a resumed stream from the instance that holds it, which is `holder`
  // unless that is empty. Nothing has been written to the caller unless the
  // result is kServed.
  awaitable<resume_result> ResumeRemote(http_exchange& exchange,
                                        worker& self,
                                        std::string_view stream_id,
                                        std::string holder);

  std::span<const std::unique_ptr<worker>> workers_;
};

}  // namespace anvilloom

#endif  // ENTRY_CHAT_HANDLER_H_
