// Guards against harm after the store has come back from an older copy: a
// revision of the lost time that is taken for a present one, a fencing number
// that two holders use, holders that act in turns, and entries or counts of the
// copy that replace later ones.

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "entry/lease_runner.h"
#include "entry/usage_checkpoint.h"
#include "platform/object_store_client.h"
#include "platform/standin/platform_api.h"
#include "test/support/announced_service.h"
#include "test/support/gossip_scenarios.h"
#include "test/support/lease_competitor.h"
#include "test/support/recoverable_store.h"
#include "wire/http_server.h"
#include "wire/io_pool.h"
#include "wire/report_codec.h"
#include "wire/steady_clock.h"

namespace anvilloom {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The stand-in and two connections to it.
class served_store {
 public:
  served_store() { pool_.Start(); }
  ~served_store() {
    server_.Close();
    pool_.Stop();
  }
  served_store(const served_store&) = delete;
  served_store& operator=(const served_store&) = delete;

  // Runs a call of a new client whose findings go to `era`.
  template <typename Call>
  auto Run(store_era& era, Call call) {
    boost::asio::io_context context(1);
    platform::object_store_client client(context.get_executor(), Address(),
                                         &era);
    auto result =
        boost::asio::co_spawn(context, call(client), boost::asio::use_future);
    context.run();
    return result.get();
  }
  void Control(std::string_view path) {
    boost::asio::io_context context(1);
    http_client client(context.get_executor(), {});
    const std::string address = Address();
    auto done = boost::asio::co_spawn(
        context,
        client.Exchange(address,
                        MakeRequest(boost::beast::http::verb::post, path, "{}"),
                        Soon()),
        boost::asio::use_future);
    context.run();
    REQUIRE(done.get().has_value());
  }
  static deadline Soon() {
    return deadline::After(steady_source().Now(), seconds(20));
  }

 private:
  std::string Address() const {
    return "127.0.0.1:" + std::to_string(server_.port());
  }

  platform::platform_api api_;
  io_pool pool_{1};
  http_server server_{pool_, "127.0.0.1:0", {}, api_};
};

using version_result = store_result<std::uint64_t>;
constexpr std::string_view kKind = "servers";

// A competitor that takes its steps at random times, and may be paused.
struct competitor : lease_competitor {
  using lease_competitor::lease_competitor;

  time_point paused_until{duration(0)};
  time_point step_at{duration(0)};
};

// Acts of all holders, checked against each other.
class act_record {
 public:
  void Add(const std::string& holder,
           const lease_tenure& tenure,
           time_point now) {
    const auto [user, added] = users_.try_emplace(tenure.fencing, holder);
    shared_numbers += user->second != holder ? 1 : 0;
    if (last_holder_ != holder) {
      const auto former = acted_at_.find(holder);
      turns += former != acted_at_.end() && now - former->second < seconds(3);
      last_holder_ = holder;
    }
    acted_at_[holder] = now;
    ++acts;
    for (const auto& [other, acted_at] : acted_at_) {
      shared_tenures += other != holder && acted_at >= tenure.since ? 1 : 0;
    }
    // A holder that goes on in a later era gets another number.
    const auto [first, is_new] = since_.try_emplace(holder, tenure);
    kept_tenures += first->second.since == tenure.since &&
                            first->second.fencing != tenure.fencing
                        ? 1
                        : 0;
    first->second = tenure;
  }

  int shared_numbers = 0;
  int turns = 0;
  int acts = 0;
  // Acts of others within a tenure, and tenures that go on in a later era.
  int shared_tenures = 0;
  int kept_tenures = 0;

 private:
  std::map<std::uint64_t, std::string> users_;
  std::map<std::string, time_point> acted_at_;
  std::map<std::string, lease_tenure> since_;
  std::string last_holder_;
};

upstream_change Entry(std::uint64_t era,
                      std::uint64_t revision,
                      std::uint64_t sequence,
                      bool draining) {
  upstream_change change;
  change.version = MakeVersion(era, revision);
  change.announced.id = "u1";
  change.announced.born_ms = 5;
  change.announced.sequence = sequence;
  change.announced.service = "plans";
  change.announced.address = "10.0.0.1:80";
  change.announced.draining = draining;
  return change;
}

}  // namespace

