// Defines serving_view, an immutable snapshot of what this instance serves: the
// manifest in force and the announced upstreams.
#ifndef ENTRY_SERVING_VIEW_H_
#define ENTRY_SERVING_VIEW_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "contracts/distributed_rate_limiter.h"
#include "contracts/manifest.h"
#include "links/pooled_upstream.h"

namespace anvilloom {

struct serving_view {
  // Null before the first manifest.
  std::shared_ptr<const manifest_index> manifest;
  std::map<std::string, upstream_pool, std::less<>> pools;
  std::map<std::string, std::shared_ptr<distributed_rate_limiter>, std::less<>>
      rate_limiters;

  const upstream_pool* FindPool(std::string_view service) const;
  distributed_rate_limiter* FindRateLimiter(std::string_view workspace) const;
};

// Returns the limit of a workspace in the form that its rate limiter takes.
rate_limit RateLimitOf(const manifest_workspace& workspace);

// Builds the views of one process. Upstreams, service statistics and rate
// limiters are shared between views and outlive them. Owned by the control
// thread.
class serving_view_builder {
 public:
  void SetManifest(std::shared_ptr<const manifest_index> manifest) {
    manifest_ = std::move(manifest);
  }

  // Applies an announcement. Returns whether the view changes.
  bool Announce(const upstream_announcement& announced);
  // Records that an upstream is slow until `until` because it has just started.
  void SetCold(std::string_view id, deadline until);
  // Removes an upstream, which gets no new work on any thread from now on.
  // Returns whether it existed.
  bool Remove(std::string_view id);

  std::vector<std::string> UpstreamIds() const;
  const pooled_upstream* Find(std::string_view id) const;
  const manifest_index* manifest() const { return manifest_.get(); }

  std::shared_ptr<const serving_view> Build();

 private:
  // Lifetimes of upstreams that are remembered after their entries have gone or
  // changed. More than an instance sees within the time in which a store that
  // was away brings entries back.
  static constexpr std::size_t kRememberedLifetimes = 1024;

  // Remembers an upstream whose entry has gone or changed. Calls to it may be
  // under way, and their answers may say later that it is leaving.
  void Remember(std::shared_ptr<const pooled_upstream> upstream);
  // Whether a remembered upstream of this lifetime has said that it is leaving.
  bool HasSaidLeaving(std::uint64_t lifetime) const;

  std::shared_ptr<const manifest_index> manifest_;
  // Whether a view with upstreams was built.
  bool is_built_ = false;
  std::map<std::string, std::shared_ptr<pooled_upstream>, std::less<>>
      upstreams_;
  // Oldest first.
  std::deque<std::shared_ptr<const pooled_upstream>> remembered_;
  std::map<std::string, std::shared_ptr<service_stats>, std::less<>> stats_;
  std::map<std::string, std::shared_ptr<distributed_rate_limiter>, std::less<>>
      rate_limiters_;
};

}  // namespace anvilloom

#endif  // ENTRY_SERVING_VIEW_H_
