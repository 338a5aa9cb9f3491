// Guards against prompts that crash upstreams being sent on and on, and against
// sound prompts being refused because of them.

#include "links/crash_suspects.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

namespace anvilloom {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kDeadly = 1'000'000;

crash_record Crash(std::uint64_t upstream,
                   std::uint64_t call,
                   duration since_start) {
  return {upstream, call, time_point(since_start)};
}

}  // namespace

// Guards against sound, popular parts that are blocked after a restart because
// the ends of upstreams with other causes are forgotten.
SCENARIO("Stored ends are weighed against all that occurred meanwhile",
         "[crash_suspects]") {
  const std::vector<std::uint64_t> parts = {1};
  GIVEN("two ends under a part among many whose other parts were answered") {
    crash_suspects before;
    for (std::uint64_t i = 1; i <= 2; ++i) {
      before.RecordCrash(parts, Crash(i, i, seconds(i)));
    }
    for (std::uint64_t i = 10; i < 20; ++i) {
      const std::vector<std::uint64_t> other = {i};
      before.RecordCrash(other, Crash(i, i, milliseconds(500 * i - 3'000)));
      before.RecordAnswer(other, time_point(seconds(8)));
    }

    WHEN("a third upstream ends under it after a restart") {
      crash_suspects after;
      const time_point now{seconds(10)};
      after.Restore(before.Evidence(now), now);
      after.RecordCrash(parts, Crash(3, 3, seconds(11)));
      THEN("the part is not blocked: the others have another cause") {
        REQUIRE(after.blocked() == 0);
      }
    }
  }
}

// Guards against sound parts that are blocked because of upstreams that ended
// beside them hours ago, while instances that had seen answers were replaced.
SCENARIO("An end under a part counts for a limited time", "[crash_suspects]") {
  const std::vector<std::uint64_t> parts = {1};
  crash_suspects suspects;
  const auto record = [&](std::uint64_t upstream, duration at) {
    suspects.Sweep(time_point(at));
    suspects.RecordCrash(parts, Crash(upstream, upstream, at));
  };

  GIVEN("an upstream that ends under a part every forty minutes") {
    using std::chrono::minutes;
    for (std::uint64_t i = 0; i < 20; ++i) {
      record(i, minutes(40) * static_cast<std::int64_t>(i));
    }
    THEN("the part is not blocked") {
      REQUIRE(suspects.blocked() == 0);
    }
    WHEN("none ends any more") {
      suspects.Sweep(time_point(minutes(40) * 22));
      THEN("nothing is known or stored of it") {
        REQUIRE(suspects.size() == 0);
        const auto evidence = suspects.Evidence(time_point(minutes(40) * 22));
        REQUIRE(evidence.suspects.empty());
        REQUIRE(evidence.ends.empty());
      }
    }
  }
  GIVEN("a part that is blocked") {
    for (std::uint64_t i = 1; i <= 3; ++i) {
      record(i, seconds(i));
    }
    WHEN("hours pass without a call that tries it") {
      suspects.Sweep(time_point(std::chrono::hours(5)));
      THEN("it is still blocked") {
        REQUIRE(suspects.blocked() == 1);
      }
    }
  }
}

SCENARIO("The evidence against a part is weighed", "[crash_suspects]") {
  crash_suspects suspects;
  const std::vector<std::uint64_t> parts = {7};
  const auto record = [&](std::uint64_t upstream, std::uint64_t call,
                          duration at) {
    suspects.RecordCrash(parts, Crash(upstream, call, at));
  };

  GIVEN("upstreams that end at the same moment") {
    for (std::uint64_t i = 1; i <= 5; ++i) {
      record(i, i, seconds(1) + milliseconds(i));
    }
    THEN("the part is not blocked: a failure domain was lost") {
      REQUIRE(suspects.blocked() == 0);
    }
  }

  GIVEN("one call that ends three upstreams") {
    for (std::uint64_t i = 1; i <= 3; ++i) {
      record(i, 1, seconds(i));
    }
    THEN("the part is not blocked, as other calls may be answered") {
      REQUIRE(suspects.blocked() == 0);
    }
    AND_WHEN("another call ends one more") {
      record(4, 2, seconds(4));
      THEN("it is") {
        REQUIRE(suspects.blocked() == 1);
      }
    }
  }

  GIVEN("four upstreams that end under the part among many that end") {
    for (std::uint64_t i = 1; i <= 4; ++i) {
      for (std::uint64_t other = 1; other <= 6; ++other) {
        suspects.RecordCrash(std::vector<std::uint64_t>{100 * i + other},
                             Crash(100 * i + other, 100 * i + other,
                                   seconds(i) - milliseconds(500)));
      }
      record(i, i, seconds(i));
    }
    THEN("the part is not blocked: the others have another cause") {
      REQUIRE(suspects.blocked() == 0);
    }
    AND_WHEN("only upstreams under the part end after that") {
      for (std::uint64_t i = 5; i <= 7; ++i) {
        record(i, i, seconds(i));
      }
      THEN("it is") {
        REQUIRE(suspects.blocked() == 1);
      }
    }
  }

  GIVEN("a report of the same crash from another instance") {
    record(1, 1, seconds(1));
    record(2, 2, seconds(2));
    const auto reports = suspects.TakeReports(time_point(seconds(3)));
    REQUIRE(reports.size() == 1);
    suspects.Merge(reports[0], time_point(seconds(4)));
    THEN("it counts once") {
      REQUIRE(suspects.TakeReports(time_point(seconds(4)))[0].crashes.size() ==
              2);
    }
  }

  GIVEN("an answer between two crashes") {
    record(1, 1, seconds(1));
    record(2, 2, seconds(2));
    suspects.RecordAnswer(parts, time_point(seconds(3)));
    record(3, 3, seconds(4));
    THEN("the crashes before it don't count") {
      REQUIRE(suspects.blocked() == 0);
    }
    AND_WHEN("a late report tells of a crash before the answer") {
      suspects.Merge({{7}, std::nullopt, std::nullopt, {{9, 9, seconds(3)}}},
                     time_point(seconds(5)));
      suspects.Merge({{7}, std::nullopt, std::nullopt, {{8, 8, seconds(2)}}},
                     time_point(seconds(5)));
      THEN("it doesn't count either") {
        REQUIRE(suspects.blocked() == 0);
      }
    }
  }
}

SCENARIO("Calls with only some of the suspected parts tell which it is",
         "[crash_suspects]") {
  crash_suspects suspects;
  const std::vector<std::uint64_t> both = {1, 2};
  for (std::uint64_t i = 1; i <= 3; ++i) {
    suspects.RecordCrash(both, Crash(i, i, seconds(i)));
  }
  const time_point now{seconds(4)};
  const std::vector<std::uint64_t> first = {1, 5};
  const std::vector<std::uint64_t> second = {2, 6};

  GIVEN("two parts that have always been together") {
    const auto view = suspects.TakeView(0);
    THEN("a call with both is refused, and calls with one are not") {
      REQUIRE(view->BlockedUntil(both, now));
      REQUIRE_FALSE(view->BlockedUntil(first, now));
      REQUIRE_FALSE(view->BlockedUntil(second, now));
    }
  }
  WHEN("a call with the first one is answered") {
    suspects.RecordAnswer(first, now);
    const auto view = suspects.TakeView(0);
    THEN("the second one is the cause") {
      REQUIRE_FALSE(view->BlockedUntil(first, now));
      REQUIRE(view->BlockedUntil(second, now));
    }
  }
  WHEN("a call with the first one crashes another upstream") {
    suspects.RecordCrash(first, Crash(4, 4, seconds(4)));
    const auto view = suspects.TakeView(0);
    THEN("the first one is the cause") {
      REQUIRE(view->BlockedUntil(first, now));
      REQUIRE_FALSE(view->BlockedUntil(second, now));
    }
  }
}

SCENARIO("One call at a time tries a blocked part", "[crash_suspects]") {
  crash_suspects suspects;
  const std::vector<std::uint64_t> parts = {1};
  for (std::uint64_t i = 1; i <= 3; ++i) {
    suspects.RecordCrash(parts, Crash(i, i, seconds(i)));
  }
  const time_point due =
      time_point(seconds(3)) + crash_suspects::kMinTrialDelay;
  const auto view = suspects.TakeView(0);

  THEN("no call is let through before the trial is due") {
    REQUIRE(view->BlockedUntil(parts, due - milliseconds(1)) == deadline(due));
  }
  THEN("an instance of a higher rank waits longer") {
    suspects.RecordCrash(parts, Crash(3, 4, seconds(3)));
    const auto other = suspects.TakeView(2);
    REQUIRE(other->BlockedUntil(parts, due + milliseconds(1)));
  }
  WHEN("another instance has just tried it") {
    suspects.Merge({{1}, std::nullopt, duration(0), {}}, due);
    THEN("this one waits") {
      REQUIRE(suspects.TakeView(0)->BlockedUntil(parts, due));
    }
  }
  WHEN("it is due") {
    REQUIRE_FALSE(view->BlockedUntil(parts, due));
    REQUIRE(view->TakeTrials(parts) == trial::kTaken);
    THEN("only one call is let through") {
      REQUIRE(view->BlockedUntil(parts, due));
      REQUIRE(view->TakeTrials(parts) == trial::kUnavailable);
    }
    AND_WHEN("it has no result") {
      suspects.RecordTrial(parts, due);
      const auto next = suspects.TakeView(0);
      THEN("the next one waits as long again") {
        REQUIRE(next->BlockedUntil(parts, due + milliseconds(1)) ==
                deadline(due + crash_suspects::kMinTrialDelay));
      }
    }
    AND_WHEN("it crashes its upstream") {
      suspects.RecordCrash(parts, {4, 4, due});
      const auto next = suspects.TakeView(0);
      THEN("the next one waits longer") {
        REQUIRE(
            next->BlockedUntil(parts, due + crash_suspects::kMinTrialDelay));
      }
    }
  }
}

// Guards against a part that is never tried again, because a call with two
// blocked parts reserved the trial of one and found the other one taken.
SCENARIO("A call that can't try all of its parts tries none",
         "[crash_suspects]") {
  crash_suspects suspects;
  const std::vector<std::uint64_t> first = {1};
  const std::vector<std::uint64_t> second = {2};
  const std::vector<std::uint64_t> both = {1, 2};
  for (std::uint64_t i = 1; i <= 3; ++i) {
    suspects.RecordCrash(first, Crash(i, i, seconds(i)));
    suspects.RecordCrash(second, Crash(10 + i, 10 + i, seconds(i)));
  }
  const time_point due =
      time_point(seconds(3)) + crash_suspects::kMinTrialDelay;
  const auto view = suspects.TakeView(0);
  REQUIRE(view->TakeTrials(second) == trial::kTaken);

  WHEN("a call has both parts") {
    REQUIRE(view->TakeTrials(both) == trial::kUnavailable);
    THEN("another call may still try the first one") {
      REQUIRE_FALSE(view->BlockedUntil(first, due));
      REQUIRE(view->TakeTrials(first) == trial::kTaken);
    }
  }
}

// Guards against a blocked part that is never tried again, and against reports
// of a trial that go round for ever, when messages take long to arrive.
SCENARIO("A trial that is reported late is the one that is known",
         "[crash_suspects]") {
  GIVEN("two instances that know of a trial of a blocked part") {
    crash_suspects one;
    crash_suspects other;
    const std::vector<std::uint64_t> parts = {1};
    for (std::uint64_t i = 1; i <= 3; ++i) {
      one.RecordCrash(parts, Crash(i, i, seconds(i)));
    }
    time_point now(seconds(30));
    const time_point due = now + crash_suspects::kMinTrialDelay;
    one.RecordTrial(parts, now);

    WHEN("they pass on what is new for half a minute with a long delay") {
      constexpr duration kDelay = milliseconds(300);
      int passed_on = 0;
      const auto pass_on = [&](crash_suspects& from, crash_suspects& to) {
        const auto reports = from.TakeReports(now);
        now += kDelay;
        for (const suspect_report& each : reports) {
          to.Merge(each, now);
          ++passed_on;
        }
      };
      while (now < due + seconds(10)) {
        pass_on(one, other);
        pass_on(other, one);
      }

      THEN("they do so a few times only, and the next trial is due") {
        REQUIRE(passed_on <= 8);
        REQUIRE_FALSE(one.TakeView(0)->BlockedUntil(parts, now));
        REQUIRE_FALSE(other.TakeView(0)->BlockedUntil(parts, now));
      }
    }
  }
}

// Guards against instances that don't learn of a crash because its observer
// tells a few others only, and against reports that are passed on for ever.
SCENARIO("What is new in a report is passed on once", "[crash_suspects]") {
  crash_suspects observer;
  crash_suspects receiver;
  const std::vector<std::uint64_t> parts = {1};
  time_point now(seconds(1));
  observer.RecordCrash(parts, {5, 5, now});
  const auto observed = observer.TakeReports(now);
  REQUIRE(observed.size() == 1);

  GIVEN("a report of a crash") {
    receiver.Merge(observed[0], now);
    THEN("its receiver passes it on") {
      REQUIRE(receiver.TakeReports(now).size() == 1);
      REQUIRE(receiver.TakeReports(now).empty());
    }
    AND_WHEN("it comes again, and late") {
      receiver.TakeReports(now);
      receiver.Merge(observed[0], now + seconds(1));
      THEN("it is not passed on again") {
        REQUIRE(receiver.TakeReports(now + seconds(1)).empty());
      }
    }
    AND_WHEN("another instance reports an answer after it") {
      receiver.TakeReports(now);
      const suspect_report answered{{1}, duration(0), std::nullopt, {}};
      receiver.Merge(answered, now + seconds(1));
      THEN("it is passed on, and not again when it comes late") {
        REQUIRE(receiver.TakeReports(now + seconds(1)).size() == 1);
        receiver.Merge(answered, now + seconds(2));
        REQUIRE(receiver.TakeReports(now + seconds(2)).empty());
      }
      THEN("a late report of the crash before it has no effect") {
        receiver.TakeReports(now + seconds(1));
        receiver.Merge(observed[0], now + seconds(3));
        REQUIRE(receiver.TakeReports(now + seconds(3)).empty());
      }
    }
  }
}

// Guards against a sound part that one instance blocks because it adds up ends
// between which others have seen answers.
SCENARIO("An instance that has seen an answer contradicts one that has not",
         "[crash_suspects]") {
  crash_suspects unaware;
  crash_suspects aware;
  const std::vector<std::uint64_t> parts = {1};
  const auto exchange = [](crash_suspects& from, crash_suspects& to,
                           time_point now) {
    for (const suspect_report& each : from.TakeReports(now)) {
      to.Merge(each, now);
    }
  };

  GIVEN("two ends under a part, the second one known to one instance only") {
    unaware.RecordCrash(parts, Crash(1, 1, seconds(1)));
    exchange(unaware, aware, time_point(seconds(1)));
    aware.TakeReports(time_point(seconds(1)));
    unaware.RecordCrash(parts, Crash(2, 2, seconds(2)));
    AND_GIVEN("an answer that only the other instance has seen") {
      const time_point answered(seconds(3));
      aware.RecordAnswer(parts, answered);
      REQUIRE(aware.TakeReports(answered).empty());

      WHEN("the first one reports both ends") {
        const time_point now(seconds(4));
        exchange(unaware, aware, now);
        exchange(aware, unaware, now);
        THEN("it learns of the answer, and a third end blocks nothing") {
          unaware.RecordCrash(parts, Crash(3, 3, seconds(5)));
          REQUIRE(unaware.blocked() == 0);
        }
      }
    }
  }
}

// Guards against verdicts that end, or trials that never come, because
// instances repeat each other's reports and each delay adds to their times.
SCENARIO("Reports that go round don't move their times", "[crash_suspects]") {
  crash_suspects one;
  crash_suspects other;
  const std::vector<std::uint64_t> parts = {1};
  one.RecordCrash(parts, Crash(9, 9, milliseconds(500)));
  one.RecordAnswer(parts, time_point(seconds(1)));
  for (std::uint64_t i = 2; i <= 4; ++i) {
    one.RecordCrash(parts, Crash(i, i, seconds(i)));
  }
  one.RecordTrial(parts, time_point(seconds(30)));
  time_point now(seconds(31));

  WHEN("they are exchanged for a minute with a delay") {
    constexpr duration kDelay = milliseconds(20);
    const auto pass_on = [&](crash_suspects& from, crash_suspects& to) {
      std::vector<suspect_report> reports = from.TakeReports(now);
      const auto blocked = from.BlockedReports(now);
      reports.insert(reports.end(), blocked.begin(), blocked.end());
      now += kDelay;
      for (const suspect_report& each : reports) {
        to.Merge(each, now);
      }
    };
    while (now < time_point(seconds(91))) {
      pass_on(one, other);
      pass_on(other, one);
      now += milliseconds(200);
    }
    THEN("the part is still blocked by both, and its trial is due") {
      for (crash_suspects* each : {&one, &other}) {
        REQUIRE(each->blocked() == 1);
        REQUIRE_FALSE(each->TakeView(0)->BlockedUntil(
            parts, time_point(seconds(51)) + milliseconds(200)));
      }
    }
  }
}

// Guards against blocked parts that are forgotten at the loss of all instances
// because the stored list was cut to what one message holds.
SCENARIO("All blocked parts are stored", "[crash_suspects]") {
  GIVEN("blocked parts with more ends than one message holds") {
    constexpr std::uint64_t kParts = 20;
    constexpr std::uint64_t kEnds = 12;
    crash_suspects suspects;
    for (std::uint64_t part = 1; part <= kParts; ++part) {
      for (std::uint64_t i = 1; i <= kEnds; ++i) {
        suspects.RecordCrash(std::vector<std::uint64_t>{part},
                             Crash(100 * part + i, i, seconds(20 * part + i)));
      }
    }
    const time_point now{seconds(500)};
    REQUIRE(suspects.blocked() == kParts);
    REQUIRE(suspects.BlockedReports(now).size() < kParts);

    THEN("an instance that reads the stored parts blocks all of them") {
      crash_suspects restarted;
      restarted.Restore(suspects.Evidence(now), now);
      REQUIRE(restarted.blocked() == kParts);
    }
  }
}

// Guards against a part that is never blocked because each restart of all
// instances forgets the ends under it that were too few to block it.
SCENARIO("Ends are counted across restarts", "[crash_suspects]") {
  const std::vector<std::uint64_t> parts = {1};
  GIVEN("a part under which two upstreams ended before a restart") {
    crash_suspects before;
    before.RecordCrash(parts, Crash(1, 1, seconds(1)));
    before.RecordCrash(parts, Crash(2, 2, seconds(2)));
    const time_point now{seconds(10)};
    crash_suspects after;
    after.Restore(before.Evidence(now), now);

    WHEN("a third one ends after it") {
      after.RecordCrash(parts, Crash(3, 3, seconds(11)));
      THEN("the part is blocked") {
        REQUIRE(after.blocked() == 1);
      }
    }
    WHEN("a call with the part is answered first") {
      after.RecordAnswer(parts, now);
      after.RecordCrash(parts, Crash(3, 3, seconds(11)));
      THEN("the part is not blocked") {
        REQUIRE(after.blocked() == 0);
      }
    }
  }
}

// Guards against memory without bound, and against calls of one caller that
// drive out what is known of the parts of others.
SCENARIO("The number of suspects is bounded", "[crash_suspects]") {
  crash_suspects suspects;
  const std::vector<std::uint64_t> deadly = {kDeadly};
  for (std::uint64_t i = 1; i <= 3; ++i) {
    suspects.RecordCrash(deadly, Crash(i, i, seconds(i)));
  }
  const std::vector<std::uint64_t> other = {kDeadly + 1};
  suspects.RecordCrash(other, Crash(4, 4, seconds(4)));

  GIVEN("many calls with parts of their own that are lost") {
    constexpr std::uint64_t kParts = 64;
    for (std::uint64_t i = 0; i < 2 * crash_suspects::kMaxSuspects / kParts;
         ++i) {
      std::vector<std::uint64_t> parts;
      for (std::uint64_t part = 0; part < kParts; ++part) {
        parts.push_back(i * kParts + part + 2 * kDeadly);
      }
      suspects.RecordCrash(parts, Crash(5 + i / 100, i + 5, seconds(10 + i)));
    }
    THEN("they are kept within the bound") {
      REQUIRE(suspects.size() <= crash_suspects::kMaxSuspects);
    }
    THEN("blocked parts are kept before others") {
      REQUIRE(suspects.blocked() == 1);
    }
    THEN("the part of another caller's short prompt is kept, too") {
      suspects.RecordCrash(other, Crash(4'001, 4'001, seconds(100'000)));
      const auto evidence = suspects.Evidence(time_point(seconds(100'000)));
      REQUIRE(evidence.suspects.size() > 1);
      REQUIRE(evidence.suspects[1].parts == other);
      REQUIRE(evidence.suspects[1].crashes.size() == 2);
    }
  }
}

}  // namespace anvilloom
