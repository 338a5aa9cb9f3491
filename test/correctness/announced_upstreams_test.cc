// Guards against work for an upstream that has left, and against a pool that
// empties because the store lost entries in an outage.

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

SCENARIO("Entries of the store decide which upstreams get work",
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
  upstreams.TakeList(version, both, kStart);
  REQUIRE(serving() == 2);

  WHEN("an upstream says that it drains") {
    const auto before = builder.Build()->FindPool("plans")->members[0];
    upstream_announcement draining = Announced("u1");
    draining.draining = true;
    upstreams.Take(put(draining), kStart);

    THEN("it gets no work, also from views that are still in use") {
      REQUIRE(serving() == 1);
      REQUIRE(before->leaving());
    }

    AND_WHEN("an older list is taken in") {
      upstreams.TakeList(version - 1, both, kStart);

      THEN("it stays out") {
        REQUIRE(serving() == 1);
      }
    }
  }

  WHEN("an entry goes in calm times") {
    upstreams.Take(removal("u1"), kStart);

    THEN("the upstream gets no work from then on") {
      REQUIRE(serving() == 1);
    }
  }

  WHEN("an entry was removed and an older change arrives late") {
    const upstream_change late = put(Announced("u1"));
    upstreams.Take(removal("u1"), kStart);
    upstreams.Take(late, kStart);

    THEN("it does not bring the upstream back") {
      REQUIRE(serving() == 1);
    }

    AND_WHEN("a newer one does") {
      upstreams.Take(put(Announced("u1")), kStart);

      THEN("the upstream gets work again") {
        REQUIRE(serving() == 2);
      }
    }
  }

  WHEN("a removal carries the version of the entry that it removes") {
    upstream_change removed = both[0];
    removed.removed = true;
    upstreams.Take(removed, kStart);

    THEN("the upstream gets no work") {
      REQUIRE(serving() == 1);
    }
  }

  WHEN("the same id begins another lifetime") {
    upstream_announcement reborn = Announced("u1");
    reborn.born_ms = 2;
    const auto before = builder.Build()->FindPool("plans")->members[0];
    upstreams.Take(put(reborn), kStart);

    THEN("the old lifetime leaves and the new one starts empty") {
      REQUIRE(before->leaving());
      REQUIRE(serving() == 2);
      REQUIRE(builder.Find("u1")->running() == 0);
    }
  }

  WHEN("entries lapse while the store is away") {
    upstreams.NoteStore(false, kStart);
    upstreams.NoteStore(true, kStart + std::chrono::seconds(5));
    const time_point back = kStart + std::chrono::seconds(5);
    upstreams.TakeList(++version, {}, back);

    THEN("the upstreams are held") {
      REQUIRE(serving() == 2);
    }

    AND_WHEN("one comes back within two seconds") {
      upstreams.Take(put(Announced("u2")),
                     back + std::chrono::milliseconds(1500));
      upstreams.Sweep(back + std::chrono::milliseconds(1900));

      THEN("only the other one is taken as gone") {
        REQUIRE(serving() == 1);
        REQUIRE(builder.Find("u2") != nullptr);
      }
    }
  }

  WHEN("another instance compares its entries") {
    serving_view_builder other_builder;
    announced_upstreams other(other_builder, [] {});
    other.TakeList(version, both, kStart);

    THEN("equal entries have equal digests, a change shows") {
      REQUIRE(other.digest() == upstreams.digest());
      upstreams.Take(removal("u1"), kStart);
      REQUIRE(other.digest() != upstreams.digest());
    }
  }
}

}  // namespace anvilloom
