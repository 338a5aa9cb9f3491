// Defines object_watcher, which tracks the objects of one kind in the store by
// listing and watching them.
#ifndef ENTRY_OBJECT_WATCHER_H_
#define ENTRY_OBJECT_WATCHER_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

#include "common/log.h"
#include "common/random.h"
#include "common/time.h"
#include "wire/boot_clock.h"
#include "wire/object_store.h"
#include "wire/pause.h"
#include "wire/steady_clock.h"

namespace anvilloom {

// Timeouts and delays of a follower, in microseconds.
struct follower_options {
  // Timeout of one watch. A watch on a dead connection is detected only when it
  // times out, so the timeout is short compared to the time within which a
  // change must take effect.
  duration watch_timeout = std::chrono::seconds(10);
  // Timeout of a list call.
  duration call_timeout = std::chrono::seconds(1);
  // Backoff after a failed call; doubles up to `max_backoff`.
  duration initial_backoff = std::chrono::milliseconds(50);
  duration max_backoff = std::chrono::milliseconds(400);
  // Delay between the end of a watch and the next one. Each watch is a billed
  // call, so changes in quick succession are fetched together.
  duration watch_delay = std::chrono::milliseconds(60);
  // Interval between checks whether other instances still watch.
  duration inactive_check_interval = std::chrono::milliseconds(250);
};

// Callbacks of a follower, called on its thread.
struct watch_callbacks {
  // Receives all objects of the kind after a list call that began at
  // `asked_at`, a time of boot_source.
  std::function<void(const object_list&, time_point asked_at)> on_list;
  object_event_sink on_event;
  // Called after a watch that was answered, when its events, all changes with
  // versions above `from` up to `through`, have been delivered.
  std::function<void(std::uint64_t from, std::uint64_t through)> on_watch_end;
  // Called when the store becomes unreachable or reachable again.
  std::function<void(bool reachable)> on_reachability;
  // Returns whether this instance must watch the store itself.
  std::function<bool()> must_watch;
};

// Not thread-safe. The store must outlive it.
template <object_store Store>
class object_watcher {
 public:
  object_watcher(Store& store,
                 std::string_view kind,
                 watch_callbacks callbacks,
                 const follower_options& options = {})
      : store_(store),
        kind_(kind),
        callbacks_(std::move(callbacks)),
        options_(options),
        backoff_(options.initial_backoff) {}

  // Lists the objects, then watches from the listed version on; never returns.
  // While `must_watch` returns false, other instances relay the changes; the
  // follower lists again before it resumes watching.
  awaitable<void> Run() {
    for (;;) {
      if (version_ == 0) {
        co_await ListOnce();
        // Leaves time to receive the reports of other instances that watch, on
        // which must_watch() depends.
        co_await Pause(options_.inactive_check_interval);
      } else if (callbacks_.must_watch()) {
        co_await WatchOnce();
      } else {
        co_await AwaitWatchDuty();
      }
    }
  }

  // Whether this instance watches the store itself and reaches it.
  bool watching() const { return watching_ && reachable_; }

 private:
  time_point Now() const { return steady_source().Now(); }

  awaitable<void> AwaitWatchDuty() {
    watching_ = false;
    Log(log_level::kInfo, log_event::kWatchDelegated, {{"kind", kind_}});
    while (!callbacks_.must_watch()) {
      co_await Pause(options_.inactive_check_interval);
    }
    version_ = 0;
  }

  awaitable<void> ListOnce() {
    const time_point asked_at = boot_source().Now();
    const auto list = co_await store_.List(
        kind_, deadline::After(Now(), options_.call_timeout));
    if (!list) {
      co_await HandleFailure(list.error());
      co_return;
    }
    HandleSuccess();
    version_ = list->version;
    callbacks_.on_list(*list, asked_at);
  }

  awaitable<void> WatchOnce() {
    watching_ = true;
    const auto reached =
        co_await store_.Watch(kind_, version_, callbacks_.on_event,
                              deadline::After(Now(), options_.watch_timeout));
    if (reached) {
      HandleSuccess();
      callbacks_.on_watch_end(version_, *reached);
      version_ = *reached;
      co_await Pause(options_.watch_delay);
      co_return;
    }
    if (reached.error() == store_error::kGone) {
      Log(log_level::kInfo, log_event::kStoreRelisted,
          {{"kind", kind_}, {"from", std::to_string(version_)}});
      version_ = 0;
      co_return;
    }
    co_await HandleFailure(reached.error());
    // The store may have dropped its history in the meantime, or the
    // interrupted watch may have missed changes.
    version_ = 0;
  }

  void HandleSuccess() {
    backoff_ = options_.initial_backoff;
    if (!reachable_) {
      reachable_ = true;
      Log(log_level::kInfo, log_event::kStoreRegained, {{"kind", kind_}});
      callbacks_.on_reachability(true);
    }
  }

  awaitable<void> HandleFailure(store_error error) {
    if (reachable_) {
      reachable_ = false;
      Log(log_level::kWarning, log_event::kStoreLost,
          {{"kind", kind_},
           {"error", std::to_string(static_cast<int>(error))},
           {"version", std::to_string(version_)}});
      callbacks_.on_reachability(false);
    }
    // Jitter of up to half the backoff in either direction, so that instances
    // do not retry in lockstep.
    const double jitter = 0.5 + split_mix(thread_random().Next()).NextUnit();
    co_await Pause(duration(static_cast<std::int64_t>(
        static_cast<double>(backoff_.count()) * jitter)));
    backoff_ = std::min(backoff_ * 2, options_.max_backoff);
  }

  Store& store_;
  std::string kind_;
  watch_callbacks callbacks_;
  follower_options options_;
  duration backoff_;
  // Version from which to watch; 0 if a list call is needed first.
  std::uint64_t version_ = 0;
  bool reachable_ = true;
  bool watching_ = false;
};

}  // namespace anvilloom

#endif  // ENTRY_OBJECT_WATCHER_H_
