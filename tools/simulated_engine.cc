#include "tools/simulated_engine.h"

#include <algorithm>

namespace anvilloom {

void simulated_engine::Add(const simulated_sequence& sequence) {
  waiting_[static_cast<std::size_t>(sequence.priority_class)].push_back(
      sequence);
}

load_report simulated_engine::Load() const {
  load_report report;
  report.running = static_cast<std::uint32_t>(running_.size());
  report.waiting = static_cast<std::uint32_t>(waiting());
  return report;
}

duration simulated_engine::BeginStep() {
  prefills_.clear();
  stored_.clear();
  evicted_.clear();
  for (auto& queue : waiting_) {
    while (running_.size() < spec_.slots && !queue.empty()) {
      StartNext(queue.front());
      queue.pop_front();
    }
  }
  double step_us =
      spec_.interval_us +
      spec_.interval_step_us * (static_cast<double>(running_.size()) - 1);
  std::uint32_t chunk = spec_.prefill_chunk;
  for (simulated_sequence& sequence : running_) {
    const std::uint32_t prefilled = std::min(chunk, sequence.prefill_left);
    sequence.prefill_left -= prefilled;
    chunk -= prefilled;
  }
  step_us += (spec_.prefill_chunk - chunk) * spec_.prefill_us_per_token;
  return duration(static_cast<monotonic::rep>(step_us));
}

void simulated_engine::EndStep() {
  for (simulated_sequence& sequence : running_) {
    sequence.tokens_left -= sequence.prefill_left == 0 ? 1 : 0;
  }
  std::erase_if(running_, [](const simulated_sequence& sequence) {
    return sequence.tokens_left == 0;
  });
}

std::optional<simulated_sequence> simulated_engine::Remove(std::uint32_t id) {
  const auto TakeFrom =
      [&](auto& sequences) -> std::optional<simulated_sequence> {
    const auto found =
        std::ranges::find(sequences, id, &simulated_sequence::id);
    if (found == sequences.end()) {
      return std::nullopt;
    }
    const simulated_sequence taken = *found;
    sequences.erase(found);
    return taken;
  };
  if (const auto taken = TakeFrom(running_)) {
    return taken;
  }
  for (auto& queue : waiting_) {
    if (const auto taken = TakeFrom(queue)) {
      return taken;
    }
  }
  return std::nullopt;
}

bool simulated_engine::Contains(std::uint32_t id) const {
  const std::vector<simulated_sequence> all = Sequences();
  return std::ranges::find(all, id, &simulated_sequence::id) != all.end();
}

std::vector<simulated_sequence> simulated_engine::Sequences() const {
  std::vector<simulated_sequence> all = running_;
  for (const auto& queue : waiting_) {
    all.insert(all.end(), queue.begin(), queue.end());
  }
  return all;
}

std::size_t simulated_engine::waiting() const {
  std::size_t count = 0;
  for (const auto& queue : waiting_) {
    count += queue.size();
  }
  return count;
}

void simulated_engine::StartNext(simulated_sequence sequence) {
  std::uint32_t uncached = sequence.context_tokens;
  if (uncached > 0 && sequence.prefix_tokens > 0) {
    if (TouchPrefix(sequence.prefix)) {
      uncached -= std::min(uncached, sequence.prefix_tokens);
    } else {
      CachePrefix(sequence.prefix, sequence.prefix_tokens);
    }
  }
  sequence.prefill_left = uncached;
  prefills_.push_back({sequence.id, uncached});
  running_.push_back(sequence);
}

bool simulated_engine::TouchPrefix(std::uint64_t prefix) {
  const auto found = cached_.find(prefix);
  if (found == cached_.end()) {
    return false;
  }
  cache_.splice(cache_.begin(), cache_, found->second);
  return true;
}

void simulated_engine::CachePrefix(std::uint64_t prefix, std::uint32_t tokens) {
  cache_.emplace_front(prefix, tokens);
  cached_[prefix] = cache_.begin();
  cached_tokens_ += tokens;
  stored_.push_back(prefix);
  while (cached_tokens_ > spec_.cache_tokens && cache_.size() > 1) {
    const auto [oldest, size] = cache_.back();
    cached_tokens_ -= size;
    cached_.erase(oldest);
    cache_.pop_back();
    evicted_.push_back(oldest);
  }
}

}  // namespace anvilloom
