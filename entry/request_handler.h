// Defines request_handler, which identifies callers and dispatches their
// requests by path.
#ifndef ENTRY_REQUEST_HANDLER_H_
#define ENTRY_REQUEST_HANDLER_H_

#include <memory>
#include <span>

#include "entry/chat_handler.h"
#include "entry/plain_handler.h"
#include "entry/worker.h"
#include "wire/http_exchange.h"

namespace anvilloom {

// A handler for http_server on the callers' port. Runs on every worker thread.
class request_handler {
 public:
  explicit request_handler(std::span<const std::unique_ptr<worker>> workers)
      : workers_(workers), chat_(workers) {}

  awaitable<void> Handle(http_exchange& exchange, std::size_t thread);

 private:
  std::span<const std::unique_ptr<worker>> workers_;
  chat_handler chat_;
  plain_handler plain_;
};

}  // namespace anvilloom

#endif  // ENTRY_REQUEST_HANDLER_H_
