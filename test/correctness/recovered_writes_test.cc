// Guards each kind of write of the system against a store that comes back from
// a copy without it: every kind, with the copy taken at each moment. The
// system writes no status of the manifest; the instances' own entries are
// covered by error.recovered_store_test.

#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "entry/lease_runner.h"
#include "entry/stale_entry_remover.h"
#include "entry/suspect_checkpoint.h"
#include "entry/usage_checkpoint.h"
#include "entry/usage_reporter.h"
#include "instances/rollout_table.h"
#include "platform/rollout_codec.h"
#include "test/support/lease_competitor.h"
#include "test/support/recoverable_store.h"
#include "test/support/remembered_suspects.h"

namespace anvilloom {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// When the copy is taken: around the first of two writes, or after the second.
enum class copy_moment {
  kBeforeWrite,
  kBeforeResponse,
  kAfterResponse,
  kAfterNextWrite
};
constexpr std::initializer_list<copy_moment> kMoments = {
    copy_moment::kBeforeWrite, copy_moment::kBeforeResponse,
    copy_moment::kAfterResponse, copy_moment::kAfterNextWrite};

copy_moment AnyMoment() {
  const auto moment = GENERATE(values(kMoments));
  return moment;
}

// Makes two writes of a kind and replaces the store by a copy. `object` is that
// of the first write, KIND/NAME.
template <typename First, typename Next>
void WriteAndRecover(recoverable_store& store,
                     copy_moment moment,
                     std::string_view object,
                     First first,
                     Next next) {
  bool taken = false;
  const auto take_at = [&](copy_moment at) {
    if (at == moment && !std::exchange(taken, true)) {
      store.TakeCopy();
    }
  };
  take_at(copy_moment::kBeforeWrite);
  store.written = [&](std::string_view written) {
    if (written == object) {
      take_at(copy_moment::kBeforeResponse);
    }
  };
  first();
  store.written = [](std::string_view) {};
  take_at(copy_moment::kAfterResponse);
  next();
  take_at(copy_moment::kAfterNextWrite);
  REQUIRE(taken);
  store.Recover();
}

using window_counts = std::map<std::string, std::uint64_t>;

// The cloud, which must not get two counts of a window.
struct billing {
  awaitable<duty_result> ReportUsage(const usage_report& usage,
                                     std::uint64_t,
                                     deadline) {
    const auto [known, first] = windows.emplace(usage.window, usage.requests);
    changed += known->second != usage.requests ? 1 : 0;
    co_return duty_result::kDone;
  }
  awaitable<duty_result> OrderEngines(const engine_order&,
                                      std::uint64_t,
                                      deadline) {
    co_return duty_result::kDone;
  }

  std::map<std::uint64_t, window_counts> windows;
  int changed = 0;
};

constexpr std::uint64_t kWindow = 1000;
// Longer than all windows of a test.
constexpr duration kLong = std::chrono::minutes(1);
constexpr std::string_view kReport = "usage-reports/1000";
constexpr std::string_view kWorkspace = "studio";

// An instance that reports usage while it has the lease.
class usage_instance {
 public:
  usage_instance(recoverable_store& shared, billing& cloud)
      : state_(Settings()),
        store_(shared, state_.era),
        reporter_(state_, peers_, store_, cloud) {
    state_.usage_sender.announce = [this](const usage_report& report) {
      announced_.push_back(report);
    };
  }

  void Count(std::uint64_t window, int requests) {
    for (int i = 0; i < requests; ++i) {
      state_.usage.Count(window, kWorkspace);
    }
  }
  // Reports as the holder, a while after the end of a window. No other instance
  // has acted as the holder for `held`.
  void ReportAfter(std::uint64_t window,
                   std::uint64_t fencing,
                   duration held = duration::zero()) {
    const duration at =
        state_.settings.usage_window * static_cast<std::int64_t>(window + 1) +
        milliseconds(1600);
    const time_point now = state_.clock.Now();
    state_.wall_offset_us = at.count() - now.time_since_epoch().count();
    // Objects that may be missing are created one in each round.
    constexpr int kRounds = 10;
    for (int round = 0; round < kRounds; ++round) {
      RunCall(reporter_.Report([&] {
        return lease_tenure{fencing, now - held};
      }));
    }
  }
  // Windows that were not reported because an earlier holder may have done so.
  std::uint64_t in_doubt() const {
    return state_.counters.usage_windows_in_doubt;
  }
  // Hears what another instance has announced.
  void HearFrom(const usage_instance& other) {
    for (const usage_report& report : other.announced_) {
      reporter_.Remember(report);
    }
  }

