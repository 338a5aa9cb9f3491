#include "links/urgency_admission.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace anvilloom {

namespace {

// A retry after a shorter delay would be refused for the same reason.
constexpr duration kMinReturnDelay = std::chrono::milliseconds(50);
// Clients honour a delay of up to a third of their remaining time. The rest of
// that third covers the way to the client.
constexpr std::int64_t kHonouredPermille = 300;
// Part of the latency target within which the most urgent calls return: with
// the second wait they can still meet it.
constexpr std::int64_t kUrgentReturnPermille = 250;
constexpr std::int64_t kPermille = 1000;

}  // namespace

workspace_shares::slot& workspace_shares::Find(std::uint64_t workspace,
                                               time_point now) {
  const auto probed = [&](std::size_t i) -> slot& {
    return slots_[(workspace + i) % kSlots];
  };
  for (std::size_t i = 0; i < kProbes; ++i) {
    if (probed(i).workspace.load(std::memory_order_relaxed) == workspace) {
      return probed(i);
    }
  }
  for (std::size_t i = 0; i < kProbes; ++i) {
    std::uint64_t holder = probed(i).workspace.load(std::memory_order_relaxed);
    if (probed(i).offered.Value(now) < kForgottenWork &&
        probed(i).workspace.compare_exchange_strong(
            holder, workspace, std::memory_order_relaxed)) {
      return probed(i);
    }
  }
  return probed(0);
}

void workspace_shares::CountOffered(std::uint64_t workspace,
                                    float work,
                                    time_point now) {
  Find(workspace, now).offered.Add(work, now);
}

void workspace_shares::CountAdmitted(std::uint64_t workspace,
                                     float work,
                                     time_point now) {
  Find(workspace, now).admitted.Add(work, now);
}

bool workspace_shares::IsOverShare(std::uint64_t workspace, time_point now) {
  return Find(workspace, now).admitted.Value(now) > kTolerance * Level(now);
}

float workspace_shares::AdmittedPart(std::uint64_t workspace, time_point now) {
  const slot& counts = Find(workspace, now);
  const float offered = counts.offered.Value(now);
  return offered > 0 ? counts.admitted.Value(now) / offered : 1;
}

float workspace_shares::Level(time_point now) {
  const std::int64_t now_us = now.time_since_epoch().count();
  if (now_us < level_until_us_.load(std::memory_order_relaxed)) {
    return level_.load(std::memory_order_relaxed);
  }
  // Concurrent threads may compute about the same value twice.
  const float level = ComputeLevel(now);
  level_.store(level, std::memory_order_relaxed);
  level_until_us_.store(now_us + kLevelLifetime.count(),
                        std::memory_order_relaxed);
  return level;
}

float workspace_shares::ComputeLevel(time_point now) const {
  std::array<float, kSlots> offered{};
  float rest = 0;
  for (std::size_t i = 0; i < kSlots; ++i) {
    offered[i] = slots_[i].offered.Value(now);
    rest += slots_[i].admitted.Value(now);
  }
  std::ranges::sort(offered);
  for (std::size_t i = 0; i < kSlots; ++i) {
    const float level = rest / static_cast<float>(kSlots - i);
    if (offered[i] > level) {
      return level;
    }
    rest -= offered[i];
  }
  return std::numeric_limits<float>::max();
}

std::size_t urgency_admission::LevelOf(const call_standing& standing) {
  return std::min<std::size_t>(standing.urgency, kLevels - 1);
}

duration urgency_admission::TypicalDelay(const first_token_estimate& estimate,
                                         const call_standing& standing) const {
  return levels_[LevelOf(standing)].by_slack.TypicalDelay(estimate);
}

double urgency_admission::Shortage(time_point now) const {
  const float offered = offered_.Value(now);
  const float refused = refused_.Value(now);
  if (refused < kMinOffered || offered <= 0) {
    return 0;
  }
  return std::min(1.0F, refused / (offered * kShortageShare));
}

std::size_t urgency_admission::Rank(std::size_t urgency, time_point now) const {
  std::size_t rank = 0;
  for (std::size_t i = 0; i < urgency; ++i) {
    rank += levels_[i].offered.Value(now) >= kMinOffered ? 1 : 0;
  }
  return rank;
}

bool urgency_admission::AreOthersDeprived(const level& counts, time_point now) {
  const float offered = counts.fair_offered.Value(now);
  return offered >= kMinOffered &&
         counts.fair_admitted.Value(now) < kDeprivedShare * offered;
}

