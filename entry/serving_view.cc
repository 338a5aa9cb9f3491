#include "entry/serving_view.h"

#include <algorithm>
#include <utility>

namespace anvilloom {

const upstream_pool* serving_view::FindPool(std::string_view service) const {
  const auto found = pools.find(service);
  return found == pools.end() ? nullptr : &found->second;
}

distributed_rate_limiter* serving_view::FindRateLimiter(
    std::string_view workspace) const {
  const auto found = rate_limiters.find(workspace);
  return found == rate_limiters.end() ? nullptr : found->second.get();
}

rate_limit RateLimitOf(const manifest_workspace& workspace) {
  return {workspace.units_per_second, workspace.burst_units};
}

bool serving_view_builder::Announce(const upstream_announcement& announced) {
  const auto found = upstreams_.find(announced.id);
  if (found != upstreams_.end()) {
    const upstream_announcement& previous = found->second->announced();
    upstream_announcement without_draining = announced;
    without_draining.draining = previous.draining;
    // The remaining time shrinks with each new version of an entry.
    without_draining.cold_remaining_ms = previous.cold_remaining_ms;
    if (without_draining == previous) {
      if (announced.draining && !found->second->leaving()) {
        found->second->Leave();
        return true;
      }
      return false;
    }
    // The same id belongs to a restarted upstream, or has another address.
    Remember(found->second);
    found->second->Leave();
  }
  auto upstream = std::make_shared<pooled_upstream>(announced);
  if (announced.draining) {
    upstream->Leave();
  }
  // Those that this instance finds at its own start have been there before, as
  // far as it knows.
  if (is_built_) {
    upstream->StartPacing();
  }
  if (HasSaidLeaving(upstream->hash())) {
    upstream->LeaveByOwnWord();
  }
  upstreams_.insert_or_assign(announced.id, std::move(upstream));
  return true;
}

void serving_view_builder::SetCold(std::string_view id, deadline until) {
  const auto found = upstreams_.find(id);
  if (found != upstreams_.end()) {
    found->second->SetCold(until);
  }
}

bool serving_view_builder::Remove(std::string_view id) {
  const auto found = upstreams_.find(id);
  if (found == upstreams_.end()) {
    return false;
  }
  Remember(found->second);
  found->second->Leave();
  upstreams_.erase(found);
  return true;
}

void serving_view_builder::Remember(
    std::shared_ptr<const pooled_upstream> upstream) {
  remembered_.push_back(std::move(upstream));
  if (remembered_.size() <= kRememberedLifetimes) {
    return;
  }
  // The oldest one that has said nothing.
  const auto silent = std::ranges::find_if(
      remembered_, [](const auto& each) { return !each->said_leaving(); });
  remembered_.erase(silent == remembered_.end() ? remembered_.begin() : silent);
}

bool serving_view_builder::HasSaidLeaving(std::uint64_t lifetime) const {
  return std::ranges::any_of(remembered_, [lifetime](const auto& each) {
    return each->hash() == lifetime && each->said_leaving();
  });
}

std::vector<std::string> serving_view_builder::UpstreamIds() const {
  std::vector<std::string> ids;
  for (const auto& [id, upstream] : upstreams_) {
    ids.push_back(id);
  }
  return ids;
}

const pooled_upstream* serving_view_builder::Find(std::string_view id) const {
  const auto found = upstreams_.find(id);
  return found == upstreams_.end() ? nullptr : found->second.get();
}

std::shared_ptr<const serving_view> serving_view_builder::Build() {
  is_built_ = is_built_ || !upstreams_.empty();
  auto view = std::make_shared<serving_view>();
  view->manifest = manifest_;
  if (manifest_) {
    for (const manifest_service& service : manifest_->source().services) {
      auto& stats = stats_[service.name];
      if (!stats) {
        stats = std::make_shared<service_stats>();
      }
      view->pools[service.name] = {service.name,
                                   service.model,
                                   stats,
                                   service.transfer_us_per_token,
                                   {}};
    }
    for (const manifest_workspace& workspace : manifest_->source().workspaces) {
      auto& allowance = rate_limiters_[workspace.name];
      if (!allowance) {
        allowance = std::make_shared<distributed_rate_limiter>();
      }
    }
  }
  view->rate_limiters = rate_limiters_;
  for (const auto& [id, upstream] : upstreams_) {
    const auto pool = view->pools.find(upstream->announced().service);
    if (pool != view->pools.end() && !upstream->leaving()) {
      pool->second.members.push_back(upstream);
    }
  }
  return view;
}

}  // namespace anvilloom
