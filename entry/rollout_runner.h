// Defines rollout_runner, which follows the orders to move a service to another
// version. The holder of the duties reads them and writes their status; the
// other instances hear of both in its reports.
#ifndef ENTRY_ROLLOUT_RUNNER_H_
#define ENTRY_ROLLOUT_RUNNER_H_

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "common/hash.h"
#include "common/log.h"
#include "common/printable_text.h"
#include "common/random.h"
#include "entry/gateway_state.h"
#include "entry/peer_reporter.h"
#include "instances/rollout_table.h"
#include "wire/object_store.h"
#include "wire/pause.h"

namespace anvilloom {

// A store whose objects have a status.
template <typename T>
concept status_store = object_store<T> && requires(T& store,
                                                   std::string_view text,
                                                   std::uint64_t version,
                                                   deadline until) {
  {
    store.UpdateStatus(text, text, version, text, until)
    } -> std::same_as<awaitable<store_result<std::uint64_t>>>;
};

// The form in which a platform stores the orders.
template <typename T>
concept rollout_platform = status_store<typename T::store> &&
    requires(std::string_view text,
             std::uint64_t revision,
             const rollout_record& record) {
  {
    T::DecodeRollout(text, revision, text, text)
    } -> std::same_as<std::optional<stored_rollout>>;
  { T::EncodeRolloutStatus(record) } -> std::same_as<std::string>;
  { T::kRolloutKind } -> std::convertible_to<std::string_view>;
};

// Used on the control thread; not thread-safe.
template <rollout_platform Platform>
class rollout_runner {
 public:
  using store = typename Platform::store;

  // `fencing` returns the fencing number of the duty lease, or 0 if this
  // instance does not hold it.
  rollout_runner(gateway_state& state,
                 store& objects,
                 peer_reporter& reporter,
                 std::function<std::uint64_t()> fencing)
      : state_(state),
        store_(objects),
        reporter_(reporter),
        fencing_(std::move(fencing)),
        table_(
            state.settings.name,
            {state.settings.rollout_share, state.settings.rollout_extra_calls},
            {state.settings.rollout_revert},
            Hash64(state.settings.name, state.epoch),
            Lookups()) {}

  // Reads the orders; never returns. The holder of the duties watches them. The
  // others read them once at their start, and again while they don't hear of an
  // order that is under way.
  awaitable<void> Follow() {
    for (;;) {
      const bool holds = fencing_() != 0;
      if (!listed_ || (holds && !is_current_) || MustRead(holds)) {
        co_await List();
      } else if (holds) {
        co_await Watch();
      } else {
        is_current_ = false;
        co_await Pause(kCheckInterval);
      }
    }
  }

  // Judges, decides and reports; never returns.
  awaitable<void> Run() {
    for (;;) {
      const time_point now = state_.clock.Now();
      UpdateMembers(now);
      table_.Judge(now, NowMs());
      Publish();
      const std::uint64_t fencing = fencing_();
      settled_versions announced = Announced();
      if (fencing != 0 && is_current_) {
        // The watch delivers an order before this next round.
        table_.Settle(std::move(last_announced_));
        table_.ConfirmAsHolder(fencing, now);
        if (table_.AwaitsStatus(now)) {
          reporter_.AskForRollouts();
        }
        co_await WriteSteps();
        Publish();
      }
      last_announced_ = std::move(announced);
      Report();
      co_await Pause(kRoundInterval);
    }
  }

  // Applies what another instance reports.
  void Take(const peer_report& report) {
    const time_point now = state_.clock.Now();
    if (report.name == state_.settings.name) {
      return;
    }
    table_.ExpectMember(report.name, report.epoch, true, now);
    if (report.duty_fencing != 0) {
      holder_address_ = report.address;
    }
    if (report.content == report_content::kRolloutQuestion) {
      reporter_.SendRollouts(table_.Reports(now, false), fencing_(),
                             report.address);
      return;
    }
    std::vector<std::string> news;
    for (const rollout_report& each : report.rollouts) {
      if (table_.Take(report.name, report.epoch, each, now)) {
        news.push_back(each.record.order.service);
      }
    }
    if (!news.empty()) {
      Publish();
      Spread(news);
    }
  }

 private:
  static constexpr duration kCallTimeout = std::chrono::seconds(1);
  static constexpr duration kCheckInterval = std::chrono::milliseconds(200);
  static constexpr duration kRetryDelay = std::chrono::milliseconds(300);
  static constexpr duration kWatchTimeout = std::chrono::seconds(10);
  // Rounds in which evidence and confirmations are sent while an order is under
  // way: a holder hears of a bad answer within one, and one that is lost is
  // replaced by the next.
  static constexpr duration kRoundInterval = std::chrono::milliseconds(400);
  // Without an order under way, the holder repeats the results at this
  // interval, for instances that have missed them.
  static constexpr duration kQuietInterval = std::chrono::seconds(4);

