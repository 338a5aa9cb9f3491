// Defines simulation, one run of the decision code against fake engines in
// virtual time, repeatable from its seed.
#ifndef TOOLS_SIMULATION_H_
#define TOOLS_SIMULATION_H_

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <string_view>
#include <utility>
#include <vector>

#include "common/random.h"
#include "contracts/admission.h"
#include "links/least_cost.h"
#include "links/reclaim_plan.h"
#include "links/router.h"
#include "links/topology.h"
#include "tools/experiment_result.h"
#include "tools/experiment_setup.h"
#include "tools/fake_engine.h"

namespace anvilloom {

// What a run switches on.
struct simulation_parts {
  least_cost_parts cost;
  bool admission = true;
  bool cache_events = true;
  // Moves streams by links/reclaim_plan; otherwise they run until the engine
  // goes, and are computed again.
  bool reclaim_plan = true;
};

// Where an entry instance's requests go. `Policy` is driven exactly as the
// entry instance drives it: admission by least_cost's estimate, then Choose(),
// then the link's counters and observations.
template <route_policy Policy>
class simulation {
 public:
  simulation(const experiment_setup& setup,
             const simulation_parts& parts,
             std::uint64_t seed)
      : setup_(setup), parts_(parts), random_(seed) {
    thread_random::Seed(seed);
    for (const fake_engine_spec& spec : setup.engines) {
      engines_.emplace_back(spec);
    }
    for (std::uint32_t i = 0; i < setup.entry_instances; ++i) {
      nodes_.push_back(std::make_unique<node>(setup, parts));
    }
    result_.workspaces.resize(setup.demand.size());
  }

  experiment_result Run() {
    const std::uint32_t workspaces =
        static_cast<std::uint32_t>(setup_.demand.size());
    for (std::uint32_t i = 0; i < workspaces; ++i) {
      ScheduleArrival(i);
    }
    for (std::uint32_t i = 0; i < engines_.size(); ++i) {
      At(now_ + setup_.report_interval, [this, i] { Report(i); });
    }
    if (setup_.wave_at > duration::zero()) {
      At(kStart + setup_.wave_at, [this] { Notice(); });
    }
    const time_point end = kStart + setup_.length;
    while (!events_.empty() && events_.top().at < end) {
      const event next = events_.top();
      events_.pop();
      now_ = next.at;
      next.action();
    }
    now_ = end;
    for (std::uint32_t i = 0; i < engines_.size(); ++i) {
      AccountEngine(i);
    }
    LeaveOutUnfinished();
    return std::move(result_);
  }

 private:
  static constexpr time_point kStart{std::chrono::seconds(1000)};
  static constexpr std::size_t kIntervalSample = 8;
  // As in entry/stream_runner.
  static constexpr duration kReplanInterval = std::chrono::milliseconds(100);
  static constexpr duration kExportWait = std::chrono::milliseconds(5);

  struct node {
    node(const experiment_setup& setup, const simulation_parts& parts)
        : world(topology_builder().Configuration(setup.declared).Build()),
          estimator(parts.cost) {
      if constexpr (std::is_same_v<Policy, least_cost>) {
        policy = &estimator;
      } else {
        policy = &baseline;
      }
      estimator.SetMembers(parts.cost.load_correction ? setup.entry_instances
                                                      : 1);
    }
    struct no_policy {};
    std::unique_ptr<const topology> world;
    least_cost estimator;
    std::conditional_t<std::is_same_v<Policy, least_cost>, no_policy, Policy>
        baseline;
    Policy* policy = nullptr;
  };

  struct event {
    time_point at;
    std::uint64_t order;
    std::function<void()> action;
    bool operator<(const event& other) const {
      return std::pair(at, order) > std::pair(other.at, other.order);
    }
  };

  struct engine_state {
    explicit engine_state(const fake_engine_spec& spec) : engine(spec) {}
    fake_engine engine;
    bool stepping = false;
    bool gone = false;
    time_point busy_since;
    double busy_us = 0;
    std::optional<time_point> gone_at;
    std::uint32_t exporting = 0;
  };