SCENARIO("The store client tells eras apart", "[store_recovery]") {
  served_store store;
  store_era era;
  const auto create = [](std::string_view name) {
    return [name](auto& client) {
      return client.Create(kKind, name, "{}", served_store::Soon());
    };
  };
  const auto list = [](auto& client) {
    return client.List(kKind, served_store::Soon());
  };
  REQUIRE(store.Run(era, create("kept")).has_value());
  store.Control("/standin/copy");
  const version_result lost = store.Run(era, create("lost"));
  REQUIRE(lost.has_value());
  const auto update = [&](auto& client) {
    return client.Update(kKind, "lost", *lost, "{}", served_store::Soon());
  };
  const auto watch = [&](auto& client) -> awaitable<version_result> {
    const object_event_sink sink = [](const object_event&) { return true; };
    const deadline until =
        deadline::After(steady_source().Now(), milliseconds(100));
    co_return co_await client.Watch(kKind, *lost, sink, until);
  };

  GIVEN("a store that came back from a copy") {
    store.Control("/standin/recover");
    WHEN("another object got the lost revision") {
      const version_result reused = store.Run(era, create("other"));
      REQUIRE(reused.has_value());
      THEN("its version is a later one") {
        CHECK(RevisionOf(*reused) == RevisionOf(*lost));
        CHECK(*reused > *lost);
        CHECK(EraOf(*reused) == era.seen());
      }
      THEN("a watch and a write on the lost revision fail") {
        CHECK(store.Run(era, watch).error() == store_error::kGone);
        CHECK(store.Run(era, update).error() == store_error::kConflict);
      }
    }
    WHEN("a process that has not seen the era writes on the lost revision") {
      REQUIRE(store.Run(era, create("lost")).has_value());
      store_era unaware;
      unaware.Observe(EraOf(*lost));
      THEN("it does not take the write for done") {
        CHECK(store.Run(unaware, update).error() == store_error::kAmbiguous);
        CHECK(unaware.seen() == era.seen());
      }
      THEN("its watch is refused") {
        CHECK(store.Run(unaware, watch).error() == store_error::kGone);
      }
    }
    WHEN("a response tells an earlier era") {
      REQUIRE(store.Run(era, list).has_value());
      store.Control("/standin/era?value=1");
      THEN("it is not used") {
        CHECK(store.Run(era, list).error() == store_error::kUnavailable);
        CHECK(store.Run(era, create("late")).error() ==
              store_error::kAmbiguous);
        CHECK(era.outdated() == 2);
      }
    }
    WHEN("responses tell no era, or none that is a number") {
      REQUIRE(store.Run(era, list).has_value());
      const std::uint64_t seen = era.seen();
      const auto text = GENERATE(as<std::string>{}, "", "x", "-1", "2.5",
                                 "18446744073709551616");
      store.Control("/standin/era?value=" + text);
      THEN("they count as ones of the newest era") {
        const auto listed = store.Run(era, list);
        REQUIRE(listed.has_value());
        CHECK(EraOf(listed->version) == seen);
        CHECK(era.seen() == seen);
        CHECK(era.unreadable() == (text.empty() ? 0 : 1));
      }
    }
  }
  GIVEN("a store that never told an era") {
    store.Control("/standin/era?value=");
    store_era none;
    THEN("versions are its revisions") {
      const version_result made = store.Run(none, create("plain"));
      REQUIRE(made.has_value());
      CHECK(*made == RevisionOf(*lost) + 1);
      CHECK_FALSE(none.IsViewBehind());
    }
  }
}

