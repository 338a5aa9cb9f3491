#include "entry/notice_follower.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <optional>
#include <utility>

#include "common/log.h"
#include "wire/pause.h"

namespace anvilloom {

namespace {

namespace net = boost::asio;

constexpr duration kNoticePollTimeout = std::chrono::seconds(20);
constexpr duration kRetryDelay = std::chrono::milliseconds(200);
constexpr duration kListInterval = std::chrono::seconds(1);
constexpr duration kListTimeout = std::chrono::seconds(3);
// The drain of this instance ends this long before it is reclaimed.
constexpr duration kStopMargin = std::chrono::milliseconds(500);
// The list may show a reclaimed instance as live for this long. Later, an
// instance of the same name is a new one.
constexpr duration kMaxListLag = std::chrono::seconds(30);

}  // namespace

notice_follower::notice_follower(
    process_state& process,
    const std::vector<std::unique_ptr<worker>>& workers,
    net::any_io_executor executor)
    : process_(process),
      workers_(workers),
      executor_(executor),
      notices_api_(executor, process.settings.instance_api),
      list_api_(std::move(executor), process.settings.instance_api) {}

void notice_follower::Start() {
  if (process_.settings.instance_api.empty()) {
    return;
  }
  net::co_spawn(executor_, PollNotices(), net::detached);
  net::co_spawn(executor_, PollList(), net::detached);
}

awaitable<void> notice_follower::PollNotices() {
  std::uint64_t from = 0;
  for (;;) {
    const auto batch = co_await notices_api_.AwaitNotices(
        from, deadline::After(process_.clock.Now(), kNoticePollTimeout));
    if (!batch) {
      Log(log_level::kWarning, log_event::kInstanceApiUnavailable,
          {{"call", "notices"}});
      co_await Pause(kRetryDelay);
      continue;
    }
    from = batch->next;
    for (const reclaim_notice& notice : batch->notices) {
      RecordNotice(notice);
    }
    if (!batch->notices.empty()) {
      ApplyNotices();
      WakeStreams();
    }
  }
}

awaitable<void> notice_follower::PollList() {
  for (;;) {
    const auto list = co_await list_api_.List(
        deadline::After(process_.clock.Now(), kListTimeout));
    if (list) {
      ApplyList(*list);
    } else {
      Log(log_level::kWarning, log_event::kInstanceApiUnavailable,
          {{"call", "list"}});
    }
    ApplyNotices();
    co_await Pause(kListInterval);
  }
}

void notice_follower::RecordNotice(const reclaim_notice& notice) {
  const deadline reclaim_at =
      deadline::After(process_.clock.Now(), notice.until_reclaim);
  if (notice.instance == process_.settings.name) {
    process_.drain.Request(deadline(reclaim_at.at() - kStopMargin));
  }
  reclaims_.insert_or_assign(notice.instance, reclaim_at);
  Log(log_level::kWarning, log_event::kReclaimNotice,
      {{"upstream", notice.instance},
       {"left_us", std::to_string(notice.until_reclaim.count())}});
}

void notice_follower::ApplyList(const std::vector<listed_instance>& list) {
  const time_point now = process_.clock.Now();
  bool changed = false;
  const rcu_read_guard guard;
  const topology& world = process_.world.Read(guard);
  for (const listed_instance& listed : list) {
    const auto found = world.FindUpstream(listed.name);
    if (!found) {
      continue;
    }
    link& path = world.link_at(*found);
    const bool leaving = listed.state == instance_state::kLeaving;
    changed = changed || (leaving && !path.LeavingBy(leaving_source::kList));
    path.SetLeaving(leaving_source::kList, leaving);
    const auto reclaim = reclaims_.find(listed.name);
    if (!leaving && reclaim != reclaims_.end() &&
        deadline::After(reclaim->second.at(), kMaxListLag).Expired(now)) {
      reclaims_.erase(reclaim);
      path.SetReclaim(deadline::Never());
      path.SetLeaving(leaving_source::kNotice, false);
    }
  }
  if (changed) {
    WakeStreams();
  }
}

void notice_follower::ApplyNotices() {
  const rcu_read_guard guard;
  const topology& world = process_.world.Read(guard);
  for (const auto& [name, reclaim_at] : reclaims_) {
    if (const auto found = world.FindUpstream(name)) {
      if (!world.link_at(*found).LeavingBy(leaving_source::kNotice)) {
        process_.policy.ObserveReclaim(world.at(*found).host.domain(),
                                       process_.clock.Now());
      }
      world.link_at(*found).SetReclaim(reclaim_at);
      world.link_at(*found).SetLeaving(leaving_source::kNotice, true);
    }
  }
}

void notice_follower::WakeStreams() {
  for (const std::unique_ptr<worker>& owner : workers_) {
    net::post(owner->context(), [&holder = *owner] {
      holder.ForEachStream(
          [](stream_session& session) { session.WakeDriver(); });
    });
  }
}

}  // namespace anvilloom