  struct request_state {
    std::uint32_t workspace = 0;
    std::uint32_t entry = 0;
    std::uint32_t engine = 0;
    route_request wish;
    // Tokens that the answer will really have; the wish holds max_tokens.
    std::uint32_t answer = 0;
    std::uint32_t delivered = 0;
    std::uint32_t intervals = 0;
    std::uint32_t late_intervals = 0;
    time_point arrived_at;
    time_point sent_at;
    time_point last_token_at;
    bool first_in_target = false;
    bool moved = false;
    // Arrived after the warm-up, so that it counts in its workspace's share.
    bool counted = false;
    std::uint32_t charged = 0;
    // Prompt tokens that the engine had to compute.
    std::uint32_t prefilled = 0;
  };

  void At(time_point when, std::function<void()> action) {
    events_.push({when, next_order_++, std::move(action)});
  }

  bool warm() const { return now_ >= kStart + setup_.warm_up; }

  // What running answers still lack at the end of the run was not refused to
  // their workspaces.
  void LeaveOutUnfinished() {
    for (const request_state& request : requests_) {
      if (request.counted && request.charged > 0) {
        result_.workspaces[request.workspace].tokens_asked -=
            request.answer - request.delivered;
      }
    }
  }

  void ScheduleArrival(std::uint32_t workspace) {
    // A day in the length of the run: half as much at night, half more at noon.
    const double day = std::chrono::duration<double>(now_ - kStart).count() /
                       std::chrono::duration<double>(setup_.length).count();
    const double rate = setup_.demand[workspace].requests_per_second *
                        (1 - 0.5 * std::cos(2 * M_PI * day));
    const double gap_us = -std::log(1 - random_.NextUnit()) / rate * 1e6;
    At(now_ + duration(static_cast<monotonic::rep>(gap_us) + 1),
       [this, workspace] {
         Arrive(workspace);
         ScheduleArrival(workspace);
       });
  }

  request_state MakeRequest(std::uint32_t workspace) {
    const workspace_demand& demand = setup_.demand[workspace];
    request_state made;
    made.workspace = workspace;
    made.entry = random_.NextBelow(setup_.entry_instances);
    made.arrived_at = now_;
    const double kind = random_.NextUnit();
    // Squaring makes low prefix numbers popular.
    const double drawn = random_.NextUnit();
    const auto prefix =
        static_cast<std::uint64_t>(demand.prefixes * drawn * drawn);
    route_request& wish = made.wish;
    if (kind < demand.long_share) {
      wish.wanted = service_index{1};
      wish.prompt_tokens = 2000 + random_.NextBelow(2000);
      made.answer = 600 + random_.NextBelow(900);
      wish.prefix_tokens = 1500;
    } else if (kind < demand.long_share + demand.booking_share) {
      wish.wanted = service_index{2};
      wish.prompt_tokens = 150 + random_.NextBelow(150);
      made.answer = 20 + random_.NextBelow(40);
      wish.prefix_tokens = 100;
    } else {
      wish.wanted = service_index{0};
      wish.prompt_tokens = 700 + random_.NextBelow(800);
      made.answer = 80 + random_.NextBelow(160);
      wish.prefix_tokens = 600;
    }
    const auto service = static_cast<std::uint64_t>(wish.wanted);
    wish.prefix_hash =
        split_mix((std::uint64_t{workspace} * 3 + service) * 1000 + prefix)
            .Next();
    // Callers bound their answers loosely.
    wish.answer_tokens = made.answer + random_.NextBelow(made.answer);
    const contract& terms = setup_.declared.services[service].terms;
    wish.rank = terms.rank;
    wish.first_token_by = deadline::After(now_, terms.first_token_target);
    wish.answer_by = deadline::After(now_, terms.answer_limit);
    return made;
  }

  void Arrive(std::uint32_t workspace) {
    requests_.push_back(MakeRequest(workspace));
    const auto id = static_cast<std::uint32_t>(requests_.size() - 1);
    request_state& request = requests_[id];
    workspace_result& account = result_.workspaces[workspace];
    if (warm()) {
      request.counted = true;
      ++result_.requests;
      ++account.asked;
      account.tokens_asked += request.answer;
    }
    if (parts_.admission && !Admitted(request)) {
      if (warm()) {
        ++result_.refused;
        ++account.refused;
      }
      return;
    }
    request.charged = request.wish.prompt_tokens + request.wish.answer_tokens;
    Account(request).Begin(request.charged, now_);
    Send(id);
  }

