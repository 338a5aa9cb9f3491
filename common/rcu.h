// Defines rcu_cell, a pointer to an immutable value that many threads read
// without locks while one thread replaces it (read-copy-update), and
// rcu_read_guard, the read-side section under which the pointer stays valid.
#ifndef COMMON_RCU_H_
#define COMMON_RCU_H_

#include <atomic>
#include <memory>
#include <utility>

namespace anvilloom {

namespace internal {

// Blocks until every read-side section that was open at the call has ended.
void RcuSynchronize();

}  // namespace internal

// Opens a read-side section for its lifetime. Registers the calling thread on
// first use. Must not be held across a coroutine suspension, because the
// coroutine may resume on another thread and would delay every publisher.
class rcu_read_guard {
 public:
  rcu_read_guard();
  ~rcu_read_guard();
  rcu_read_guard(const rcu_read_guard&) = delete;
  rcu_read_guard& operator=(const rcu_read_guard&) = delete;
};

// Holds the current version of T. Readers never block. Publish() blocks for a
// grace period, so it belongs on a control thread.
template <typename T>
class rcu_cell {
 public:
  explicit rcu_cell(std::unique_ptr<const T> initial)
      : current_(initial.release()) {}
  ~rcu_cell() { delete current_.load(std::memory_order_acquire); }
  rcu_cell(const rcu_cell&) = delete;
  rcu_cell& operator=(const rcu_cell&) = delete;

  // The current version, valid until `guard` is destroyed.
  const T& Read(const rcu_read_guard& /*guard*/) const {
    return *current_.load(std::memory_order_acquire);
  }

  // Replaces the current version and frees the old one after a grace period.
  // Must not be called inside a read-side section of the same thread.
  void Publish(std::unique_ptr<const T> next) {
    const T* old = current_.exchange(next.release(), std::memory_order_acq_rel);
    internal::RcuSynchronize();
    delete old;
  }

 private:
  std::atomic<const T*> current_;
};

}  // namespace anvilloom

#endif  // COMMON_RCU_H_
