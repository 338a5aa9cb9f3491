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

// Time to an answer of one peer; much longer than a round trip between failure
// domains, and short against the notice of a reclaim.
constexpr duration kOfferLimit = std::chrono::milliseconds(800);
// A peer that does not answer may hold the stream already, so it is asked
// again before the next one: it answers the same question in the same way.
constexpr int kOffersToOnePeer = 2;
constexpr std::size_t kPeersOffered = 4;
constexpr duration kLocateLimit = std::chrono::milliseconds(500);
// Members asked besides the one that the stream id names.
constexpr std::size_t kPeersAsked = 8;
constexpr int kLocateRounds = 3;
constexpr duration kLocatePause = std::chrono::milliseconds(300);
constexpr duration kOfferPause = std::chrono::milliseconds(300);
// Time between the acceptance of an offer and the question whether the stream
// is still held; a peer that dies while it takes streams over is found by it.
constexpr duration kConfirmPause = std::chrono::milliseconds(200);
constexpr int kConfirmTries = 2;

membership_snapshot ReadMembers(const process_state& process) {
  const rcu_read_guard guard;
  return process.members.Read(guard);
}

stream_handover MakeOffer(stream_session& session, time_point now) {
  const stream_order& order = session.order();
  stream_handover offer;
  offer.stream = order.stream_id;
  offer.request_id = order.request_id;
  offer.workspace = order.workspace;
  offer.service = order.target.name;
  offer.messages = order.request.messages;
  // A stream that has ended is offered with all the tokens it may have, so that
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

stream_order MakeOrder(const stream_handover& offered,
                       const service& target,
                       time_point now) {
  stream_order order;
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
  for (int i = 0; i < kOffersToOnePeer; ++i) {
    std::vector<std::string> addresses = {target.peer_address};
    peer_body question = offer;
    const auto answers = co_await process.peers->Ask(
        std::move(addresses), std::move(question),
        deadline::After(process.clock.Now(), kOfferLimit));
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

// Whether callers may still need the stream from another instance.
bool MustBeHeld(const stream_session& session) {
  switch (session.phase()) {
    case stream_phase::kRunning:
      return true;
    case stream_phase::kHandedOver:
      return !session.confirmed();
    case stream_phase::kComplete:
      return !session.confirmed() && !session.fetched() && session.tokens() > 0;
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

// The peer that has accepted the stream. `lost` names a peer that took it
// before and is gone, although the membership may not know that yet.
awaitable<std::optional<member_profile>> OfferToPeers(
    worker& self,
    std::shared_ptr<stream_session> session,
    std::string lost) {
  std::vector<member_profile> targets =
      TargetsFor(self.process(), session->order().stream_id);
  std::erase_if(targets, [&lost](const member_profile& target) {
    return target.name == lost;
  });
  targets.resize(std::min(targets.size(), kPeersOffered));
  for (const member_profile& target : targets) {
    if (MustBeHeld(*session) && co_await Offer(self, *session, target)) {
      co_return target;
    }
  }
  co_return std::nullopt;
}

// Whether a peer that has accepted a stream still holds it a little later.
awaitable<bool> ConfirmHeld(worker& self,
                            std::string stream,
                            std::string peer_address) {
  const process_state& process = self.process();
  co_await Pause(kConfirmPause);
  for (int i = 0; i < kConfirmTries; ++i) {
    std::vector<std::string> addresses = {peer_address};
    peer_body question = stream_locate{stream};
    const auto answers = co_await process.peers->Ask(
        std::move(addresses), std::move(question),
        deadline::After(process.clock.Now(), kLocateLimit));
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
  std::string lost;
  for (;;) {
    const auto taker = co_await OfferToPeers(self, session, lost);
    if (!taker) {
      break;
    }
    session->HandOver(taker->http_address);
    Log(log_level::kInfo, log_event::kStreamHandedOver,
        {{"stream", stream},
         {"holder", taker->name},
         {"tokens", std::to_string(session->visible_tokens())}});
    if (co_await ConfirmHeld(self, stream, taker->peer_address)) {
      session->SetConfirmed();
      co_return;
    }
    lost = taker->name;
    Log(log_level::kWarning, log_event::kHandoverLost,
        {{"stream", stream}, {"holder", taker->name}});
  }
  if (!MustBeHeld(*session)) {
    co_return;
  }
  Log(log_level::kWarning, log_event::kHandoverRefused, {{"stream", stream}});
  if (session->phase() == stream_phase::kRunning) {
    // The caller gets what was generated meanwhile before the next attempt.
    session->Unfreeze();
  }
  co_await Pause(kOfferPause);
  session->SetOffered(false);
}

// The failure domain of the instance that accepted a stream, if it is known.
std::string DomainOf(const membership_snapshot& members,
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

std::vector<std::string> AddressesToAsk(const process_state& process,
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
       HandoverTargets(members, stream, DomainOf(members, accepted_by),
                       process.settings.name)) {
    if (addresses.size() > kPeersAsked) {
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
      MakeOrder(offered, *target, process.clock.Now()));
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
  std::vector<std::shared_ptr<stream_session>> due;
  holder.ForEachStream([&](stream_session& session) {
    const bool running = session.phase() == stream_phase::kRunning;
    if (!MustBeHeld(session) || (!running && !has_peers)) {
      return;
    }
    ++held;
    const stream_progress progress = {session.tokens(),
                                      session.order().request.max_tokens,
                                      session.order().accepted_at};
    const bool ends_here = running && EndsBefore(progress, until, now);
    if (process.peers != nullptr && !session.offered() && !ends_here) {
      due.push_back(holder.FindStream(session.order().stream_id));
    }
  });
  for (std::shared_ptr<stream_session>& session : due) {
    session->SetOffered(true);
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
  for (int round = 0; round < kLocateRounds; ++round) {
    // Named, since GCC 12 destroys an aggregate temporary twice if it is an
    // argument of a co_await expression.
    std::vector<std::string> addresses = AddressesToAsk(process, stream);
    peer_body question = stream_locate{stream};
    const auto answers = co_await process.peers->Ask(
        std::move(addresses), std::move(question),
        deadline::After(process.clock.Now(), kLocateLimit));
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
    co_await Pause(kLocatePause);
  }
  co_return std::nullopt;
}

awaitable<proxy_end> ProxyStream(http_exchange& exchange,
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
    co_return proxy_end::kNothingSent;
  }
  const std::string stream_id((*answer)->Header("X-Stream-Id"));
  const std::string type((*answer)->Header("Content-Type"));
  const std::array<http_header, 2> headers = {
      {{"Cache-Control", "no-store"}, {"X-Stream-Id", stream_id}}};
  bool open = co_await exchange.BeginStream((*answer)->status(), type, headers);
  while (open) {
    const auto piece = co_await (*answer)->ReadSome(until);
    if (!piece) {
      // Without an end marker the caller knows that it has to come back.
      exchange.Abort();
      co_return proxy_end::kBroken;
    }
    if (piece->empty()) {
      co_await exchange.EndStream();
      co_return proxy_end::kComplete;
    }
    open = co_await exchange.WriteChunk(*piece);
  }
  co_return proxy_end::kBroken;
}

}  // namespace anvilloom