  workspace_account& Account(const request_state& request) {
    return *nodes_[request.entry]->world->accounts()[request.workspace];
  }

  bool Admitted(const request_state& request) {
    const node& entry = *nodes_[request.entry];
    const auto expected =
        entry.estimator.Estimate(*entry.world, request.wish, now_);
    if (!expected) {
      return false;
    }
    admission_request wanted;
    wanted.rank = request.wish.rank;
    wanted.answer_by = request.wish.answer_by;
    wanted.expected_first_token = expected->first_token;
    wanted.expected_delay = std::max(
        duration::zero(),
        expected->first_token - request.wish.first_token_by.Remaining(now_));
    wanted.load_permille = expected->load_permille;
    wanted.random = random_.Next();
    const admission_book book{entry.world->workspaces(),
                              entry.world->accounts(), 512};
    return !Admit(book, request.workspace, wanted, now_);
  }

  // Routes a request, or the rest of one whose engine went.
  void Send(std::uint32_t id) {
    request_state& request = requests_[id];
    node& entry = *nodes_[request.entry];
    route_request wish = request.wish;
    wish.prompt_tokens += request.delivered;
    wish.answer_tokens -= request.delivered;
    const auto chosen = entry.policy->Choose(*entry.world, wish, now_);
    if (!chosen) {
      Account(request).End();
      return;
    }
    SendTo(id, *chosen, false);
  }

  // Sends the rest of a request. With `imported`, its KV cache has arrived and
  // nothing is prefilled.
  void SendTo(std::uint32_t id, upstream_index chosen, bool imported) {
    request_state& request = requests_[id];
    const route_request& wish = request.wish;
    request.engine = static_cast<std::uint32_t>(chosen);
    request.sent_at = now_;
    LinkOf(request).Begin(wish.rank);
    fake_sequence sequence;
    sequence.id = id;
    sequence.rank = wish.rank;
    sequence.prefix = wish.prefix_hash;
    sequence.prefix_tokens = wish.prefix_tokens;
    sequence.context_tokens =
        imported ? 0 : wish.prompt_tokens + request.delivered;
    sequence.tokens_left = request.answer - request.delivered;
    engine_state& state = engines_[request.engine];
    state.engine.Add(sequence);
    if (!state.stepping) {
      state.busy_since = now_;
      Step(request.engine);
    }
  }

  link& LinkOf(const request_state& request) {
    return nodes_[request.entry]->world->link_at(
        upstream_index{request.engine});
  }

  void EndUse(const request_state& request) {
    LinkOf(request).End(request.wish.rank);
  }

  void Step(std::uint32_t index) {
    engine_state& state = engines_[index];
    state.stepping = true;
    const duration length = state.engine.BeginStep();
    for (const fake_engine::prefill& done : state.engine.prefills()) {
      RecordPrefill(done);
    }
    PublishCacheEvents(index);
    At(now_ + length, [this, index] { FinishStep(index); });
  }

  void RecordPrefill(const fake_engine::prefill& done) {
    request_state& request = requests_[done.id];
    request.prefilled = done.tokens;
    if (!warm()) {
      return;
    }
    if (request.moved) {
      result_.recomputed_tokens += done.tokens;
    } else {
      result_.prefilled_tokens += done.tokens;
      result_.prompt_tokens += request.wish.prompt_tokens;
    }
  }

  void PublishCacheEvents(std::uint32_t index) {
    if (!parts_.cache_events) {
      return;
    }
    const auto Publish = [&](std::uint64_t prefix, bool stored) {
      if (random_.NextBelow(1000) < setup_.cache_event_loss_permille) {
        return;
      }
      At(now_ + setup_.cache_event_lag, [this, index, prefix, stored] {
        const std::string_view name = setup_.engines[index].name;
        for (const auto& entry : nodes_) {
          if (stored) {
            entry->estimator.CacheStored(prefix, name, now_);
          } else {
            entry->estimator.CacheEvicted(prefix, name);
          }
        }
      });
    };
    for (const std::uint64_t prefix : engines_[index].engine.stored()) {
      Publish(prefix, true);
    }
    for (const std::uint64_t prefix : engines_[index].engine.evicted()) {
      Publish(prefix, false);
    }
  }

