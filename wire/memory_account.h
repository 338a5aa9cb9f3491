// Defines memory_account, the memory that a process may use for what its peers
// have sent and what has not been passed on, and the shares of it that requests
// and answers hold.
#ifndef WIRE_MEMORY_ACCOUNT_H_
#define WIRE_MEMORY_ACCOUNT_H_

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <utility>

#include "common/time.h"

namespace anvilloom {

// Bytes in use under a limit. Thread-safe. The operations are sequentially
// consistent, which memory_account::Release() depends on.
class memory_budget {
 public:
  explicit memory_budget(std::size_t limit_bytes) : limit_bytes_(limit_bytes) {}

  // Adds bytes unless the limit would be exceeded.
  bool TryAdd(std::size_t bytes) { return TryAddBelow(bytes, limit_bytes_); }
  // Same with a lower limit.
  bool TryAddBelow(std::size_t bytes, std::size_t limit_bytes) {
    std::size_t used = used_.load();
    while (used + bytes <= limit_bytes) {
      if (used_.compare_exchange_weak(used, used + bytes)) {
        return true;
      }
    }
    return false;
  }
  // Adds bytes, also over the limit, if nothing but `own` bytes is in use.
  bool TryAddAlone(std::size_t bytes, std::size_t own) {
    return used_.compare_exchange_strong(own, own + bytes);
  }
  void Remove(std::size_t bytes) { used_.fetch_sub(bytes); }
  std::size_t used() const { return used_.load(std::memory_order_relaxed); }
  std::size_t limit() const { return limit_bytes_; }

 private:
  std::size_t limit_bytes_;
  std::atomic<std::size_t> used_{0};
};

// Requests and answers have budgets of their own, so that neither can use up
// the memory of the other. Thread-safe.
class memory_account {
 public:
  // The parts of the machine's memory. The buffers of answers may take twice
  // the bytes that are counted, and a request body is held once, so both
  // together take at most half of the memory. The program and the connections
  // need the rest.
  static constexpr std::size_t kAnswerDivisor = 8;
  static constexpr std::size_t kRequestDivisor = 4;
  // A body of up to this size is small. The last quarter of the memory for
  // requests is kept for small bodies.
  static constexpr std::size_t kSmallBodyBytes = std::size_t{16} * 1024;
  // Bodies that arrive at the same time are given up at most at this rate, so
  // that a burst of large ones is delayed rather than refused.
  static constexpr duration kGiveUpInterval = std::chrono::milliseconds(100);

  explicit memory_account(std::size_t memory_bytes)
      : answers_(memory_bytes / kAnswerDivisor),
        requests_(memory_bytes / kRequestDivisor) {}

  memory_budget& answers() { return answers_; }
  const memory_budget& answers() const { return answers_; }
  const memory_budget& requests() const { return requests_; }

  // Reserves memory for a body that holds `own` bytes and is to hold `own` +
  // `bytes`; `small` is whether it may be small. A body that is alone is always
  // admitted, since the limit on bodies may exceed the budget.
  bool TryReserve(std::size_t bytes, std::size_t own, bool small) {
    const std::size_t limit =
        small ? requests_.limit() : requests_.limit() / 4 * 3;
    return requests_.TryAddBelow(bytes, limit) ||
           requests_.TryAddAlone(bytes, own);
  }
  void Release(std::size_t bytes) {
    requests_.Remove(bytes);
    // Sequentially consistent with AddWaiter(): a waiter that did not find the
    // released bytes is seen here.
    if (waiters_.load() > 0) {
      released_();
    }
  }

  // Bodies that wait for memory. A waiter must try to reserve once more between
  // AddWaiter() and its wait.
  void AddWaiter() { waiters_.fetch_add(1); }
  void RemoveWaiter() { waiters_.fetch_sub(1); }
  std::uint32_t waiters() const { return waiters_.load(); }

  // Sets what is called, on any thread, when memory is released while bodies
  // wait. Must be called before the threads start.
  void SetReleased(std::function<void()> released) {
    released_ = std::move(released);
  }

