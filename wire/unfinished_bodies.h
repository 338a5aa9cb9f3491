// Defines unfinished_bodies, the requests that one thread is reading, heads
// included, and the rules by which one of them is given up or woken.
#ifndef WIRE_UNFINISHED_BODIES_H_
#define WIRE_UNFINISHED_BODIES_H_

#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>

#include "common/time.h"

namespace anvilloom {

// What is known of a body that has not arrived completely.
struct body_progress {
  // Identifies the client: a hash of its IP address.
  std::uint64_t client = 0;
  time_point since;
  // Memory that the body holds.
  std::size_t held = 0;
};

// Returns the index of the body that is given up for memory: the oldest one of
// the client with the most bodies that hold memory. Returns nullopt if none
// holds memory.
std::optional<std::size_t> ChooseGivenUp(
    std::span<const body_progress> unfinished);

// A body that a coroutine is reading.
struct body_read {
  boost::beast::tcp_stream* stream = nullptr;
  body_progress progress;
  // Set while the body waits for memory, of which it wants `wanted` bytes.
  boost::asio::steady_timer* waiting = nullptr;
  std::size_t wanted = 0;
  // Set once the body must not be read on, to release its memory.
  bool given_up = false;
  // Set once the body must not wait for memory any more.
  bool stopped = false;
};

// Must be used on the thread that reads the bodies, except held().
class unfinished_bodies {
 public:
  using read_id = std::uint64_t;

  // `read` must stay in place until Remove().
  read_id Add(body_read& read);
  // Returns whether the body was given up.
  bool Remove(read_id id);
  void SetHeld(body_read& read, std::size_t held);

  // Stops the read that ChooseGivenUp() names; returns false if there is none.
  bool GiveUpOne();
  // Ends the wait of the body that wants the least memory, so that it tries
  // again.
  void WakeSmallest();
  // Ends the waits of all bodies, which then fail.
  void StopWaits();
  // The same for the body that is read from a stream, if there is one.
  void StopWait(const boost::beast::tcp_stream& stream);

  // Memory that the bodies hold and that is not about to be released.
  // Thread-safe; may be out of date.
  std::size_t held() const { return held_.load(std::memory_order_relaxed); }

 private:
  static void EndWait(body_read& read);
  void AddHeld(std::size_t added, std::size_t removed);

  std::map<read_id, body_read*> reads_;
  read_id next_ = 0;
  std::atomic<std::size_t> held_{0};
};

}  // namespace anvilloom

#endif  // WIRE_UNFINISHED_BODIES_H_
