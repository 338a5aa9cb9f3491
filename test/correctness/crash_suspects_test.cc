// Guards against prompts that crash upstreams being sent on and on, and against
// sound prompts being refused because of them: a load of calls among which a
// few have a part that crashes each upstream that begins to answer it, seen by
// several instances that lose some of each other's reports.

#include "links/crash_suspects.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <random>
#include <set>
#include <utility>
#include <vector>

#include "instances/store_gossip.h"

namespace anvilloom {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kDeadly = 1'000'000;

// Upstreams, instances and calls in virtual time. Each instance runs the
// product's own code; the network between them loses reports.
class crash_simulation {
 public:
  struct options {
    std::uint32_t seed = 1;
    std::size_t instances = 7;
    std::size_t upstreams = 9;
    double calls_per_second = 40;
    // Share of the calls that have the deadly part.
    double deadly_share = 0.02;
    // Number of different first and middle parts; low ones are more frequent.
    int first_parts = 12;
    int middle_parts = 60;
    // Upstreams that a call is sent to at most.
    int attempts = 2;
    double lost_reports = 0.05;
    // Interval at which all upstreams of a third of the pool end at once; zero
    // for never.
    duration outage_interval{0};
    // Time within which half of the upstreams end, each at a random moment, two
    // seconds after the start; zero for never.
    duration wave{0};
    // Longest time from the start of a call to its answer.
    duration longest_answer = milliseconds(260);
    // Time that a report takes to arrive.
    duration report_delay{0};
    // Interval at which one upstream ends by itself; zero for never.
    duration failure_interval{0};
    // Interval at which all instances are lost and start with what was stored;
    // zero for never.
    duration restart_interval{0};
  };

  explicit crash_simulation(const options& chosen)
      : options_(chosen),
        random_(chosen.seed),
        suspects_(chosen.instances),
        views_(chosen.instances),
        restarts_(chosen.upstreams, time_point::min()),
        lifetimes_(chosen.upstreams, 0) {
    for (auto& view : views_) {
      view = std::make_unique<const suspect_view>();
    }
    if (chosen.wave > duration(0)) {
      for (std::size_t i = 0; i < chosen.upstreams / 2; ++i) {
        wave_.emplace_back(
            time_point(kWaveStart) +
                duration(static_cast<std::int64_t>(
                    Unit() * static_cast<double>(chosen.wave.count()))),
            i);
      }
    }
  }

  void Run(duration time) {
    const time_point end = now_ + time;
    while (now_ < end) {
      now_ += kStep;
      StartCalls();
      EndCalls();
      if (IsDue(options_.outage_interval)) {
        for (std::size_t i = 0; i < options_.upstreams / 3; ++i) {
          Crash(i);
        }
      }
      if (IsDue(options_.failure_interval)) {
        Crash(random_() % options_.upstreams);
      }
      std::erase_if(wave_, [this](const auto& each) {
        const bool due = each.first <= now_;
        if (due) {
          Crash(each.second);
        }
        return due;
      });
      DeliverReports();
      if (IsDue(milliseconds(100))) {
        ExchangeReports();
      }
      if (IsDue(seconds(1))) {
        stored_ = suspects_[0].Evidence(now_);
        stored_at_ = now_;
      }
      if (IsDue(options_.restart_interval)) {
        RestartAll();
      }
    }
  }

  // Stops the calls with the deadly part, or makes the part harmless.
  void SetDeadlyShare(double share) { options_.deadly_share = share; }
  void Mend() { mended_ = true; }

  std::size_t deadly_crashes() const { return deadly_crashes_; }
  // Times at which a call with the deadly part was sent to an upstream.
  const std::vector<time_point>& deadly_sent() const { return deadly_sent_; }
  time_point fifth_crash() const { return fifth_crash_; }
  std::size_t sound_calls() const { return sound_calls_; }
  std::size_t sound_refused() const { return sound_refused_; }
  std::size_t deadly_answered() const { return deadly_answered_; }
  // Whether no instance had more to send at once than one message holds.
  bool fits_one_message() const { return fits_one_message_; }
  time_point now() const { return now_; }
  const crash_suspects& suspects(std::size_t instance) const {
    return suspects_[instance];
  }

