// Defines paced_queue, messages that wait to be sent in bursts that the buffers
// of a slow link can hold.
#ifndef INSTANCES_PACED_QUEUE_H_
#define INSTANCES_PACED_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace anvilloom {

// Owned by one thread.
class paced_queue {
 public:
  // A message may go to many, so it is shared.
  using message = std::shared_ptr<const std::string>;

  // Drops the message if too many wait.
  void Push(std::string_view address, message content) {
    if (waiting_.size() >= kMostWaiting) {
      ++dropped_;
      return;
    }
    waiting_.push_back({std::string(address), std::move(content)});
  }

  // Hands the messages of one burst to `send`.
  template <typename Send>
  void TakeBurst(Send send) {
    std::size_t bytes = 0;
    while (!waiting_.empty() && bytes < kBurstBytes) {
      const entry& first = waiting_.front();
      bytes += first.content->size() + kHeaderBytes;
      send(std::string_view(first.address), std::string_view(*first.content));
      waiting_.pop_front();
    }
  }

  bool empty() const { return waiting_.empty(); }
  std::uint64_t dropped() const { return dropped_; }

  // With one burst each 20 ms, 0.8 MB a second: two thirds of a link of
  // 10 Mbit/s, the slowest that the users state.
  static constexpr std::size_t kBurstBytes = std::size_t{16} * 1024;

 private:
  // Of the network's headers for one datagram.
  static constexpr std::size_t kHeaderBytes = 42;
  // Some seconds' worth of small messages. What comes on top is dropped: by the
  // time it could leave, a newer report has replaced it.
  static constexpr std::size_t kMostWaiting = 8192;

  struct entry {
    std::string address;
    message content;
  };

  std::deque<entry> waiting_;
  std::uint64_t dropped_ = 0;
};

}  // namespace anvilloom

#endif  // INSTANCES_PACED_QUEUE_H_