SCENARIO("Holders of the lease across recoveries of the store",
         "[store_recovery]") {
  int acts = 0;
  int kept_tenures = 0;
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    CAPTURE(seed);
    recoverable_store world;
    manual_clock clock;
    world.random = split_mix(seed);
    split_mix random(seed + 1000);
    std::vector<std::unique_ptr<competitor>> all;
    int runs = 0;
    const auto start = [&] {
      return std::make_unique<competitor>(world, clock,
                                          "run-" + std::to_string(++runs));
    };
    constexpr std::size_t kCompetitors = 3;
    all.reserve(kCompetitors);
    for (std::size_t i = 0; i < kCompetitors; ++i) {
      all.push_back(start());
    }
    act_record record;
    const auto tick = [&] {
      clock.now += milliseconds(20);
      for (auto& each : all) {
        if (clock.now < each->paused_until) {
          continue;
        }
        if (clock.now >= each->step_at) {
          RunCall(each->runner.Step());
          each->step_at = clock.now + milliseconds(200 + random.NextBelow(200));
        }
        if (each->runner.MayAct()) {
          record.Add(each->identity, each->runner.Tenure(), clock.now);
        }
      }
    };
    const auto quiet = [&](duration time) {
      for (const time_point end = clock.now + time; clock.now < end;) {
        tick();
      }
    };
    if (random.NextBelow(2) == 0) {
      quiet(seconds(6));
    }
    for (int round = 0; round < 3; ++round) {
      world.TakeCopy();
      world.loss = random.NextBelow(2) == 0 ? 0 : 0.1;
      quiet(milliseconds(random.NextBelow(9000)));
      // The holder goes on, ends, or is paused; or all instances restart.
      const std::uint32_t fault = random.NextBelow(4);
      for (auto& each : all) {
        if (fault == 3 || (fault == 1 && each->runner.MayAct())) {
          each = start();
        } else if (fault == 2 && random.NextBelow(2) == 0) {
          each->paused_until = clock.now + milliseconds(random.NextBelow(7000));
        }
      }
      quiet(milliseconds(random.NextBelow(3000)));
      world.Recover();
      quiet(milliseconds(random.NextBelow(6000)));
    }
    world.loss = 0;
    quiet(seconds(8));
    REQUIRE(record.shared_numbers == 0);
    REQUIRE(record.turns == 0);
    REQUIRE(record.shared_tenures == 0);
    REQUIRE(std::ranges::any_of(
        all, [](const auto& each) { return each->runner.MayAct(); }));
    acts += record.acts;
    kept_tenures += record.kept_tenures;
  }
  REQUIRE(acts > 0);
  REQUIRE(kept_tenures > 0);
}

SCENARIO("An engine's entry in the copy is older than the known one",
         "[store_recovery]") {
  announced_service plans;
  const time_point now{seconds(1000)};
  const auto list = [&](const upstream_change& change) {
    plans.upstreams.ApplyList(change.version, {{change}}, now);
  };
  list(Entry(1, 10, 3, true));
  REQUIRE(plans.Serving() == 0);

  WHEN("the copy says that the engine does not drain yet") {
    list(Entry(2, 8, 2, false));
    THEN("it gets no work") {
      CHECK(plans.Serving() == 0);
    }
  }
  WHEN("the engine has written a later entry in the new era") {
    list(Entry(2, 8, 4, false));
    THEN("it gets work") {
      CHECK(plans.Serving() == 1);
    }
  }
}

// Guards against calls to an upstream that has left, because a copy of the
// store holds its entry.
SCENARIO("A copy holds the entry of an engine that has left",
         "[store_recovery]") {
  announced_service plans;
  const time_point start{seconds(1000)};
  const auto list = [&](const upstream_change& change, time_point now) {
    plans.upstreams.ApplyList(change.version, {{change}}, now);
    plans.upstreams.Sweep(now);
  };
  const auto remove = [&](std::uint64_t era, std::uint64_t revision,
                          time_point now) {
    plans.upstreams.ApplyList(MakeVersion(era, revision), {}, now);
    plans.upstreams.Sweep(now);
  };
  list(Entry(1, 8, 2, false), start);
  REQUIRE(plans.Serving() == 1);

  GIVEN("an instance that has taken the upstream out") {
    remove(1, 9, start);
    REQUIRE(plans.Serving() == 0);
    plans.upstreams.SetStoreReachable(false, start + milliseconds(500));
    const time_point back = start + seconds(1);
    plans.upstreams.SetStoreReachable(true, back);

    WHEN("the copy has the entry, with a later sequence") {
      list(Entry(2, 8, 3, false), back);
      THEN("the upstream gets no work") {
        REQUIRE(plans.Serving() == 0);
      }
      AND_WHEN("the upstream repeats the entry and its removal") {
        list(Entry(2, 9, 3, false), back + milliseconds(300));
        REQUIRE(plans.Serving() == 0);
        remove(2, 10, back + milliseconds(500));
        THEN("it gets none later either") {
          plans.upstreams.Sweep(back + seconds(4));
          REQUIRE(plans.Serving() == 0);
        }
      }
      AND_WHEN("the upstream is alive, so that no removal follows") {
        plans.upstreams.Sweep(back + milliseconds(2400));
        REQUIRE(plans.Serving() == 0);
        THEN("it gets work again, as its entry had only expired") {
          plans.upstreams.Sweep(back + milliseconds(2600));
          REQUIRE(plans.Serving() == 1);
        }
      }
      AND_WHEN("the upstream is started again") {
        upstream_change restarted = Entry(2, 11, 1, false);
        restarted.announced.born_ms += 1;
        list(restarted, back + milliseconds(300));
        THEN("it gets work at once") {
          REQUIRE(plans.Serving() == 1);
        }
      }
    }
  }
  GIVEN("an instance that has delayed the removal, in an outage") {
    plans.upstreams.SetStoreReachable(false, start);
    plans.upstreams.SetStoreReachable(true, start);
    remove(1, 9, start);
    REQUIRE(plans.Serving() == 1);
    WHEN("the copy has the entry") {
      list(Entry(2, 8, 2, false), start + seconds(1));
      THEN("the upstream still gets work") {
        plans.upstreams.Sweep(start + seconds(3));
        REQUIRE(plans.Serving() == 1);
      }
    }
  }
  GIVEN("an instance that has never heard of the upstream") {
    announced_service fresh;
    WHEN("the copy has the entry, without the time of its start") {
      upstream_change change = Entry(2, 8, 2, false);
      change.announced.born_ms = 0;
      fresh.upstreams.ApplyList(change.version, {{change}}, start);
      THEN("the upstream gets work") {
        REQUIRE(fresh.Serving() == 1);
      }
    }
  }
}