  // Whether an unfinished body may be given up now for one that waits. Only
  // one at a time is, so that waiting bodies first use what it releases, and
  // large bodies have no more of them given up than one in each
  // kGiveUpInterval. Each true result requires EndGiveUp().
  bool TryBeginGiveUp(bool small, time_point now) {
    const duration::rep time = now.time_since_epoch().count();
    if ((!small && time < next_give_up_.load(std::memory_order_relaxed)) ||
        giving_up_.exchange(true)) {
      return false;
    }
    next_give_up_.store(time + kGiveUpInterval.count(),
                        std::memory_order_relaxed);
    return true;
  }
  // `given_up` is whether a body was found and has released its memory.
  void EndGiveUp(bool given_up) {
    given_up_.fetch_add(given_up ? 1 : 0, std::memory_order_relaxed);
    giving_up_.store(false);
  }
  // Bodies that were given up before they were complete.
  std::uint64_t given_up() const {
    return given_up_.load(std::memory_order_relaxed);
  }

 private:
  memory_budget answers_;
  memory_budget requests_;
  std::atomic<std::uint32_t> waiters_{0};
  std::atomic<bool> giving_up_{false};
  std::atomic<duration::rep> next_give_up_{
      std::numeric_limits<duration::rep>::min()};
  std::atomic<std::uint64_t> given_up_{0};
  std::function<void()> released_ = [] {};
};

// The memory that one request body holds, given back on destruction. Not
// thread-safe. The account must outlive it.
class request_share {
 public:
  request_share() = default;
  // `account` is null if memory is not limited.
  explicit request_share(memory_account* account) : account_(account) {}
  request_share(request_share&& other) noexcept
      : account_(std::exchange(other.account_, nullptr)),
        bytes_(std::exchange(other.bytes_, 0)) {}
  request_share& operator=(request_share&& other) noexcept {
    if (this != &other) {
      Shrink(0);
      account_ = std::exchange(other.account_, nullptr);
      bytes_ = std::exchange(other.bytes_, 0);
    }
    return *this;
  }
  ~request_share() { Shrink(0); }

  std::size_t bytes() const { return bytes_; }

  // Returns false, without a change, if the account has no room.
  bool TryGrow(std::size_t bytes, bool small) {
    if (account_ != nullptr &&
        !account_->TryReserve(bytes - bytes_, bytes_, small)) {
      return false;
    }
    bytes_ = bytes;
    return true;
  }
  // Has no effect if the share holds no more than `bytes`.
  void Shrink(std::size_t bytes) {
    if (bytes >= bytes_) {
      return;
    }
    if (account_ != nullptr) {
      account_->Release(bytes_ - bytes);
    }
    bytes_ = bytes;
  }

 private:
  memory_account* account_ = nullptr;
  std::size_t bytes_ = 0;
};

// The memory that the answer to one call holds, given back on destruction. Not
// thread-safe. The budget must outlive it.
class answer_share {
 public:
  // Bytes of each call that the budget does not count. Ordinary answers and
  // events fit into them, so they pass while answers without end use up the
  // budget. The limit on connections bounds the sum.
  static constexpr std::size_t kUncountedBytes = std::size_t{8} * 1024;

  explicit answer_share(memory_budget& budget) : budget_(budget) {}
  ~answer_share() { budget_.Remove(counted_); }
  answer_share(const answer_share&) = delete;
  answer_share& operator=(const answer_share&) = delete;

  // Changes the bytes of answers that the call holds; their buffers may take up
  // to twice as much. Returns false, without a change, if the budget has no
  // room.
  bool Resize(std::size_t bytes) {
    const std::size_t counted =
        bytes > kUncountedBytes ? bytes - kUncountedBytes : 0;
    if (counted > counted_ && !budget_.TryAdd(counted - counted_)) {
      return false;
    }
    if (counted < counted_) {
      budget_.Remove(counted_ - counted);
    }
    counted_ = counted;
    return true;
  }

 private:
  memory_budget& budget_;
  std::size_t counted_ = 0;
};

}  // namespace anvilloom

#endif  // WIRE_MEMORY_ACCOUNT_H_
