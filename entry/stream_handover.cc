#include "entry/stream_handover.h"

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>
#include <vector>

#include "common/log.h"
#include "entry/peer_service.h"
#include "entry/stream_runner.h"
#include "instances/drain.h"
#include "wire/pause.h"

namespace anvilloom {

namespace {

namespace net = boost::asio;
using http_verb = boost::beast::http::verb;

// Much longer than a round trip between failure domains, and short compared
// with the time between a reclaim notice and the reclaim.
constexpr duration kOfferTimeout = std::chrono::milliseconds(800);
// A peer that does not answer may have accepted the stream already, so it is
// asked again before the next one. Repeated offers are idempotent.
constexpr int kMaxOffersPerPeer = 2;
constexpr std::size_t kMaxPeersOffered = 4;
constexpr duration kLocateTimeout = std::chrono::milliseconds(500);
// Members queried in addition to the one named in the stream id.
constexpr std::size_t kMaxPeersQueried = 8;
constexpr int kMaxLocateRounds = 3;
constexpr duration kLocateRetryDelay = std::chrono::milliseconds(300);
constexpr duration kOfferRetryDelay = std::chrono::milliseconds(300);
// Delay between the acceptance of an offer and the check that the peer still
// holds the stream. It detects a peer that fails while it takes streams over.
constexpr duration kConfirmDelay = std::chrono::milliseconds(200);
constexpr int kMaxConfirmAttempts = 2;

membership_snapshot ReadMembers(const process_state& process) {
  const rcu_read_guard guard;
  return process.members.Read(guard);
}

stream_handover MakeOffer(stream_session& session, time_point now) {
  const stream_spec& order = session.order();
  stream_handover offer;
  offer.stream = order.stream_id;
  offer.request_id = order.request_id;
  offer.workspace = order.workspace;
  offer.service = order.target.name;
  offer.messages = order.request.messages;
  // A completed stream is offered with its token limit already reached, so that
  // its receiver keeps it and generates nothing.
  offer.max_tokens = session.phase() == stream_phase::kComplete
                         ? session.tokens()
                         : order.request.max_tokens;
  offer.wants_stream = order.request.stream;
  offer.first_token_remaining = order.first_token_by.Remaining(now);
  offer.answer_remaining = order.answer_by.Remaining(now);
  offer.model_version = session.model_version();
  const auto ends = session.ends().first(session.visible_tokens());
  offer.ends.assign(ends.begin(), ends.end());
  offer.text = session.text().substr(0, ends.empty() ? 0 : ends.back());
  offer.transfer = session.NextTransfer();
  return offer;
}

stream_spec MakeSpec(const stream_handover& offered,
                     const service& target,
                     time_point now) {
  stream_spec order;
  order.stream_id = offered.stream;
  order.request_id = offered.request_id;
  order.workspace = offered.workspace;
  order.request.service = offered.service;
  order.request.messages = offered.messages;
  order.request.max_tokens = offered.max_tokens;
  order.request.stream = offered.wants_stream;
  order.target = target;
  order.accepted_at = now;
  order.first_token_by = deadline::After(now, offered.first_token_remaining);
  order.answer_by = deadline::After(now, offered.answer_remaining);
  return order;
}

awaitable<bool> Offer(worker& self,
                      stream_session& session,
                      const member_profile& target) {
  const process_state& process = self.process();
  const stream_handover offer = MakeOffer(session, process.clock.Now());
  for (int i = 0; i < kMaxOffersPerPeer; ++i) {
    std::vector<std::string> addresses = {target.peer_address};
    peer_body request = offer;
    const auto answers = co_await process.peers->SendRequest(
        std::move(addresses), std::move(request),
        deadline::After(process.clock.Now(), kOfferTimeout));
    if (!answers.empty()) {
      const auto* answer = std::get_if<stream_handover_answer>(&answers[0]);
      co_return answer != nullptr && answer->accepted;
    }
  }
  co_return false;
}

bool HasAllTokens(const stream_handover& offered) {
  return !offered.ends.empty() && offered.ends.size() >= offered.max_tokens;
}

// Whether a peer must still take the stream before this instance stops.
bool NeedsHolder(const stream_session& session) {
  switch (session.phase()) {
    case stream_phase::kRunning:
      return true;
    case stream_phase::kHandedOver:
      return !session.holder_confirmed();
    case stream_phase::kComplete:
      return !session.holder_confirmed() && !session.fetched() &&
             session.tokens() > 0;
    case stream_phase::kFailed:
      break;
  }
  return false;
}

std::vector<member_profile> TargetsFor(const process_state& process,
                                       std::string_view stream) {
  return HandoverTargets(ReadMembers(process), stream,
                         process.settings.failure_domain,
                         process.settings.name);
}

// Returns the peer that accepted the stream. `lost_peer` names a peer that
// accepted it earlier and is gone, which the membership may not reflect yet.
awaitable<std::optional<member_profile>> OfferToPeers(
    worker& self,
    std::shared_ptr<stream_session> session,
    std::string lost_peer) {
  std::vector<member_profile> targets =
      TargetsFor(self.process(), session->order().stream_id);
  std::erase_if(targets, [&lost_peer](const member_profile& target) {
    return target.name == lost_peer;
  });
  targets.resize(std::min(targets.size(), kMaxPeersOffered));
  for (const member_profile& target : targets) {
    if (NeedsHolder(*session) && co_await Offer(self, *session, target)) {
      co_return target;
    }
  }
  co_return std::nullopt;
}

// Checks after a delay that a peer that accepted a stream still holds it.
awaitable<bool> ConfirmHeld(worker& self,
                            std::string stream,
                            std::string peer_address) {
  const process_state& process = self.process();
  co_await Pause(kConfirmDelay);
  for (int i = 0; i < kMaxConfirmAttempts; ++i) {
    std::vector<std::string> addresses = {peer_address};
    peer_body query = stream_locate{stream};
    const auto answers = co_await process.peers->SendRequest(
        std::move(addresses), std::move(query),
        deadline::After(process.clock.Now(), kLocateTimeout));
    if (!answers.empty()) {
      const auto* answer = std::get_if<stream_locate_answer>(&answers[0]);
      co_return answer != nullptr && answer->found;
    }
  }
  co_return false;
}

awaitable<void> HandOver(worker& self,
                         std::shared_ptr<stream_session> session) {
  const std::string& stream = session->order().stream_id;
  std::string lost_peer;
  for (;;) {
    const auto receiver = co_await OfferToPeers(self, session, lost_peer);
    if (!receiver) {
      break;
    }
    session->HandOver(receiver->http_address);
    Log(log_level::kInfo, log_event::kStreamHandedOver,
        {{"stream", stream},
         {"holder", receiver->name},
         {"tokens", std::to_string(session->visible_tokens())}});
    if (co_await ConfirmHeld(self, stream, receiver->peer_address)) {
      session->SetHolderConfirmed();
      co_return;
    }
    lost_peer = receiver->name;
    Log(log_level::kWarning, log_event::kHandoverLost,
        {{"stream", stream}, {"holder", receiver->name}});
  }
  if (!NeedsHolder(*session)) {
    co_return;
  }
  Log(log_level::kWarning, log_event::kHandoverRefused, {{"stream", stream}});
  if (session->phase() == stream_phase::kRunning) {
    // The caller gets the tokens generated meanwhile before the next offer.
    session->Unfreeze();
  }
  co_await Pause(kOfferRetryDelay);
  session->SetHandoverPending(false);
}

// Returns the failure domain of a member, or an empty string if it is not
// known.
std::string FailureDomainOf(const membership_snapshot& members,
                            std::string_view name) {
  for (const live_member& each : members.live) {
    if (each.profile.name == name) {
      return each.profile.domain;
    }
  }
  for (const member_profile& each : members.gone) {
    if (each.name == name) {
      return each.domain;
    }
  }
  return {};
}

std::vector<std::string> AddressesToQuery(const process_state& process,
                                          std::string_view stream) {
  const membership_snapshot members = ReadMembers(process);
  const std::string_view accepted_by = stream.substr(0, stream.find('.'));
  std::vector<std::string> addresses;
  for (const live_member& each : members.live) {
    if (each.profile.name == accepted_by &&
        accepted_by != process.settings.name) {
      addresses.push_back(each.profile.peer_address);
    }
  }
  for (const member_profile& each :
       HandoverTargets(members, stream, FailureDomainOf(members, accepted_by),
                       process.settings.name)) {
    if (addresses.size() > kMaxPeersQueried) {
      break;
    }
    if (std::ranges::find(addresses, each.peer_address) == addresses.end()) {
      addresses.push_back(each.peer_address);
    }
  }
  return addresses;
}

}  // namespace

awaitable<std::optional<held_stream>> FindHeldStream(worker& holder,
                                                     std::string stream) {
  return net::co_spawn(
      holder.context(),
      [&holder,
       name = std::move(stream)]() -> awaitable<std::optional<held_stream>> {
        const auto session = holder.FindStream(name);
        if (!session) {
          co_return std::nullopt;
        }
        co_return held_stream{session->transfer(),
                              std::string(session->holder())};
      },
      net::use_awaitable);
}

bool TakeOverStream(worker& holder, const stream_handover& offered) {
  process_state& process = holder.process();
  if (const auto held = holder.FindStream(offered.stream)) {
    return held->phase() != stream_phase::kHandedOver &&
           held->transfer() >= offered.transfer;
  }
  const auto target = process.FindService(offered.service);
  const bool has_ended = HasAllTokens(offered);
  const bool in_time = offered.answer_remaining > duration::zero();
  if (!process.ready() || !target || (!in_time && !has_ended)) {
    return false;
  }
  auto session = std::make_shared<stream_session>(
      holder.context().get_executor(),
      MakeSpec(offered, *target, process.clock.Now()));
  session->Restore(offered.text, offered.ends, offered.transfer);
  session->SetModelVersion(offered.model_version);
  if (has_ended) {
    session->Complete();
  }
  holder.AddStream(session);
  net::co_spawn(holder.context(), RunStream(holder, session), net::detached);
  Log(log_level::kInfo, log_event::kStreamTakenOver,
      {{"stream", offered.stream},
       {"tokens", std::to_string(offered.ends.size())}});
  return true;
}

std::size_t HandOverStreams(worker& holder, deadline until) {
  const process_state& process = holder.process();
  const time_point now = process.clock.Now();
  const bool has_peers =
      process.peers != nullptr && !TargetsFor(process, {}).empty();
  std::size_t held = 0;
  std::vector<std::shared_ptr<stream_session>> to_offer;
  holder.ForEachStream([&](stream_session& session) {
    const bool running = session.phase() == stream_phase::kRunning;
    if (!NeedsHolder(session) || (!running && !has_peers)) {
      return;
    }
    ++held;
    const stream_progress progress = {session.tokens(),
                                      session.order().request.max_tokens,
                                      session.order().accepted_at};
    const bool ends_in_time = running && FinishesBefore(progress, until, now);
    if (process.peers != nullptr && !session.handover_pending() &&
        !ends_in_time) {
      to_offer.push_back(holder.FindStream(session.order().stream_id));
    }
  });
  for (std::shared_ptr<stream_session>& session : to_offer) {
    session->SetHandoverPending(true);
    if (session->phase() == stream_phase::kRunning) {
      session->Freeze();
    }
    net::co_spawn(holder.context(), HandOver(holder, std::move(session)),
                  net::detached);
  }
  return held;
}

awaitable<std::optional<std::string>> LocateStream(worker& self,
                                                   std::string stream) {
  const process_state& process = self.process();
  if (process.peers == nullptr) {
    co_return std::nullopt;
  }
  for (int round = 0; round < kMaxLocateRounds; ++round) {
    // Named variables, because GCC 12 destroys an aggregate temporary twice if
    // it is an argument of a co_await expression.
    std::vector<std::string> addresses = AddressesToQuery(process, stream);
    peer_body query = stream_locate{stream};
    const auto answers = co_await process.peers->SendRequest(
        std::move(addresses), std::move(query),
        deadline::After(process.clock.Now(), kLocateTimeout));
    const stream_locate_answer* best = nullptr;
    for (const peer_body& each : answers) {
      const auto* answer = std::get_if<stream_locate_answer>(&each);
      if (answer != nullptr && answer->found &&
          (best == nullptr || answer->transfer > best->transfer)) {
        best = answer;
      }
    }
    if (best != nullptr) {
      co_return best->http_address;
    }
    co_await Pause(kLocateRetryDelay);
  }
  co_return std::nullopt;
}

awaitable<proxy_result> ProxyStream(http_exchange& exchange,
                                    worker& self,
                                    std::string holder_address,
                                    std::string target,
                                    deadline until) {
  http_request request = MakeRequest(http_verb::get, target);
  for (const std::string_view name :
       {"Authorization", "Last-Event-ID", "X-Request-Id"}) {
    const std::string_view value = exchange.Header(name);
    if (!value.empty()) {
      request.set(boost::beast::string_view(name.data(), name.size()),
                  boost::beast::string_view(value.data(), value.size()));
    }
  }
  request.set(
      boost::beast::string_view(kProxiedHeader.data(), kProxiedHeader.size()),
      "1");
  const auto answer =
      co_await self.client().Open(holder_address, std::move(request), until);
  if (!answer || (*answer)->status() == http_status::not_found) {
    co_return proxy_result::kNothingSent;
  }
  const std::string stream_id((*answer)->Header("X-Stream-Id"));
  const std::string type((*answer)->Header("Content-Type"));
  const std::array<http_header, 2> headers = {
      {{"Cache-Control", "no-store"}, {"X-Stream-Id", stream_id}}};
  bool open = co_await exchange.BeginStream((*answer)->status(), type, headers);
  while (open) {
    const auto bytes = co_await (*answer)->ReadSome(until);
    if (!bytes) {
      // Without an end marker, the caller knows that it has to reconnect.
      exchange.Abort();
      co_return proxy_result::kBroken;
    }
    if (bytes->empty()) {
      co_await exchange.EndStream();
      co_return proxy_result::kComplete;
    }
    open = co_await exchange.WriteChunk(*bytes);
  }
  co_return proxy_result::kBroken;
}

}  // namespace anvilloom
