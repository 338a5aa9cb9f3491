// Explores all interleavings of two processes, each of which may be paused at
// any step. Guards against both acting at once and against a new holder without
// a larger fencing number.

#include <catch2/catch.hpp>
#include <cstdint>
#include <iostream>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

#include "common/hash.h"
#include "instances/lease.h"

namespace anvilloom {

namespace {

using ticks = std::int64_t;

time_point At(ticks tick) {
  return time_point(duration(tick));
}

lease_timing Terms() {
  return {duration(3), duration(1), duration(0)};
}

// Rules of the protocol, which can be disabled one by one.
struct lease_rules {
  // The holder stops at its own deadline.
  bool stops_at_deadline = true;
  // That deadline is computed from before the write, not from its answer.
  bool deadline_from_before_write = true;
  // Takeover and renewal are conditional on the version.
  bool conditional = true;
};

constexpr ticks kLastTick = 8;
constexpr std::size_t kProcesses = 2;

struct process_state {
  lease_observer observer;
  lease_holder holder{Terms()};
  std::optional<lease_record> seen;
  // The outstanding write, and the new version once it took effect.
  std::optional<lease_record> writing;
  std::uint64_t condition = 0;
  std::optional<std::uint64_t> written;
  bool refused = false;
};

struct lease_system {
  ticks now = 0;
  std::uint64_t version = 0;
  std::optional<lease_record> stored;
  std::uint64_t largest_fencing = 0;
  bool fencing_repeated = false;
  std::vector<process_state> processes{kProcesses};
};

void Add(std::string& bytes, std::uint64_t value) {
  bytes.append(reinterpret_cast<const char*>(&value), sizeof(value));
}

void Add(std::string& bytes, const std::optional<lease_record>& record) {
  Add(bytes, record.has_value() ? 1 : 0);
  if (record) {
    bytes += record->holder;
    Add(bytes, record->fencing);
    Add(bytes, record->renewals);
  }
}

std::uint64_t Fingerprint(const lease_system& system) {
  std::string bytes;
  Add(bytes, static_cast<std::uint64_t>(system.now));
  Add(bytes, system.version);
  Add(bytes, system.stored);
  for (const process_state& process : system.processes) {
    Add(bytes, process.observer.version());
    for (ticks at = 0; at <= kLastTick; ++at) {
      Add(bytes, process.observer.Expired(At(at)) ? 1 : 0);
      Add(bytes, process.holder.MayAct(At(at)) ? 1 : 0);
    }
    Add(bytes, process.holder.version());
    Add(bytes, process.seen);
    Add(bytes, process.writing);
    Add(bytes, process.condition);
    Add(bytes, process.written.value_or(0));
    Add(bytes, process.refused ? 1 : 0);
  }
  return Hash64(bytes);
}

class lease_explorer {
 public:
  explicit lease_explorer(const lease_rules& rules) : rules_(rules) {}

  // Whether two processes may act at once in some reachable state.
  bool FindsTwoActing() {
    Visit(lease_system{});
    while (!open_.empty() && !two_acting_) {
      const lease_system state = std::move(open_.back());
      open_.pop_back();
      Expand(state);
    }
    std::cout << "lease: " << seen_.size()
              << " states, two acting: " << two_acting_ << '\n';
    return two_acting_;
  }

  bool took_over() const { return took_over_; }
  bool fencing_repeated() const { return fencing_repeated_; }

 private:
  bool Acts(const lease_system& state, const process_state& process) const {
    return rules_.stops_at_deadline ? process.holder.MayAct(At(state.now))
                                    : process.holder.version() != 0;
  }

  void Visit(lease_system state) {
    std::size_t acting = 0;
    for (const process_state& process : state.processes) {
      acting += Acts(state, process) ? 1 : 0;
    }
    two_acting_ = two_acting_ || acting > 1;
    fencing_repeated_ = fencing_repeated_ || state.fencing_repeated;
    if (seen_.insert(Fingerprint(state)).second) {
      open_.push_back(std::move(state));
    }
  }

