// Defines entry_instance, one running process between callers and upstreams.
#ifndef ENTRY_ENTRY_INSTANCE_H_
#define ENTRY_ENTRY_INSTANCE_H_

#include <cstdint>
#include <memory>
#include <vector>

#include "entry/admin_handler.h"
#include "entry/configuration_follower.h"
#include "entry/health_reviewer.h"
#include "entry/notice_follower.h"
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

  // Stops accepting requests, waits until the open ones have ended or
  // `until`, then returns.
  void Drain(deadline until);

 private:
  process_state process_;
  io_pool request_pool_;
  io_pool control_pool_;
  std::vector<std::unique_ptr<worker>> workers_;
  request_handler request_handler_;
  admin_handler admin_handler_;
  configuration_follower follower_;
  notice_follower notices_;
  health_reviewer health_;
  std::unique_ptr<http_server> callers_;
  std::unique_ptr<http_server> admin_;
};

}  // namespace anvilloom

#endif  // ENTRY_ENTRY_INSTANCE_H_
