// Defines crash_simulation, a load of calls among which a few have a part that
// crashes each upstream that begins to answer it, seen by several instances
// that lose some of each other's reports.
#ifndef TEST_SUPPORT_CRASH_SIMULATION_H_
#define TEST_SUPPORT_CRASH_SIMULATION_H_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <memory>
#include <random>
#include <span>
#include <utility>
#include <vector>

#include "instances/store_gossip.h"
#include "links/crash_suspects.h"
#include "wire/report_codec.h"

namespace anvilloom {

// Upstreams, instances and calls in virtual time. Each instance runs the
// product's own code; the network between them loses reports.
class crash_simulation {
 public:
  struct options {
    std::uint32_t seed = 1;
    std::size_t instances = 7;
    std::size_t upstreams = 9;
    double calls_per_second = 40;
    // Share of the calls that have a deadly part, and the number of such parts,
    // which these calls have by turns.
    double deadly_share = 0.02;
    std::uint64_t deadly_parts = 1;
    // Number of different first and middle parts; low ones are more frequent.
    int first_parts = 12;
    int middle_parts = 60;
    // Number of parts that all calls share besides, and of further ones that
    // each call has for itself. The part that matters stands behind both.
    std::uint64_t common_parts = 0;
    std::uint64_t own_parts = 0;
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
    duration longest_answer = std::chrono::milliseconds(260);
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
        lifetimes_(chosen.upstreams, 0),
        deadly_(chosen.deadly_parts) {
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
      if (IsDue(std::chrono::milliseconds(100))) {
        ExchangeReports();
      }
      if (IsDue(std::chrono::seconds(1))) {
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

  // What happened to the calls with one of the deadly parts.
  struct deadly_part {
    std::size_t crashes = 0;
    time_point fifth_crash = time_point::max();
    // When they were sent to an upstream.
    std::vector<time_point> sent;
  };
  std::span<const deadly_part> deadly() const { return deadly_; }
  std::uint32_t seed() const { return options_.seed; }
  double deadly_share() const { return options_.deadly_share; }
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
  // Numbers of the parts: the one that crashes upstreams, and the first ones of
  // those that all calls share and that each has for itself.
  static constexpr std::uint64_t kDeadly = 1'000'000;
  static constexpr std::uint64_t kCommonParts = 2'000'000;
  static constexpr std::uint64_t kOwnParts = 3'000'000;
  static constexpr duration kStep = std::chrono::milliseconds(5);
  static constexpr duration kWaveStart = std::chrono::seconds(2);
  static constexpr duration kShortestAnswer = std::chrono::milliseconds(60);
  static constexpr duration kRestartTime = std::chrono::milliseconds(3'400);

  struct call {
    std::size_t instance = 0;
    std::size_t upstream = 0;
    std::uint64_t id = 0;
    std::vector<std::uint64_t> parts;
    bool deadly = false;
    // Index of the deadly part.
    std::size_t deadly_part = 0;
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
    started.parts = {Part(options_.first_parts, 1'000)};
    for (std::uint64_t i = 0; i < options_.common_parts; ++i) {
      started.parts.push_back(kCommonParts + i);
    }
    for (std::uint64_t i = 0; i < options_.own_parts; ++i) {
      started.parts.push_back(kOwnParts + started.id * options_.own_parts + i);
    }
    if (started.deadly) {
      started.deadly_part = deadly_calls_++ % options_.deadly_parts;
    }
    started.parts.push_back(started.deadly
                                ? kDeadly + started.deadly_part
                                : Part(options_.middle_parts, 10'000));
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
      deadly_[sent.deadly_part].sent.push_back(now_);
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
        deadly_part& part = deadly_[each.deadly_part];
        if (++part.crashes == 5) {
          part.fifth_crash = now_;
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
      fits_one_message_ = fits_one_message_ && FitsOnePacket(reports);
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

  static bool FitsOnePacket(std::span<const suspect_report> reports) {
    constexpr std::size_t kPacketBytes = 1'472;
    peer_report message;
    message.name = "entry-instance-1";
    message.content = report_content::kSuspects;
    message.suspects.assign(reports.begin(), reports.end());
    return EncodePeerReport(message).size() <= kPacketBytes;
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
  std::size_t deadly_answered_ = 0;
  std::size_t sound_calls_ = 0;
  std::size_t sound_refused_ = 0;
  bool fits_one_message_ = true;
  std::vector<deadly_part> deadly_;
  std::uint64_t deadly_calls_ = 0;
};

// Number of calls with a deadly part that were sent later than `after` the
// fifth crash under it, for the part with the most.
inline std::size_t SentLate(const crash_simulation& simulation,
                            duration after) {
  std::size_t most = 0;
  for (const crash_simulation::deadly_part& part : simulation.deadly()) {
    if (part.fifth_crash == time_point::max()) {
      continue;
    }
    const auto late = std::ranges::count_if(part.sent, [&](time_point at) {
      return at > part.fifth_crash + after;
    });
    most = std::max(most, static_cast<std::size_t>(late));
  }
  return most;
}

}  // namespace anvilloom

#endif  // TEST_SUPPORT_CRASH_SIMULATION_H_
