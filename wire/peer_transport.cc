#include "wire/peer_transport.h"

#include <algorithm>
#include <array>
#include <utility>

#include "wire/peer_codec.h"

namespace anvilloom {

namespace {

constexpr std::string_view kWakeAddress = "inproc://wake";
constexpr std::string_view kTcpPrefix = "tcp://";
constexpr int kListenBacklog = 512;
constexpr int kReconnectMs = 50;
constexpr int kMaxReconnectMs = 1000;
constexpr int kConnectTimeoutMs = 2000;
// Maximum number of messages received before queued ones are sent, so that
// neither direction starves.
constexpr int kReadBatch = 64;

std::chrono::milliseconds ToMilliseconds(duration span) {
  return std::chrono::ceil<std::chrono::milliseconds>(span);
}

}  // namespace

peer_transport::peer_transport(std::string_view listen_address,
                               const peer_transport_limits& limits)
    : limits_(limits),
      context_(1),
      incoming_(context_, zmq::socket_type::router),
      wake_receiver_(context_, zmq::socket_type::pull),
      wake_sender_(context_, zmq::socket_type::push) {
  incoming_.set(zmq::sockopt::linger, 0);
  incoming_.set(zmq::sockopt::backlog, kListenBacklog);
  incoming_.set(zmq::sockopt::maxmsgsize, limits_.message_bytes);
  wake_receiver_.set(zmq::sockopt::linger, 0);
  wake_sender_.set(zmq::sockopt::linger, 0);
  wake_receiver_.bind(std::string(kWakeAddress));
  wake_sender_.connect(std::string(kWakeAddress));
  incoming_.bind(std::string(kTcpPrefix) + std::string(listen_address));
  address_ =
      incoming_.get(zmq::sockopt::last_endpoint).substr(kTcpPrefix.size());
}

peer_transport::~peer_transport() {
  Stop(duration::zero());
}

void peer_transport::Start(peer_callbacks callbacks) {
  callbacks_ = std::move(callbacks);
  thread_ = std::thread([this] { Run(); });
}

void peer_transport::Stop(duration flush_limit) {
  if (!thread_.joinable()) {
    return;
  }
  stopping_.store(true, std::memory_order_release);
  {
    const std::lock_guard lock(mutex_);
    wake_sender_.send(zmq::const_buffer(), zmq::send_flags::dontwait);
  }
  thread_.join();
  const int linger = static_cast<int>(ToMilliseconds(flush_limit).count());
  for (auto& [address, peer] : outgoing_) {
    peer.socket.set(zmq::sockopt::linger, linger);
  }
  outgoing_.clear();
}

bool peer_transport::Send(std::string_view to_address,
                          const peer_message& message) {
  std::string bytes = EncodePeerMessage(message);
  const std::lock_guard lock(mutex_);
  if (queue_.size() >= limits_.queued_messages ||
      queued_bytes_ + bytes.size() > limits_.queued_bytes) {
    dropped_.fetch_add(1, kRelaxed);
    return false;
  }
  queued_bytes_ += bytes.size();
  queue_.push_back({std::string(to_address), std::move(bytes)});
  if (queue_.size() == 1 &&
      std::this_thread::get_id() != run_thread_.load(kRelaxed)) {
    wake_sender_.send(zmq::const_buffer(), zmq::send_flags::dontwait);
  }
  return true;
}

void peer_transport::Run() {
  run_thread_.store(std::this_thread::get_id(), kRelaxed);
  deadline next_tick(clock_.Now());
  while (!stopping_.load(std::memory_order_acquire)) {
    std::array<zmq::pollitem_t, 2> items = {
        {{incoming_.handle(), 0, ZMQ_POLLIN, 0},
         {wake_receiver_.handle(), 0, ZMQ_POLLIN, 0}}};
    zmq::poll(items.data(), items.size(),
              ToMilliseconds(next_tick.Remaining(clock_.Now())));
    if ((items[1].revents & ZMQ_POLLIN) != 0) {
      DrainWakeSignals();
    }
    if ((items[0].revents & ZMQ_POLLIN) != 0) {
      ReadIncoming();
    }
    if (next_tick.Expired(clock_.Now())) {
      next_tick = deadline::After(clock_.Now(), limits_.tick);
      callbacks_.on_tick();
      CloseIdleSockets();
    }
    SendQueued();
  }
  SendQueued();
}

void peer_transport::DrainWakeSignals() {
  zmq::message_t wake;
  while (wake_receiver_.recv(wake, zmq::recv_flags::dontwait)) {
  }
}

void peer_transport::ReadIncoming() {
  for (int i = 0; i < kReadBatch; ++i) {
    zmq::message_t identity;
    zmq::message_t body;
    if (!incoming_.recv(identity, zmq::recv_flags::dontwait) ||
        !identity.more() || !incoming_.recv(body, zmq::recv_flags::dontwait)) {
      return;
    }
    // A valid message has exactly two parts: the identity and the body.
    bool more = body.more();
    const bool complete = !more;
    while (more) {
      zmq::message_t rest;
      more = incoming_.recv(rest, zmq::recv_flags::dontwait) && rest.more();
    }
    received_bytes_.fetch_add(body.size(), kRelaxed);
    auto message =
        complete ? DecodePeerMessage(body.to_string_view()) : std::nullopt;
    if (!message) {
      dropped_.fetch_add(1, kRelaxed);
      continue;
    }
    callbacks_.on_message(std::move(*message));
  }
}

void peer_transport::SendQueued() {
  std::deque<queued_message> batch;
  {
    const std::lock_guard lock(mutex_);
    batch.swap(queue_);
    queued_bytes_ = 0;
  }
  for (const queued_message& message : batch) {
    SendToPeer(message);
  }
}

void peer_transport::SendToPeer(const queued_message& message) {
  // ZeroMQ throws if the address is not a literal IP address and port.
  try {
    outgoing_socket& peer = SocketFor(message.to_address);
    const auto sent =
        peer.socket.send(zmq::buffer(message.bytes), zmq::send_flags::dontwait);
    if (sent) {
      sent_bytes_.fetch_add(message.bytes.size(), kRelaxed);
      return;
    }
  } catch (const zmq::error_t&) {
    // The message is counted as dropped below.
  }
  dropped_.fetch_add(1, kRelaxed);
}

peer_transport::outgoing_socket& peer_transport::SocketFor(
    const std::string& to_address) {
  const time_point now = clock_.Now();
  const auto found = outgoing_.find(to_address);
  if (found != outgoing_.end()) {
    found->second.used_at = now;
    return found->second;
  }
  if (outgoing_.size() >= limits_.peers) {
    outgoing_.erase(std::ranges::min_element(
        outgoing_, {}, [](const auto& each) { return each.second.used_at; }));
  }
  zmq::socket_t socket(context_, zmq::socket_type::dealer);
  socket.set(zmq::sockopt::linger, 0);
  socket.set(zmq::sockopt::sndhwm, limits_.peer_messages);
  socket.set(zmq::sockopt::reconnect_ivl, kReconnectMs);
  socket.set(zmq::sockopt::reconnect_ivl_max, kMaxReconnectMs);
  socket.set(zmq::sockopt::connect_timeout, kConnectTimeoutMs);
  socket.connect(std::string(kTcpPrefix) + to_address);
  return outgoing_.emplace(to_address, outgoing_socket{std::move(socket), now})
      .first->second;
}

void peer_transport::CloseIdleSockets() {
  const time_point now = clock_.Now();
  std::erase_if(outgoing_, [&](const auto& each) {
    return now - each.second.used_at > limits_.idle_timeout;
  });
}

}  // namespace anvilloom
