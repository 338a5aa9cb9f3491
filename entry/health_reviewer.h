// Defines health_reviewer, the periodic task that turns what requests saw of
// the upstreams into the conditions of their links.
#ifndef ENTRY_HEALTH_REVIEWER_H_
#define ENTRY_HEALTH_REVIEWER_H_

#include <map>
#include <string>

#include "entry/process_state.h"
#include "links/health.h"
#include "wire/transfer.h"

namespace anvilloom {

// Runs on the control thread, the only one that sets conditions.
class health_reviewer {
 public:
  explicit health_reviewer(process_state& process) : process_(process) {}

  // Reviews all links at intervals until the context stops.
  awaitable<void> Run();

 private:
  struct reviewed {
    upstream_health health;
    bool was_leaving = false;
    time_point refused_at;
  };

  void ReviewAll();
  void Review(const topology& world, upstream_index index);
  // Ends the hold of a refusal that said the upstream is leaving.
  void EndRefusal(reviewed& held, link& path, time_point now);

  process_state& process_;
  std::map<std::string, reviewed, std::less<>> reviewed_;
};

}  // namespace anvilloom

#endif  // ENTRY_HEALTH_REVIEWER_H_
