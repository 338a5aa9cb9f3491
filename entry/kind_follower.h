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
};

// Runs on one thread. The store must outlive it.
template <object_store Store>
class kind_follower {
 public:
  using list_sink = std::function<void(const object_list&)>;
  // Called when the store stops answering and when it answers again.
  using state_sink = std::function<void(bool reachable)>;

  kind_follower(Store& store,
                std::string_view kind,
                list_sink on_list,
                object_event_sink on_event,
                state_sink on_state,
                const follower_terms& terms = {})
      : store_(store),
        kind_(kind),
        on_list_(std::move(on_list)),
        on_event_(std::move(on_event)),
        on_state_(std::move(on_state)),
        terms_(terms),
        pause_(terms.first_pause) {}

  // Lists, then watches on from there, for ever.
  awaitable<void> Run() {
    for (;;) {
      if (version_ == 0) {
        co_await ListOnce();
      } else {
        co_await WatchOnce();
      }
    }
  }

 private:
  time_point Now() const { return steady_source().Now(); }

  awaitable<void> ListOnce() {
    const auto list =
        co_await store_.List(kind_, deadline::After(Now(), terms_.call));
    if (!list) {
      co_await Failed(list.error());
      co_return;
    }
    Answered();
    version_ = list->version;
    on_list_(*list);
  }

  awaitable<void> WatchOnce() {
    const auto reached = co_await store_.Watch(
        kind_, version_, on_event_, deadline::After(Now(), terms_.watch));
    if (reached) {
      Answered();
      version_ = *reached;
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
      on_state_(true);
    }
  }

  awaitable<void> Failed(store_error error) {
    if (reachable_) {
      reachable_ = false;
      Log(log_level::kWarning, log_event::kStoreLost,
          {{"kind", kind_},
           {"error", std::to_string(static_cast<int>(error))},
           {"version", std::to_string(version_)}});
      on_state_(false);
    }
    // Spread over half of the pause, so that instances do not call together.
    const double spread = 0.5 + split_mix(thread_random().Next()).NextUnit();
    co_await Pause(duration(static_cast<std::int64_t>(
        static_cast<double>(pause_.count()) * spread)));
    pause_ = std::min(pause_ * 2, terms_.longest_pause);
  }

  Store& store_;
  std::string kind_;
  list_sink on_list_;
  object_event_sink on_event_;
  state_sink on_state_;
  follower_terms terms_;
  duration pause_;
  // Version from which to watch; 0 to list first.
  std::uint64_t version_ = 0;
  bool reachable_ = true;
};

}  // namespace anvilloom

#endif  // ENTRY_KIND_FOLLOWER_H_
