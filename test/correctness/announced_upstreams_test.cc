// Guards against work sent to an upstream that has left, and against a pool
// that becomes empty because entries expired during a store outage.

#include "entry/announced_upstreams.h"

#include <catch2/catch.hpp>

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
  serving_view_builder builder;
  manifest declared;
  declared.services.emplace_back().name = "plans";
  builder.SetManifest(std::make_shared<const manifest_index>(declared));
  announced_upstreams upstreams(builder, [] {});
  const auto serving = [&] {
    return builder.Build()->FindPool("plans")->members.size();
  };
  std::uint64_t version = 10;
  const auto put = [&](const upstream_announcement& announced) {
    return upstream_change{++version, false, announced};
  };
  const auto removal = [&](std::string id) {
    return upstream_change{++version, true, Announced(std::move(id))};
  };
  const std::vector<upstream_change> both = {put(Announced("u1")),
                                             put(Announced("u2"))};
  upstreams.ApplyList(version, both, kStart);
  REQUIRE(serving() == 2);

  WHEN("an upstream announces that it drains") {
    const auto before = builder.Build()->FindPool("plans")->members[0];
    upstream_announcement draining = Announced("u1");
    draining.draining = true;
    upstreams.ApplyChange(put(draining), kStart);

    THEN("it gets no work, even from views that are still in use") {
      REQUIRE(serving() == 1);
      REQUIRE(before->leaving());
    }

    AND_WHEN("an older list is applied") {
      upstreams.ApplyList(version - 1, both, kStart);

      THEN("it stays excluded") {
        REQUIRE(serving() == 1);
      }
    }
  }

  WHEN("an entry is removed while the store is available") {
    upstreams.ApplyChange(removal("u1"), kStart);

    THEN("the upstream gets no more work") {
      REQUIRE(serving() == 1);
    }
  }

  WHEN("an entry was removed and an older change arrives late") {
    const upstream_change late = put(Announced("u1"));
    upstreams.ApplyChange(removal("u1"), kStart);
    upstreams.ApplyChange(late, kStart);

    THEN("it does not restore the upstream") {
      REQUIRE(serving() == 1);
    }

    AND_WHEN("a newer change adds the entry again") {
      upstreams.ApplyChange(put(Announced("u1")), kStart);

      THEN("the upstream gets work again") {
        REQUIRE(serving() == 2);
      }
    }
  }

  WHEN("a removal has the version of the entry that it removes") {
    upstream_change removed = both[0];
    removed.removed = true;
    upstreams.ApplyChange(removed, kStart);

    THEN("the upstream gets no work") {
      REQUIRE(serving() == 1);
    }
  }

  WHEN("an upstream is restarted under the same id") {
    upstream_announcement restarted = Announced("u1");
    restarted.born_ms = 2;
    const auto before = builder.Build()->FindPool("plans")->members[0];
    upstreams.ApplyChange(put(restarted), kStart);

    THEN("the old incarnation is leaving and the new one has no load") {
      REQUIRE(before->leaving());
      REQUIRE(serving() == 2);
      REQUIRE(builder.Find("u1")->running() == 0);
    }
  }

  WHEN("entries expire during a store outage") {
    upstreams.SetStoreReachable(false, kStart);
    upstreams.SetStoreReachable(true, kStart + std::chrono::seconds(5));
    const time_point back = kStart + std::chrono::seconds(5);
    upstreams.ApplyList(++version, {}, back);

    THEN("the upstreams are kept") {
      REQUIRE(serving() == 2);
    }

    AND_WHEN("one entry reappears within two seconds") {
      upstreams.ApplyChange(put(Announced("u2")),
                            back + std::chrono::milliseconds(1500));
      upstreams.Sweep(back + std::chrono::milliseconds(1900));

      THEN("only the other upstream is removed") {
        REQUIRE(serving() == 1);
        REQUIRE(builder.Find("u2") != nullptr);
      }
    }
  }

  WHEN("another instance compares its entries") {
    serving_view_builder other_builder;
    announced_upstreams other(other_builder, [] {});
    other.ApplyList(version, both, kStart);

    THEN("equal entries have equal digests, and a change alters the digest") {
      REQUIRE(other.digest() == upstreams.digest());
      upstreams.ApplyChange(removal("u1"), kStart);
      REQUIRE(other.digest() != upstreams.digest());
    }
  }
}

}  // namespace anvilloom
