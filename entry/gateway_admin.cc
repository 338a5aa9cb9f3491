#include "entry/gateway_admin.h"

#include <algorithm>
#include <array>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>
#include <cstdint>
#include <string_view>

#include "common/hash.h"
#include "entry/memory_metrics.h"
#include "entry/readiness.h"

namespace anvilloom {

namespace {

namespace json = boost::json;

void AppendEra(std::string& out, const store_era& era) {
  if (era.seen() != 0) {
    AppendCounter(out, "store_era", era.seen() - 1);
    AppendCounter(out, "store_view_behind", era.IsViewBehind() ? 1 : 0);
  }
  AppendCounter(out, "store_outdated_answers_total", era.outdated());
  AppendCounter(out, "store_unreadable_eras_total", era.unreadable());
}

void AppendHistogram(std::string& out,
                     std::string_view name,
                     const latency_histogram& histogram) {
  std::uint64_t sum = 0;
  for (std::size_t i = 0; i < latency_histogram::kBuckets; ++i) {
    sum += histogram.bucket(i);
    const bool last = i + 1 == latency_histogram::kBuckets;
    out += "anvilloom_";
    out += name;
    out += "_bucket{le_us=\"";
    out +=
        last ? "inf" : std::to_string(latency_histogram::UpperBound(i).count());
    out += "\"} " + std::to_string(sum) + '\n';
  }
}

void AppendSuspects(std::string& out, const rcu_cell<suspect_view>& suspects) {
  const rcu_read_guard guard;
  const suspect_view& view = suspects.Read(guard);
  std::size_t blocked = 0;
  for (const blocked_group& each : view.groups()) {
    blocked += each.parts.size();
  }
  AppendCounter(out, "suspected_parts", view.suspected());
  AppendCounter(out, "blocked_parts", blocked);
}

std::shared_ptr<const rollout_view> Rollouts(const gateway_state& state) {
  const rcu_read_guard guard;
  return state.rollouts.Read(guard);
}

// The rollouts by step, and the calls of this instance to their new versions.
void AppendRollouts(std::string& out, const rollout_view& rollouts) {
  std::array<std::uint64_t, 4> by_step{};
  rollout_counts sum;
  for (const auto& [service, each] : rollouts) {
    ++by_step.at(static_cast<std::size_t>(each->step));
    for (const rollout_cell& cell : each->work->counters.Snapshot()) {
      sum += cell.new_version;
    }
  }
  for (std::size_t i = 0; i < by_step.size(); ++i) {
    AppendCounter(out,
                  "rollouts_" + std::string(Name(static_cast<rollout_step>(i))),
                  by_step.at(i));
  }
  AppendCounter(out, "rollout_new_calls", sum.calls);
  AppendCounter(out, "rollout_new_failures", sum.failures);
  AppendCounter(out, "rollout_new_slow", sum.slow);
}

json::object DumpRollouts(const rollout_view& rollouts,
                          const serving_view& view,
                          time_point now) {
  json::object dump;
  for (const auto& [service, each] : rollouts) {
    const std::string to = each->trial.only.value_or("");
    const upstream_pool* pool = view.FindPool(service);
    const std::uint32_t old_running =
        pool == nullptr ? 0 : pool->stats->calls_by_version.CountOthers(to);
    json::array except;
    for (const std::string& version : each->rule.except) {
      except.emplace_back(version);
    }
    dump[service] = {{"to", to},
                     {"step", std::string(Name(each->step))},
                     {"only", each->rule.only ? json::value(*each->rule.only)
                                              : json::value()},
                     {"except", std::move(except)},
                     {"may_try", each->work->MayTry(now)},
                     {"found_bad", each->work->stopped()},
                     {"may_use_old", each->work->MayUseOld(now)},
                     {"old_running", old_running}};
  }
  return dump;
}

json::array DumpBlockedParts(const rcu_cell<suspect_view>& suspects,
                             time_point now) {
  json::array blocked;
  const rcu_read_guard guard;
  for (const blocked_group& each : suspects.Read(guard).groups()) {
    blocked.push_back({{"part", FormatHash(each.parts.front())},
                       {"parts", each.parts.size()},
                       {"trial_in_us", each.trial_at.Remaining(now).count()}});
  }
  return blocked;
}

// The shortage of each service in thousandths.
json::object DumpShortages(const serving_view& view, time_point now) {
  json::object shortages;
  for (const auto& [service, pool] : view.pools) {
    shortages[service] =
        static_cast<std::int64_t>(pool.stats->admission.Shortage(now) * 1000);
  }
  return shortages;
}

json::object DumpProfiles(const serving_view& view) {
  json::object profiles;
  for (const auto& [service, pool] : view.pools) {
    if (pool.model) {
      const engine_profile known = pool.stats->profile.profile();
      profiles[service] = {{"fixed_us", known.fixed_us},
                           {"prefill_us_per_token", known.prefill_us_per_token},
                           {"prefill_us_per_pair", known.prefill_us_per_pair},
                           {"running_us_per_token", known.running_us_per_token},
                           {"mean_us_per_token", known.mean_us_per_token},
                           {"queued_us_per_token", known.queued_us_per_token},
                           {"observations", known.observations}};
    }
  }
  return profiles;
}

// 0 if the text is not a number.
std::uint64_t ToNumber(std::string_view text) {
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

// Appends how many upstreams say what their load is, and how many of those get
// a limited part of the calls since they have just started or recovered.
void AppendLoadReports(std::string& out, const serving_view& view) {
  std::uint64_t reporting = 0;
  std::uint64_t paced = 0;
  for (const auto& [service, pool] : view.pools) {
    for (const auto& each : pool.members) {
      reporting += each->reports_load() ? 1 : 0;
      paced += each->pacing().active() ? 1 : 0;
    }
  }
  AppendCounter(out, "load_reporting_upstreams", reporting);
  AppendCounter(out, "paced_upstreams", paced);
}

}  // namespace

bool gateway_admin::Ready() const {
  return !state_.draining.load(std::memory_order_relaxed) &&
         state_.View()->manifest != nullptr;
}

awaitable<void> gateway_admin::Handle(http_exchange& exchange,
                                      std::size_t /*thread*/) {
  const std::string_view path = exchange.path();
  if (path == kReadyPath) {
    const bool ready = Ready();
    co_await exchange.Respond(
        ready ? http_status::ok : http_status::service_unavailable,
        "text/plain", ready ? "ready\n" : "not ready\n");
  } else if (path == "/healthz") {
    co_await exchange.Respond(http_status::ok, "text/plain", "alive\n");
  } else if (path == "/metrics") {
    co_await exchange.Respond(http_status::ok, "text/plain; version=0.0.4",
                              Metrics());
  } else if (path == "/dump") {
    co_await exchange.Respond(http_status::ok, "application/json", Dump());
  } else if (path == kNewsPath) {
    co_await exchange.Respond(
        http_status::ok, "application/octet-stream",
        state_.news_after(ToNumber(exchange.Query("after")),
                          ToNumber(exchange.Query("manifest"))));
  }
}

std::string gateway_admin::Metrics() const {
  const gateway_counters& counters = state_.counters;
  std::string out;
  AppendCounter(out, "calls_total", counters.calls.load());
  AppendCounter(out, "delivered_total", counters.delivered.load());
  AppendCounter(out, "refused_total", counters.refused.load());
  AppendCounter(out, "denied_total", counters.denied.load());
  AppendCounter(out, "failed_total", counters.failed.load());
  AppendCounter(out, "abandoned_total", counters.abandoned.load());
  AppendCounter(out, "repeats_total", counters.repeats.load());
  AppendCounter(out, "resumed_streams_total", counters.resumed_streams.load());
  AppendCounter(out, "ignored_entries_total", counters.ignored_entries.load());
  AppendCounter(out, "crashed_attempts_total",
                counters.crashed_attempts.load());
  AppendCounter(out, "blocked_calls_total", counters.blocked_calls.load());
  AppendCounter(out, "usage_windows_in_doubt_total",
                counters.usage_windows_in_doubt.load());
  AppendCounter(out, "refused_late_total", counters.refused_late.load());
  AppendCounter(out, "refused_for_urgency_total",
                counters.refused_for_urgency.load());
  AppendCounter(out, "refused_over_share_total",
                counters.refused_over_share.load());
  AppendCounter(out, "oversized_answers_total",
                counters.oversized_answers.load());
  AppendCounter(out, "queued_reports", counters.queued_reports.load());
  AppendCounter(out, "dropped_reports_total", counters.dropped_reports.load());
  AppendCounter(out, "report_wait_us", counters.report_wait_us.load());
  AppendMemoryMetrics(out, state_.memory);
  AppendSuspects(out, state_.suspects);
  if (state_.settings.HasRollouts()) {
    AppendRollouts(out, *Rollouts(state_));
  }
  AppendCounter(out, "unfinished", state_.unfinished.load());
  const auto view = state_.View();
  AppendLoadReports(out, *view);
  AppendCounter(out, "manifest_version",
                view->manifest ? view->manifest->version() : 0);
  if (const auto age = state_.ManifestAge()) {
    AppendCounter(out, "manifest_age_us",
                  static_cast<std::uint64_t>(age->count()));
  }
  AppendEra(out, state_.era);
  AppendHistogram(out, "first_byte", counters.first_byte);
  AppendHistogram(out, "whole_answer", counters.whole_answer);
  return out;
}

std::string gateway_admin::Dump() const {
  const auto view = state_.View();
  json::object dump;
  dump["name"] = state_.settings.name;
  dump["failure_domain"] = state_.settings.failure_domain;
  dump["ready"] = Ready();
  dump["manifest_version"] = view->manifest ? view->manifest->version() : 0;
  dump["manifest_in_doubt"] = state_.IsManifestInDoubt();
  if (const auto age = state_.ManifestAge()) {
    dump["manifest_age_us"] = age->count();
  }
  if (state_.era.seen() != 0) {
    dump["store_era"] = state_.era.seen() - 1;
  }
  json::array upstreams;
  for (const auto& [service, pool] : view->pools) {
    for (const auto& each : pool.members) {
      upstreams.push_back({{"id", each->announced().id},
                           {"service", service},
                           {"address", each->announced().address},
                           {"failure_domain", each->announced().domain},
                           {"reclaimable", each->announced().reclaimable},
                           {"version", each->announced().version},
                           {"leaving", each->leaving()},
                           {"running", each->running()},
                           {"running_in_all", each->total_running()},
                           {"unread_tokens", each->total_unread_tokens()},
                           {"pace", each->pace(state_.clock.Now())},
                           {"reports_load", each->reports_load()},
                           {"slowdown", each->slowdown(state_.clock.Now())},
                           {"cold", each->IsCold(state_.clock.Now())},
                           {"paced", each->pacing().active()},
                           {"paced_share", each->pacing().state().share},
                           {"failed_permille", each->failed_permille()}});
    }
  }
  dump["upstreams"] = std::move(upstreams);
  dump["engine_profiles"] = DumpProfiles(*view);
  if (state_.settings.HasRollouts()) {
    dump["rollouts"] =
        DumpRollouts(*Rollouts(state_), *view, state_.clock.Now());
  }
  dump["shortage_permille"] = DumpShortages(*view, state_.clock.Now());
  dump["blocked_parts"] = DumpBlockedParts(state_.suspects, state_.clock.Now());
  return json::serialize(dump);
}

}  // namespace anvilloom
