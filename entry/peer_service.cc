#include "entry/peer_service.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "common/hash.h"
#include "common/log.h"
#include "entry/stream_handover.h"

namespace anvilloom {

namespace {

namespace net = boost::asio;

// Number of members that each member notifies of a new revision. With 4, about
// 400 members are reached in five steps; members that were missed learn of it
// from the revision in membership messages.
constexpr std::size_t kAnnounceFanout = 4;
constexpr duration kFlushTimeout = std::chrono::milliseconds(300);
constexpr duration kObserveInterval = std::chrono::milliseconds(500);

member_profile MakeProfile(const process_state& process,
                           std::string_view peer_address,
                           std::string_view http_address) {
  member_profile self;
  self.name = process.settings.name;
  self.peer_address = peer_address;
  self.http_address = http_address;
  self.domain = process.settings.failure_domain;
  self.epoch = process.epoch;
  return self;
}

struct logged_event {
  log_level level;
  log_event event;
};

logged_event LogEntryFor(membership_event_kind kind) {
  switch (kind) {
    case membership_event_kind::kJoined:
      return {log_level::kInfo, log_event::kMemberJoined};
    case membership_event_kind::kSuspected:
      return {log_level::kInfo, log_event::kMemberSuspected};
    case membership_event_kind::kRecovered:
      return {log_level::kInfo, log_event::kMemberRecovered};
    case membership_event_kind::kFailed:
      return {log_level::kWarning, log_event::kMemberFailed};
    case membership_event_kind::kLeft:
      return {log_level::kInfo, log_event::kMemberLeft};
    case membership_event_kind::kSelfRefuted:
      return {log_level::kWarning, log_event::kSelfRefuted};
    case membership_event_kind::kSelfResumed:
      return {log_level::kWarning, log_event::kSelfResumed};
  }
  return {log_level::kInfo, log_event::kMemberJoined};
}

}  // namespace

peer_service::peer_service(process_state& process,
                           std::span<const std::unique_ptr<worker>> workers,
                           std::string_view http_address)
    : process_(process),
      workers_(workers),
      http_address_(http_address),
      transport_(process.settings.peer_listen, {}),
      membership_(MakeProfile(process, transport_.address(), http_address),
                  {},
                  process.clock.Now()),
      random_(std::random_device()()) {
  membership_.SetSeeds(process.settings.seeds);
  if (!process.settings.seeds.empty()) {
    // Other instances may already serve and share the limits.
    process.share.Join(process.clock.Now());
  }
}

void peer_service::Start(configuration_handlers relay,
                         std::function<void(load_summary)> on_loads) {
  relay_ = std::move(relay);
  on_loads_ = std::move(on_loads);
  transport_.Start(
      {[this](peer_message&& message) { OnMessage(std::move(message)); },
       [this] { OnTick(); }});
}

void peer_service::StartLeaving() {
  leaving_.store(true, std::memory_order_release);
}

void peer_service::Stop() {
  transport_.Stop(kFlushTimeout);
}

awaitable<std::vector<peer_body>> peer_service::SendRequest(
    std::vector<std::string> addresses,
    peer_body request,
    deadline until) {
  const auto call =
      std::make_shared<pending_call>(co_await net::this_coro::executor);
  call->wanted = addresses.size();
  call->timer.expires_at(ToSteady(until));
  const std::uint64_t number = next_call_.fetch_add(1);
  {
    const std::lock_guard lock(mutex_);
    pending_.emplace(number, call);
  }
  const peer_message message{address(), number, std::move(request)};
  for (const std::string& to : addresses) {
    transport_.Send(to, message);
  }
  // Responses are posted to this coroutine's executor, so none is processed
  // before the wait begins.
  if (!addresses.empty()) {
    co_await call->timer.async_wait(net::as_tuple(net::use_awaitable));
  }
  {
    const std::lock_guard lock(mutex_);
    pending_.erase(number);
  }
  co_return std::move(call->answers);
}

void peer_service::HandleResponse(std::uint64_t number, peer_body&& answer) {
  std::shared_ptr<pending_call> call;
  {
    const std::lock_guard lock(mutex_);
    const auto found = pending_.find(number);
    if (found == pending_.end()) {
      return;
    }
    call = found->second;
  }
  net::post(call->timer.get_executor(),
            [call, body = std::move(answer)]() mutable {
              call->answers.push_back(std::move(body));
              if (call->answers.size() >= call->wanted) {
                call->timer.cancel();
              }
            });
}

void peer_service::Reply(const peer_message& request, peer_body answer) {
  transport_.Send(request.from_address,
                  {address(), request.call, std::move(answer)});
}

void peer_service::AnnounceRevision(std::uint64_t revision) {
  std::vector<std::string> others;
  {
    const rcu_read_guard guard;
    for (const live_member& each : process_.members.Read(guard).live) {
      if (each.profile.name != process_.settings.name) {
        others.push_back(each.profile.peer_address);
      }
    }
  }
  std::mt19937_64 order(Hash64(process_.epoch, revision));
  std::ranges::shuffle(others, order);
  others.resize(std::min(others.size(), kAnnounceFanout));
  for (const std::string& to : others) {
    transport_.Send(to, {address(), 0, configuration_announce{revision}});
  }
}

void peer_service::SendLoads(std::string_view to_address,
                             const load_summary& summary) {
  transport_.Send(to_address, {address(), 0, summary});
}

void peer_service::OnTick() {
  membership_effects effects;
  if (leaving_.load(std::memory_order_acquire) && !leaving_announced_) {
    leaving_announced_ = true;
    membership_.StartLeaving();
  }
  membership_.SetRevision(
      process_.revision_in_force.load(std::memory_order_acquire));
  membership_.Tick(process_.clock.Now(), random_(), effects);
  ApplyEffects(effects);
}

void peer_service::ApplyEffects(const membership_effects& effects) {
  for (const membership_outgoing& each : effects.sends) {
    transport_.Send(each.to_address, {address(), 0, each.message});
  }
  for (const membership_event& each : effects.events) {
    const logged_event logged = LogEntryFor(each.kind);
    Log(logged.level, logged.event, {{"member", each.name}});
  }
  PublishMembers();
}

void peer_service::PublishMembers() {
  if (membership_.version() != published_version_) {
    published_version_ = membership_.version();
    process_.members.Publish(
        std::make_unique<const membership_snapshot>(membership_.Snapshot()));
  }
  const time_point now = process_.clock.Now();
  if (next_observation_.Expired(now)) {
    next_observation_ = deadline::After(now, kObserveInterval);
    process_.ObserveMembers(
        static_cast<std::uint32_t>(membership_.live_count()));
  }
}

void peer_service::OnMessage(peer_message&& message) {
  if (const auto* update = std::get_if<membership_message>(&message.body)) {
    membership_effects effects;
    membership_.Receive(*update, process_.clock.Now(), random_(), effects);
    ApplyEffects(effects);
    ObserveRevision(update->revision, message.from_address);
  } else if (const auto* announced =
                 std::get_if<configuration_announce>(&message.body)) {
    ObserveRevision(announced->revision, message.from_address);
  } else if (const auto* fetch =
                 std::get_if<configuration_fetch>(&message.body)) {
    Reply(message, relay_.answer(*fetch));
  } else if (auto* loads = std::get_if<load_summary>(&message.body)) {
    on_loads_(std::move(*loads));
  } else if (std::holds_alternative<stream_locate>(message.body)) {
    AnswerLocate(std::move(message));
  } else if (std::holds_alternative<stream_handover>(message.body)) {
    AnswerHandover(std::move(message));
  } else if (message.call != 0) {
    HandleResponse(message.call, std::move(message.body));
  }
}

void peer_service::ObserveRevision(std::uint64_t revision,
                                   std::string_view from_address) {
  if (revision > process_.revision_in_force.load(std::memory_order_acquire)) {
    relay_.on_newer_revision(revision, std::string(from_address));
  }
}

void peer_service::AnswerLocate(peer_message request) {
  net::co_spawn(
      workers_.front()->context(),
      [this, asked = std::move(request)]() -> awaitable<void> {
        const std::string& stream = std::get<stream_locate>(asked.body).stream;
        stream_locate_answer answer;
        for (const std::unique_ptr<worker>& request_worker : workers_) {
          const auto held = co_await FindHeldStream(*request_worker, stream);
          if (held && (!answer.found || held->transfer > answer.transfer)) {
            answer.found = true;
            answer.transfer = held->transfer;
            answer.http_address =
                held->holder.empty() ? http_address_ : held->holder;
          }
        }
        Reply(asked, std::move(answer));
      },
      net::detached);
}

void peer_service::AnswerHandover(peer_message request) {
  // A stream is always assigned to the same worker, so that a repeated request
  // finds the stream that the first one handed over.
  const std::string& stream = std::get<stream_handover>(request.body).stream;
  worker& request_worker = *workers_[Hash64(stream) % workers_.size()];
  net::post(request_worker.context(),
            [this, &request_worker, asked = std::move(request)] {
              const bool accepted = TakeOverStream(
                  request_worker, std::get<stream_handover>(asked.body));
              Reply(asked, stream_handover_answer{accepted});
            });
}

}  // namespace anvilloom
