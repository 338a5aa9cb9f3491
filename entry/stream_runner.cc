#include "entry/stream_runner.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "common/hash.h"
#include "common/log.h"
#include "links/answer_check.h"
#include "wire/chat_codec.h"
#include "wire/line_splitter.h"

namespace anvilloom {

namespace {

namespace net = boost::asio;
using http_verb = boost::beast::http::verb;

// Attempts at one stream, the first included.
constexpr std::uint32_t kMaxAttempts = 4;
// How long a finished stream is kept for a caller that reconnects.
constexpr duration kKeepFinished = std::chrono::seconds(30);
// Bytes of the prompt that decide its placement by prefix.
constexpr std::size_t kPrefixBytes = 512;
constexpr std::string_view kEventData = "data: ";
constexpr std::string_view kDone = "[DONE]";

// An upstream chosen for one attempt, copied out of the topology.
struct chosen_upstream {
  upstream_index index;
  std::string address;
  std::shared_ptr<link> path;
};

// How one attempt ended.
enum class attempt_end { kComplete, kFailed };

// Counts an attempt on its link for as long as it runs.
class link_use {
 public:
  link_use(link& path, std::uint32_t tokens) : path_(path), tokens_(tokens) {
    path_.Begin(tokens_);
  }
  ~link_use() { path_.End(tokens_); }
  link_use(const link_use&) = delete;
  link_use& operator=(const link_use&) = delete;

 private:
  link& path_;
  std::uint32_t tokens_;
};

route_request MakeRouteRequest(const stream_session& session,
                               service_index wanted,
                               std::span<const upstream_index> excluded) {
  const stream_order& order = session.order();
  route_request request;
  request.wanted = wanted;
  request.prefix_hash =
      Hash64(std::string_view(order.request.messages).substr(0, kPrefixBytes));
  request.prompt_tokens =
      EstimatePromptTokens(order.request) + session.tokens();
  request.answer_tokens = order.request.max_tokens - session.tokens();
  request.rank = order.target.terms.rank;
  request.first_token_by = order.first_token_by;
  request.answer_by = order.answer_by;
  request.excluded = excluded;
  return request;
}

std::optional<chosen_upstream> ChooseUpstream(
    process_state& process,
    const stream_session& session,
    std::span<const upstream_index> excluded) {
  const rcu_read_guard guard;
  const topology& world = process.world.Read(guard);
  const auto wanted = world.FindService(session.order().target.name);
  if (!wanted) {
    return std::nullopt;
  }
  const auto chosen = process.policy.Choose(
      world, MakeRouteRequest(session, *wanted, excluded), process.clock.Now());
  if (!chosen) {
    return std::nullopt;
  }
  return chosen_upstream{*chosen, world.at(*chosen).address,
                         world.shared_link_at(*chosen)};
}

// Follows one attempt: decodes events, checks them, appends tokens.
class attempt_reader {
 public:
  attempt_reader(worker& self,
                 stream_session& session,
                 link& path,
                 std::string_view attempt_id)
      : self_(self),
        session_(session),
        path_(path),
        check_(attempt_id, session.tokens()),
        last_token_at_(self.process().clock.Now()),
        started_at_(last_token_at_) {}

  // Takes the next bytes of the answer. False if the answer is unusable, or
  // another instance generates the rest.
  bool Take(std::string_view piece) {
    if (session_.phase() != stream_phase::kRunning) {
      return false;
    }
    lines_.Append(piece);
    while (const auto line = lines_.NextLine()) {
      if (line->starts_with(kEventData) &&
          !TakeData(line->substr(kEventData.size()))) {
        return false;
      }
    }
    return true;
  }

  bool complete() const { return done_ && check_.complete(); }

 private:
  bool TakeData(std::string_view data) {
    if (data == kDone) {
      done_ = true;
      return true;
    }
    const auto chunk = decoder_.Decode(data);
    if (!chunk) {
      return Reject();
    }
    switch (check_.Observe(*chunk)) {
      case chunk_verdict::kAccept:
        Accept(*chunk);
        return true;
      case chunk_verdict::kDuplicate:
        ++self_.metrics().rejected_chunks;
        return true;
      default:
        return Reject();
    }
  }

  void Accept(const answer_chunk& chunk) {
    if (!chunk.model_version.empty() &&
        session_.model_version() != chunk.model_version) {
      session_.SetModelVersion(chunk.model_version);
    }
    if (chunk.token_index) {
      ObserveTiming();
      ++self_.metrics().tokens;
      session_.Append(chunk.text);
    }
  }

