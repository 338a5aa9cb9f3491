#include "entry/entry_instance.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <chrono>
#include <thread>
#include <utility>

#include "common/log.h"

namespace anvilloom {

namespace {

constexpr std::chrono::milliseconds kDrainCheckInterval{50};

std::vector<std::unique_ptr<worker>> MakeWorkers(process_state& process,
                                                 io_pool& pool) {
  std::vector<std::unique_ptr<worker>> workers;
  for (std::size_t i = 0; i < pool.size(); ++i) {
    workers.push_back(std::make_unique<worker>(process, pool.context(i), i));
  }
  return workers;
}

}  // namespace

entry_instance::entry_instance(entry_settings settings)
    : process_(std::move(settings)),
      request_pool_(process_.settings.threads),
      control_pool_(1),
      workers_(MakeWorkers(process_, request_pool_)),
      request_handler_(workers_),
      admin_handler_(process_, workers_),
      follower_(process_, control_pool_.context(0).get_executor()),
      notices_(process_, workers_, control_pool_.context(0).get_executor()),
      health_(process_, control_pool_.context(0).get_executor()) {
  const http_server_limits limits;
  callers_ = std::make_unique<http_server>(
      request_pool_, process_.settings.listen, limits, request_handler_);
  admin_ = std::make_unique<http_server>(
      control_pool_, process_.settings.admin_listen, limits, admin_handler_);
  boost::asio::co_spawn(control_pool_.context(0), follower_.Run(),
                        boost::asio::detached);
  notices_.Start();
  boost::asio::co_spawn(control_pool_.context(0), health_.Run(),
                        boost::asio::detached);
  request_pool_.Start();
  control_pool_.Start();
  Log(log_level::kInfo, log_event::kStarted,
      {{"name", process_.settings.name},
       {"port", std::to_string(port())},
       {"admin_port", std::to_string(admin_port())}});
}

entry_instance::~entry_instance() {
  request_pool_.Stop();
  control_pool_.Stop();
}

void entry_instance::Drain(deadline until) {
  process_.draining.store(true, std::memory_order_release);
  Log(log_level::kInfo, log_event::kDraining);
  callers_->Close();
  while (callers_->open_connections() > 0 &&
         !until.Expired(process_.clock.Now())) {
    std::this_thread::sleep_for(kDrainCheckInterval);
  }
}

}  // namespace anvilloom
