#include "entry/load_poller.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "common/hash.h"
#include "common/log.h"
#include "entry/peer_service.h"
#include "wire/pause.h"

namespace anvilloom {

namespace {

namespace net = boost::asio;
using http_verb = boost::beast::http::verb;

// Number of rounds after which a summary repeats the versions of all engines,
// for instances that missed a change or joined later.
constexpr std::uint32_t kVersionRepeatRounds = 4;
// A poll times out after this fraction of the interval, so that a hanging
// engine does not delay the summary of the others into the next round.
constexpr int kPollTimeoutDivisor = 2;

bool IsEngine(const topology& world, const upstream& target) {
  return std::ranges::any_of(target.services, [&](service_index offered) {
    return world.at(offered).kind == service_kind::kModel;
  });
}

}  // namespace

// The number of polls still running in a round and the results of the others.
struct load_poller::polling_round {
  polling_round(const net::any_io_executor& executor, deadline end)
      : all_done(executor), until(end) {}
  net::steady_timer all_done;
  deadline until;
  std::size_t running = 0;
  time_point oldest = time_point::max();
  std::vector<engine_load> loads;
};

load_poller::load_poller(process_state& process, net::any_io_executor executor)
    : process_(process), executor_(executor), client_(std::move(executor)) {}

awaitable<void> load_poller::Run() {
  const duration interval =
      std::chrono::milliseconds(process_.settings.load_interval_ms);
  if (interval == duration::zero()) {
    co_return;
  }
  for (;;) {
    const deadline next = deadline::After(process_.clock.Now(), interval);
    RefreshEngines();
    co_await PollOwned();
    co_await PauseUntil(next);
  }
}

void load_poller::RefreshEngines() {
  const rcu_read_guard guard;
  const topology& world = process_.world.Read(guard);
  if (world.revision() == revision_) {
    return;
  }
  revision_ = world.revision();
  region_ = RegionOf(world.domains(), process_.settings.failure_domain);
  engines_.clear();
  engine_by_id_.clear();
  for (std::uint32_t i = 0; i < world.upstreams().size(); ++i) {
    const upstream& target = world.upstreams()[i];
    if (!IsEngine(world, target) ||
        RegionOf(world.domains(), target.host.domain()) != region_) {
      continue;
    }
    const auto copied = std::make_shared<engine>();
    copied->name = target.name;
    copied->name_hash = Hash64(target.name);
    copied->address = target.address;
    copied->domain = target.host.domain();
    copied->path = world.links()[i];
    engines_.push_back(copied);
    engine_by_id_.emplace(ShortUpstreamId(copied->name_hash), copied);
  }
}

std::vector<std::shared_ptr<load_poller::engine>>
load_poller::ListOwnedEngines() const {
  if (process_.peers == nullptr) {
    return engines_;
  }
  const rcu_read_guard guard;
  const membership_snapshot& members = process_.members.Read(guard);
  const topology& world = process_.world.Read(guard);
  const load_owners owners(members.live, world.domains(), region_);
  std::vector<std::shared_ptr<engine>> owned;
  for (const std::shared_ptr<engine>& each : engines_) {
    const live_member* owner = owners.OwnerOf(each->name_hash, each->domain);
    if (owner != nullptr && owner->profile.name == process_.settings.name) {
      owned.push_back(each);
    }
  }
  return owned;
}

std::vector<std::string> load_poller::ListRegionPeers() const {
  const rcu_read_guard guard;
  const membership_snapshot& members = process_.members.Read(guard);
  const topology& world = process_.world.Read(guard);
  const load_owners owners(members.live, world.domains(), region_);
  std::vector<std::string> others;
  for (const live_member* each : owners.members()) {
    if (each->profile.name != process_.settings.name) {
      others.push_back(each->profile.peer_address);
    }
  }
  return others;
}

void load_poller::LogOwnership(std::span<const std::shared_ptr<engine>> owned) {
  std::set<std::string> names;
  for (const std::shared_ptr<engine>& each : owned) {
    names.insert(each->name);
  }
  if (names != owned_names_) {
    owned_names_ = std::move(names);
    Log(log_level::kInfo, log_event::kLoadOwnershipChanged,
        {{"engines", std::to_string(owned_names_.size())}});
  }
}

awaitable<void> load_poller::PollOwned() {
  const std::vector<std::shared_ptr<engine>> owned = ListOwnedEngines();
  LogOwnership(owned);
  if (owned.empty()) {
    co_return;
  }
  ++round_;
  const deadline until = deadline::After(
      process_.clock.Now(),
      std::chrono::milliseconds(process_.settings.load_interval_ms) /
          kPollTimeoutDivisor);
  const auto round = std::make_shared<polling_round>(executor_, until);
  round->running = owned.size();
  round->all_done.expires_at(ToSteady(until));
  for (const std::shared_ptr<engine>& each : owned) {
    net::co_spawn(executor_, Poll(round, each), net::detached);
  }
  co_await round->all_done.async_wait(net::as_tuple(net::use_awaitable));
  SendSummary(*round);
}

awaitable<void> load_poller::Poll(std::shared_ptr<polling_round> round,
                                  std::shared_ptr<engine> polled) {
  const time_point requested_at = process_.clock.Now();
  const auto load = co_await FetchLoad(polled->address, round->until);
  // A response read after the deadline may be stale, since this process may
  // have been paused after the response arrived.
  const bool in_time = !round->until.Expired(process_.clock.Now());
  if (load && in_time) {
    RecordLoad(*round, *polled, *load, requested_at);
  } else if (polled->responsive) {
    Log(log_level::kWarning, log_event::kLoadUnavailable,
        {{"upstream", polled->name}});
  }
  polled->responsive = load && in_time;
  --round->running;
  if (round->running == 0) {
    round->all_done.cancel();
  }
}

awaitable<std::optional<polled_load>> load_poller::FetchLoad(
    std::string address,
    deadline until) {
  http_request request = MakeRequest(http_verb::get, "/load");
  const auto answer =
      co_await client_.Exchange(address, std::move(request), until);
  if (!answer || answer->result() != http_status::ok) {
    co_return std::nullopt;
  }
  co_return DecodeLoad(answer->body());
}

void load_poller::RecordLoad(polling_round& round,
                             engine& polled,
                             const polled_load& load,
                             time_point requested_at) {
  const report_stamp stamp = sequencer_.StampLocalReport(
      polled.name_hash, round_, process_.clock.Now());
  polled.path->Report(load.report, requested_at);
  if (load.version != 0) {
    polled.path->ObserveVersion(load.version, requested_at);
  }
  const bool includes_version =
      load.version != polled.sent_version || round_ % kVersionRepeatRounds == 0;
  polled.sent_version = load.version;
  round.oldest = std::min(round.oldest, requested_at);
  round.loads.push_back({ShortUpstreamId(polled.name_hash), stamp.term,
                         load.report, includes_version ? load.version : 0});
}

void load_poller::SendSummary(const polling_round& round) {
  if (process_.peers == nullptr || round.loads.empty()) {
    return;
  }
  const load_summary summary{round_, process_.clock.Now() - round.oldest,
                             round.loads};
  for (const std::string& to : ListRegionPeers()) {
    process_.peers->SendLoads(to, summary);
  }
}

void load_poller::ReceiveSummary(load_summary summary) {
  net::post(executor_, [this, received = std::move(summary)] {
    RefreshEngines();
    ApplySummary(received);
  });
}

void load_poller::ApplySummary(const load_summary& summary) {
  const time_point now = process_.clock.Now();
  const time_point observed_at = now - summary.age;
  for (const engine_load& each : summary.engines) {
    const auto found = engine_by_id_.find(each.upstream);
    if (found == engine_by_id_.end()) {
      continue;
    }
    const engine& reported = *found->second;
    if (!sequencer_.AcceptPeerReport(reported.name_hash,
                                     {each.term, summary.round}, now)) {
      continue;
    }
    reported.path->Report(each.report, observed_at);
    if (each.version != 0) {
      reported.path->ObserveVersion(each.version, observed_at);
    }
  }
}

}  // namespace anvilloom