 private:
  static constexpr duration kStep = milliseconds(5);
  static constexpr duration kWaveStart = seconds(2);
  static constexpr duration kShortestAnswer = milliseconds(60);
  static constexpr duration kRestartTime = milliseconds(3'400);

  struct call {
    std::size_t instance = 0;
    std::size_t upstream = 0;
    std::uint64_t id = 0;
    std::vector<std::uint64_t> parts;
    bool deadly = false;
    int attempts = 0;
    time_point answers_at;
  };

  bool IsDue(duration interval) const {
    return interval > duration(0) &&
           (now_ - time_point{}) % interval == duration(0);
  }

  // Loses all instances with their calls and what was not stored.
  void RestartAll() {
    running_.clear();
    under_way_.clear();
    for (suspect_report& suspect : stored_.suspects) {
      for (suspect_report::crash& each : suspect.crashes) {
        each.age += now_ - stored_at_;
      }
    }
    for (upstream_end& each : stored_.ends) {
      each.age += now_ - stored_at_;
    }
    stored_at_ = now_;
    for (std::size_t i = 0; i < suspects_.size(); ++i) {
      suspects_[i] = crash_suspects();
      suspects_[i].Restore(stored_, now_);
      views_[i] = suspects_[i].TakeView(i);
      if (!views_[i]) {
        views_[i] = std::make_unique<const suspect_view>();
      }
    }
  }

  double Unit() { return std::uniform_real_distribution<>(0, 1)(random_); }
  std::uint64_t Part(int count, std::uint64_t base) {
    // Low numbers are drawn more often.
    return base + static_cast<std::uint64_t>(Unit() * Unit() * count);
  }

  void StartCalls() {
    const double due = options_.calls_per_second *
                       std::chrono::duration<double>(kStep).count();
    if (Unit() >= due) {
      return;
    }
    call started;
    started.instance = random_() % options_.instances;
    started.id = ++next_id_;
    started.deadly = Unit() < options_.deadly_share;
    started.parts = {
        Part(options_.first_parts, 1'000),
        started.deadly ? kDeadly : Part(options_.middle_parts, 10'000)};
    sound_calls_ += started.deadly ? 0 : 1;
    Send(std::move(started));
  }

  void Send(call sent) {
    const suspect_view& view = *views_[sent.instance];
    const bool blocked = view.BlockedUntil(sent.parts, now_).has_value();
    const trial tried =
        blocked ? trial::kUnavailable : view.TakeTrials(sent.parts);
    if (tried == trial::kUnavailable) {
      sound_refused_ += sent.deadly ? 0 : 1;
      return;
    }
    if (tried == trial::kTaken) {
      suspects_[sent.instance].RecordTrial(sent.parts, now_);
      ExchangeReports();
    }
    const auto up = [this](std::size_t each) {
      return restarts_[each] <= now_;
    };
    sent.upstream = random_() % options_.upstreams;
    for (std::size_t i = 1; !up(sent.upstream); ++i) {
      if (i == options_.upstreams) {
        return;  // All are down.
      }
      sent.upstream = (sent.upstream + 1) % options_.upstreams;
    }
    ++sent.attempts;
    sent.answers_at =
        now_ + kShortestAnswer +
        duration(static_cast<std::int64_t>(
            Unit() * static_cast<double>(
                         (options_.longest_answer - kShortestAnswer).count())));
    if (sent.deadly) {
      deadly_sent_.push_back(now_);
    }
    running_.push_back(std::move(sent));
  }

  void EndCalls() {
    for (std::size_t i = 0; i < running_.size(); ++i) {
      const call each = running_[i];
      if (each.answers_at > now_) {
        continue;
      }
      if (each.deadly && !mended_) {
        if (++deadly_crashes_ == 5) {
          fifth_crash_ = now_;
        }
        Crash(each.upstream);
        i = static_cast<std::size_t>(-1);  // The list has changed.
        continue;
      }
      deadly_answered_ += each.deadly ? 1 : 0;
      running_.erase(running_.begin() + static_cast<std::ptrdiff_t>(i));
      --i;
      if (views_[each.instance]->MustReportAnswer(each.parts)) {
        suspects_[each.instance].RecordAnswer(each.parts, now_);
      }
    }
  }

  void Crash(std::size_t upstream) {
    std::vector<call> lost;
    std::erase_if(running_, [&](const call& each) {
      const bool here = each.upstream == upstream;
      if (here) {
        lost.push_back(each);
      }
      return here;
    });
    const std::uint64_t hash = upstream * 1'000 + lifetimes_[upstream];
    ++lifetimes_[upstream];
    restarts_[upstream] = now_ + kRestartTime;
    for (call& each : lost) {
      suspects_[each.instance].RecordCrash(each.parts, {hash, each.id, now_});
      if (each.attempts < options_.attempts) {
        Send(std::move(each));
      }
    }
  }

  void ExchangeReports() {
    for (std::size_t from = 0; from < suspects_.size(); ++from) {
      suspects_[from].Sweep(now_);
      const auto reports = suspects_[from].TakeReports(now_);
      fits_one_message_ =
          fits_one_message_ && CountForOneReport(reports) == reports.size();
      if (reports.empty()) {
        continue;
      }
      for (const std::size_t to : DrawRecipients(from)) {
        if (Unit() >= options_.lost_reports) {
          under_way_.push_back({now_ + options_.report_delay, to, reports});
        }
      }
    }
    DeliverReports();
    for (std::size_t i = 0; i < suspects_.size(); ++i) {
      if (auto view = suspects_[i].TakeView(i)) {
        views_[i] = std::move(view);
      }
    }
  }

  // The instances to which one instance sends a message, as in peer_reporter.
  std::vector<std::size_t> DrawRecipients(std::size_t from) {
    std::vector<std::size_t> others;
    for (std::size_t i = 0; i < suspects_.size(); ++i) {
      if (i != from) {
        others.push_back(i);
      }
    }
    std::ranges::shuffle(others, random_);
    others.resize(
        std::min(others.size(), store_gossip::Fanout(suspects_.size())));
    return others;
  }

  void DeliverReports() {
    while (!under_way_.empty() && under_way_.front().arrives_at <= now_) {
      const message& first = under_way_.front();
      for (const suspect_report& each : first.reports) {
        suspects_[first.to].Merge(each, now_);
      }
      under_way_.pop_front();
    }
  }

  struct message {
    time_point arrives_at;
    std::size_t to = 0;
    std::vector<suspect_report> reports;
  };

  options options_;
  std::mt19937 random_;
  time_point now_;
  std::vector<crash_suspects> suspects_;
  std::vector<std::unique_ptr<const suspect_view>> views_;
  // When each upstream is back, and the number of its lifetimes.
  std::vector<time_point> restarts_;
  std::vector<std::uint64_t> lifetimes_;
  std::deque<call> running_;
  // When each upstream of the wave ends.
  std::vector<std::pair<time_point, std::size_t>> wave_;
  // In the order in which they arrive.
  std::deque<message> under_way_;
  // What instance 0 stored last, and when.
  suspect_evidence stored_;
  time_point stored_at_;
  std::uint64_t next_id_ = 0;
  bool mended_ = false;
  std::size_t deadly_crashes_ = 0;
  std::size_t deadly_answered_ = 0;
  std::size_t sound_calls_ = 0;
  std::size_t sound_refused_ = 0;
  bool fits_one_message_ = true;
  std::vector<time_point> deadly_sent_;
  time_point fifth_crash_ = time_point::max();
};

// Number of deadly calls sent later than `after` the fifth crash.
std::size_t SentLate(const crash_simulation& simulation, duration after) {
  if (simulation.fifth_crash() == time_point::max()) {
    return 0;
  }
  return static_cast<std::size_t>(std::ranges::count_if(
      simulation.deadly_sent(),
      [&](time_point at) { return at > simulation.fifth_crash() + after; }));
}

crash_record Crash(std::uint64_t upstream,
                   std::uint64_t call,
                   duration since_start) {
  return {upstream, call, time_point(since_start)};
}

}  // namespace

// Guards against upstreams that end one after the other, and against refusing
// the sound calls that share a workspace, a route and parts with the others.
SCENARIO("A part that crashes upstreams is found among sound ones",
         "[crash_suspects]") {
  const std::uint32_t seed = GENERATE(range(1U, 41U));
  crash_simulation::options options;
  options.seed = seed;
  options.attempts = 1 + static_cast<int>(seed % 3);
  options.deadly_share = seed % 2 == 0 ? 0.02 : 0.1;
  CAPTURE(seed);

  GIVEN("a fleet of seven instances") {
    crash_simulation simulation(options);
    simulation.Run(seconds(90));

    THEN("at most three calls with it are sent once it is known") {
      REQUIRE(SentLate(simulation, seconds(3)) <= 3);
    }
    THEN("hardly any sound call is refused") {
      REQUIRE(simulation.sound_refused() * 100 <= simulation.sound_calls());
    }
  }

  GIVEN("a large fleet with many calls, of which each instance sees few") {
    options.instances = 100;
    options.upstreams = 80;
    options.calls_per_second = 180;
    options.deadly_share = 0.04;
    options.middle_parts = 400;
    crash_simulation simulation(options);
    simulation.Run(seconds(30));

    THEN("at most three calls with it are sent once it is known") {
      REQUIRE(SentLate(simulation, seconds(5)) <= 3);
    }
    THEN("hardly any sound call is refused") {
      REQUIRE(simulation.sound_refused() * 100 <= simulation.sound_calls());
    }
  }
}

// Guards against blaming prompts for upstreams that end for other reasons.
SCENARIO("Upstreams that end by themselves make no part suspicious for long",
         "[crash_suspects]") {
  crash_simulation::options options;
  options.seed = GENERATE(range(1U, 21U));
  options.deadly_share = 0;
  options.outage_interval = seconds(4);
  CAPTURE(options.seed);

  WHEN("a third of them ends at once, again and again") {
    crash_simulation simulation(options);
    simulation.Run(seconds(60));
    THEN("hardly any call is refused") {
      REQUIRE(simulation.sound_refused() * 500 <= simulation.sound_calls());
    }
  }
}

// Guards against refusing sound calls, and against exchanging ever more reports
// of them, while many upstreams end one after the other and the others answer
// late.
SCENARIO("Half of the upstreams of a large fleet end within seconds",
         "[crash_suspects]") {
  crash_simulation::options options;
  options.seed = GENERATE(range(1U, 11U));
  options.deadly_share = 0;
  options.instances = 100;
  options.upstreams = 80;
  options.calls_per_second = 180;
  options.first_parts = 4;
  options.middle_parts = 400;
  options.longest_answer = seconds(2);
  options.report_delay = milliseconds(100);
  options.wave = seconds(3);
  CAPTURE(options.seed);
  crash_simulation simulation(options);
  simulation.Run(seconds(20));

  THEN("hardly any call is refused") {
    CAPTURE(simulation.sound_refused(), simulation.sound_calls());
    REQUIRE(simulation.sound_refused() * 100 <= simulation.sound_calls());
  }
  THEN("no instance sends more than one message to a few others at a time") {
    REQUIRE(simulation.fits_one_message());
  }
}

// Guards against sound parts that are blocked because the ends of upstreams
// beside them are added up over restarts, while the answers are forgotten.
SCENARIO("Ends of upstreams that have other causes are stored",
         "[crash_suspects]") {
  crash_simulation::options options;
  options.seed = GENERATE(range(1U, 6U));
  options.deadly_share = 0;
  options.failure_interval = milliseconds(700);
  options.restart_interval = seconds(5);
  CAPTURE(options.seed);

  GIVEN("upstreams that end one after the other and restarts of all") {
    const auto middle_parts = GENERATE(5, 60, 400);
    options.middle_parts = middle_parts;
    CAPTURE(middle_parts);
    crash_simulation simulation(options);
    simulation.Run(seconds(100));
    THEN("hardly any call is refused") {
      CAPTURE(simulation.sound_refused(), simulation.sound_calls());
      REQUIRE(simulation.sound_refused() * 500 <= simulation.sound_calls());
    }
  }
}

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

// Guards against a part that is never blocked because of restarts.
SCENARIO("A part that crashes upstreams is found across restarts",
         "[crash_suspects]") {
  crash_simulation::options options;
  options.seed = GENERATE(range(1U, 11U));
  options.deadly_share = 0.01;
  options.restart_interval = seconds(9);
  CAPTURE(options.seed);
  crash_simulation simulation(options);
  simulation.Run(seconds(90));
  THEN("at most three calls with it are sent once it is known") {
    REQUIRE(SentLate(simulation, seconds(3)) <= 3);
  }
  THEN("hardly any sound call is refused") {
    REQUIRE(simulation.sound_refused() * 100 <= simulation.sound_calls());
  }
}

// Guards against a verdict that outlives its cause.
SCENARIO("A blocked part is tried again and cleared by an answer",
         "[crash_suspects]") {
  crash_simulation::options options;
  options.seed = GENERATE(range(1U, 11U));
  options.deadly_share = 0.1;
  CAPTURE(options.seed);
  crash_simulation simulation(options);
  simulation.Run(seconds(10));
  REQUIRE(simulation.suspects(0).blocked() > 0);

  WHEN("the upstreams have been mended") {
    simulation.Mend();
    simulation.Run(seconds(60));
    THEN("its calls are served again by all instances") {
      REQUIRE(simulation.deadly_answered() > 10);
      for (std::size_t i = 0; i < options.instances; ++i) {
        REQUIRE(simulation.suspects(i).blocked() == 0);
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
      suspects.Merge({7, std::nullopt, std::nullopt, {{9, 9, seconds(3)}}},
                     time_point(seconds(5)));
      suspects.Merge({7, std::nullopt, std::nullopt, {{8, 8, seconds(2)}}},
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
    suspects.Merge({1, std::nullopt, duration(0), {}}, due);
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
      const suspect_report answered{1, duration(0), std::nullopt, {}};
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

SCENARIO("The number of suspects is bounded", "[crash_suspects]") {
  crash_suspects suspects;
  const std::vector<std::uint64_t> deadly = {kDeadly};
  for (std::uint64_t i = 1; i <= 3; ++i) {
    suspects.RecordCrash(deadly, Crash(i, i, seconds(i)));
  }
  for (std::uint64_t i = 0; i < 5'000; ++i) {
    const std::vector<std::uint64_t> parts = {i};
    suspects.RecordCrash(parts, Crash(i, i, seconds(10 + i)));
  }
  THEN("blocked parts are kept before others") {
    REQUIRE(suspects.size() <= 600);
    REQUIRE(suspects.blocked() == 1);
  }
}

}  // namespace anvilloom
