// Defines usage_checkpoint, which persists the counts that are not reported yet
// in the store, so that they survive the loss of all processes that hold them.
#ifndef ENTRY_USAGE_CHECKPOINT_H_
#define ENTRY_USAGE_CHECKPOINT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "common/log.h"
#include "common/time.h"
#include "contracts/usage_counts.h"
#include "entry/usage_record.h"
#include "instances/store_era.h"
#include "wire/object_store.h"

namespace anvilloom {

// Kind and name of the object that holds the counts.
inline constexpr std::string_view kUsageCountsKind = "usage-counts";
inline constexpr std::string_view kUsageCountsName = "latest";

// Written by the holder of the duty lease only. Every write is conditional on
// the version and includes the counts read before, so that the object contains
// everything that earlier holders stored and a late write by one of them loses
// nothing. Not thread-safe; used on the control thread.
template <object_store Store>
class usage_checkpoint {
 public:
  explicit usage_checkpoint(Store& store) : store_(store) {}

  // Makes the next call read the object again, and the next counts be stored.
  // Called when this instance has acquired the lease, and when the store has
  // come back from an older copy.
  void Invalidate() { version_.reset(); }

  // The counts last read from the store, after it has come back from an older
  // copy with those read before.
  const usage_counts& stored() const { return stored_; }

  // The start of an era that was last read with the counts.
  const era_start& start() const { return start_; }

  // Reads the object unless its version is known. False if the store did not
  // respond.
  awaitable<bool> Load(deadline until) {
    if (version_) {
      co_return true;
    }
    const auto object =
        co_await store_.Get(kUsageCountsKind, kUsageCountsName, until);
    if (!object) {
      if (object.error() == store_error::kNotFound) {
        version_ = kNoObject;
        start_ = {};
      }
      co_return version_.has_value();
    }
    version_ = object->version;
    start_ = DecodeEraStart(object->value);
    if (auto counts = DecodeUsageCounts(object->value)) {
      // An older copy of the store may lack counts that were read before, until
      // they have been stored again.
      const std::uint64_t era = EraOf(object->version);
      keeps_read_ = keeps_read_ || std::exchange(loaded_era_, era) != era;
      if (keeps_read_) {
        counts->Merge(stored_);
      }
      stored_ = std::move(*counts);
    } else {
      // The next write replaces it.
      Log(log_level::kError, log_event::kUsageCountsUnreadable,
          {{"revision", std::to_string(object->version)}});
    }
    co_return true;
  }

  // Stores `counts` and the start of the present era if they differ from those
  // stored last. False if the store did not confirm the write.
  awaitable<bool> Save(const usage_counts& counts,
                       deadline until,
                       const era_start& start = {}) {
    if (saved_ && version_ && *saved_ == counts && saved_start_ == start) {
      co_return true;
    }
    if (!co_await Load(until)) {
      co_return false;
    }
    const std::string text = EncodeUsageCounts(counts, start);
    const auto written =
        *version_ == kNoObject
            ? co_await store_.Create(kUsageCountsKind, kUsageCountsName, text,
                                     until)
            : co_await store_.Update(kUsageCountsKind, kUsageCountsName,
                                     *version_, text, until);
    if (!written) {
      // Another holder has written, or the response was lost; read it again.
      version_.reset();
      co_return false;
    }
    version_ = *written;
    saved_ = counts;
    saved_start_ = start;
    keeps_read_ = false;
    co_return true;
  }

  // Forgets the counts read of windows outside [first, last].
  void RetainWindows(std::uint64_t first, std::uint64_t last) {
    stored_.RetainWindows(first, last);
  }

 private:
  // The version while the object does not exist; versions in the store are
  // higher.
  static constexpr std::uint64_t kNoObject = 0;

  Store& store_;
  // Empty while the object must be read.
  std::optional<std::uint64_t> version_;
  usage_counts stored_;
  std::uint64_t loaded_era_ = 0;
  // Whether the counts read before may be missing in the store.
  bool keeps_read_ = false;
  era_start start_;
  std::optional<usage_counts> saved_;
  era_start saved_start_;
};

}  // namespace anvilloom

#endif  // ENTRY_USAGE_CHECKPOINT_H_
