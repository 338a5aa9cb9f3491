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

// Refusals are counted and logged together, since an overload brings many.
constexpr duration kRefusalLogInterval = std::chrono::seconds(10);

void LogRefusal(process_state& process,
                std::string_view workspace_name,
                const refusal& why,
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
       {"last_code", std::string(Name(why.code))}});
}

admission_request MakeAdmissionRequest(const route_request& wish,
                                       const route_estimate& expected,
                                       time_point now) {
  admission_request request;
  request.rank = wish.rank;
  request.answer_by = wish.answer_by;
  request.expected_first_token = expected.first_token;
  request.expected_delay =
      std::max(duration::zero(),
               expected.first_token - wish.first_token_by.Remaining(now));
  request.load_permille = expected.load_permille;
  request.random = thread_random().Next();
  return request;
}

}  // namespace

admission_ticket::admission_ticket(std::shared_ptr<workspace_account> account,
                                   const limit_grant& grant,
                                   std::uint32_t tokens,
                                   time_point now)
    : account_(std::move(account)), grant_(grant) {
  account_->Begin(tokens, now);
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
                              route_request wish,
                              time_point now) {
  const rcu_read_guard guard;
  const topology& world = process.world.Read(guard);
  const auto wanted = world.FindService(target.name);
  const auto customer = world.FindWorkspaceByName(workspace_name);
  if (!wanted || !customer) {
    return {};
  }
  wish.wanted = *wanted;
  wish.rank = target.terms.rank;
  const auto position = static_cast<std::size_t>(*customer);
  const auto& account = world.accounts()[position];
  if (const auto expected = process.policy.Estimate(world, wish, now)) {
    const admission_book book{world.workspaces(), world.accounts(),
                              world.limits().open_requests_per_workspace};
    const auto refused =
        Admit(book, position, MakeAdmissionRequest(wish, *expected, now), now);
    if (refused) {
      LogRefusal(process, workspace_name, *refused, now);
      return {refused, {}};
    }
  }
  const std::uint32_t tokens = wish.prompt_tokens + wish.answer_tokens;
  const limit_grant grant = account->limits().Reserve(
      world.at(*customer), process.share, tokens, now);
  if (grant.refused) {
    LogRefusal(process, workspace_name, *grant.refused, now);
    return {grant.refused, {}};
  }
  return {std::nullopt, admission_ticket(account, grant, tokens, now)};
}

}  // namespace anvilloom