 private:
  static gateway_settings Settings() {
    gateway_settings settings;
    settings.name = "g";
    settings.usage_window = seconds(2);
    return settings;
  }

  gateway_state state_;
  peer_report_table peers_{"g"};
  seen_store store_;
  usage_reporter<seen_store, billing> reporter_;
  std::vector<usage_report> announced_;
};

usage_counts CountsOf(std::string_view process, std::uint64_t requests) {
  usage_counts counts;
  const std::vector<usage_count> all = {
      {kWindow, std::string(kWorkspace), requests}};
  counts.Take({std::string(process), 1}, all);
  return counts;
}

deadline Soon() {
  return deadline(time_point::max());
}

constexpr std::uint64_t kNowMs = 1'700'000'000'000;
constexpr std::string_view kOrders = "rollouts";
constexpr std::string_view kService = "chat";

// An instance that follows the order of a service.
struct rollout_instance {
  rollout_instance(recoverable_store& shared, std::string_view name)
      : store(shared, era),
        table(name,
              {0.1, 50},
              {},
              1,
              {[](const rollout_order&) { return true; },
               [](const rollout_order&) { return 0U; },
               [](const rollout_order&) { return duration(0); }}) {}

  std::optional<stored_rollout> Stored() {
    const auto object = RunCall(store.Get(kOrders, kService, Soon()));
    return object ? platform::DecodeRollout(object->name, object->version,
                                            object->value, object->status)
                  : std::nullopt;
  }
  void Read() {
    const auto stored = Stored();
    REQUIRE(stored);
    table.TakeStored({&*stored, 1}, now);
  }
  void Store(const rollout_record& record, std::uint64_t revision) {
    const auto written = RunCall(
        store.UpdateStatus(kOrders, kService, revision,
                           platform::EncodeRolloutStatus(record), Soon()));
    REQUIRE(written.has_value());
    table.HandleStored(record, *written, now);
  }
  // Writes as the holder, once other instances could have told what they know.
  void WriteDue(std::uint64_t now_ms) {
    now += rollout_timing().delivery();
    WriteAtOnce(now_ms);
  }
  void WriteAtOnce(std::uint64_t now_ms) {
    for (const auto& each : table.DueWrites(now, now_ms)) {
      Store(each.record, each.revision);
    }
  }
  void HearFrom(const rollout_instance& other) {
    for (const rollout_report& each : other.table.Reports(now, false)) {
      table.Take("other", 1, each, now);
    }
  }
  // Whether calls may be sent to the new version as an exposure.
  bool MayTry() const {
    const service_rollout& rollout = *table.View()->find(kService)->second;
    return rollout.step == rollout_step::kObserving &&
           rollout.work->MayTry(now);
  }

  store_era era;
  seen_store store;
  rollout_table table;
  time_point now{seconds(100)};
};

}  // namespace

