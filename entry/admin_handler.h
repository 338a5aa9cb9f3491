// Defines admin_handler, which serves health checks, metrics and the state dump
// to operators and the load balancer.
#ifndef ENTRY_ADMIN_HANDLER_H_
#define ENTRY_ADMIN_HANDLER_H_

#include <memory>
#include <span>
#include <string>

#include "entry/fleet_runner.h"
#include "entry/process_state.h"
#include "entry/worker.h"
#include "wire/http_exchange.h"

namespace anvilloom {

// The request handler of the http_server on the admin port. Runs on the thread
// of that port.
class admin_handler {
 public:
  admin_handler(process_state& process,
                std::span<const std::unique_ptr<worker>> workers,
                const fleet_runner& fleet)
      : process_(process), workers_(workers), fleet_(fleet) {}

  awaitable<void> Handle(http_exchange& exchange, std::size_t thread);

 private:
  bool Authorized(const http_exchange& exchange) const;
  awaitable<std::string> Metrics();
  awaitable<std::string> Dump();

  process_state& process_;
  std::span<const std::unique_ptr<worker>> workers_;
  // Shares the thread of the admin port, so it is read without a lock.
  const fleet_runner& fleet_;
};

}  // namespace anvilloom

#endif  // ENTRY_ADMIN_HANDLER_H_