  void FinishStep(std::uint32_t index) {
    engine_state& state = engines_[index];
    if (state.gone) {
      return;
    }
    for (const fake_sequence& sequence : state.engine.running()) {
      if (sequence.prefill_left == 0) {
        Deliver(sequence.id, sequence.tokens_left == 1);
      }
    }
    state.engine.EndStep();
    if (state.engine.idle()) {
      state.stepping = false;
      AddBusy(state);
    } else {
      Step(index);
    }
  }

  void Deliver(std::uint32_t id, bool last) {
    request_state& request = requests_[id];
    link& path = LinkOf(request);
    const contract& terms =
        setup_.declared.services[static_cast<std::size_t>(request.wish.wanted)]
            .terms;
    const bool chat = request.wish.wanted == service_index{0};
    if (request.delivered == 0) {
      path.ObserveFirstToken(now_ - request.sent_at);
      path.ObservePrefill(request.prefilled, now_ - request.sent_at);
      request.first_in_target =
          now_ - request.arrived_at <= terms.first_token_target;
      if (warm() && chat) {
        result_.first_token_ms.push_back(
            Milliseconds(now_ - request.arrived_at));
      }
    } else {
      const duration interval = now_ - request.last_token_at;
      if (request.last_token_at >= request.sent_at) {
        path.ObserveTokenInterval(interval, terms.token_interval_target);
      }
      ++request.intervals;
      request.late_intervals += interval > terms.token_interval_target ? 1 : 0;
      if (warm() && chat && id % kIntervalSample == 0) {
        result_.interval_ms.push_back(Milliseconds(interval));
      }
    }
    request.last_token_at = now_;
    ++request.delivered;
    if (request.counted) {
      ++result_.workspaces[request.workspace].tokens_served;
    }
    if (last) {
      Complete(request);
    }
  }

  void Complete(request_state& request) {
    EndUse(request);
    Account(request).End();
    if (!warm()) {
      return;
    }
    result_.tokens += request.answer;
    if (request.first_in_target &&
        request.late_intervals * 20 <= request.intervals) {
      ++result_.requests_in_target;
      result_.tokens_in_target += request.answer;
    }
  }

  void Report(std::uint32_t index) {
    if (engines_[index].gone) {
      return;
    }
    const load_report report = engines_[index].engine.Load();
    At(now_ + setup_.report_lag, [this, index, report] {
      for (const auto& entry : nodes_) {
        entry->world->link_at(upstream_index{index}).Report(report, now_);
      }
    });
    At(now_ + setup_.report_interval, [this, index] { Report(index); });
  }

  void Notice() {
    const std::string& domain = setup_.engines[0].domain;
    for (std::uint32_t i = 0; i < engines_.size(); ++i) {
      const fake_engine_spec& spec = engines_[i].engine.spec();
      if (spec.domain != domain || !spec.reclaimable) {
        continue;
      }
      for (const auto& entry : nodes_) {
        link& path = entry->world->link_at(upstream_index{i});
        path.SetReclaim(deadline::After(now_, setup_.wave_notice));
        path.SetCondition(link_condition::kLeaving);
        entry->estimator.ObserveReclaim(domain, now_);
      }
      At(now_ + setup_.wave_notice, [this, i] { KillEngine(i); });
    }
    for (std::uint32_t i = 0; i < engines_.size(); ++i) {
      const fake_engine_spec& spec = engines_[i].engine.spec();
      if (spec.domain == domain && spec.reclaimable) {
        MoveStreams(i);
      }
    }
  }

  void MoveStreams(std::uint32_t index) {
    if (!parts_.reclaim_plan) {
      return;
    }
    for (const fake_sequence& sequence : engines_[index].engine.All()) {
      PlanStream(index, sequence.id);
    }
  }