double urgency_admission::QueueShare(const ranked_call& call,
                                     time_point now) const {
  const double shortage = Shortage(now);
  if (shortage <= 0 || call.slack <= duration::zero()) {
    return 1;
  }
  double share =
      std::pow(kShareRatio, static_cast<double>(Rank(call.urgency, now)));
  if (call.over_share && AreOthersDeprived(levels_[call.urgency], now)) {
    share *= kOverShareRatio;
  }
  for (std::size_t i = 0; i < call.urgency; ++i) {
    const duration deprived =
        levels_[i].by_slack.LeastDeprivedSlack(kDeprivedShare, now);
    if (deprived < call.slack) {
      share =
          std::min(share, kLeftShare * static_cast<double>(deprived.count()) /
                              static_cast<double>(call.slack.count()));
    }
  }
  return 1 - shortage * (1 - share);
}

bool urgency_admission::GetsLeastShare(const ranked_call& call,
                                       time_point now) {
  const float offered = std::max(offered_.Value(now), 1.0F);
  const float admitted = 1 - std::min(refused_.Value(now) / offered, 0.95F);
  const float least = kLeastRelativeShare * admitted;
  if (call.over_share && levels_[call.urgency].workspaces.AdmittedPart(
                             call.workspace, now) >= least) {
    return false;
  }
  const auto interval = static_cast<std::uint32_t>(1 / least);
  return call.lot % interval == 0;
}

admission_verdict urgency_admission::Decide(
    const first_token_estimate& estimate,
    const call_standing& standing,
    duration excess,
    time_point now) {
  ranked_call call;
  call.urgency = LevelOf(standing);
  call.workspace = standing.workspace;
  call.lot = standing.lot;
  call.slack = first_token_admission::Limit(estimate) - estimate.own;
  level& own_level = levels_[call.urgency];
  offered_.Add(1, now);
  own_level.offered.Add(1, now);
  const auto work =
      static_cast<float>(std::max<std::int64_t>(estimate.own.count(), 1));
  const bool shared = call.workspace != 0;
  if (shared) {
    own_level.workspaces.CountOffered(call.workspace, work, now);
    call.over_share = own_level.workspaces.IsOverShare(call.workspace, now);
  }
  if (!call.over_share) {
    own_level.fair_offered.Add(1, now);
  }
  first_token_estimate limited = estimate;
  limited.queue_share = QueueShare(call, now);
  const duration wait =
      estimate.idle ? duration::zero() : estimate.wait + excess;
  const bool defers =
      wait <= call.slack &&
      static_cast<double>(wait.count()) >
          static_cast<double>(call.slack.count()) * limited.queue_share;
  if (defers && GetsLeastShare(call, now)) {
    limited.queue_share = 1;
  }
  admission_verdict verdict = own_level.by_slack.Decide(limited, excess, now);
  if (verdict == admission_verdict::kPrecedence && call.over_share) {
    verdict = admission_verdict::kOverShare;
  }
  if (!IsAdmitted(verdict)) {
    refused_.Add(1, now);
    return verdict;
  }
  if (shared) {
    own_level.workspaces.CountAdmitted(call.workspace, work, now);
  }
  if (!call.over_share) {
    own_level.fair_admitted.Add(1, now);
  }
  return verdict;
}

void urgency_admission::CountTurnedAway(time_point now) {
  refused_.Add(1, now);
}

bool urgency_admission::TakeShortageReport(time_point now) {
  const std::int64_t now_us = now.time_since_epoch().count();
  std::int64_t next = next_report_us_.load(std::memory_order_relaxed);
  return now_us >= next &&
         next_report_us_.compare_exchange_strong(
             next, now_us + kReportInterval.count(), std::memory_order_relaxed);
}

duration urgency_admission::ReturnDelay(const first_token_estimate& estimate,
                                        const call_standing& standing,
                                        double draw,
                                        time_point now) const {
  const duration last = estimate.time_left / kPermille * kHonouredPermille;
  const duration urgent_end = std::min(
      last, std::max(kMinReturnDelay * 2,
                     estimate.target * kUrgentReturnPermille / kPermille));
  const std::size_t rank = Rank(LevelOf(standing), now);
  const duration begin = rank == 0 ? kMinReturnDelay : urgent_end;
  const duration end = rank == 0 ? urgent_end : std::max(last, urgent_end);
  // Of the less urgent kinds, each returns later than the one before.
  const double skipped =
      rank < 2 ? 0 : 1 - std::exp2(1.0 - static_cast<double>(rank));
  const double place = skipped + draw * (1 - skipped);
  return std::max(
      kMinReturnDelay,
      begin + duration(static_cast<std::int64_t>(
                  static_cast<double>((end - begin).count()) * place)));
}

}  // namespace anvilloom