SCENARIO("The store loses writes of the lease", "[recovered_writes]") {
  const auto moment = AnyMoment();
  GIVEN("a holder and a copy of moment " << static_cast<int>(moment)) {
    recoverable_store store;
    manual_clock clock;
    auto first = std::make_unique<lease_competitor>(store, clock, "first");
    auto second = std::make_unique<lease_competitor>(store, clock, "second");
    std::map<std::uint64_t, std::string> users;
    std::string last;
    std::map<std::string, time_point> acted_at;
    const auto act = [&](const lease_competitor* each,
                         const std::string& name) {
      if (!each->runner.MayAct()) {
        return;
      }
      const auto [user, added] = users.emplace(each->runner.fencing(), name);
      CHECK(user->second == name);
      if (last != name && acted_at.contains(name)) {
        CHECK(clock.now - acted_at[name] >= seconds(3));
      }
      last = name;
      acted_at[name] = clock.now;
    };
    const auto step = [&](lease_competitor* each, const std::string& name) {
      RunCall(each->runner.Step());
      act(each, name);
    };
    const auto hold = [&] {
      do {
        clock.now += milliseconds(100);
        step(first.get(), "first");
      } while (!first->runner.MayAct());
    };
    const auto renew = [&] {
      clock.now += lease_competitor::Terms().renew_interval;
      step(first.get(), "first");
    };
    WriteAndRecover(store, moment, "leases/duties", hold, renew);
    std::string first_name = "first";
    const auto go_on = [&] {
      for (int i = 0; i < 100; ++i) {
        clock.now += milliseconds(100);
        step(second.get(), "second");
        if (first) {
          step(first.get(), first_name);
        }
      }
    };

    WHEN("the holder goes on") {
      go_on();
      THEN("it holds the lease again") {
        CHECK(first->runner.MayAct());
        CHECK_FALSE(second->runner.MayAct());
      }
    }
    WHEN("the holder has ended") {
      first.reset();
      go_on();
      THEN("the other holds the lease") {
        CHECK(second->runner.MayAct());
      }
    }
    WHEN("all instances have restarted") {
      first_name = "first again";
      first = std::make_unique<lease_competitor>(store, clock, first_name);
      second = std::make_unique<lease_competitor>(store, clock, "second");
      go_on();
      THEN("one holds the lease") {
        CHECK(first->runner.MayAct() != second->runner.MayAct());
      }
    }
  }
}

SCENARIO("The store loses final counts of a window", "[recovered_writes]") {
  const auto moment = AnyMoment();
  GIVEN("a reported window and a copy of moment " << static_cast<int>(moment)) {
    recoverable_store store;
    billing cloud;
    usage_instance holder(store, cloud);
    usage_instance other(store, cloud);
    holder.Count(kWindow, 5);
    other.Count(kWindow, 2);
    WriteAndRecover(
        store, moment, kReport, [&] { holder.ReportAfter(kWindow, 7, kLong); },
        [&] {
          // A count that is late must not change the window.
          holder.Count(kWindow, 1);
          holder.ReportAfter(kWindow + 1, 7, kLong);
        });
    REQUIRE(cloud.windows.at(kWindow) ==
            window_counts{{std::string(kWorkspace), 5}});
    const auto stored = [&] {
      const stored_object* object =
          store.Find(kUsageKind, std::to_string(kWindow));
      return object == nullptr ? std::nullopt : DecodeUsage(object->value);
    };
    const bool in_copy = stored().has_value();
    CHECK(in_copy == (moment != copy_moment::kBeforeWrite));

    WHEN("the holder goes on") {
      holder.ReportAfter(kWindow + 1, 8, kLong);
      THEN("the counts are stored again as they were reported") {
        REQUIRE(stored());
        CHECK(stored()->requests == cloud.windows.at(kWindow));
        CHECK(cloud.changed == 0);
      }
    }
    WHEN("another instance that has heard the counts takes over") {
      other.HearFrom(holder);
      other.ReportAfter(kWindow + 1, 9);
      THEN("it reports the same counts") {
        REQUIRE(stored());
        CHECK(stored()->requests == cloud.windows.at(kWindow));
        CHECK(cloud.changed == 0);
      }
    }
    WHEN("all processes that knew the counts are lost") {
      other.ReportAfter(kWindow + 1, 9);
      THEN("no other counts are reported") {
        CHECK(cloud.changed == 0);
        CHECK(stored().has_value() == in_copy);
      }
    }
  }
}

