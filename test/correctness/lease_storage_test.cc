// Guards against a damaged object that is accepted as a lease, and against a
// process that assumes that it holds the lease after the answer to its write
// was lost.

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "entry/lease_runner.h"
#include "test/support/refusing_store.h"
#include "wire/lease_json.h"

namespace anvilloom {

namespace {

constexpr std::string_view kName = "fleet";

// Outcome of the next write.
enum class write_outcome {
  kApplied,
  kAnswerLost,    // Takes effect.
  kLost,          // Has no effect.
  kArrivesLate,   // Takes effect after the next read.
  kAppliedTwice,  // Delivered twice; the answer is that of the second copy.
};

struct manual_clock {
  time_point now{std::chrono::seconds(100)};
  time_point Now() const { return now; }
};

// One lease object in memory, with scripted faults.
class scripted_store : public refusing_store {
 public:
  write_outcome next_write = write_outcome::kApplied;
  bool reads_fail = false;
  // The next write also makes reads fail.
  bool reads_fail_after_write = false;
  std::optional<stored_object> held;

  void Put(std::string_view text) {
    held = stored_object{std::string(kName), ++version_, std::string(text)};
  }

  awaitable<store_result<stored_object>> Get(std::string_view,
                                             std::string_view,
                                             deadline) {
    if (reads_fail) {
      co_return store_error::kAmbiguous;
    }
    const auto answer = held;
    ApplyDelayedWrite();
    if (!answer) {
      co_return store_error::kNotFound;
    }
    co_return *answer;
  }
  awaitable<store_result<std::uint64_t>> Create(std::string_view,
                                                std::string_view,
                                                std::string_view value,
                                                deadline) {
    co_return Write(0, value);
  }
  awaitable<store_result<std::uint64_t>> Update(std::string_view,
                                                std::string_view,
                                                std::uint64_t version,
                                                std::string_view value,
                                                deadline) {
    co_return Write(version, value);
  }

 private:
  bool Apply(std::uint64_t condition, std::string_view value) {
    if ((held ? held->version : 0) != condition) {
      return false;
    }
    Put(value);
    return true;
  }

  void ApplyDelayedWrite() {
    if (delayed_write_) {
      Apply(delayed_write_->first, delayed_write_->second);
      delayed_write_.reset();
    }
  }

  store_result<std::uint64_t> Write(std::uint64_t condition,
                                    std::string_view value) {
    reads_fail = reads_fail || std::exchange(reads_fail_after_write, false);
    switch (std::exchange(next_write, write_outcome::kApplied)) {
      case write_outcome::kApplied:
        break;
      case write_outcome::kAnswerLost:
        Apply(condition, value);
        return store_error::kAmbiguous;
      case write_outcome::kLost:
        return store_error::kAmbiguous;
      case write_outcome::kArrivesLate:
        delayed_write_.emplace(condition, value);
        return store_error::kAmbiguous;
      case write_outcome::kAppliedTwice:
        Apply(condition, value);
        break;
    }
    if (!Apply(condition, value)) {
      return store_error::kConflict;
    }
    return version_;
  }