  // Decides on a stream as entry/stream_runner does, until it has left.
  void PlanStream(std::uint32_t index, std::uint32_t id) {
    request_state& request = requests_[id];
    if (engines_[index].gone || request.engine != index ||
        !engines_[index].engine.Holds(id)) {
      return;
    }
    link& path = LinkOf(request);
    moving_stream stream;
    stream.prompt_tokens = request.wish.prompt_tokens;
    stream.generated = request.delivered;
    stream.remaining = request.wish.answer_tokens - request.delivered;
    stream.token_interval = path.token_interval_average();
    stream.until_free = path.until_export_ends(now_);
    stream.may_export = request.delivered > 0;
    const auto planned = PlanMove(stream, MoveTargets(request),
                                  path.reclaim_at(), now_, path.export_costs());
    if (!planned || planned->action == reclaim_action::kRunToEnd) {
      At(now_ + kReplanInterval, [this, index, id] { PlanStream(index, id); });
    } else if (planned->action == reclaim_action::kAwaitExport) {
      At(now_ + kExportWait, [this, index, id] { PlanStream(index, id); });
    } else if (planned->action == reclaim_action::kReprefill) {
      Move(index, id, *planned->target, false);
    } else {
      Export(index, id, stream, *planned->target);
    }
  }

  // The stream goes on at the source while its cache travels.
  void Export(std::uint32_t index,
              std::uint32_t id,
              const moving_stream& stream,
              upstream_index target) {
    link& path = LinkOf(requests_[id]);
    const std::uint32_t tokens = stream.prompt_tokens + stream.generated;
    path.TryBeginExport(tokens, now_);
    // Entry instances that export at the same time share the network.
    const std::uint32_t sharing = ++engines_[index].exporting;
    const move_costs costs;
    const duration travel =
        costs.export_overhead + costs.export_per_token * tokens * sharing;
    At(now_ + travel, [this, index, id, target, tokens, travel, &path,
                       from = stream.generated] {
      --engines_[index].exporting;
      path.EndExport(tokens, travel, true);
      request_state& moved = requests_[id];
      // Tokens since the export are computed again.
      if (warm() && moved.engine == index) {
        result_.recomputed_tokens += moved.delivered - from;
      }
      Move(index, id, target, true);
    });
  }

  std::vector<move_target> MoveTargets(const request_state& request) {
    const topology& world = *nodes_[request.entry]->world;
    std::vector<move_target> targets;
    for (std::uint32_t i = 0; i < engines_.size(); ++i) {
      const upstream_index where{i};
      const bool serves = engines_[i].engine.spec().booking ==
                          engines_[request.engine].engine.spec().booking;
      const link& path = world.link_at(where);
      if (serves && path.takes_new_work()) {
        targets.push_back({where, true, 0, path.outstanding_requests()});
      }
    }
    return targets;
  }

  void Move(std::uint32_t from,
            std::uint32_t id,
            upstream_index to,
            bool imported) {
    request_state& request = requests_[id];
    if (engines_[from].gone || !engines_[from].engine.Remove(id)) {
      return;  // It ended, or was computed again after the engine went.
    }
    EndUse(request);
    request.moved = request.delivered > 0;
    SendTo(id, to, imported);
  }

  void KillEngine(std::uint32_t index) {
    engine_state& state = engines_[index];
    AddBusy(state);
    state.gone = true;
    state.gone_at = now_;
    for (const fake_sequence& sequence : state.engine.All()) {
      request_state& request = requests_[sequence.id];
      EndUse(request);
      request.moved = request.delivered > 0;
      Send(sequence.id);
    }
  }

  void AddBusy(engine_state& state) {
    const time_point from = std::max(state.busy_since, kStart + setup_.warm_up);
    if (now_ > from) {
      state.busy_us += static_cast<double>((now_ - from).count());
    }
  }

  void AccountEngine(std::uint32_t index) {
    engine_state& state = engines_[index];
    if (state.stepping && !state.gone) {
      AddBusy(state);
    }
    const double price_per_us =
        static_cast<double>(state.engine.spec().price_per_hour) / 3600e6;
    const time_point until = state.gone_at.value_or(now_);
    result_.busy_cost += state.busy_us * price_per_us;
    result_.paid_cost +=
        static_cast<double>((until - kStart - setup_.warm_up).count()) *
        price_per_us;
  }

  static float Milliseconds(duration value) {
    return static_cast<float>(value.count()) / 1000;
  }

  const experiment_setup& setup_;
  simulation_parts parts_;
  split_mix random_;
  time_point now_ = kStart;
  std::uint64_t next_order_ = 0;
  std::priority_queue<event> events_;
  std::vector<std::unique_ptr<node>> nodes_;
  std::deque<engine_state> engines_;
  std::deque<request_state> requests_;
  experiment_result result_;
};

}  // namespace anvilloom

#endif  // TOOLS_SIMULATION_H_
