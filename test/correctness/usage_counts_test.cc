// Guards against usage counts that are lost when processes are killed, that are
// counted twice, or that are read from a damaged object.

#include "contracts/usage_counts.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "entry/usage_checkpoint.h"
#include "test/support/refusing_store.h"

namespace anvilloom {

namespace {

const process_run kFirstRun{"entry-a", 5};
const process_run kSecondRun{"entry-a", 6};

// Stores one object in memory. Can be made unavailable or drop the answer of a
// write.
class one_object_store : public refusing_store {
 public:
  std::optional<stored_object> object;
  bool unavailable = false;
  bool drops_next_answer = false;
  int writes = 0;

  awaitable<store_result<stored_object>> Get(std::string_view,
                                             std::string_view,
                                             deadline) {
    if (unavailable) {
      co_return store_error::kUnavailable;
    }
    if (!object) {
      co_return store_error::kNotFound;
    }
    co_return *object;
  }
  awaitable<store_result<std::uint64_t>> Create(std::string_view,
                                                std::string_view name,
                                                std::string_view value,
                                                deadline) {
    co_return Write(name, 0, value);
  }
  awaitable<store_result<std::uint64_t>> Update(std::string_view,
                                                std::string_view name,
                                                std::uint64_t version,
                                                std::string_view value,
                                                deadline) {
    co_return Write(name, version, value);
  }

