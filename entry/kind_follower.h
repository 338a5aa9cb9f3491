// Defines kind_follower, which keeps up with the objects of one kind in the
// store.
#ifndef ENTRY_KIND_FOLLOWER_H_
#define ENTRY_KIND_FOLLOWER_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

#include "common/log.h"
#include "common/random.h"
#include "common/time.h"
#include "wire/object_store.h"
#include "wire/pause.h"
#include "wire/steady_clock.h"

namespace anvilloom {

// Times of a follower, in microseconds.
struct follower_terms {
  // Longest wait of one watch. A watch whose connection has gone silent shows
  // only at its end, so it is short against the time in which a change must be
  // in force.
  duration watch = std::chrono::seconds(10);
  duration call = std::chrono::seconds(1);
  // Pause after a failed call; doubles up to `longest_pause`.
  duration first_pause = std::chrono::milliseconds(50);
  duration longest_pause = std::chrono::milliseconds(400);
  // Between the end of a watch and the next one, so that changes in quick
  // succession come together. Each watch is a call that is paid for.
  duration watch_pause = std::chrono::milliseconds(60);
  // Between two looks at whether others still watch.
  duration inactive_pause = std::chrono::milliseconds(250);
};

// What a follower tells its owner, on its own thread.
struct follower_callbacks {
  // All objects of the kind.
  std::function<void(const object_list&)> on_list;
  object_event_sink on_event;
  // All events of a watch have been told.
  std::function<void()> on_events_end;
  // The store stopped answering, or answers again.
  std::function<void(bool reachable)> on_state;
  // Whether this instance has to watch the store itself.
  std::function<bool()> active;
};

// Runs on one thread. The store must outlive it.
template <object_store Store>
class kind_follower {
 public:
  kind_follower(Store& store,
                std::string_view kind,
                follower_callbacks callbacks,
                const follower_terms& terms = {})
      : store_(store),
        kind_(kind),
        callbacks_(std::move(callbacks)),
        terms_(terms),
        pause_(terms.first_pause) {}

  // Lists, then watches on from there, for ever. While `active` says no, others
  // watch for this instance; the follower lists again when it goes on.
  awaitable<void> Run() {
    for (;;) {
      if (version_ == 0) {
        co_await ListOnce();
        // Time to hear of others that watch.
        co_await Pause(terms_.inactive_pause);
      } else if (callbacks_.active()) {
        co_await WatchOnce();
      } else {
        co_await AwaitActive();
      }
    }
  }

  // Whether this instance watches the store itself.
  bool watching() const { return watching_ && reachable_; }

 private:
  time_point Now() const { return steady_source().Now(); }

  awaitable<void> AwaitActive() {
    watching_ = false;
    Log(log_level::kInfo, log_event::kWatchDelegated, {{"kind", kind_}});
    while (!callbacks_.active()) {
      co_await Pause(terms_.inactive_pause);
    }
    version_ = 0;
  }

  awaitable<void> ListOnce() {
    const auto list =
        co_await store_.List(kind_, deadline::After(Now(), terms_.call));
    if (!list) {
      co_await Failed(list.error());
      co_return;
    }
    Answered();
    version_ = list->version;
    callbacks_.on_list(*list);
  }

  awaitable<void> WatchOnce() {
    watching_ = true;
    const auto reached =
        co_await store_.Watch(kind_, version_, callbacks_.on_event,
                              deadline::After(Now(), terms_.watch));
    callbacks_.on_events_end();
    if (reached) {
      Answered();
      version_ = *reached;
      co_await Pause(terms_.watch_pause);
      co_return;
    }
    if (reached.error() == store_error::kGone) {
      Log(log_level::kInfo, log_event::kStoreRelisted,
          {{"kind", kind_}, {"from", std::to_string(version_)}});
      version_ = 0;
      co_return;
    }
    co_await Failed(reached.error());
    // The history behind the watch may have been dropped meanwhile, or the cut
    // watch may have missed changes.
    version_ = 0;
  }

  void Answered() {
    pause_ = terms_.first_pause;
    if (!reachable_) {
      reachable_ = true;
      Log(log_level::kInfo, log_event::kStoreRegained, {{"kind", kind_}});
      callbacks_.on_state(true);
    }
  }

  awaitable<void> Failed(store_error error) {
    if (reachable_) {
      reachable_ = false;
      Log(log_level::kWarning, log_event::kStoreLost,
          {{"kind", kind_},
           {"error", std::to_string(static_cast<int>(error))},
           {"version", std::to_string(version_)}});
      callbacks_.on_state(false);
    }
    // Spread over half of the pause, so that instances do not call together.
    const double spread = 0.5 + split_mix(thread_random().Next()).NextUnit();
    co_await Pause(duration(static_cast<std::int64_t>(
        static_cast<double>(pause_.count()) * spread)));
    pause_ = std::min(pause_ * 2, terms_.longest_pause);
  }

  Store& store_;
  std::string kind_;
  follower_callbacks callbacks_;
  follower_terms terms_;
  duration pause_;
  // Version from which to watch; 0 to list first.
  std::uint64_t version_ = 0;
  bool reachable_ = true;
  bool watching_ = false;
};

}  // namespace anvilloom

#endif  // ENTRY_KIND_FOLLOWER_H_
