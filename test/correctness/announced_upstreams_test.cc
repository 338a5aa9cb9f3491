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
  const std::vector<upstream_announcement> both = {Announced("u1"),
                                                   Announced("u2")};
  upstreams.TakeList(both, kStart);
  REQUIRE(serving() == 2);

  WHEN("an upstream says that it drains") {
    const auto before = builder.Build()->FindPool("plans")->members[0];
    upstream_announcement draining = Announced("u1");
    draining.draining = true;
    upstreams.Take("u1", draining, kStart);

    THEN("it gets no work, also from views that are still in use") {
      REQUIRE(serving() == 1);
      REQUIRE(before->leaving());
    }

    AND_WHEN("an older list is taken in") {
      upstreams.TakeList(both, kStart);

      THEN("it stays out") {
        REQUIRE(serving() == 1);
      }
    }
  }

  WHEN("an entry goes in calm times") {
    upstreams.Take("u1", std::nullopt, kStart);

    THEN("the upstream gets no work from then on") {
      REQUIRE(serving() == 1);
    }
  }

  WHEN("the same id begins another lifetime") {
    upstream_announcement reborn = Announced("u1");
    reborn.born_ms = 2;
    const auto before = builder.Build()->FindPool("plans")->members[0];
    upstreams.Take("u1", reborn, kStart);

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
    upstreams.TakeList({}, back);

    THEN("the upstreams are held") {
      REQUIRE(serving() == 2);
    }

    AND_WHEN("one comes back within two seconds") {
      upstreams.Take("u2", Announced("u2"),
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
    other.TakeList(both, kStart);

    THEN("equal entries have equal digests, a change shows") {
      REQUIRE(other.digest() == upstreams.digest());
      upstreams.Take("u1", std::nullopt, kStart);
      REQUIRE(other.digest() != upstreams.digest());
    }
  }
}

}  // namespace anvilloom
