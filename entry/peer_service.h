// Defines peer_service, the communication of this entry instance with the
// others: membership, requests and responses, and the dispatch of messages.
#ifndef ENTRY_PEER_SERVICE_H_
#define ENTRY_PEER_SERVICE_H_

#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "entry/process_state.h"
#include "entry/worker.h"
#include "instances/membership.h"
#include "wire/peer_transport.h"
#include "wire/transfer.h"

namespace anvilloom {

// The configuration follower's message handlers, called on the peer thread.
struct configuration_handlers {
  // A peer has activated `revision`, which is newer than the local one.
  std::function<void(std::uint64_t revision, std::string from_address)>
      on_newer_revision;
  std::function<configuration_fetch_answer(const configuration_fetch&)> answer;
};

// Runs the membership protocol on the peer thread. SendRequest(), SendLoads(),
// AnnounceRevision() and StartLeaving() are thread-safe.
class peer_service {
 public:
  // Throws zmq::error_t if the peer address can't be bound.
  peer_service(process_state& process,
               std::span<const std::unique_ptr<worker>> workers,
               std::string_view http_address);

  const std::string& address() const { return transport_.address(); }
  const peer_transport& transport() const { return transport_; }

  // `on_loads` is called on the peer thread.
  void Start(configuration_handlers relay,
             std::function<void(load_summary)> on_loads);
  // Announces that this instance no longer takes over work.
  void StartLeaving();
  // Flushes pending messages and ends the peer thread.
  void Stop();

  // Sends `request` to all `addresses` and returns the responses received by
  // `until`.
  awaitable<std::vector<peer_body>> SendRequest(
      std::vector<std::string> addresses,
      peer_body request,
      deadline until);
  void SendLoads(std::string_view to_address, const load_summary& summary);
  // Announces to a few randomly chosen members that this instance has activated
  // a revision.
  void AnnounceRevision(std::uint64_t revision);

 private:
  // A request that waits for its responses.
  struct pending_call {
    explicit pending_call(const boost::asio::any_io_executor& executor)
        : timer(executor) {}
    boost::asio::steady_timer timer;
    std::size_t wanted = 0;
    std::vector<peer_body> answers;
  };

  void OnTick();
  void OnMessage(peer_message&& message);
  void ApplyEffects(const membership_effects& effects);
  void PublishMembers();
  void ObserveRevision(std::uint64_t revision, std::string_view from_address);
  void HandleResponse(std::uint64_t call, peer_body&& answer);
  void Reply(const peer_message& request, peer_body answer);
  void AnswerLocate(peer_message request);
  void AnswerHandover(peer_message request);

  process_state& process_;
  std::span<const std::unique_ptr<worker>> workers_;
  std::string http_address_;
  peer_transport transport_;
  membership membership_;
  configuration_handlers relay_;
  std::function<void(load_summary)> on_loads_;
  std::mt19937_64 random_;
  std::uint64_t published_version_ = 0;
  deadline next_observation_{time_point()};
  std::atomic<bool> leaving_{false};
  bool leaving_announced_ = false;
  std::atomic<std::uint64_t> next_call_{1};
  std::mutex mutex_;
  std::map<std::uint64_t, std::shared_ptr<pending_call>> pending_;
};

}  // namespace anvilloom

#endif  // ENTRY_PEER_SERVICE_H_
