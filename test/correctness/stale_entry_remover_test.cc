// Guards against new instances that charge an equal share of the limits for
// instances that were removed, and against the deletion of the entries of live
// instances.

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <string_view>

#include "entry/stale_entry_remover.h"
#include "test/support/refusing_store.h"

namespace anvilloom {

namespace {

constexpr time_point kStart{std::chrono::seconds(1000)};
constexpr std::string_view kKind = "instances";

// An in-memory store for objects of one kind.
class small_store : public refusing_store {
 public:
  std::map<std::string, std::uint64_t, std::less<>> versions;
  int calls = 0;

  awaitable<store_result<stored_object>> Get(std::string_view,
                                             std::string_view name,
                                             deadline) {
    ++calls;
    const auto found = versions.find(name);
    if (found == versions.end()) {
      co_return store_error::kNotFound;
    }
    co_return stored_object{found->first, found->second, "{}"};
  }
  awaitable<store_result<std::uint64_t>> Delete(std::string_view kind,
                                                std::string_view name,
                                                std::uint64_t version,
                                                deadline) {
    ++calls;
    REQUIRE(kind == kKind);
    const auto found = versions.find(name);
    if (found == versions.end() || found->second != version) {
      co_return store_error::kConflict;
    }
    versions.erase(found);
    co_return version;
  }
};

static_assert(object_store<small_store>);

std::size_t Remove(stale_entry_remover<small_store>& entries,
                   time_point now,
                   bool may_act) {
  boost::asio::io_context context(1);
  auto removed = boost::asio::co_spawn(context, entries.Remove(now, may_act),
                                       boost::asio::use_future);
  context.run();
  return removed.get();
}

}  // namespace

SCENARIO("Entries of removed instances are deleted", "[stale_entry_remover]") {
  GIVEN("an instance that was marked as departed, and a live one") {
    small_store store;
    store.versions = {{"dead", 7}, {"live", 8}};
    peer_report_table peer_reports("self");
    stale_entry_remover<small_store> entries(store, peer_reports, kKind);
    entries.MarkDeparted("dead", kStart);
    const time_point due = kStart + std::chrono::seconds(30);

    THEN("its entry stays during the restart grace period") {
      REQUIRE(Remove(entries, kStart + std::chrono::seconds(29), true) == 0);
      REQUIRE(store.calls == 0);
    }
    THEN("the holder of the duty lease deletes it once") {
      REQUIRE(Remove(entries, due, true) == 1);
      REQUIRE(store.versions.size() == 1);
      REQUIRE(store.versions.contains("live"));
      REQUIRE(Remove(entries, due, true) == 0);
    }
    THEN("another instance deletes nothing and makes no call") {
      REQUIRE(Remove(entries, due, false) == 0);
      REQUIRE(store.calls == 0);
      REQUIRE(store.versions.contains("dead"));
    }
    WHEN("it reports again under the same name") {
      peer_report report;
      report.name = "dead";
      report.epoch = 9;
      report.sequence = 1;
      peer_reports.Take(
          report, kStart,
          {[](const peer_report_table::new_grants&) {}, [](duration) {}});

      THEN("its entry stays") {
        REQUIRE(Remove(entries, due, true) == 0);
        REQUIRE(store.versions.contains("dead"));
      }
    }
  }
}

}  // namespace anvilloom
