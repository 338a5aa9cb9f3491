// Defines simulation, which runs the decision code against simulated engines in
// virtual time, reproducibly for a seed.
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
#include "tools/simulated_engine.h"

namespace anvilloom {

// Features that a run enables.
struct simulation_features {
  least_cost_features cost;
  bool admission = true;
  bool cache_events = true;
  // Moves streams by links/reclaim_plan; otherwise they run until the engine is
  // reclaimed and are computed again.
  bool reclaim_plan = true;
};

// Simulates entry instances that route requests to engines. The decision code
// is called in the same order as in an entry instance: admission by
// least_cost's estimate, then Choose(), then the link's counters and
// observations. Not thread-safe.
template <route_policy Policy>
class simulation {
 public:
  simulation(const experiment_setup& setup,
             const simulation_features& features,
             std::uint64_t seed)
      : setup_(setup), features_(features), random_(seed) {
    thread_random::Seed(seed);
    for (const simulated_engine_spec& spec : setup.engines) {
      engines_.emplace_back(spec);
    }
    for (std::uint32_t i = 0; i < setup.entry_instances; ++i) {
      entry_instances_.push_back(
          std::make_unique<entry_instance>(setup, features));
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
      Schedule(now_ + setup_.report_interval, [this, i] { Report(i); });
    }
    if (setup_.reclaim_wave_at > duration::zero()) {
      Schedule(kStart + setup_.reclaim_wave_at,
               [this] { AnnounceReclaimWave(); });
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
    ExcludeUnfinishedTokens();
    return std::move(result_);
  }

 private:
  static constexpr time_point kStart{std::chrono::seconds(1000)};
  // Token intervals are recorded for one request in eight.
  static constexpr std::size_t kIntervalSampling = 8;
  // As in entry/stream_runner.
  static constexpr duration kReplanInterval = std::chrono::milliseconds(100);
  static constexpr duration kExportPollInterval = std::chrono::milliseconds(5);

  struct entry_instance {
    entry_instance(const experiment_setup& setup,
                   const simulation_features& features)
        : routing_topology(
              topology_builder().Configuration(setup.declared).Build()),
          estimator(features.cost) {
      if constexpr (std::is_same_v<Policy, least_cost>) {
        policy = &estimator;
      } else {
        policy = &baseline;
      }
      estimator.SetMembers(features.cost.load_correction ? setup.entry_instances
                                                         : 1);
    }
    struct empty_policy {};
    std::unique_ptr<const topology> routing_topology;
    least_cost estimator;
    std::conditional_t<std::is_same_v<Policy, least_cost>, empty_policy, Policy>
        baseline;
    Policy* policy = nullptr;
  };

  struct event {
    time_point at;
    std::uint64_t sequence_number;
    std::function<void()> action;
    bool operator<(const event& other) const {
      return std::pair(at, sequence_number) >
             std::pair(other.at, other.sequence_number);
    }
  };

  struct engine_state {
    explicit engine_state(const simulated_engine_spec& spec) : engine(spec) {}
    simulated_engine engine;
    bool stepping = false;
    bool reclaimed = false;
    time_point busy_since;
    double busy_us = 0;
    std::optional<time_point> reclaimed_at;
    std::uint32_t exporting = 0;
  };

  struct request_state {
    std::uint32_t workspace = 0;
    std::uint32_t entry = 0;
    std::uint32_t engine = 0;
    route_request route;
    // Actual length of the answer in tokens; route.answer_tokens is the maximum
    // that the caller requested.
    std::uint32_t answer_length = 0;
    std::uint32_t delivered = 0;
    std::uint32_t intervals = 0;
    std::uint32_t late_intervals = 0;
    time_point arrived_at;
    time_point sent_at;
    time_point last_token_at;
    bool first_in_target = false;
    bool moved = false;
    // Whether it arrived after the warm-up and counts for its workspace.
    bool counted = false;
    std::uint32_t reserved_tokens = 0;
    // Prompt tokens that the engine had to compute.
    std::uint32_t prefilled = 0;
  };

  void Schedule(time_point when, std::function<void()> action) {
    events_.push({when, next_sequence_number_++, std::move(action)});
  }

  bool past_warm_up() const { return now_ >= kStart + setup_.warm_up; }

  // Subtracts the tokens that are not yet delivered at the end of the run from
  // those requested, because they were neither served nor refused.
  void ExcludeUnfinishedTokens() {
    for (const request_state& request : requests_) {
      if (request.counted && request.reserved_tokens > 0) {
        result_.workspaces[request.workspace].tokens_requested -=
            request.answer_length - request.delivered;
      }
    }
  }

  void ScheduleArrival(std::uint32_t workspace) {
    // The run spans one day: the rate is 50% lower at midnight and 50% higher
    // at noon.
    const double day = std::chrono::duration<double>(now_ - kStart).count() /
                       std::chrono::duration<double>(setup_.length).count();
    const double rate = setup_.demand[workspace].requests_per_second *
                        (1 - 0.5 * std::cos(2 * M_PI * day));
    const double gap_us = -std::log(1 - random_.NextUnit()) / rate * 1e6;
    Schedule(now_ + duration(static_cast<monotonic::rep>(gap_us) + 1),
             [this, workspace] {
               HandleArrival(workspace);
               ScheduleArrival(workspace);
             });
  }

  request_state MakeRequest(std::uint32_t workspace) {
    const workspace_demand& demand = setup_.demand[workspace];
    request_state new_request;
    new_request.workspace = workspace;
    new_request.entry = random_.NextBelow(setup_.entry_instances);
    new_request.arrived_at = now_;
    const double kind = random_.NextUnit();
    // Squaring makes low prefix numbers more frequent.
    const double uniform = random_.NextUnit();
    const auto prefix =
        static_cast<std::uint64_t>(demand.prefixes * uniform * uniform);
    route_request& route = new_request.route;
    if (kind < demand.long_share) {
      route.wanted = service_index{1};
      route.prompt_tokens = 2000 + random_.NextBelow(2000);
      new_request.answer_length = 600 + random_.NextBelow(900);
      route.prefix_tokens = 1500;
    } else if (kind < demand.long_share + demand.booking_share) {
      route.wanted = service_index{2};
      route.prompt_tokens = 150 + random_.NextBelow(150);
      new_request.answer_length = 20 + random_.NextBelow(40);
      route.prefix_tokens = 100;
    } else {
      route.wanted = service_index{0};
      route.prompt_tokens = 700 + random_.NextBelow(800);
      new_request.answer_length = 80 + random_.NextBelow(160);
      route.prefix_tokens = 600;
    }
    const auto service = static_cast<std::uint64_t>(route.wanted);
    route.prefix_hash =
        split_mix((std::uint64_t{workspace} * 3 + service) * 1000 + prefix)
            .Next();
    // Callers set max_tokens to 1 to 2 times the actual length of the answer.
    route.answer_tokens = new_request.answer_length +
                          random_.NextBelow(new_request.answer_length);
    const contract& terms = setup_.declared.services[service].terms;
    route.priority_class = terms.priority_class;
    route.first_token_by = deadline::After(now_, terms.first_token_target);
    route.answer_by = deadline::After(now_, terms.answer_limit);
    return new_request;
  }

  void HandleArrival(std::uint32_t workspace) {
    requests_.push_back(MakeRequest(workspace));
    const auto id = static_cast<std::uint32_t>(requests_.size() - 1);
    request_state& request = requests_[id];
    workspace_result& workspace_counts = result_.workspaces[workspace];
    if (past_warm_up()) {
      request.counted = true;
      ++result_.requests;
      ++workspace_counts.requested;
      workspace_counts.tokens_requested += request.answer_length;
    }
    if (features_.admission && !IsAdmitted(request)) {
      if (past_warm_up()) {
        ++result_.refused;
        ++workspace_counts.refused;
      }
      return;
    }
    request.reserved_tokens =
        request.route.prompt_tokens + request.route.answer_tokens;
    Account(request).Begin(request.reserved_tokens, now_);
    Send(id);
  }

  workspace_account& Account(const request_state& request) {
    return *entry_instances_[request.entry]
                ->routing_topology->accounts()[request.workspace];
  }

  bool IsAdmitted(const request_state& request) {
    const entry_instance& entry = *entry_instances_[request.entry];
    const auto expected =
        entry.estimator.Estimate(*entry.routing_topology, request.route, now_);
    if (!expected) {
      return false;
    }
    admission_request admission;
    admission.priority_class = request.route.priority_class;
    admission.answer_by = request.route.answer_by;
    admission.expected_first_token = expected->first_token;
    admission.expected_delay = std::max(
        duration::zero(),
        expected->first_token - request.route.first_token_by.Remaining(now_));
    admission.load_permille = expected->load_permille;
    admission.random = random_.Next();
    const admission_state current_state{entry.routing_topology->workspaces(),
                                        entry.routing_topology->accounts(),
                                        512};
    return !Admit(current_state, request.workspace, admission, now_);
  }

  // Routes a request, or the rest of one whose engine was reclaimed.
  void Send(std::uint32_t id) {
    request_state& request = requests_[id];
    entry_instance& entry = *entry_instances_[request.entry];
    route_request route = request.route;
    route.prompt_tokens += request.delivered;
    route.answer_tokens -= request.delivered;
    const auto chosen =
        entry.policy->Choose(*entry.routing_topology, route, now_);
    if (!chosen) {
      Account(request).End();
      return;
    }
    SendTo(id, *chosen, false);
  }

  // Sends the rest of a request. If `imported`, its KV cache was transferred
  // and nothing is prefilled.
  void SendTo(std::uint32_t id, upstream_index chosen, bool imported) {
    request_state& request = requests_[id];
    const route_request& route = request.route;
    request.engine = static_cast<std::uint32_t>(chosen);
    request.sent_at = now_;
    LinkOf(request).Begin(route.priority_class);
    simulated_sequence sequence;
    sequence.id = id;
    sequence.priority_class = route.priority_class;
    sequence.prefix = route.prefix_hash;
    sequence.prefix_tokens = route.prefix_tokens;
    sequence.context_tokens =
        imported ? 0 : route.prompt_tokens + request.delivered;
    sequence.tokens_left = request.answer_length - request.delivered;
    engine_state& state = engines_[request.engine];
    state.engine.Add(sequence);
    if (!state.stepping) {
      state.busy_since = now_;
      Step(request.engine);
    }
  }

  link& LinkOf(const request_state& request) {
    return entry_instances_[request.entry]->routing_topology->link_at(
        upstream_index{request.engine});
  }

  void ReleaseLink(const request_state& request) {
    LinkOf(request).End(request.route.priority_class);
  }

  void Step(std::uint32_t index) {
    engine_state& state = engines_[index];
    state.stepping = true;
    const duration length = state.engine.BeginStep();
    for (const simulated_engine::prefill& done : state.engine.prefills()) {
      RecordPrefill(done);
    }
    PublishCacheEvents(index);
    Schedule(now_ + length, [this, index] { FinishStep(index); });
  }

  void RecordPrefill(const simulated_engine::prefill& done) {
    request_state& request = requests_[done.id];
    request.prefilled = done.tokens;
    if (!past_warm_up()) {
      return;
    }
    if (request.moved) {
      result_.recomputed_tokens += done.tokens;
    } else {
      result_.prefilled_tokens += done.tokens;
      result_.prompt_tokens += request.route.prompt_tokens;
    }
  }

  void PublishCacheEvents(std::uint32_t index) {
    if (!features_.cache_events) {
      return;
    }
    const auto Publish = [&](std::uint64_t prefix, bool stored) {
      if (random_.NextBelow(1000) < setup_.cache_event_loss_permille) {
        return;
      }
      Schedule(now_ + setup_.cache_event_lag, [this, index, prefix, stored] {
        const std::string_view name = setup_.engines[index].name;
        for (const auto& entry : entry_instances_) {
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
    if (state.reclaimed) {
      return;
    }
    for (const simulated_sequence& sequence : state.engine.running()) {
      if (sequence.prefill_left == 0) {
        Deliver(sequence.id, sequence.tokens_left == 1);
      }
    }
    state.engine.EndStep();
    if (state.engine.idle()) {
      state.stepping = false;
      AddBusyTime(state);
    } else {
      Step(index);
    }
  }

  void Deliver(std::uint32_t id, bool last) {
    request_state& request = requests_[id];
    link& upstream_link = LinkOf(request);
    const contract& terms =
        setup_.declared.services[static_cast<std::size_t>(request.route.wanted)]
            .terms;
    const bool chat = request.route.wanted == service_index{0};
    if (request.delivered == 0) {
      upstream_link.ObserveFirstToken(now_ - request.sent_at);
      upstream_link.ObservePrefill(request.prefilled, now_ - request.sent_at);
      request.first_in_target =
          now_ - request.arrived_at <= terms.first_token_target;
      if (past_warm_up() && chat) {
        result_.first_token_ms.push_back(
            Milliseconds(now_ - request.arrived_at));
      }
    } else {
      const duration interval = now_ - request.last_token_at;
      if (request.last_token_at >= request.sent_at) {
        upstream_link.ObserveTokenInterval(interval,
                                           terms.token_interval_target);
      }
      ++request.intervals;
      request.late_intervals += interval > terms.token_interval_target ? 1 : 0;
      if (past_warm_up() && chat && id % kIntervalSampling == 0) {
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
    ReleaseLink(request);
    Account(request).End();
    if (!past_warm_up()) {
      return;
    }
    result_.tokens += request.answer_length;
    if (request.first_in_target &&
        request.late_intervals * 20 <= request.intervals) {
      ++result_.requests_in_target;
      result_.tokens_in_target += request.answer_length;
    }
  }

  void Report(std::uint32_t index) {
    if (engines_[index].reclaimed) {
      return;
    }
    const load_report report = engines_[index].engine.Load();
    Schedule(now_ + setup_.report_lag, [this, index, report] {
      for (const auto& entry : entry_instances_) {
        entry->routing_topology->link_at(upstream_index{index})
            .Report(report, now_);
      }
    });
    Schedule(now_ + setup_.report_interval, [this, index] { Report(index); });
  }

  void AnnounceReclaimWave() {
    const std::string& domain = setup_.engines[0].domain;
    for (std::uint32_t i = 0; i < engines_.size(); ++i) {
      const simulated_engine_spec& spec = engines_[i].engine.spec();
      if (spec.domain != domain || !spec.reclaimable) {
        continue;
      }
      for (const auto& entry : entry_instances_) {
        link& upstream_link =
            entry->routing_topology->link_at(upstream_index{i});
        upstream_link.SetReclaim(deadline::After(now_, setup_.reclaim_notice));
        upstream_link.SetCondition(link_condition::kLeaving);
        entry->estimator.ObserveReclaim(domain, now_);
      }
      Schedule(now_ + setup_.reclaim_notice, [this, i] { ReclaimEngine(i); });
    }
    for (std::uint32_t i = 0; i < engines_.size(); ++i) {
      const simulated_engine_spec& spec = engines_[i].engine.spec();
      if (spec.domain == domain && spec.reclaimable) {
        MoveStreams(i);
      }
    }
  }

  void MoveStreams(std::uint32_t index) {
    if (!features_.reclaim_plan) {
      return;
    }
    for (const simulated_sequence& sequence :
         engines_[index].engine.Sequences()) {
      PlanStream(index, sequence.id);
    }
  }

  // Decides about a stream as entry/stream_runner does, repeatedly until it has
  // left the engine.
  void PlanStream(std::uint32_t index, std::uint32_t id) {
    request_state& request = requests_[id];
    if (engines_[index].reclaimed || request.engine != index ||
        !engines_[index].engine.Contains(id)) {
      return;
    }
    link& upstream_link = LinkOf(request);
    moving_stream stream;
    stream.prompt_tokens = request.route.prompt_tokens;
    stream.generated = request.delivered;
    stream.remaining = request.route.answer_tokens - request.delivered;
    stream.token_interval = upstream_link.token_interval_average();
    stream.until_free = upstream_link.until_export_ends(now_);
    stream.may_export = request.delivered > 0;
    const auto planned =
        PlanMove(stream, MoveTargets(request), upstream_link.reclaim_at(), now_,
                 upstream_link.export_costs());
    if (!planned || planned->action == reclaim_action::kRunToEnd) {
      Schedule(now_ + kReplanInterval,
               [this, index, id] { PlanStream(index, id); });
    } else if (planned->action == reclaim_action::kAwaitExport) {
      Schedule(now_ + kExportPollInterval,
               [this, index, id] { PlanStream(index, id); });
    } else if (planned->action == reclaim_action::kReprefill) {
      Move(index, id, *planned->target, false);
    } else {
      Export(index, id, stream, *planned->target);
    }
  }

  // Transfers the KV cache while the stream continues on the source engine.
  void Export(std::uint32_t index,
              std::uint32_t id,
              const moving_stream& stream,
              upstream_index target) {
    link& upstream_link = LinkOf(requests_[id]);
    const std::uint32_t tokens = stream.prompt_tokens + stream.generated;
    upstream_link.TryBeginExport(tokens, now_);
    // Concurrent exports from one engine share its bandwidth.
    const std::uint32_t concurrent_exports = ++engines_[index].exporting;
    const move_costs costs;
    const duration transfer_time =
        costs.export_overhead +
        costs.export_per_token * tokens * concurrent_exports;
    Schedule(now_ + transfer_time,
             [this, index, id, target, tokens, transfer_time, &upstream_link,
              from = stream.generated] {
               --engines_[index].exporting;
               upstream_link.EndExport(tokens, transfer_time, true);
               request_state& moved = requests_[id];
               // Tokens generated since the export began are computed again.
               if (past_warm_up() && moved.engine == index) {
                 result_.recomputed_tokens += moved.delivered - from;
               }
               Move(index, id, target, true);
             });
  }

  std::vector<move_target> MoveTargets(const request_state& request) {
    const topology& routing_topology =
        *entry_instances_[request.entry]->routing_topology;
    std::vector<move_target> targets;
    for (std::uint32_t i = 0; i < engines_.size(); ++i) {
      const upstream_index candidate{i};
      const bool serves = engines_[i].engine.spec().booking ==
                          engines_[request.engine].engine.spec().booking;
      const link& upstream_link = routing_topology.link_at(candidate);
      if (serves && upstream_link.takes_new_work()) {
        targets.push_back(
            {candidate, true, 0, upstream_link.outstanding_requests()});
      }
    }
    return targets;
  }

  void Move(std::uint32_t from,
            std::uint32_t id,
            upstream_index to,
            bool imported) {
    request_state& request = requests_[id];
    if (engines_[from].reclaimed || !engines_[from].engine.Remove(id)) {
      return;  // It has ended, or was rerouted after the engine was reclaimed.
    }
    ReleaseLink(request);
    request.moved = request.delivered > 0;
    SendTo(id, to, imported);
  }

  void ReclaimEngine(std::uint32_t index) {
    engine_state& state = engines_[index];
    AddBusyTime(state);
    state.reclaimed = true;
    state.reclaimed_at = now_;
    for (const simulated_sequence& sequence : state.engine.Sequences()) {
      request_state& request = requests_[sequence.id];
      ReleaseLink(request);
      request.moved = request.delivered > 0;
      Send(sequence.id);
    }
  }

  void AddBusyTime(engine_state& state) {
    const time_point from = std::max(state.busy_since, kStart + setup_.warm_up);
    if (now_ > from) {
      state.busy_us += static_cast<double>((now_ - from).count());
    }
  }

  void AccountEngine(std::uint32_t index) {
    engine_state& state = engines_[index];
    if (state.stepping && !state.reclaimed) {
      AddBusyTime(state);
    }
    const double price_per_us =
        static_cast<double>(state.engine.spec().price_per_hour) / 3600e6;
    const time_point until = state.reclaimed_at.value_or(now_);
    result_.busy_cost += state.busy_us * price_per_us;
    result_.paid_cost +=
        static_cast<double>((until - kStart - setup_.warm_up).count()) *
        price_per_us;
  }

  static float Milliseconds(duration value) {
    return static_cast<float>(value.count()) / 1000;
  }

  const experiment_setup& setup_;
  simulation_features features_;
  split_mix random_;
  time_point now_ = kStart;
  std::uint64_t next_sequence_number_ = 0;
  std::priority_queue<event> events_;
  std::vector<std::unique_ptr<entry_instance>> entry_instances_;
  std::deque<engine_state> engines_;
  std::deque<request_state> requests_;
  experiment_result result_;
};

}  // namespace anvilloom

#endif  // TOOLS_SIMULATION_H_
