// Defines paced_queue, a queue of messages that are sent in bursts small enough
// for the buffers of a slow link.
#ifndef INSTANCES_PACED_QUEUE_H_
#define INSTANCES_PACED_QUEUE_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "common/time.h"

namespace anvilloom {

// Not thread-safe.
class paced_queue {
 public:
  // Shared, since one message may be queued for many recipients.
  using message = std::shared_ptr<const std::string>;

  // Drops the message if the queue is full.
  void Push(std::string_view address, message content, time_point now) {
    if (queued_.size() >= kMaxQueued) {
      ++dropped_;
      return;
    }
    queued_.push_back({std::string(address), std::move(content), now});
  }

  // Removes the messages of one burst and passes each of them to `send` as
  // (address, content).
  template <typename Send>
  void TakeBurst(time_point now, Send send) {
    std::size_t bytes = 0;
    while (!queued_.empty() && bytes < kBurstBytes) {
      const entry& first = queued_.front();
      longest_wait_ = std::max(longest_wait_, now - first.queued_at);
      bytes += first.content->size() + kHeaderBytes;
      send(std::string_view(first.address), std::string_view(*first.content));
      queued_.pop_front();
    }
  }

  bool empty() const { return queued_.empty(); }
  std::size_t size() const { return queued_.size(); }
  // Returns the longest time that a message sent since the last call had
  // waited.
  duration TakeLongestWait() {
    return std::exchange(longest_wait_, duration::zero());
  }
  std::uint64_t dropped() const { return dropped_; }

  // With one burst every 20 ms this is 0.8 MB/s, two thirds of a 10 Mbit/s
  // link, the slowest link in the user requirements.
  static constexpr std::size_t kBurstBytes = std::size_t{16} * 1024;

 private:
  // Size of the Ethernet, IP and UDP headers of a datagram.
  static constexpr std::size_t kHeaderBytes = 42;
  // Holds several seconds of small messages. Further messages are dropped,
  // since a newer report would replace them before they could be sent.
  static constexpr std::size_t kMaxQueued = 8192;

  struct entry {
    std::string address;
    message content;
    time_point queued_at;
  };

  std::deque<entry> queued_;
  std::uint64_t dropped_ = 0;
  duration longest_wait_ = duration::zero();
};

}  // namespace anvilloom

#endif  // INSTANCES_PACED_QUEUE_H_
