// Defines answer_budget, the memory that all calls together may use for answers
// that are not complete, and answer_share, what one call uses of it.
#ifndef ENTRY_ANSWER_BUDGET_H_
#define ENTRY_ANSWER_BUDGET_H_

#include <atomic>
#include <cstddef>

namespace anvilloom {

// Thread-safe.
class answer_budget {
 public:
  explicit answer_budget(std::size_t limit_bytes) : limit_bytes_(limit_bytes) {}

  // Adds bytes unless the limit would be exceeded.
  bool TryAdd(std::size_t bytes) {
    const std::size_t before =
        used_.fetch_add(bytes, std::memory_order_relaxed);
    if (before + bytes <= limit_bytes_) {
      return true;
    }
    Remove(bytes);
    return false;
  }
  void Remove(std::size_t bytes) {
    used_.fetch_sub(bytes, std::memory_order_relaxed);
  }
  std::size_t used() const { return used_.load(std::memory_order_relaxed); }

 private:
  std::size_t limit_bytes_;
  std::atomic<std::size_t> used_{0};
};

// Not thread-safe. The budget must outlive it.
class answer_share {
 public:
  // Bytes of each call that the budget does not count. Ordinary answers and
  // events fit into them, so they pass while answers without end use up the
  // budget. The limit on connections bounds the sum.
  static constexpr std::size_t kUncountedBytes = std::size_t{8} * 1024;

  explicit answer_share(answer_budget& budget) : budget_(budget) {}
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
  answer_budget& budget_;
  std::size_t counted_ = 0;
};

}  // namespace anvilloom

#endif  // ENTRY_ANSWER_BUDGET_H_
