// Defines health_reviewer, the periodic task that derives the condition of each
// link from the request outcomes recorded on it.
#ifndef ENTRY_HEALTH_REVIEWER_H_
#define ENTRY_HEALTH_REVIEWER_H_

#include <map>
#include <string>

#include "entry/process_state.h"
#include "links/health.h"
#include "wire/transfer.h"

namespace anvilloom {

// Not thread-safe; runs on the control thread, the only one that sets
// conditions.
class health_reviewer {
 public:
  explicit health_reviewer(process_state& process) : process_(process) {}

  // Reviews all links at intervals until the context stops.
  awaitable<void> Run();

 private:
  struct link_review {
    upstream_health health;
    bool was_leaving = false;
    time_point refused_at;
  };

  void ReviewAll();
  void Review(const topology& world, upstream_index index);
  // Clears the leaving state that a refusal has set once it has expired.
  void ExpireRefusal(link_review& review, link& path, time_point now);

  process_state& process_;
  std::map<std::string, link_review, std::less<>> reviews_;
};

}  // namespace anvilloom

#endif  // ENTRY_HEALTH_REVIEWER_H_