  std::uint64_t NowMs() const {
    return static_cast<std::uint64_t>(state_.TimeOfDayMicros() / 1000);
  }
  deadline CallDeadline() const {
    return deadline::After(state_.clock.Now(), kCallTimeout);
  }

  rollout_lookups Lookups() {
    return {[this](const rollout_order& order) { return HasUpstream(order); },
            [this](const rollout_order& order) { return OldCalls(order); },
            [this](const rollout_order& order) { return LongestCall(order); }};
  }

  // Takes the instances that are known from the store, and how often they
  // report.
  void UpdateMembers(time_point now) {
    const peer_report_table& peers = reporter_.peer_reports();
    for (const std::string& name : peers.Names()) {
      table_.ExpectMember(name, 0, false, now);
    }
    table_.SetReportInterval(state_.settings.report_interval *
                             peers.IntervalFactor());
    state_.orders_unread_until_us.store(
        table_.InTouchUntil(now).time_since_epoch().count(),
        std::memory_order_relaxed);
  }

  // Each instance that hears nothing of its order, or may not have heard of
  // one, reads the orders itself, at a random time within the second that
  // follows.
  bool MustRead(bool holds) {
    const time_point now = state_.clock.Now();
    const duration lifetime = state_.settings.rollout_revert / 5;
    const bool out_of_touch = table_.InTouchUntil(now) <= now;
    const bool unsettled = HasUnsettled();
    if (unsettled && !was_unsettled_ && !table_.settled().empty()) {
      // Most hear of the order in this time.
      DelayRead(now);
    }
    was_unsettled_ = unsettled;
    if (holds ||
        (!out_of_touch && !unsettled &&
         !table_.IsUnconfirmedFor(lifetime, now)) ||
        !read_at_.Expired(now)) {
      return false;
    }
    DelayRead(now);
    return true;
  }

  void DelayRead(time_point now) {
    const duration lifetime = state_.settings.rollout_revert / 5;
    const double part = split_mix(thread_random().Next()).NextUnit();
    read_at_ = deadline::After(
        now, lifetime / 2 + duration(static_cast<std::int64_t>(
                                part * static_cast<double>(lifetime.count()))));
  }

  // The versions of the upstreams that are announced now.
  settled_versions Announced() const {
    settled_versions announced;
    const auto view = state_.View();
    for (const auto& [service, pool] : view->pools) {
      for (const auto& each : pool.members) {
        std::vector<std::string>& versions = announced[service];
        const std::string& version = each->announced().version;
        if (std::ranges::find(versions, version) == versions.end()) {
          versions.push_back(version);
        }
      }
    }
    for (auto& [service, versions] : announced) {
      std::ranges::sort(versions);
    }
    return announced;
  }

  // Whether a version has been announced, of a service without an order that is
  // known, since the orders were read.
  bool HasUnsettled() const {
    const settled_versions& settled = table_.settled();
    return std::ranges::any_of(Announced(), [&](const auto& entry) {
      const auto found = settled.find(entry.first);
      const rollout_record* known = table_.Find(entry.first);
      return (known == nullptr || IsFinal(known->step)) &&
             (found == settled.end() ||
              !std::ranges::includes(found->second, entry.second));
    });
  }

  awaitable<void> List() {
    const time_point asked_at = state_.clock.Now();
    settled_versions announced = Announced();
    const auto list =
        co_await store_.List(Platform::kRolloutKind, CallDeadline());
    if (!list || !list->complete) {
      co_await Pause(kRetryDelay);
      co_return;
    }
    std::vector<stored_rollout> orders;
    for (const stored_object& each : list->objects) {
      if (auto order = Platform::DecodeRollout(each.name, each.version,
                                               each.value, each.status)) {
        orders.push_back(std::move(*order));
      } else {
        LogIgnored(each);
      }
    }
    version_ = list->version;
    listed_ = true;
    is_current_ = true;
    table_.TakeStored(orders, asked_at);
    table_.Settle(std::move(announced));
    Publish();
  }

  awaitable<void> Watch() {
    bool changed = false;
    const auto reached = co_await store_.Watch(
        Platform::kRolloutKind, version_,
        [&](const object_event&) {
          changed = true;
          return true;
        },
        deadline::After(state_.clock.Now(), kWatchTimeout));
    if (!reached || changed) {
      is_current_ = false;
    } else {
      version_ = *reached;
    }
    if (!reached && reached.error() != store_error::kGone) {
      co_await Pause(kRetryDelay);
    }
  }

  // An upstream of the new version that may be called.
  bool HasUpstream(const rollout_order& order) const {
    const auto view = state_.View();
    const upstream_pool* pool = view->FindPool(order.service);
    return pool != nullptr &&
           std::ranges::any_of(pool->members, [&](const auto& each) {
             return each->announced().version == order.to && !each->leaving();
           });
  }

