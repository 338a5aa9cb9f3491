// Defines entry_instance, one running process between callers and upstreams.
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
class entry_instance {
 public:
  // Throws boost::system::system_error if a listen address can't be bound.
  explicit entry_instance(entry_settings settings);
  ~entry_instance();

  std::uint16_t port() const { return callers_->port(); }
  std::uint16_t admin_port() const { return admin_->port(); }

  // Returns once SIGTERM, SIGINT, an operator or a notice asks for a stop.
  void AwaitDrain();
  // Withdraws readiness, stops accepting requests, and waits until every
  // request has ended or was handed over, or until the deadline of the stop.
  void Drain();

 private:
  // Lets the streams that will not end in time go to peers. Returns how many
  // streams still run here.
  std::size_t HandOver(deadline until);

  process_state process_;
  io_pool request_pool_;
  io_pool control_pool_;
  std::vector<std::unique_ptr<worker>> workers_;
  request_handler request_handler_;
  fleet_runner fleet_;
  admin_handler admin_handler_;
  configuration_follower follower_;
  notice_follower notices_;
  health_reviewer health_;
  load_poller loads_;
  std::unique_ptr<http_server> callers_;
  std::unique_ptr<http_server> admin_;
  std::unique_ptr<peer_service> peers_;
  boost::asio::signal_set signals_;
};

}  // namespace anvilloom

#endif  // ENTRY_ENTRY_INSTANCE_H_
