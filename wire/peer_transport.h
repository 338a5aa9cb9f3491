// Defines peer_transport, which exchanges messages between entry instances over
// ZeroMQ with one thread, one listening socket, and one outgoing socket per
// recently used peer.
#ifndef WIRE_PEER_TRANSPORT_H_
#define WIRE_PEER_TRANSPORT_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <zmq.hpp>

#include "common/time.h"
#include "wire/peer_message.h"
#include "wire/steady_clock.h"

namespace anvilloom {

// Limits and intervals of a transport.
struct peer_transport_limits {
  // Interval of on_tick, in microseconds.
  duration tick = std::chrono::milliseconds(100);
  // Maximum number and total size of the messages queued for the transport's
  // thread.
  std::size_t queued_messages = 4096;
  std::size_t queued_bytes = std::size_t{16} * 1024 * 1024;
  // Maximum number of messages queued for the connection to one peer.
  int peer_messages = 128;
  std::int64_t message_bytes = std::int64_t{4} * 1024 * 1024;
  // Maximum number of outgoing sockets; the least recently used one is closed
  // to open a new one.
  std::size_t peers = 256;
  // An outgoing socket is closed after it has been unused for this long.
  duration idle_timeout = std::chrono::seconds(30);
};

// Callbacks for received messages and periodic work. Both run on the
// transport's thread.
struct peer_callbacks {
  std::function<void(peer_message&&)> on_message;
  std::function<void()> on_tick;
};

// Messages may be lost, delayed or duplicated, but are never truncated.
// Thread-safe, except Start() and Stop().
class peer_transport {
 public:
  // Throws zmq::error_t if the address can't be bound.
  peer_transport(std::string_view listen_address,
                 const peer_transport_limits& limits);
  ~peer_transport();
  peer_transport(const peer_transport&) = delete;
  peer_transport& operator=(const peer_transport&) = delete;

  // The address with the bound port, as other instances use it.
  const std::string& address() const { return address_; }

  void Start(peer_callbacks callbacks);
  // Stops the thread and lets queued messages be sent for at most
  // `flush_limit`, in microseconds.
  void Stop(duration flush_limit);

  // Queues a message; drops it and returns false if the queue is full.
  bool Send(std::string_view to_address, const peer_message& message);

  std::uint64_t sent_bytes() const { return sent_bytes_.load(kRelaxed); }
  std::uint64_t received_bytes() const {
    return received_bytes_.load(kRelaxed);
  }
  std::uint64_t dropped_messages() const { return dropped_.load(kRelaxed); }

 private:
  static constexpr std::memory_order kRelaxed = std::memory_order_relaxed;

  struct queued_message {
    std::string to_address;
    std::string bytes;
  };
  struct outgoing_socket {
    zmq::socket_t socket;
    time_point used_at;
  };

  void Run();
  void DrainWakeSignals();
  void ReadIncoming();
  void SendQueued();
  void SendToPeer(const queued_message& message);
  outgoing_socket& SocketFor(const std::string& to_address);
  void CloseIdleSockets();

  peer_transport_limits limits_;
  steady_source clock_;
  zmq::context_t context_;
  zmq::socket_t incoming_;
  zmq::socket_t wake_receiver_;
  std::string address_;
  peer_callbacks callbacks_;
  std::map<std::string, outgoing_socket, std::less<>> outgoing_;
  std::mutex mutex_;
  // Guarded by mutex_, as are queue_ and queued_bytes_.
  zmq::socket_t wake_sender_;
  std::deque<queued_message> queue_;
  std::size_t queued_bytes_ = 0;
  std::atomic<bool> stopping_{false};
  std::atomic<std::uint64_t> sent_bytes_{0};
  std::atomic<std::uint64_t> received_bytes_{0};
  std::atomic<std::uint64_t> dropped_{0};
  std::thread thread_;
  // Id of the thread that runs Run(). Stored separately, because other threads
  // may call Send() while Start() is still assigning `thread_`.
  std::atomic<std::thread::id> run_thread_;
};

}  // namespace anvilloom

#endif  // WIRE_PEER_TRANSPORT_H_
