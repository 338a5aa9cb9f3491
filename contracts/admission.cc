#include "contracts/admission.h"

#include <algorithm>

namespace anvilloom {

namespace {

// Batch work is shed first. The space between is what a burst of the next
// priority fills before it is shed itself.
constexpr std::uint32_t kShedBatchAbove = 700;
constexpr std::uint32_t kShedNormalAbove = 850;
constexpr std::uint32_t kShedInteractiveAbove = 950;
// Above this load nothing is admitted: the target would be missed for the
// requests that already run.
constexpr std::uint32_t kRefuseAllAbove = 1150;
constexpr duration kShortestRetry = std::chrono::seconds(1);
constexpr duration kLongestRetry = std::chrono::seconds(30);

refusal Refuse(refusal_code code,
               duration wait,
               std::uint64_t random,
               time_point now) {
  const duration bounded = std::clamp(wait, kShortestRetry, kLongestRetry);
  const duration jitter(static_cast<monotonic::rep>(
      random % static_cast<std::uint64_t>(bounded.count())));
  return {code, outcome::kNotRun, deadline::After(now, bounded + jitter)};
}

// Compares what was admitted lately rather than what is in flight: a small
// workspace has few requests in flight at one entry instance, often none or
// twice its share. The new request does not count: a workspace that is below
// its share may exceed it by one request, or else one with few and long
// requests never gets its share.
bool WithinShare(const admission_book& book,
                 std::size_t position,
                 time_point now) {
  float active_weight = 0;
  float admitted = 0;
  bool contended = false;
  for (std::size_t i = 0; i < book.accounts.size(); ++i) {
    const float lately = book.accounts[i]->admitted_tokens(now);
    if (i == position || lately >= 1) {
      active_weight += static_cast<float>(book.workspaces[i].weight);
      admitted += lately;
      contended = contended || i != position;
    }
  }
  if (!contended) {
    // A share is guaranteed against others only; alone, the load decides.
    return false;
  }
  const float own = book.accounts[position]->admitted_tokens(now);
  const auto weight = static_cast<float>(book.workspaces[position].weight);
  return own * active_weight < admitted * weight;
}

}  // namespace

std::uint32_t ShedAbove(priority rank) {
  switch (rank) {
    case priority::kInteractive:
      return kShedInteractiveAbove;
    case priority::kNormal:
      return kShedNormalAbove;
    case priority::kBatch:
      return kShedBatchAbove;
  }
  return kShedBatchAbove;
}

std::optional<refusal> Admit(const admission_book& book,
                             std::size_t workspace_position,
                             const admission_request& request,
                             time_point now) {
  const workspace_account& account = *book.accounts[workspace_position];
  if (account.requests_in_flight() >= book.open_requests_per_workspace) {
    return Refuse(refusal_code::kWorkspaceLimit, kShortestRetry, request.random,
                  now);
  }
  const bool hopeless =
      request.answer_by.Expired(now + request.expected_first_token);
  if (!hopeless && request.expected_delay <= duration::zero() &&
      request.load_permille <= ShedAbove(request.rank)) {
    return std::nullopt;
  }
  if (!hopeless && request.load_permille <= kRefuseAllAbove &&
      WithinShare(book, workspace_position, now)) {
    return std::nullopt;
  }
  return Refuse(refusal_code::kOverloaded, request.expected_delay,
                request.random, now);
}

}  // namespace anvilloom
