#include "instances/upstream_log.h"

#include <algorithm>

namespace anvilloom {

void upstream_log::Record(const upstream_change& change,
                          std::uint64_t through,
                          time_point now) {
  const std::string& id = change.announced.id;
  const auto known = positions_.find(id);
  if (known != positions_.end()) {
    changes_.erase({known->second, id});
    known->second = through;
  } else {
    positions_.emplace(id, through);
  }
  changes_.insert_or_assign({through, id}, entry{change, now});
}

void upstream_log::BeginAt(std::uint64_t through) {
  forgotten_through_ = std::max(forgotten_through_, through);
}

upstream_log::extract upstream_log::After(std::uint64_t after,
                                          std::uint64_t through) const {
  extract found;
  found.from = after;
  found.whole = after < forgotten_through_;
  const auto begin = found.whole
                         ? changes_.begin()
                         : changes_.lower_bound({after + 1, std::string()});
  for (auto at = begin; at != changes_.end() && at->first.first <= through;
       ++at) {
    if (!found.whole || !at->second.change.removed) {
      found.changes.push_back(at->second.change);
    }
  }
  return found;
}

upstream_log::extract upstream_log::Latest(time_point since,
                                           std::uint64_t through,
                                           std::size_t max_bytes) const {
  extract found;
  found.from = forgotten_through_;
  std::size_t bytes = 0;
  const auto first = std::find_if(
      changes_.rbegin(), changes_.rend(),
      [through](const auto& each) { return each.first.first <= through; });
  for (auto group = first; group != changes_.rend();) {
    // Changes that the same revision covers belong together.
    const std::uint64_t revision = group->first.first;
    auto end = group;
    bool recent = true;
    for (; end != changes_.rend() && end->first.first == revision; ++end) {
      recent = recent && end->second.learned_at >= since;
      bytes += MessageBytes(end->second.change);
    }
    if (!recent || bytes > max_bytes) {
      found.from = std::max(found.from, revision);
      break;
    }
    for (; group != end; ++group) {
      found.changes.push_back(group->second.change);
    }
  }
  return found;
}

void upstream_log::ForgetRemovals(time_point before) {
  std::erase_if(changes_, [&](const auto& each) {
    const auto& [at, kept] = each;
    if (!kept.change.removed || kept.learned_at >= before) {
      return false;
    }
    forgotten_through_ = std::max(forgotten_through_, at.first);
    positions_.erase(at.second);
    return true;
  });
}

std::size_t MessageBytes(const upstream_change& change) {
  // Tags and numbers of a change, and the length of each string.
  constexpr std::size_t kFixedBytes = 52;
  const upstream_announcement& announced = change.announced;
  return kFixedBytes + announced.id.size() + announced.service.size() +
         announced.address.size() + announced.domain.size() +
         announced.version.size();
}

}  // namespace anvilloom
