#include "entry/entry_instance.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_future.hpp>
#include <chrono>
#include <csignal>
#include <sstream>
#include <string>
#include <thread>
#include <utility>

#include "common/log.h"
#include "entry/process_limits.h"
#include "entry/stream_handover.h"
#include "wire/endpoint.h"

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

// The address at which other instances reach the caller port of this one. An
// unspecified listen address is replaced by the IP address of `peer_listen`.
std::string HttpAddress(const entry_settings& settings, std::uint16_t port) {
  const auto listen = ParseEndpoint(settings.listen);
  const auto peer = ParseEndpoint(settings.peer_listen);
  boost::asio::ip::tcp::endpoint reached = *listen;
  if (reached.address().is_unspecified()) {
    reached.address(peer->address());
  }
  reached.port(port);
  std::ostringstream text;
  text << reached;
  return text.str();
}

}  // namespace

entry_instance::entry_instance(entry_settings settings)
    : process_(std::move(settings)),
      request_pool_(process_.settings.threads),
      control_pool_(1),
      workers_(MakeWorkers(process_, request_pool_)),
      request_handler_(workers_),
      fleet_runner_(process_, control_pool_.context(0).get_executor()),
      admin_handler_(process_, workers_, fleet_runner_),
      configuration_follower_(process_,
                              control_pool_.context(0).get_executor()),
      notice_follower_(process_,
                       workers_,
                       control_pool_.context(0).get_executor()),
      health_reviewer_(process_),
      load_poller_(process_, control_pool_.context(0).get_executor()),
      signals_(control_pool_.context(0), SIGINT, SIGTERM) {
  http_server_limits limits = process_.settings.limits;
  admin_server_ = std::make_unique<http_server>(
      control_pool_, process_.settings.admin_listen, AdminLimits(limits),
      admin_handler_);
  limits.connections = std::min(limits.connections,
                                process_.settings.process.ClientConnections());
  caller_server_ = std::make_unique<http_server>(
      request_pool_, process_.settings.listen, limits, request_handler_);
  LimitClients(*caller_server_, process_.settings.process, process_.memory);
  if (!process_.settings.peer_listen.empty()) {
    peers_ = std::make_unique<peer_service>(
        process_, workers_, HttpAddress(process_.settings, port()));
    process_.peers = peers_.get();
  }
  signals_.async_wait([this](const boost::system::error_code& error, int) {
    if (!error) {
      process_.RequestDrain();
    }
  });
  boost::asio::co_spawn(control_pool_.context(0), configuration_follower_.Run(),
                        boost::asio::detached);
  notice_follower_.Start();
  fleet_runner_.Start();
  boost::asio::co_spawn(control_pool_.context(0), health_reviewer_.Run(),
                        boost::asio::detached);
  boost::asio::co_spawn(control_pool_.context(0), load_poller_.Run(),
                        boost::asio::detached);
  request_pool_.Start();
  control_pool_.Start();
  if (peers_) {
    peers_->Start(configuration_follower_.RelayCallbacks(),
                  [this](load_summary summary) {
                    load_poller_.ReceiveSummary(std::move(summary));
                  });
  }
  Log(log_level::kInfo, log_event::kStarted,
      {{"name", process_.settings.name},
       {"port", std::to_string(port())},
       {"admin_port", std::to_string(admin_port())},
       {"peer_address", peers_ ? peers_->address() : "-"}});
}

entry_instance::~entry_instance() {
  if (peers_) {
    peers_->Stop();
  }
  request_pool_.Stop();
  control_pool_.Stop();
}

void entry_instance::AwaitDrain() {
  process_.drain.Await();
}

void entry_instance::Drain() {
  process_.draining.store(true, std::memory_order_release);
  Log(log_level::kInfo, log_event::kDraining);
  if (peers_) {
    peers_->StartLeaving();
  }
  const deadline grace =
      deadline::After(
          process_.clock.Now(),
          std::chrono::milliseconds(process_.settings.drain_grace_ms))
          .Earlier(process_.drain.until());
  bool accepting = true;
  for (;;) {
    const time_point now = process_.clock.Now();
    // A reclaim notice received during the drain may shorten its deadline.
    const deadline until = process_.drain.until();
    if (accepting && grace.Expired(now)) {
      accepting = false;
      caller_server_->Close();
    }
    const std::size_t running = HandOver(until);
    const bool idle = !accepting && running == 0 &&
                      caller_server_->busy() == 0 &&
                      process_.unfinished.load(std::memory_order_acquire) == 0;
    if (idle || until.Expired(now)) {
      return;
    }
    std::this_thread::sleep_for(kDrainCheckInterval);
  }
}

std::size_t entry_instance::HandOver(deadline until) {
  std::size_t running = 0;
  for (const std::unique_ptr<worker>& request_worker : workers_) {
    running += boost::asio::post(
                   request_worker->context(), boost::asio::use_future([&] {
                     return HandOverStreams(*request_worker, until);
                   }))
                   .get();
  }
  return running;
}

}  // namespace anvilloom