// Guards against two reports with different counts for a window whose final
// counts no process knows any more, and against windows that are missed
// although nobody can have reported them.
SCENARIO("No process is left that knows the final counts of a window",
         "[recovered_writes]") {
  GIVEN("a store that comes back from a copy without a reported window") {
    recoverable_store store;
    billing cloud;
    auto lost = std::make_unique<usage_instance>(store, cloud);
    lost->ReportAfter(kWindow - 1, 7, kLong);
    store.TakeCopy();
    lost->Count(kWindow, 5);
    lost->ReportAfter(kWindow, 7, kLong);
    const window_counts five{{std::string(kWorkspace), 5}};
    const window_counts two{{std::string(kWorkspace), 2}};
    REQUIRE(cloud.windows.at(kWindow) == five);
    store.Recover();
    // A process that starts later, as the holder at the end of the next window.
    const auto report_anew = [&](int requests) {
      auto again = std::make_unique<usage_instance>(store, cloud);
      again->Count(kWindow + 1, requests);
      again->ReportAfter(kWindow + 1, 9);
      return again;
    };

    WHEN("a process that has started since takes over") {
      usage_instance next(store, cloud);
      next.Count(kWindow, 2);
      next.Count(kWindow + 1, 2);
      next.ReportAfter(kWindow, 8);
      THEN("it does not report the window") {
        CHECK(cloud.changed == 0);
        CHECK(next.in_doubt() == 1);
      }
      THEN("it reports the next one") {
        next.ReportAfter(kWindow + 1, 8);
        CHECK(cloud.windows.at(kWindow + 1) == two);
        CHECK(next.in_doubt() == 1);
      }
      AND_WHEN("all processes are restarted") {
        const auto again = report_anew(2);
        THEN("the window is still in doubt, and the next one is reported") {
          CHECK(cloud.changed == 0);
          CHECK(again->in_doubt() == 1);
          CHECK(cloud.windows.at(kWindow + 1).size() == 1);
        }
      }
      AND_WHEN("the store comes back from the same copy again") {
        next.ReportAfter(kWindow + 1, 8);
        store.Recover();
        const auto again = report_anew(1);
        THEN("both windows are in doubt") {
          CHECK(cloud.changed == 0);
          CHECK(again->in_doubt() == 2);
        }
      }
      AND_WHEN("it hears the counts after all") {
        next.HearFrom(*lost);
        next.ReportAfter(kWindow + 1, 8);
        THEN("it stores the counts that were reported") {
          CHECK(cloud.changed == 0);
          const stored_object* object =
              store.Find(kUsageKind, std::to_string(kWindow));
          REQUIRE(object != nullptr);
          CHECK(DecodeUsage(object->value)->requests == five);
        }
      }
    }
  }
  GIVEN("a store that comes back from a copy before a window is reported") {
    recoverable_store store;
    billing cloud;
    usage_instance holder(store, cloud);
    holder.ReportAfter(kWindow - 1, 7, kLong);
    store.TakeCopy();
    holder.Count(kWindow, 5);
    store.Recover();
    WHEN("the holder has held the lease all the time") {
      holder.ReportAfter(kWindow, 8, kLong);
      THEN("it reports the window, since no other can have done so") {
        CHECK(cloud.windows.contains(kWindow));
        CHECK(holder.in_doubt() == 0);
      }
    }
    WHEN("another instance may have held the lease meanwhile") {
      holder.ReportAfter(kWindow, 8);
      THEN("it does not report the window") {
        CHECK_FALSE(cloud.windows.contains(kWindow));
        CHECK(holder.in_doubt() == 1);
      }
    }
  }
}

SCENARIO("The store loses counts that are not reported", "[recovered_writes]") {
  const auto moment = AnyMoment();
  GIVEN("counts of a process that has ended and a copy of moment "
        << static_cast<int>(moment)) {
    recoverable_store store;
    store_era era;
    seen_store seen(store, era);
    usage_checkpoint<seen_store> ended(seen);
    usage_checkpoint<seen_store> holder(seen);
    usage_counts all = CountsOf("holder", 4);
    WriteAndRecover(
        store, moment, "usage-counts/latest",
        [&] { REQUIRE(RunCall(ended.Save(CountsOf("ended", 3), Soon()))); },
        [&] {
          REQUIRE(RunCall(holder.Load(Soon())));
          all.Merge(holder.stored());
          REQUIRE(RunCall(holder.Save(all, Soon())));
        });
    WHEN("the holder reads and stores the counts again") {
      holder.Invalidate();
      REQUIRE(RunCall(holder.Load(Soon())));
      usage_counts next = CountsOf("holder", 6);
      next.Merge(holder.stored());
      REQUIRE(RunCall(holder.Save(next, Soon())));
      THEN("those of the ended process are stored, too") {
        const stored_object* object =
            store.Find(kUsageCountsKind, kUsageCountsName);
        REQUIRE(object != nullptr);
        const auto stored = DecodeUsageCounts(object->value);
        REQUIRE(stored);
        CHECK(stored->Sum(kWindow).at(std::string(kWorkspace)) == 9);
      }
    }
  }
}