  void Expand(const lease_system& state) {
    if (state.now < kLastTick) {
      lease_system next = state;
      ++next.now;
      Visit(std::move(next));
    }
    for (std::size_t i = 0; i < state.processes.size(); ++i) {
      lease_system next = state;
      if (Step(next, next.processes[i], static_cast<char>('a' + i))) {
        Visit(std::move(next));
      }
    }
  }

  // Performs the next step of one process. A pause is modeled as time passing
  // without a step of the process.
  bool Step(lease_system& system, process_state& process, char name) {
    if (process.writing && !process.written && !process.refused) {
      ApplyWrite(system, process);
      return true;
    }
    if (process.writing) {
      TakeResult(system, process);
      return true;
    }
    if (process.holder.version() != 0) {
      return Renew(system, process);
    }
    return Contend(system, process, name);
  }

  bool Renew(const lease_system& system, process_state& process) const {
    if (!process.holder.renewal_due().Expired(At(system.now))) {
      return false;
    }
    Begin(system, process, process.holder.Renewal(), process.holder.version());
    return true;
  }

  bool Contend(const lease_system& system,
               process_state& process,
               char name) const {
    const bool unseen =
        system.stored && process.observer.version() != system.version;
    if (unseen) {
      process.observer.Observe(system.version, *system.stored, At(system.now));
      process.seen = system.stored;
      return true;
    }
    if (system.stored && !process.observer.Expired(At(system.now))) {
      return false;
    }
    Begin(system, process,
          TakeOver(process.seen, std::string(1, name), Terms()),
          process.observer.version());
    return true;
  }

  void Begin(const lease_system& system,
             process_state& process,
             lease_record record,
             std::uint64_t condition) const {
    process.holder.BeginWrite(At(system.now));
    process.writing = std::move(record);
    process.condition = condition;
  }

  void ApplyWrite(lease_system& system, process_state& process) {
    const bool matches = process.condition == system.version;
    if (!matches && rules_.conditional) {
      process.refused = true;
      return;
    }
    const lease_record& record = *process.writing;
    if (record.renewals == 0) {
      system.fencing_repeated = record.fencing <= system.largest_fencing;
      system.largest_fencing = record.fencing;
      took_over_ = took_over_ || record.fencing > 1;
    }
    system.stored = record;
    process.written = ++system.version;
  }

  void TakeResult(const lease_system& system, process_state& process) const {
    if (!rules_.deadline_from_before_write) {
      process.holder.BeginWrite(At(system.now));
    }
    if (process.written) {
      process.holder.WriteSucceeded(*process.written, *process.writing);
    } else {
      process.holder.MarkLost();
    }
    process.writing.reset();
    process.written.reset();
    process.refused = false;
  }

  lease_rules rules_;
  bool two_acting_ = false;
  bool took_over_ = false;
  bool fencing_repeated_ = false;
  std::vector<lease_system> open_;
  std::unordered_set<std::uint64_t> seen_;
};

}  // namespace

SCENARIO("Two processes never act at once under one lease", "[lease]") {
  lease_rules rules;

  GIVEN("a paused holder and a process that takes over") {
    lease_explorer explorer(rules);

    THEN("at most one may act in every state, and fencing numbers increase") {
      CHECK_FALSE(explorer.FindsTwoActing());
      CHECK(explorer.took_over());
      CHECK_FALSE(explorer.fencing_repeated());
    }
  }
  WHEN("the holder acts until it learns that it lost the lease") {
    rules.stops_at_deadline = false;
    THEN("two act at once") {
      CHECK(lease_explorer(rules).FindsTwoActing());
    }
  }
  WHEN("the holder computes its deadline from the answer of the write") {
    rules.deadline_from_before_write = false;
    THEN("two act at once") {
      CHECK(lease_explorer(rules).FindsTwoActing());
    }
  }
  WHEN("the store ignores the version of a write") {
    rules.conditional = false;
    THEN("two act at once") {
      CHECK(lease_explorer(rules).FindsTwoActing());
    }
  }
}

}  // namespace anvilloom
