#include "tools/fake_engine.h"

#include <algorithm>

namespace anvilloom {

void fake_engine::Add(const fake_sequence& sequence) {
  waiting_[static_cast<std::size_t>(sequence.rank)].push_back(sequence);
}

load_report fake_engine::Load() const {
  load_report report;
  report.running = static_cast<std::uint32_t>(running_.size());
  report.waiting = static_cast<std::uint32_t>(waiting());
  return report;
}

duration fake_engine::BeginStep() {
  prefills_.clear();
  stored_.clear();
  evicted_.clear();
  for (auto& queue : waiting_) {
    while (running_.size() < spec_.slots && !queue.empty()) {
      StartNext(queue.front());
      queue.pop_front();
    }
  }
  double spent =
      spec_.interval_us +
      spec_.interval_step_us * (static_cast<double>(running_.size()) - 1);
  std::uint32_t chunk = spec_.prefill_chunk;
  for (fake_sequence& sequence : running_) {
    const std::uint32_t now = std::min(chunk, sequence.prefill_left);
    sequence.prefill_left -= now;
    chunk -= now;
  }
  spent += (spec_.prefill_chunk - chunk) * spec_.prefill_us_per_token;
  return duration(static_cast<monotonic::rep>(spent));
}

void fake_engine::EndStep() {
  for (fake_sequence& sequence : running_) {
    sequence.tokens_left -= sequence.prefill_left == 0 ? 1 : 0;
  }
  std::erase_if(running_, [](const fake_sequence& sequence) {
    return sequence.tokens_left == 0;
  });
}

std::optional<fake_sequence> fake_engine::Remove(std::uint32_t id) {
  const auto Take = [&](auto& sequences) -> std::optional<fake_sequence> {
    const auto found = std::ranges::find(sequences, id, &fake_sequence::id);
    if (found == sequences.end()) {
      return std::nullopt;
    }
    const fake_sequence taken = *found;
    sequences.erase(found);
    return taken;
  };
  if (const auto taken = Take(running_)) {
    return taken;
  }
  for (auto& queue : waiting_) {
    if (const auto taken = Take(queue)) {
      return taken;
    }
  }
  return std::nullopt;
}

bool fake_engine::Holds(std::uint32_t id) const {
  const std::vector<fake_sequence> all = All();
  return std::ranges::find(all, id, &fake_sequence::id) != all.end();
}

std::vector<fake_sequence> fake_engine::All() const {
  std::vector<fake_sequence> all = running_;
  for (const auto& queue : waiting_) {
    all.insert(all.end(), queue.begin(), queue.end());
  }
  return all;
}

std::size_t fake_engine::waiting() const {
  std::size_t count = 0;
  for (const auto& queue : waiting_) {
    count += queue.size();
  }
  return count;
}

void fake_engine::StartNext(fake_sequence sequence) {
  std::uint32_t uncached = sequence.context_tokens;
  if (uncached > 0 && sequence.prefix_tokens > 0) {
    if (Cached(sequence.prefix)) {
      uncached -= std::min(uncached, sequence.prefix_tokens);
    } else {
      Store(sequence.prefix, sequence.prefix_tokens);
    }
  }
  sequence.prefill_left = uncached;
  prefills_.push_back({sequence.id, uncached});
  running_.push_back(sequence);
}

bool fake_engine::Cached(std::uint64_t prefix) {
  const auto found = cached_.find(prefix);
  if (found == cached_.end()) {
    return false;
  }
  cache_.splice(cache_.begin(), cache_, found->second);
  return true;
}

void fake_engine::Store(std::uint64_t prefix, std::uint32_t tokens) {
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
