// Guards against work sent to an upstream that has left, and against a pool
// that becomes empty because entries expired during a store outage.

#include "entry/announced_upstreams.h"

#include <catch2/catch.hpp>

#include "test/support/announced_service.h"

namespace anvilloom {

namespace {

constexpr time_point kStart{std::chrono::seconds(1000)};

upstream_announcement Announced(std::string id) {
  upstream_announcement announced;
  announced.id = std::move(id);
  announced.born_ms = 1;
  announced.service = "plans";
  announced.address = "10.0.0.1:80";
  return announced;
}

}  // namespace

SCENARIO("Entries in the store determine which upstreams get work",
         "[announced_upstreams]") {
  announced_service plans;
  std::uint64_t version = 10;
  const auto put = [&](const upstream_announcement& announced) {
    return upstream_change{++version, false, announced};
  };
  const auto removal = [&](std::string id) {
    return upstream_change{++version, true, Announced(std::move(id))};
  };
  const std::vector<upstream_change> both = {put(Announced("u1")),
                                             put(Announced("u2"))};
  plans.upstreams.ApplyList(version, both, kStart);
  REQUIRE(plans.Serving() == 2);

  WHEN("an upstream announces that it drains") {
    const auto before = plans.builder.Build()->FindPool("plans")->members[0];
    upstream_announcement draining = Announced("u1");
    draining.draining = true;
    plans.upstreams.ApplyChange(put(draining), kStart);

    THEN("it gets no work, even from views that are still in use") {
      REQUIRE(plans.Serving() == 1);
      REQUIRE(before->leaving());
    }

    AND_WHEN("an older list is applied") {
      plans.upstreams.ApplyList(version - 1, both, kStart);

      THEN("it stays excluded") {
        REQUIRE(plans.Serving() == 1);
      }
    }
  }

  WHEN("an entry is removed while the store is available") {
    plans.upstreams.ApplyChange(removal("u1"), kStart);

    THEN("the upstream gets no more work") {
      REQUIRE(plans.Serving() == 1);
    }
  }

  WHEN("an entry was removed and an older change arrives late") {
    const upstream_change late = put(Announced("u1"));
    plans.upstreams.ApplyChange(removal("u1"), kStart);
    plans.upstreams.ApplyChange(late, kStart);

    THEN("it does not restore the upstream") {
      REQUIRE(plans.Serving() == 1);
    }

    AND_WHEN("a newer change adds the entry again") {
      plans.upstreams.ApplyChange(put(Announced("u1")), kStart);

      THEN("the upstream gets work again") {
        REQUIRE(plans.Serving() == 2);
      }
    }
  }

  WHEN("a removal has the version of the entry that it removes") {
    upstream_change removed = both[0];
    removed.removed = true;
    plans.upstreams.ApplyChange(removed, kStart);

    THEN("the upstream gets no work") {
      REQUIRE(plans.Serving() == 1);
    }
  }

  WHEN("an upstream is restarted under the same id") {
    upstream_announcement restarted = Announced("u1");
    restarted.born_ms = 2;
    const auto before = plans.builder.Build()->FindPool("plans")->members[0];
    plans.upstreams.ApplyChange(put(restarted), kStart);

    THEN("the old incarnation is leaving and the new one has no load") {
      REQUIRE(before->leaving());
      REQUIRE(plans.Serving() == 2);
      REQUIRE(plans.builder.Find("u1")->running() == 0);
    }
  }

  WHEN("entries expire during a store outage") {
    plans.upstreams.SetStoreReachable(false, kStart);
    plans.upstreams.SetStoreReachable(true, kStart + std::chrono::seconds(5));
    const time_point back = kStart + std::chrono::seconds(5);
    plans.upstreams.ApplyList(++version, {}, back);

    THEN("the upstreams are kept") {
      REQUIRE(plans.Serving() == 2);
    }

    AND_WHEN("one entry reappears within two seconds") {
      plans.upstreams.ApplyChange(put(Announced("u2")),
                                  back + std::chrono::milliseconds(1500));
      plans.upstreams.Sweep(back + std::chrono::milliseconds(1900));

      THEN("only the other upstream is removed") {
        REQUIRE(plans.Serving() == 1);
        REQUIRE(plans.builder.Find("u2") != nullptr);
      }
    }
  }

  WHEN("another instance compares its entries") {
    serving_view_builder other_builder;
    announced_upstreams other(other_builder, [] {});
    other.ApplyList(version, both, kStart);

    THEN("equal entries have equal digests, and a change alters the digest") {
      REQUIRE(other.digest() == plans.upstreams.digest());
      plans.upstreams.ApplyChange(removal("u1"), kStart);
      REQUIRE(other.digest() != plans.upstreams.digest());
    }
  }
}

}  // namespace anvilloom
