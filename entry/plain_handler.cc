#include "entry/plain_handler.h"

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "entry/refusal_reply.h"

namespace anvilloom {

namespace {

// Attempts at one repeatable call, the first included.
constexpr std::uint32_t kMaxAttempts = 3;

struct chosen_upstream {
  upstream_index index;
  std::string address;
  std::shared_ptr<link> path;
};

std::optional<service> FindPlainService(const process_state& process,
                                        std::string_view name) {
  const rcu_read_guard guard;
  const topology& world = process.world.Read(guard);
  const auto found = world.FindService(name);
  if (!found || world.at(*found).kind != service_kind::kPlain) {
    return std::nullopt;
  }
  return world.at(*found);
}

std::optional<chosen_upstream> ChooseUpstream(
    process_state& process,
    const service& target,
    deadline answer_by,
    std::span<const upstream_index> excluded) {
  const rcu_read_guard guard;
  const topology& world = process.world.Read(guard);
  const auto wanted = world.FindService(target.name);
  if (!wanted) {
    return std::nullopt;
  }
  route_request request;
  request.wanted = *wanted;
  request.rank = target.terms.rank;
  request.answer_by = answer_by;
  request.excluded = excluded;
  const auto chosen =
      process.policy.Choose(world, request, process.clock.Now());
  if (!chosen) {
    return std::nullopt;
  }
  return chosen_upstream{*chosen, world.at(*chosen).address,
                         world.shared_link_at(*chosen)};
}

http_request MakeForwarded(const http_exchange& exchange,
                           std::string_view path) {
  http_request forwarded =
      MakeRequest(exchange.request().method(), path, exchange.request().body(),
                  exchange.Header("Content-Type"));
  const std::string_view key = exchange.Header("Idempotency-Key");
  if (!key.empty()) {
    forwarded.set("Idempotency-Key", key);
  }
  return forwarded;
}

}  // namespace

awaitable<void> plain_handler::Forward(http_exchange& exchange,
                                       worker& self,
                                       const caller& from,
                                       std::string_view service_name,
                                       std::string_view path) {
  process_state& process = self.process();
  const time_point now = process.clock.Now();
  const auto target = FindPlainService(process, service_name);
  if (!target) {
    ++self.metrics().refused;
    co_await RespondRefusal(exchange, {refusal_code::kUnknownService},
                            from.request_id, now);
    co_return;
  }
  const auto answer_by = AnswerDeadline(exchange, target->terms, now);
  if (!answer_by) {
    ++self.metrics().refused;
    co_await RespondRefusal(exchange, {refusal_code::kMalformedRequest},
                            from.request_id, now);
    co_return;
  }
  ++self.metrics().accepted;
  const std::uint32_t attempts = target->terms.repeatable ? kMaxAttempts : 1;
  const connection_use use = target->terms.repeatable ? connection_use::kPooled
                                                      : connection_use::kFresh;
  std::vector<upstream_index> failed;
  refusal why{refusal_code::kNoUpstream};
  for (std::uint32_t attempt = 0; attempt < attempts; ++attempt) {
    const auto chosen = ChooseUpstream(process, *target, *answer_by, failed);
    if (!chosen) {
      break;
    }
    chosen->path->Begin(0);
    auto answer = co_await self.client().Exchange(
        chosen->address, MakeForwarded(exchange, path), *answer_by, use);
    chosen->path->End(0);
    if (answer) {
      chosen->path->Succeeded();
      ++self.metrics().completed;
      const auto type = answer->find(boost::beast::http::field::content_type);
      const std::string content_type = type == answer->end()
                                           ? "application/octet-stream"
                                           : std::string(type->value());
      co_await exchange.Respond(answer->result(), content_type, answer->body());
      co_return;
    }
    chosen->path->Failed();
    failed.push_back(chosen->index);
    why = {refusal_code::kUpstreamFailed,
           answer.error().sent ? outcome::kUnknown : outcome::kNotRun};
  }
  ++self.metrics().failed;
  co_await RespondRefusal(exchange, why, from.request_id, process.clock.Now());
}

}  // namespace anvilloom
