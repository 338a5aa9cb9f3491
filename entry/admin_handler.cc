#include "entry/admin_handler.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <map>
#include <span>
#include <string_view>
#include <utility>

#include "common/hash.h"
#include "entry/memory_metrics.h"
#include "entry/readiness.h"
#include "links/load_owner.h"

namespace anvilloom {

namespace {

namespace net = boost::asio;
namespace json = boost::json;

std::string_view ConditionName(link_condition condition) {
  switch (condition) {
    case link_condition::kHealthy:
      return "healthy";
    case link_condition::kProbation:
      return "probation";
    case link_condition::kQuarantined:
      return "quarantined";
    case link_condition::kLeaving:
      return "leaving";
  }
  return "unknown";
}

// `owner` is the instance that polls the load of the upstream, or null.
json::value DumpLink(const upstream& target,
                     const link& path,
                     const live_member* owner,
                     std::size_t cached_prefixes,
                     time_point now) {
  const bool reported = path.reported_at() != time_point{};
  return {{"upstream", target.name},
          {"address", target.address},
          {"failure_domain", std::string(target.host.domain())},
          {"condition", std::string(ConditionName(path.condition()))},
          {"outstanding_requests", path.outstanding_requests()},
          {"running", path.last_report().running},
          {"waiting", path.last_report().waiting},
          {"cache_permille", path.last_report().cache_permille},
          {"report_age_us",
           reported ? json::value((now - path.reported_at()).count())
                    : json::value()},
          {"load_owner", owner == nullptr ? "" : owner->profile.name},
          {"prefill_us_per_token", path.prefill_us_per_token()},
          {"first_token_us", path.first_token_average().count()},
          {"token_interval_us", path.token_interval_average().count()},
          {"failures_in_a_row", path.failures_in_a_row()},
          {"cached_prefixes", cached_prefixes}};
}

json::array DumpStreams(const worker& request_worker) {
  json::array streams;
  request_worker.ForEachStream([&](const stream_session& session) {
    streams.push_back({{"stream", session.order().stream_id},
                       {"service", session.order().target.name},
                       {"workspace", session.order().workspace},
                       {"tokens", session.tokens()}});
  });
  return streams;
}

json::array DumpMembers(const process_state& process) {
  json::array members;
  const rcu_read_guard guard;
  for (const live_member& each : process.members.Read(guard).live) {
    members.push_back({{"name", each.profile.name},
                       {"peer_address", each.profile.peer_address},
                       {"http_address", each.profile.http_address},
                       {"failure_domain", each.profile.domain},
                       {"epoch", each.profile.epoch},
                       {"leaving", each.profile.leaving},
                       {"suspect", each.suspect}});
  }
  return members;
}

json::value DumpFleet(const fleet_status& status) {
  return {{"holder", status.holder},
          {"fencing", status.fencing},
          {"acts", status.acts},
          {"rounds", status.rounds},
          {"since_round_us", status.since_round.count()},
          {"engines_seen", status.engines_seen},
          {"orders_given", status.loads_planned},
          {"claims_deleted", status.claims_deleted}};
}

void AppendFleetMetrics(std::string& out, const fleet_status& status) {
  const auto line = [&](std::string_view name, std::uint64_t value) {
    out += "anvilloom_fleet_";
    out += name;
    out += ' ';
    out += std::to_string(value);
    out += '\n';
  };
  line("acts", status.acts ? 1 : 0);
  line("fencing", status.fencing);
  line("rounds_total", status.rounds);
  line("claims_deleted_total", status.claims_deleted);
  line("orders_sent_total", status.orders_sent);
  line("orders_failed_total", status.orders_failed);
}

// Runs `read` on the thread of `request_worker` and returns its result.
template <typename Read>
auto OnThreadOf(worker& request_worker, Read read)
    -> awaitable<decltype(read(request_worker))> {
  return net::co_spawn(
      request_worker.context(),
      [&request_worker, read]() -> awaitable<decltype(read(request_worker))> {
        co_return read(request_worker);
      },
      net::use_awaitable);
}

}  // namespace

awaitable<void> admin_handler::Handle(http_exchange& exchange,
                                      std::size_t /*thread*/) {
  const std::string_view path = exchange.path();
  if (path == "/healthz") {
    co_await exchange.Respond(http_status::ok, "text/plain", "alive\n");
    co_return;
  }
  if (path == kReadyPath) {
    co_await RespondReadiness(exchange, process_);
    co_return;
  }
  if (!Authorized(exchange)) {
    co_await exchange.Respond(http_status::unauthorized, "text/plain",
                              "The admin token is missing or wrong.\n");
    co_return;
  }
  if (path == "/drain" &&
      exchange.request().method() == boost::beast::http::verb::post) {
    process_.RequestDrain();
    co_await exchange.Respond(http_status::accepted, "text/plain",
                              "draining\n");
  } else if (path == "/metrics") {
    const std::string body = co_await Metrics();
    co_await exchange.Respond(http_status::ok, "text/plain; version=0.0.4",
                              body);
  } else if (path == "/dump") {
    const std::string body = co_await Dump();
    co_await exchange.Respond(http_status::ok, "application/json", body);
  }
}

bool admin_handler::Authorized(const http_exchange& exchange) const {
  const std::string& expected = process_.settings.admin_token_sha256;
  if (expected.empty()) {
    return true;
  }
  const auto token = exchange.BearerToken();
  return token && Sha256Hex(*token) == expected;
}

awaitable<std::string> admin_handler::Metrics() {
  std::string out;
  for (const std::unique_ptr<worker>& request_worker : workers_) {
    out += co_await OnThreadOf(*request_worker, [](worker& owner) {
      std::string part;
      AppendMetrics(part, owner.metrics(), owner.thread());
      return part;
    });
  }
  AppendFleetMetrics(out, fleet_.Status());
  AppendMemoryMetrics(out, process_.memory);
  co_return out;
}

awaitable<std::string> admin_handler::Dump() {
  json::object dump;
  dump["name"] = process_.settings.name;
  dump["failure_domain"] = process_.settings.failure_domain;
  dump["epoch"] = process_.epoch;
  dump["ready"] = process_.ready();
  dump["draining"] = process_.draining.load(std::memory_order_relaxed);
  dump["revision"] = process_.revision_in_force.load(std::memory_order_relaxed);
  json::array streams;
  for (const std::unique_ptr<worker>& request_worker : workers_) {
    json::array part = co_await OnThreadOf(
        *request_worker, [](worker& owner) { return DumpStreams(owner); });
    streams.insert(streams.end(), part.begin(), part.end());
  }
  dump["streams"] = std::move(streams);
  dump["members"] = DumpMembers(process_);
  dump["fleet"] = DumpFleet(fleet_.Status());
  json::array links;
  {
    const rcu_read_guard guard;
    const topology& world = process_.world.Read(guard);
    const std::span<const live_member> members =
        process_.members.Read(guard).live;
    const time_point now = process_.clock.Now();
    std::map<std::string_view, load_owners> owners_of_region;
    for (std::size_t i = 0; i < world.upstreams().size(); ++i) {
      const upstream& target = world.upstreams()[i];
      const std::string_view region =
          RegionOf(world.domains(), target.host.domain());
      const auto owners =
          owners_of_region.try_emplace(region, members, world.domains(), region)
              .first;
      links.push_back(DumpLink(
          target, *world.links()[i],
          owners->second.OwnerOf(Hash64(target.name), target.host.domain()),
          process_.policy.CountCached(*world.links()[i]), now));
    }
  }
  dump["links"] = std::move(links);
  co_return json::serialize(dump);
}

}  // namespace anvilloom
