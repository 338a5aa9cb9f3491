#include "entry/admission_gate.h"

#include <algorithm>
#include <cstddef>
#include <string>
#include <utility>

#include "common/log.h"
#include "common/random.h"
#include "contracts/admission.h"

namespace anvilloom {

namespace {

// An overload refuses many requests, so refusals are logged as one summary per
// interval.
constexpr duration kRefusalLogInterval = std::chrono::seconds(10);

void LogRefusal(process_state& process,
                std::string_view workspace_name,
                const refusal& reason,
                time_point now) {
  refusal_log& log = process.refusals;
  log.refused.fetch_add(1, std::memory_order_relaxed);
  monotonic::rep next_at = log.next_at.load(std::memory_order_relaxed);
  const monotonic::rep now_us = now.time_since_epoch().count();
  if (now_us < next_at || !log.next_at.compare_exchange_strong(
                              next_at, now_us + kRefusalLogInterval.count(),
                              std::memory_order_relaxed)) {
    return;
  }
  const std::uint64_t refused =
      log.refused.exchange(0, std::memory_order_relaxed);
  Log(log_level::kWarning, log_event::kRequestsRefused,
      {{"refused", std::to_string(refused)},
       {"last_workspace", std::string(workspace_name)},
       {"last_code", std::string(Name(reason.code))}});
}

admission_request MakeAdmissionRequest(const route_request& routing,
                                       const route_estimate& expected,
                                       service_kind kind,
                                       time_point now) {
  admission_request request;
  request.priority_class = routing.priority_class;
  request.kind = kind;
  request.load_permille = expected.load_permille;
  request.random = thread_random().Next();
  if (kind == service_kind::kPlain) {
    // The answer time of a plain upstream is not known.
    return request;
  }
  request.answer_by = routing.answer_by;
  request.expected_first_token = expected.first_token;
  request.expected_delay =
      std::max(duration::zero(),
               expected.first_token - routing.first_token_by.Remaining(now));
  return request;
}

// Returns nothing if no upstream may take the request, or if not all upstreams
// of a plain service declare their slots: the default number of slots only fits
// a model engine.
std::optional<route_estimate> EstimateLoad(const process_state& process,
                                           const topology& world,
                                           service_kind kind,
                                           const route_request& routing,
                                           time_point now) {
  const auto declares_slots = [&](upstream_index index) {
    return world.at(index).slots_declared;
  };
  if (kind == service_kind::kPlain &&
      !std::ranges::all_of(world.UpstreamsOf(routing.wanted), declares_slots)) {
    return std::nullopt;
  }
  return process.policy.Estimate(world, routing, now);
}

}  // namespace

admission_ticket::admission_ticket(std::shared_ptr<workspace_account> account,
                                   const limit_grant& grant,
                                   const admission_units& used,
                                   time_point now)
    : account_(std::move(account)), grant_(grant) {
  if (used.kind == service_kind::kPlain) {
    account_->BeginCall(now);
  } else {
    account_->Begin(used.tokens, now);
  }
}

admission_ticket::~admission_ticket() {
  if (account_) {
    account_->End();
  }
}

admission_ticket& admission_ticket::operator=(
    admission_ticket&& from) noexcept {
  std::swap(account_, from.account_);
  std::swap(grant_, from.grant_);
  return *this;
}

void admission_ticket::Settle(std::uint32_t used_tokens) {
  if (account_) {
    account_->limits().Settle(grant_, used_tokens);
  }
}

admission_result AdmitRequest(process_state& process,
                              std::string_view workspace_name,
                              const service& target,
                              route_request routing,
                              time_point now) {
  const rcu_read_guard guard;
  const topology& world = process.world.Read(guard);
  const auto wanted = world.FindService(target.name);
  const auto customer = world.FindWorkspaceByName(workspace_name);
  if (!wanted || !customer) {
    return {};
  }
  routing.wanted = *wanted;
  routing.priority_class = target.terms.priority_class;
  const auto position = static_cast<std::size_t>(*customer);
  const auto& account = world.accounts()[position];
  const auto expected = EstimateLoad(process, world, target.kind, routing, now);
  if (expected || target.kind == service_kind::kPlain) {
    const admission_state book{world.workspaces(), world.accounts(),
                               world.limits().open_requests_per_workspace};
    const auto request = MakeAdmissionRequest(
        routing, expected.value_or(route_estimate{}), target.kind, now);
    const auto refused = Admit(book, position, request, now);
    if (refused) {
      LogRefusal(process, workspace_name, *refused, now);
      return {refused, {}};
    }
  }
  const admission_units used{target.kind,
                             routing.prompt_tokens + routing.answer_tokens};
  const limit_grant grant = account->limits().Reserve(
      world.at(*customer), process.share, used.tokens, now);
  if (grant.refused) {
    LogRefusal(process, workspace_name, *grant.refused, now);
    return {grant.refused, {}};
  }
  return {std::nullopt, admission_ticket(account, grant, used, now)};
}

}  // namespace anvilloom
