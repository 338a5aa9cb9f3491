#include "contracts/admission.h"

#include <algorithm>

namespace anvilloom {

namespace {

// Loads in thousandths above which each priority is shed, batch work first. The
// gap between two thresholds absorbs a burst of the higher priority before that
// priority is shed as well.
constexpr std::uint32_t kBatchShedPermille = 700;
constexpr std::uint32_t kNormalShedPermille = 850;
constexpr std::uint32_t kInteractiveShedPermille = 950;
// Above this load nothing is admitted, because running requests would miss
// their latency target.
constexpr std::uint32_t kRefuseAllPermille = 1150;
constexpr duration kMinRetryDelay = std::chrono::seconds(1);
constexpr duration kMaxRetryDelay = std::chrono::seconds(30);

refusal Refuse(refusal_code code,
               duration wait,
               std::uint64_t random,
               time_point now) {
  const duration bounded = std::clamp(wait, kMinRetryDelay, kMaxRetryDelay);
  const duration jitter(static_cast<monotonic::rep>(
      random % static_cast<std::uint64_t>(bounded.count())));
  return {code, outcome::kNotRun, deadline::After(now, bounded + jitter)};
}

// Returns the recently admitted amount of an account, in calls for plain
// services and in tokens for model services.
float RecentlyAdmitted(const workspace_account& account,
                       service_kind kind,
                       time_point now) {
  return kind == service_kind::kPlain ? account.admitted_calls(now)
                                      : account.admitted_tokens(now);
}

// Compares recently admitted amounts rather than requests in flight: a small
// workspace has few requests in flight at one entry instance, so their number
// is often zero or twice its share. The new request is not counted, so a
// workspace below its share may exceed it by one request; otherwise a workspace
// with few, long requests would never get its share.
bool WithinShare(const admission_state& state,
                 std::size_t position,
                 service_kind kind,
                 time_point now) {
  float active_weight = 0;
  float admitted = 0;
  bool contended = false;
  for (std::size_t i = 0; i < state.accounts.size(); ++i) {
    const float recent = RecentlyAdmitted(*state.accounts[i], kind, now);
    if (i == position || recent >= 1) {
      active_weight += static_cast<float>(state.workspaces[i].weight);
      admitted += recent;
      contended = contended || i != position;
    }
  }
  if (!contended) {
    // Shares are guaranteed only against other workspaces. For a single active
    // workspace, the load alone decides.
    return false;
  }
  const float own = RecentlyAdmitted(*state.accounts[position], kind, now);
  const auto weight = static_cast<float>(state.workspaces[position].weight);
  return own * active_weight < admitted * weight;
}

}  // namespace

std::uint32_t ShedThresholdPermille(priority priority_class) {
  switch (priority_class) {
    case priority::kInteractive:
      return kInteractiveShedPermille;
    case priority::kNormal:
      return kNormalShedPermille;
    case priority::kBatch:
      return kBatchShedPermille;
  }
  return kBatchShedPermille;
}

std::optional<refusal> Admit(const admission_state& state,
                             std::size_t workspace_position,
                             const admission_request& request,
                             time_point now) {
  const workspace_account& account = *state.accounts[workspace_position];
  if (account.requests_in_flight() >= state.open_requests_per_workspace) {
    return Refuse(refusal_code::kWorkspaceLimit, kMinRetryDelay, request.random,
                  now);
  }
  const bool misses_deadline =
      request.answer_by.Expired(now + request.expected_first_token);
  if (!misses_deadline && request.expected_delay <= duration::zero() &&
      request.load_permille <= ShedThresholdPermille(request.priority_class)) {
    return std::nullopt;
  }
  if (!misses_deadline && request.load_permille <= kRefuseAllPermille &&
      WithinShare(state, workspace_position, request.kind, now)) {
    return std::nullopt;
  }
  return Refuse(refusal_code::kOverloaded, request.expected_delay,
                request.random, now);
}

}  // namespace anvilloom