  void ObserveTiming() {
    const time_point now = self_.process().clock.Now();
    if (!first_seen_) {
      first_seen_ = true;
      path_.ObserveFirstToken(now - started_at_);
      if (session_.tokens() == 0) {
        self_.metrics().first_token.Add(now - session_.order().accepted_at);
      }
    } else {
      path_.ObserveTokenInterval(now - last_token_at_);
      self_.metrics().token_interval.Add(now - last_token_at_);
    }
    last_token_at_ = now;
  }

  bool Reject() {
    ++self_.metrics().rejected_chunks;
    Log(log_level::kWarning, log_event::kAnswerRejected,
        {{"stream", session_.order().stream_id},
         {"upstream", std::string(path_.upstream_name())}});
    return false;
  }

  worker& self_;
  stream_session& session_;
  link& path_;
  line_splitter lines_;
  chunk_decoder decoder_;
  answer_check check_;
  time_point last_token_at_;
  time_point started_at_;
  bool first_seen_ = false;
  bool done_ = false;
};

http_request EncodeAttempt(const stream_session& session,
                           std::string_view attempt_id) {
  const stream_order& order = session.order();
  resume_point resume;
  resume.tokens = session.tokens();
  resume.text = session.text();
  return MakeRequest(
      http_verb::post, "/v1/chat/completions",
      EncodeEngineRequest(order.request, order.target.model, attempt_id,
                          order.target.terms.rank, resume));
}

awaitable<attempt_end> RunAttempt(worker& self,
                                  stream_session& session,
                                  const chosen_upstream& chosen,
                                  std::uint32_t attempt) {
  const stream_order& order = session.order();
  const link_use use(*chosen.path, order.request.max_tokens);
  // Each attempt has its own id, so that a late answer to an earlier attempt
  // is told apart from the answer to this one.
  const std::string attempt_id =
      order.stream_id + "/" + std::to_string(attempt);
  attempt_reader reader(self, session, *chosen.path, attempt_id);
  auto answer = co_await self.client().Open(
      chosen.address, EncodeAttempt(session, attempt_id), order.answer_by);
  if (!answer || (*answer)->status() != http_status::ok) {
    co_return attempt_end::kFailed;
  }
  for (;;) {
    const auto piece = co_await (*answer)->ReadSome(order.answer_by);
    if (!piece) {
      co_return attempt_end::kFailed;
    }
    if (piece->empty()) {
      co_return reader.complete() ? attempt_end::kComplete
                                  : attempt_end::kFailed;
    }
    if (!reader.Take(*piece)) {
      co_return attempt_end::kFailed;
    }
  }
}

void FailStream(worker& self, stream_session& session, refusal_code code) {
  const outcome ran =
      session.tokens() > 0 ? outcome::kUnknown : outcome::kNotRun;
  ++self.metrics().failed;
  Log(log_level::kWarning, log_event::kStreamFailed,
      {{"stream", session.order().stream_id},
       {"code", std::string(Name(code))},
       {"tokens", std::to_string(session.tokens())}});
  session.Fail({code, ran, std::nullopt});
}

awaitable<void> RunAttempts(worker& self, stream_session& session) {
  std::vector<upstream_index> failed;
  for (std::uint32_t attempt = 1; attempt <= kMaxAttempts; ++attempt) {
    const auto chosen = ChooseUpstream(self.process(), session, failed);
    if (!chosen) {
      FailStream(self, session, refusal_code::kNoUpstream);
      co_return;
    }
    const attempt_end end =
        co_await RunAttempt(self, session, *chosen, attempt);
    if (end == attempt_end::kComplete) {
      chosen->path->Succeeded();
      ++self.metrics().completed;
      session.Complete();
      co_return;
    }
    if (session.phase() == stream_phase::kHandedOver) {
      co_return;
    }
    chosen->path->Failed();
    failed.push_back(chosen->index);
    Log(log_level::kWarning, log_event::kUpstreamFailed,
        {{"stream", session.order().stream_id},
         {"upstream", std::string(chosen->path->upstream_name())},
         {"tokens", std::to_string(session.tokens())}});
    if (session.order().answer_by.Expired(self.process().clock.Now())) {
      FailStream(self, session, refusal_code::kDeadlineExceeded);
      co_return;
    }
    ++self.metrics().retries;
  }
  FailStream(self, session, refusal_code::kUpstreamFailed);
}

}  // namespace

awaitable<void> RunStream(worker& self,
                          std::shared_ptr<stream_session> session) {
  co_await RunAttempts(self, *session);
  net::steady_timer keep(self.context());
  keep.expires_after(kKeepFinished);
  co_await keep.async_wait(net::as_tuple(net::use_awaitable));
  self.RemoveStream(session->order().stream_id);
}

}  // namespace anvilloom
