// Defines entry_instance, which assembles the threads, servers and tasks of one
// entry process.
#ifndef ENTRY_ENTRY_INSTANCE_H_
#define ENTRY_ENTRY_INSTANCE_H_

#include <boost/asio/signal_set.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "entry/admin_handler.h"
#include "entry/configuration_follower.h"
#include "entry/fleet_runner.h"
#include "entry/health_reviewer.h"
#include "entry/load_poller.h"
#include "entry/notice_follower.h"
#include "entry/peer_service.h"
#include "entry/process_state.h"
#include "entry/request_handler.h"
#include "entry/worker.h"
#include "wire/http_server.h"
#include "wire/io_pool.h"

namespace anvilloom {

// Owns the threads, servers and handlers. Starts serving in the constructor.
// Public methods are called from the thread that created it.
class entry_instance {
 public:
  // Throws boost::system::system_error if a listen address can't be bound.
  explicit entry_instance(entry_settings settings);
  ~entry_instance();

  std::uint16_t port() const { return caller_server_->port(); }
  std::uint16_t admin_port() const { return admin_server_->port(); }

  // Blocks until SIGTERM, SIGINT, an operator or a reclaim notice requests a
  // drain.
  void AwaitDrain();
  // Withdraws readiness, stops accepting requests, and waits until every
  // request has completed or was handed over, or until the drain deadline.
  void Drain();

 private:
  // Hands streams that will not complete by `until` over to peers. Returns the
  // number of streams that still run here.
  std::size_t HandOver(deadline until);

  process_state process_;
  io_pool request_pool_;
  io_pool control_pool_;
  std::vector<std::unique_ptr<worker>> workers_;
  request_handler request_handler_;
  fleet_runner fleet_runner_;
  admin_handler admin_handler_;
  configuration_follower configuration_follower_;
  notice_follower notice_follower_;
  health_reviewer health_reviewer_;
  load_poller load_poller_;
  std::unique_ptr<http_server> caller_server_;
  std::unique_ptr<http_server> admin_server_;
  std::unique_ptr<peer_service> peers_;
  boost::asio::signal_set signals_;
};

}  // namespace anvilloom

#endif  // ENTRY_ENTRY_INSTANCE_H_
