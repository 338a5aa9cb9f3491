// Defines sent_work, what an instance reports about its calls to one upstream.
#ifndef INSTANCES_SENT_WORK_H_
#define INSTANCES_SENT_WORK_H_

#include <cstdint>

namespace anvilloom {

// Outstanding work of an instance at one upstream.
struct sent_work {
  std::uint64_t upstream_hash = 0;
  std::uint32_t running = 0;
  std::uint32_t unread_tokens = 0;
  // Answers that the instance has got while it limits its calls to an upstream
  // that has just started or recovered, and the sum of their ratios
  // (pace_state::ratio) in thousandths. 0 without such a limit.
  std::uint32_t paced_answers = 0;
  std::uint32_t paced_permille = 0;

  // Adds the work of another instance at the same upstream.
  void Add(const sent_work& other) {
    running += other.running;
    unread_tokens += other.unread_tokens;
    paced_answers += other.paced_answers;
    paced_permille += other.paced_permille;
  }
  friend bool operator==(const sent_work&, const sent_work&) = default;
};

}  // namespace anvilloom

#endif  // INSTANCES_SENT_WORK_H_
