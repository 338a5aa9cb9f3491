// Guards duplicates against waiting for an owner that is gone, and owners that
// run against being called gone.

#include <catch2/catch.hpp>
#include <memory>

#include "entry/claim_owners.h"

namespace anvilloom {

namespace {

member_profile Member(std::string_view name, std::string_view epoch) {
  member_profile profile;
  profile.name = name;
  profile.epoch = epoch;
  return profile;
}

}  // namespace

SCENARIO("The membership tells which owners of claims are gone",
         "[claim_owners]") {
  GIVEN("a process that sees one member alive and one failed") {
    entry_settings settings;
    settings.name = "entry-a";
    process_state process{settings};
    membership_snapshot seen;
    seen.live.push_back({Member("entry-b", "7"), /*suspect=*/true});
    seen.gone.push_back(Member("entry-c.south", ""));
    process.members.Publish(
        std::make_unique<const membership_snapshot>(std::move(seen)));
    const claim_owners owners(process);

    THEN("this run of the process is not gone, an earlier one is") {
      CHECK_FALSE(owners.Gone(process.RunName()));
      CHECK(owners.Gone("entry-a.0"));
    }
    THEN("a member that is only suspected is not gone, its earlier run is") {
      CHECK_FALSE(owners.Gone("entry-b.7"));
      CHECK(owners.Gone("entry-b.6"));
    }
    THEN("a failed member is gone, also with a point in its name") {
      CHECK(owners.Gone("entry-c.south.3"));
    }
    THEN("who is not remembered counts as present") {
      CHECK_FALSE(owners.Gone("entry-d.1"));
      CHECK_FALSE(owners.Gone("entry-c"));
    }
  }
}

}  // namespace anvilloom
