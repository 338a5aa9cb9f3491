// Defines suspect_checkpoint, which keeps the suspected prompt parts in the
// store, so that they are known after all processes have been lost.
#ifndef ENTRY_SUSPECT_CHECKPOINT_H_
#define ENTRY_SUSPECT_CHECKPOINT_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "common/log.h"
#include "common/time.h"
#include "entry/suspect_record.h"
#include "wire/object_store.h"
#include "wire/wall_clock.h"

namespace anvilloom {

// Kind and name of the object that holds the parts.
inline constexpr std::string_view kBlockedPartsKind = "blocked-parts";
inline constexpr std::string_view kBlockedPartsName = "latest";

// Any instance may write, since all reach the same verdicts; the last write
// counts. A verdict that is out of date is found out by the next trial. Not
// thread-safe; used on the control thread.
template <object_store Store>
class suspect_checkpoint {
 public:
  explicit suspect_checkpoint(Store& store) : store_(store) {}

  // Returns the stored parts, none if the store does not respond.
  awaitable<std::vector<suspect_report>> Load(deadline until) {
    const auto object =
        co_await store_.Get(kBlockedPartsKind, kBlockedPartsName, until);
    if (!object) {
      co_return std::vector<suspect_report>{};
    }
    auto suspects = DecodeSuspects(object->value, WallClockMicros());
    if (!suspects) {
      // The next write replaces it.
      Log(log_level::kError, log_event::kBlockedPartsUnreadable,
          {{"revision", std::to_string(object->version)}});
      co_return std::vector<suspect_report>{};
    }
    co_return std::move(*suspects);
  }

  // Stores the parts. False if the store did not confirm the write.
  awaitable<bool> Save(std::span<const suspect_report> suspects,
                       deadline until) {
    const std::string text = EncodeSuspects(suspects, WallClockMicros());
    const auto object =
        co_await store_.Get(kBlockedPartsKind, kBlockedPartsName, until);
    if (!object && object.error() != store_error::kNotFound) {
      co_return false;
    }
    const auto written =
        object ? co_await store_.Update(kBlockedPartsKind, kBlockedPartsName,
                                        object->version, text, until)
               : co_await store_.Create(kBlockedPartsKind, kBlockedPartsName,
                                        text, until);
    co_return written.has_value();
  }

 private:
  Store& store_;
};

}  // namespace anvilloom

#endif  // ENTRY_SUSPECT_CHECKPOINT_H_