SCENARIO("A report carries the era and the sequences", "[store_recovery]") {
  peer_report report;
  report.name = "entry-a";
  report.store_era = 7;
  report.content = report_content::kNews;
  store_news news;
  news.through = MakeVersion(2, 30);
  news.changes = {Entry(2, 20, 300, false), Entry(2, 30, 0, true)};
  report.news = news;
  const auto read = DecodePeerReport(EncodePeerReport(report));
  REQUIRE(read);
  CHECK(read->store_era == 7);
  REQUIRE(read->news);
  CHECK(read->news->through == news.through);
  CHECK(read->news->changes[0].announced == news.changes[0].announced);
  CHECK(read->news->changes[1].announced.sequence == 0);
}

SCENARIO("Instances learn of a recovery from each other", "[store_recovery]") {
  const auto size = GENERATE(as<std::size_t>(), 7, 74, 295);
  const auto seed = GENERATE(as<std::uint64_t>(), 1, 2, 3);
  GIVEN(size << " instances, with seed " << seed) {
    gossip_fleet fleet(Options(size, seed));
    fleet.PutUpstream(1);
    Settle(fleet);
    fleet.TakeCopy();
    fleet.PutUpstream(2);
    fleet.RemoveUpstream(1);
    REQUIRE(fleet.RunUntil(
        [&] { return fleet.AllUse(2, true) && fleet.AllUse(1, false); },
        kApplyTime));
    WHEN("the store is back from a copy without the last changes") {
      fleet.ResetTraffic();
      fleet.Recover();
      bool used_early = false;
      const auto without_left = [&](bool holds) {
        used_early = used_early || !fleet.AllUse(1, false);
        return holds;
      };
      THEN("all know of its upstreams, and of later changes, in time") {
        REQUIRE(fleet.RunUntil(
            [&] { return without_left(fleet.AllUse(2, false)); }, kApplyTime));
        fleet.PutUpstream(2);
        REQUIRE(fleet.RunUntil(
            [&] { return fleet.AllUse(2, true) && fleet.NoneInDoubt(); },
            kApplyTime));
        REQUIRE(fleet.unsound() == 0);
        REQUIRE(fleet.StoreReads() <= 40);
      }
      THEN("none uses the one that was removed, until that is not repeated") {
        constexpr duration kRepeatTime = milliseconds(2500);
        fleet.RunUntil([&] { return without_left(false); },
                       kRepeatTime - milliseconds(50));
        REQUIRE(!used_early);
        REQUIRE(
            fleet.RunUntil([&] { return fleet.AllUse(1, true); }, kApplyTime));
      }
      THEN("none uses it again if that is repeated") {
        REQUIRE(fleet.RunUntil(
            [&] { return without_left(fleet.AllUse(2, false)); }, kApplyTime));
        fleet.RemoveUpstream(1);
        fleet.RunUntil([&] { return without_left(false); }, seconds(6));
        REQUIRE(!used_early);
      }
    }
  }
}

}  // namespace anvilloom
