// Defines unfinished_work, which counts work that a planned stop waits for.
#ifndef ENTRY_UNFINISHED_WORK_H_
#define ENTRY_UNFINISHED_WORK_H_

#include <atomic>
#include <cstdint>
#include <utility>

namespace anvilloom {

// Increments a counter on construction and decrements it when the object, or
// the one it was moved to, is destroyed. The counter must outlive it.
class unfinished_work {
 public:
  explicit unfinished_work(std::atomic<std::uint32_t>& count) : count_(&count) {
    count_->fetch_add(1, std::memory_order_relaxed);
  }
  ~unfinished_work() {
    if (count_ != nullptr) {
      // The release pairs with the reader's acquire: a reader that sees zero
      // also sees the effects of the work.
      count_->fetch_sub(1, std::memory_order_release);
    }
  }
  unfinished_work(unfinished_work&& from) noexcept
      : count_(std::exchange(from.count_, nullptr)) {}
  unfinished_work& operator=(unfinished_work&&) = delete;
  unfinished_work(const unfinished_work&) = delete;
  unfinished_work& operator=(const unfinished_work&) = delete;

 private:
  std::atomic<std::uint32_t>* count_;
};

}  // namespace anvilloom

#endif  // ENTRY_UNFINISHED_WORK_H_