  std::uint32_t OldCalls(const rollout_order& order) const {
    const auto view = state_.View();
    const upstream_pool* pool = view->FindPool(order.service);
    return pool == nullptr
               ? 0
               : pool->stats->calls_by_version.CountOthers(order.to);
  }

  // The time limits of the service's routes bound its calls.
  duration LongestCall(const rollout_order& order) const {
    const auto view = state_.View();
    duration longest{0};
    if (view->manifest) {
      for (const manifest_route& route : view->manifest->source().routes) {
        const bool leads_there =
            std::ranges::any_of(route.targets, [&](const auto& target) {
              return target.service == order.service;
            });
        longest = leads_there ? std::max(longest, route.answer_limit) : longest;
      }
    }
    return longest;
  }

  awaitable<void> WriteSteps() {
    const auto writes = table_.DueWrites(state_.clock.Now(), NowMs());
    for (const rollout_table::write& each : writes) {
      // The lease may have been lost during the write before.
      if (fencing_() == 0) {
        co_return;
      }
      const rollout_record& record = each.record;
      const auto stored = co_await store_.UpdateStatus(
          Platform::kRolloutKind, record.order.service, each.revision,
          Platform::EncodeRolloutStatus(record), CallDeadline());
      if (!stored) {
        // The order may have changed, or the write may have taken effect.
        is_current_ = false;
        continue;
      }
      LogStep(record);
      table_.HandleStored(record, *stored, state_.clock.Now());
    }
  }

  // Publishes what calls may be sent to, if it has changed.
  void Publish() {
    if (published_ == table_.view_version()) {
      return;
    }
    published_ = table_.view_version();
    settled_rules rules;
    for (const auto& [service, versions] : table_.settled()) {
      rules[service].among = versions;
    }
    state_.PublishSettled(std::move(rules));
    state_.PublishRollouts(table_.View());
  }

  void Report() {
    const time_point now = state_.clock.Now();
    if (!table_.HasUnfinished()) {
      if (fencing_() != 0 && quiet_report_at_.Expired(now)) {
        quiet_report_at_ = deadline::After(now, kQuietInterval);
        Spread({});
      }
      return;
    }
    if (fencing_() != 0) {
      Spread({});
    } else if (!holder_address_.empty()) {
      reporter_.SendRollouts(table_.Reports(now, true), 0, holder_address_);
    }
  }

  // Passes the rollouts of some services, or of all, on to a few instances.
  void Spread(std::span<const std::string> services) {
    std::vector<rollout_report> reports =
        table_.Reports(state_.clock.Now(), false);
    if (!services.empty()) {
      std::erase_if(reports, [&](const rollout_report& each) {
        return std::ranges::find(services, each.record.order.service) ==
               services.end();
      });
    }
    reporter_.SendRollouts(reports, fencing_(), {});
  }

  void LogStep(const rollout_record& record) const {
    const rollout_verdict* verdict = table_.VerdictOf(record.order.service);
    Log(record.step == rollout_step::kReverted ? log_level::kWarning
                                               : log_level::kInfo,
        log_event::kRolloutStep,
        {{"service", record.order.service},
         {"to", record.order.to},
         {"step", std::string(Name(record.step))},
         {"cause", std::string(table_.CauseOf(record.order.service))},
         {"new_calls",
          std::to_string(verdict == nullptr ? 0 : verdict->new_calls())},
         {"new_failures",
          std::to_string(verdict == nullptr ? 0 : verdict->new_failures())},
         {"old_calls",
          std::to_string(verdict == nullptr ? 0 : verdict->old_calls())}});
  }

  void LogIgnored(const stored_object& object) {
    if (object.version == ignored_revision_) {
      return;
    }
    ignored_revision_ = object.version;
    constexpr std::size_t kMaxLoggedName = 64;
    Log(log_level::kWarning, log_event::kRolloutIgnored,
        {{"order", std::string(CutText(object.name, kMaxLoggedName))},
         {"revision", std::to_string(object.version)}});
  }

  gateway_state& state_;
  store& store_;
  peer_reporter& reporter_;
  std::function<std::uint64_t()> fencing_;
  rollout_table table_;
  std::string holder_address_;
  // The versions that were announced in the last round.
  settled_versions last_announced_;
  bool was_unsettled_ = false;
  // Version of the last list or watch.
  std::uint64_t version_ = 0;
  bool listed_ = false;
  // Whether the table holds what the store had at `version_`.
  bool is_current_ = false;
  std::uint64_t published_ = 0;
  std::uint64_t ignored_revision_ = 0;
  deadline read_at_ = deadline(time_point::min());
  deadline quiet_report_at_ = deadline(time_point::min());
};

}  // namespace anvilloom

#endif  // ENTRY_ROLLOUT_RUNNER_H_