 private:
  store_result<std::uint64_t> Write(std::string_view name,
                                    std::uint64_t version,
                                    std::string_view value) {
    ++writes;
    if (unavailable) {
      return store_error::kUnavailable;
    }
    if ((object ? object->version : 0) != version) {
      return store_error::kConflict;
    }
    object = stored_object{std::string(name), version + 10, std::string(value)};
    if (std::exchange(drops_next_answer, false)) {
      return store_error::kAmbiguous;
    }
    return object->version;
  }
};

static_assert(object_store<one_object_store>);

template <typename Value>
Value Await(awaitable<Value> call) {
  boost::asio::io_context context(1);
  auto result =
      boost::asio::co_spawn(context, std::move(call), boost::asio::use_future);
  context.run();
  return result.get();
}

}  // namespace

SCENARIO("The counts of each process are added once", "[usage_counts]") {
  GIVEN("two runs of a process that counted in the same window") {
    usage_counts counts;
    const std::vector<usage_count> first{{40, "studio", 9}};
    const std::vector<usage_count> second{{40, "studio", 3}, {41, "desk", 1}};
    counts.Take(kFirstRun, first);
    counts.Take(kSecondRun, second);

    THEN("the counts of both runs are added") {
      REQUIRE(counts.Sum(40).at("studio") == 12);
      REQUIRE(counts.Sum(41).at("desk") == 1);
      REQUIRE(counts.Sum(42).empty());
    }
    WHEN("an older report arrives late") {
      const std::vector<usage_count> older{{40, "studio", 4}};
      counts.Take(kFirstRun, older);

      THEN("the counts do not decrease") {
        REQUIRE(counts.Sum(40).at("studio") == 12);
      }
    }
    WHEN("they are merged with a copy that has a later count of one run") {
      usage_counts other;
      const std::vector<usage_count> later{{40, "studio", 11}};
      other.Take(kFirstRun, later);
      counts.Merge(other);

      THEN("the larger value of each run is kept") {
        REQUIRE(counts.Sum(40).at("studio") == 14);
      }
    }
    WHEN("a process with a wrong clock counts in a window far ahead") {
      const std::vector<usage_count> ahead{{4'000, "studio", 1}};
      counts.Take(kSecondRun, ahead);

      THEN("the other windows are kept") {
        REQUIRE(counts.Sum(40).at("studio") == 12);
        counts.RetainWindows(39, 42);
        REQUIRE(counts.Sum(40).at("studio") == 12);
        REQUIRE(counts.Sum(4'000).empty());
      }
    }
    WHEN("old windows are removed") {
      counts.RetainWindows(41, 46);

      THEN("a run without other windows is removed too") {
        REQUIRE(counts.Sum(40).empty());
        REQUIRE(counts.Sum(41).at("desk") == 1);
        REQUIRE(counts.processes().size() == 1);
      }
    }
    THEN("they are equal after encoding and decoding") {
      const auto decoded = DecodeUsageCounts(EncodeUsageCounts(counts));
      REQUIRE(decoded);
      REQUIRE(*decoded == counts);
    }
    THEN("a damaged encoding is rejected") {
      constexpr std::string_view kNoCounts =
          R"({"processes":[{"name":"a","epoch":1,"windows":[{}]}]})";
      constexpr std::string_view kNegative =
          R"({"processes":[{"name":"a","epoch":1,"windows":[{"window":4,)"
          R"("requests":{"studio":-1}}]}]})";
      for (const std::string_view text :
           {std::string_view(), std::string_view("{}"),
            std::string_view(R"({"processes":1})"),
            std::string_view(R"({"processes":[{}]})"), kNoCounts, kNegative}) {
        CAPTURE(text);
        REQUIRE_FALSE(DecodeUsageCounts(text));
      }
    }
  }
}

SCENARIO("Stored counts survive the failure of all processes",
         "[usage_checkpoint]") {
  GIVEN("a lease holder that has stored counts") {
    one_object_store store;
    usage_checkpoint<one_object_store> holder(store);
    usage_counts counts;
    const std::vector<usage_count> counted{{40, "studio", 9}};
    counts.Take(kFirstRun, counted);
    const deadline until = deadline::Never();
    REQUIRE(Await(holder.Save(counts, until)));

    WHEN("every process is killed, and a new one becomes the lease holder") {
      usage_checkpoint<one_object_store> next(store);
      REQUIRE(Await(next.Load(until)));

      THEN("it loads the counts") {
        REQUIRE(next.stored().Sum(40).at("studio") == 9);
      }
      THEN("a late write of the previous holder is refused") {
        const std::vector<usage_count> more{{40, "studio", 10}};
        usage_counts newer = counts;
        newer.Take(kSecondRun, more);
        REQUIRE(Await(next.Save(newer, until)));
        const std::vector<usage_count> late{{40, "studio", 12}};
        counts.Take(kFirstRun, late);
        REQUIRE_FALSE(Await(holder.Save(counts, until)));
        REQUIRE(DecodeUsageCounts(store.object->value)->Sum(40).at("studio") ==
                19);
      }
    }
    WHEN("the object is read repeatedly while windows pass") {
      usage_checkpoint<one_object_store> reader(store);
      for (std::uint64_t window = 41; window < 60; ++window) {
        const std::vector<usage_count> newer{{window, "studio", 1}};
        counts.Take(kFirstRun, newer);
        counts.RetainWindows(window - 3, window);
        REQUIRE(Await(holder.Save(counts, until)));
        reader.Invalidate();
        REQUIRE(Await(reader.Load(until)));
      }

      THEN("the reader does not accumulate old windows") {
        REQUIRE(reader.stored() == counts);
      }
    }
    WHEN("the counts have not changed since") {
      REQUIRE(Await(holder.Save(counts, until)));

      THEN("nothing is written") {
        REQUIRE(store.writes == 1);
      }
    }
    WHEN("the answer of a write is lost") {
      store.drops_next_answer = true;
      const std::vector<usage_count> more{{41, "studio", 2}};
      counts.Take(kFirstRun, more);
      REQUIRE_FALSE(Await(holder.Save(counts, until)));

      THEN("the next save reads the object and writes again") {
        REQUIRE(Await(holder.Save(counts, until)));
        REQUIRE(DecodeUsageCounts(store.object->value)->Sum(41).at("studio") ==
                2);
      }
    }
    WHEN("the store is unavailable when another instance becomes the holder") {
      store.unavailable = true;
      usage_checkpoint<one_object_store> next(store);

      THEN("it does not treat the counts as empty") {
        REQUIRE_FALSE(Await(next.Load(until)));
        store.unavailable = false;
        REQUIRE(Await(next.Load(until)));
        REQUIRE(next.stored().Sum(40).at("studio") == 9);
      }
    }
    WHEN("the object is damaged") {
      store.object->value = "{";
      usage_checkpoint<one_object_store> next(store);

      THEN("the next write replaces it") {
        REQUIRE(Await(next.Load(until)));
        REQUIRE(Await(next.Save(counts, until)));
        REQUIRE(DecodeUsageCounts(store.object->value));
      }
    }
  }
}

}  // namespace anvilloom