  std::uint64_t version_ = 0;
  std::optional<std::pair<std::uint64_t, std::string>> delayed_write_;
};

static_assert(object_store<scripted_store>);

using test_runner = lease_runner<scripted_store, manual_clock>;

lease_step_result Step(test_runner& runner) {
  boost::asio::io_context context(1);
  auto result =
      boost::asio::co_spawn(context, runner.Step(), boost::asio::use_future);
  context.run();
  return result.get();
}

lease_record Record(std::string_view holder, std::uint64_t fencing) {
  return {std::string(holder), fencing, 3, std::chrono::seconds(15)};
}

}  // namespace

SCENARIO("A lease is read back as it was written", "[lease_storage]") {
  GIVEN("a lease") {
    const lease_record record = Record("entry-a.1", 7);
    THEN("every field is preserved") {
      const auto read = DecodeLease(EncodeLease(record));
      REQUIRE(read);
      CHECK(*read == record);
    }
  }
  GIVEN("an object that is no lease") {
    const auto text = GENERATE(
        as<std::string>{}, "", "not JSON", "null", "[]", "{}",
        R"({"holder":"a","fencing":1,"renewals":0})",
        R"({"holder":"a","fencing":1,"period_us":1000})",
        R"({"holder":"a","renewals":0,"period_us":1000})",
        R"({"fencing":1,"renewals":0,"period_us":1000})",
        R"({"holder":"","fencing":1,"renewals":0,"period_us":1000})",
        R"({"holder":"a","fencing":0,"renewals":0,"period_us":1000})",
        R"({"holder":"a","fencing":-1,"renewals":0,"period_us":1000})",
        R"({"holder":"a","fencing":"1","renewals":0,"period_us":1000})",
        R"({"holder":"a","fencing":1.5,"renewals":0,"period_us":1000})",
        R"({"holder":"a","fencing":1,"renewals":0,"period_us":0})",
        R"({"holder":"a","fencing":1,"renewals":0,"period_us":3600000001})");
    THEN("it is refused, and nobody takes over") {
      CHECK_FALSE(DecodeLease(text));
      manual_clock clock;
      scripted_store store;
      store.Put(text);
      test_runner runner(store, clock, kName, "entry-a.1", lease_timing{});
      CHECK(Step(runner) == lease_step_result::kUnreadable);
      clock.now += std::chrono::hours(2);
      CHECK(Step(runner) == lease_step_result::kUnreadable);
      CHECK(store.held->value == text);
    }
  }
}

SCENARIO("A lost answer does not make a process the holder",
         "[lease_storage]") {
  GIVEN("a lease that nobody renews") {
    manual_clock clock;
    scripted_store store;
    const lease_timing timing;
    store.Put(EncodeLease(Record("entry-b.1", 4)));
    test_runner runner(store, clock, kName, "entry-a.1", timing);
    REQUIRE(Step(runner) == lease_step_result::kHeldByOther);
    clock.now += timing.period;

    WHEN("the takeover takes effect and its answer is lost") {
      store.next_write =
          GENERATE(write_outcome::kAnswerLost, write_outcome::kAppliedTwice);
      THEN("reading back finds it held, with a larger fencing number") {
        CHECK(Step(runner) == lease_step_result::kHeld);
        CHECK(runner.MayAct());
        CHECK(runner.fencing() == 5);
      }
    }
    WHEN("the answer is lost and the reads fail for a while") {
      store.next_write = write_outcome::kAnswerLost;
      store.reads_fail_after_write = true;
      CHECK(Step(runner) == lease_step_result::kUnavailable);
      CHECK_FALSE(runner.MayAct());
      clock.now += timing.period - timing.stop_margin;
      CHECK(Step(runner) == lease_step_result::kUnavailable);
      store.reads_fail = false;

      THEN("its deadline is computed from before the first write") {
        CHECK(Step(runner) == lease_step_result::kHeld);
        CHECK_FALSE(runner.MayAct());
        CHECK(Step(runner) == lease_step_result::kHeld);
        CHECK(runner.MayAct());
        CHECK(runner.fencing() == 5);
      }
    }
    WHEN("the takeover is lost") {
      store.next_write = write_outcome::kLost;
      THEN("it is not held until a second write took effect") {
        CHECK(Step(runner) == lease_step_result::kWritePending);
        CHECK_FALSE(runner.MayAct());
        CHECK(Step(runner) == lease_step_result::kHeld);
        CHECK(runner.MayAct());
      }
    }
    WHEN("the takeover takes effect after the lease was read back") {
      store.next_write = write_outcome::kArrivesLate;
      const time_point begun = clock.now;
      CHECK(Step(runner) == lease_step_result::kWritePending);
      CHECK_FALSE(runner.MayAct());
      clock.now += std::chrono::seconds(5);

      THEN("the repeated write finds the first one and uses its start time") {
        CHECK(Step(runner) == lease_step_result::kHeld);
        CHECK(runner.act_by() ==
              deadline::After(begun, timing.period - timing.stop_margin));
        CHECK(runner.fencing() == 5);
      }
    }
    WHEN("the takeover is lost and another process takes over first") {
      store.next_write = write_outcome::kLost;
      CHECK(Step(runner) == lease_step_result::kWritePending);
      store.Put(EncodeLease(Record("entry-c.1", 5)));

      THEN("it is not held") {
        CHECK(Step(runner) == lease_step_result::kHeldByOther);
        CHECK_FALSE(runner.MayAct());
      }
    }
  }

  GIVEN("a held lease") {
    manual_clock clock;
    scripted_store store;
    const lease_timing timing;
    test_runner runner(store, clock, kName, "entry-a.1", timing);
    REQUIRE(Step(runner) == lease_step_result::kHeld);
    const deadline act_by = runner.act_by();
    clock.now += timing.renew_interval;

    WHEN("a renewal is lost") {
      store.next_write = write_outcome::kLost;
      CHECK(Step(runner) == lease_step_result::kWritePending);
      THEN("it is held until the earlier deadline only") {
        CHECK(runner.MayAct());
        CHECK(runner.act_by() == act_by);
        clock.now = act_by.at();
        CHECK_FALSE(runner.MayAct());
      }
    }
    WHEN("another process has taken over") {
      store.Put(EncodeLease(Record("entry-b.1", 2)));
      THEN("the renewal detects the loss") {
        CHECK(Step(runner) == lease_step_result::kHeldByOther);
        CHECK_FALSE(runner.MayAct());
      }
    }
    WHEN("the lease was deleted") {
      store.held.reset();
      THEN("it is no longer held, and fencing numbers still increase") {
        CHECK(Step(runner) == lease_step_result::kHeldByOther);
        CHECK_FALSE(runner.MayAct());
        CHECK(Step(runner) == lease_step_result::kHeld);
        CHECK(runner.fencing() == 2);
      }
    }
  }
}

}  // namespace anvilloom
