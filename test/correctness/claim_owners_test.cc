// Guards against duplicates that wait for an owner that is gone, and against
// running owners that are reported gone.

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

SCENARIO("The membership determines which owners of claims are gone",
         "[claim_owners]") {
  GIVEN("a process that sees one member suspected and one failed") {
    entry_settings settings;
    settings.name = "entry-a";
    process_state process{settings};
    membership_snapshot snapshot;
    snapshot.live.push_back({Member("entry-b", "7"), /*suspect=*/true});
    snapshot.gone.push_back(Member("entry-c.south", ""));
    process.members.Publish(
        std::make_unique<const membership_snapshot>(std::move(snapshot)));
    const claim_owners owners(process);

    THEN("this run of the process is not gone, an earlier one is") {
      CHECK_FALSE(owners.IsGone(process.RunName()));
      CHECK(owners.IsGone("entry-a.0"));
    }
    THEN("a member that is only suspected is not gone, its earlier run is") {
      CHECK_FALSE(owners.IsGone("entry-b.7"));
      CHECK(owners.IsGone("entry-b.6"));
    }
    THEN("a failed member is gone, also if its name contains a dot") {
      CHECK(owners.IsGone("entry-c.south.3"));
    }
    THEN("an owner that the membership does not know is not gone") {
      CHECK_FALSE(owners.IsGone("entry-d.1"));
      CHECK_FALSE(owners.IsGone("entry-c"));
    }
  }
}

}  // namespace anvilloom
