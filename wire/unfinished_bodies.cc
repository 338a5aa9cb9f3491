#include "wire/unfinished_bodies.h"

#include <unordered_map>
#include <vector>

namespace anvilloom {

std::optional<std::size_t> ChooseGivenUp(
    std::span<const body_progress> unfinished) {
  std::unordered_map<std::uint64_t, std::size_t> counts;
  for (const body_progress& each : unfinished) {
    counts[each.client] += each.held > 0 ? 1 : 0;
  }
  std::optional<std::size_t> chosen;
  for (std::size_t i = 0; i < unfinished.size(); ++i) {
    const body_progress& each = unfinished[i];
    if (each.held == 0) {
      continue;
    }
    if (!chosen) {
      chosen = i;
      continue;
    }
    const body_progress& best = unfinished[*chosen];
    const std::size_t count = counts[each.client];
    const std::size_t best_count = counts[best.client];
    if (count > best_count ||
        (count == best_count && each.since < best.since)) {
      chosen = i;
    }
  }
  return chosen;
}

unfinished_bodies::read_id unfinished_bodies::Add(body_read& read) {
  const read_id id = next_++;
  reads_.emplace_hint(reads_.end(), id, &read);
  return id;
}

bool unfinished_bodies::Remove(read_id id) {
  const auto found = reads_.find(id);
  const bool given_up = found->second->given_up;
  SetHeld(*found->second, 0);
  reads_.erase(found);
  return given_up;
}

void unfinished_bodies::SetHeld(body_read& read, std::size_t held) {
  if (!read.given_up) {
    AddHeld(held, read.progress.held);
  }
  read.progress.held = held;
}

bool unfinished_bodies::GiveUpOne() {
  std::vector<body_read*> candidates;
  std::vector<body_progress> progress;
  for (const auto& [id, read] : reads_) {
    if (!read->given_up) {
      candidates.push_back(read);
      progress.push_back(read->progress);
    }
  }
  const auto chosen = ChooseGivenUp(progress);
  if (!chosen) {
    return false;
  }
  body_read& read = *candidates[*chosen];
  AddHeld(0, read.progress.held);
  read.given_up = true;
  read.stream->cancel();
  EndWait(read);
  return true;
}

void unfinished_bodies::WakeSmallest() {
  body_read* smallest = nullptr;
  for (const auto& [id, read] : reads_) {
    if (read->waiting != nullptr &&
        (smallest == nullptr || read->wanted < smallest->wanted)) {
      smallest = read;
    }
  }
  if (smallest != nullptr) {
    EndWait(*smallest);
  }
}

void unfinished_bodies::StopWaits() {
  for (const auto& [id, read] : reads_) {
    read->stopped = true;
    EndWait(*read);
  }
}

void unfinished_bodies::StopWait(const boost::beast::tcp_stream& stream) {
  for (const auto& [id, read] : reads_) {
    if (read->stream == &stream) {
      read->stopped = true;
      EndWait(*read);
    }
  }
}

// The read is no longer one that waits, also before its coroutine resumes, so
// that the next call wakes another one.
void unfinished_bodies::EndWait(body_read& read) {
  if (read.waiting != nullptr) {
    read.waiting->cancel();
    read.waiting = nullptr;
  }
}

void unfinished_bodies::AddHeld(std::size_t added, std::size_t removed) {
  held_.store(held() + added - removed, std::memory_order_relaxed);
}

}  // namespace anvilloom