SCENARIO("The store loses parts that crash engines", "[recovered_writes]") {
  const auto moment = AnyMoment();
  GIVEN("two blocked parts and a copy of moment " << static_cast<int>(moment)) {
    constexpr std::uint64_t kEnds = 3;
    recoverable_store store;
    store_era era;
    seen_store seen(store, era);
    remembered_suspects memory;
    suspect_checkpoint<seen_store, remembered_suspects> writer(seen, era,
                                                               memory);
    const auto store_part = [&](std::uint64_t part) {
      memory.RecordEnds(part, kEnds);
      REQUIRE(RunCall(writer.Save(Soon())));
    };
    WriteAndRecover(
        store, moment, "blocked-parts/latest", [&] { store_part(11); },
        [&] { store_part(12); });
    WHEN("the writer learns of the new era and stores them again") {
      RunCall(seen.Get("any", "any", Soon()));
      REQUIRE(RunCall(writer.Save(Soon())));
      THEN("an instance that starts knows both") {
        store_era fresh;
        seen_store start(store, fresh);
        remembered_suspects known;
        suspect_checkpoint<seen_store, remembered_suspects> reader(start, fresh,
                                                                   known);
        REQUIRE(RunCall(reader.Load(Soon())));
        const auto parts = known.Evidence().suspects;
        REQUIRE(parts.size() == 2);
        CHECK(parts[0].parts == std::vector<std::uint64_t>{11});
        CHECK(parts[1].parts == std::vector<std::uint64_t>{12});
        CHECK(parts[0].crashes.size() == kEnds);
        CHECK(parts[1].crashes.size() == kEnds);
      }
    }
    // Guards against parts that are not stored again because the instance that
    // usually stores them has started too late to know them.
    WHEN(
        "the writer has ended, and an instance that has heard of both stores "
        "them again") {
      store_era other_era;
      seen_store other(store, other_era);
      suspect_checkpoint<seen_store, remembered_suspects> heard(
          other, other_era, memory);
      RunCall(other.Get("any", "any", Soon()));
      REQUIRE(heard.MayBeLost());
      REQUIRE(RunCall(heard.Restore(Soon())));
      THEN("an instance that starts knows both") {
        REQUIRE_FALSE(heard.MayBeLost());
        store_era fresh;
        seen_store start(store, fresh);
        remembered_suspects known;
        suspect_checkpoint<seen_store, remembered_suspects> reader(start, fresh,
                                                                   known);
        REQUIRE(RunCall(reader.Load(Soon())));
        CHECK(known.known.size() == 2);
        CHECK(known.known.blocked() == 2);
      }
    }
  }
}

SCENARIO("The store loses the removal of an instance that has ended",
         "[recovered_writes]") {
  const auto moment = AnyMoment();
  GIVEN("two removed entries and a copy of moment "
        << static_cast<int>(moment)) {
    recoverable_store store;
    store_era era;
    seen_store seen(store, era);
    peer_report_table peers("g");
    stale_entry_remover<seen_store> remover(seen, peers, "instances");
    store.Put("instances", "ended-1", "{}");
    store.Put("instances", "ended-2", "{}");
    time_point now{seconds(100)};
    // An instance that lists an entry marks it when it stays silent.
    const auto remove = [&](std::string_view name) {
      RunCall(seen.Get("instances", name, Soon()));
      remover.MarkDeparted(name, now);
      now += seconds(60);
      RunCall(remover.Remove(now, true));
    };
    WriteAndRecover(
        store, moment, "instances/ended-1", [&] { remove("ended-1"); },
        [&] { remove("ended-2"); });
    REQUIRE((store.Find("instances", "ended-2") == nullptr) ==
            (moment == copy_moment::kAfterNextWrite));
    WHEN("an instance lists the entries in the copy") {
      remove("ended-1");
      remove("ended-2");
      THEN("they are removed again") {
        CHECK(store.Find("instances", "ended-1") == nullptr);
        CHECK(store.Find("instances", "ended-2") == nullptr);
      }
    }
  }
}

// Guards against a version that is tried again after it was found bad, because
// the status in a copy of the store, or the lack of one, is taken for the last.
SCENARIO("The store loses the status of a rollout", "[recovered_writes]") {
  const auto moment = AnyMoment();
  const auto last = GENERATE(rollout_step::kReverted, rollout_step::kCompleted);
  GIVEN("a rollout that ended as " << Name(last) << " and a copy of moment "
                                   << static_cast<int>(moment)) {
    recoverable_store store;
    store.Put(kOrders, kService,
              R"({"service":"chat","to":"v2","durationS":12})");
    rollout_instance holder(store, "g1");
    rollout_instance reader(store, "g2");
    rollout_instance listener(store, "g3");
    holder.Read();
    reader.Read();
    const auto spread = [&] {
      reader.HearFrom(holder);
      listener.HearFrom(holder);
    };
    WriteAndRecover(
        store, moment, "rollouts/chat",
        [&] {
          holder.WriteDue(kNowMs);
          spread();
        },
        [&] {
          rollout_record record = *holder.table.Find(kService);
          record.step = last;
          holder.Store(record, holder.Stored()->revision);
          spread();
        });
    for (rollout_instance* next : {&holder, &reader, &listener}) {
      const std::string name = next == &holder   ? "the holder goes on"
                               : next == &reader ? "one that has read the order"
                                                 : "one that has heard of it";
      WHEN(name + " writes the status") {
        for (int round = 0; round < 3; ++round) {
          next->Read();
          next->WriteDue(kNowMs + 60'000);
        }
        THEN("it is stored as it was") {
          const auto stored = next->Stored();
          REQUIRE(stored);
          REQUIRE(stored->status);
          CHECK(stored->status->step == last);
          CHECK(stored->status->started_ms == kNowMs);
        }
      }
    }
    WHEN("a process that has started since becomes the holder") {
      constexpr std::uint64_t kFencing = 7;
      // Within the time limit of the order.
      constexpr std::uint64_t kLaterMs = kNowMs + 3'000;
      rollout_instance next(store, "g4");
      next.Read();
      next.table.ConfirmAsHolder(kFencing, next.now);
      next.WriteAtOnce(kLaterMs);
      const auto copied = next.Stored();
      REQUIRE(copied);
      const bool has_last = copied->status && copied->status->step == last;
      THEN("it asks for the status, unless the copy has the last one") {
        CHECK(next.table.AwaitsStatus(next.now) == !has_last);
        CHECK(!next.MayTry());
      }
      AND_WHEN("another instance answers it") {
        if (next.table.AwaitsStatus(next.now)) {
          next.HearFrom(listener);
        }
        next.WriteAtOnce(kLaterMs);
        THEN("the status is stored as it was") {
          const auto stored = next.Stored();
          REQUIRE(stored);
          REQUIRE(stored->status);
          CHECK(stored->status->step == last);
          CHECK(stored->status->started_ms == kNowMs);
          CHECK(!next.MayTry());
        }
      }
      AND_WHEN("no process is left that knows the status") {
        next.WriteDue(kLaterMs);
        next.table.ConfirmAsHolder(kFencing, next.now);
        THEN("the order goes on from the status in the copy") {
          const auto stored = next.Stored();
          REQUIRE(stored);
          REQUIRE(stored->status);
          CHECK(stored->status->started_ms ==
                (copied->status ? kNowMs : kLaterMs));
          CHECK(next.MayTry() == !has_last);
        }
      }
    }
  }
}

}  // namespace anvilloom
