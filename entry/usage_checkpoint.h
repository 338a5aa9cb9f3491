// Defines usage_checkpoint, which keeps the counts that are not reported yet in
// the store, so that they outlive all processes that know them.
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
#include "wire/object_store.h"

namespace anvilloom {

// Kind and name of the object that holds the counts.
inline constexpr std::string_view kUsageCountsKind = "usage-counts";
inline constexpr std::string_view kUsageCountsName = "latest";

// Written by the holder of the duties only. Every write is conditional, and a
// holder writes what it has read too, so that the object holds all that earlier
// ones stored and a late write of one of them takes nothing away.
template <object_store Store>
class usage_checkpoint {
 public:
  explicit usage_checkpoint(Store& store) : store_(store) {}

  // Makes the next call read the object again. Called when this instance has
  // become the holder.
  void Forget() { version_.reset(); }

  // What earlier holders have stored, as far as it was read.
  const usage_counts& stored() const { return stored_; }

  // Reads the object unless its version is known. False if the store did not
  // answer.
  awaitable<bool> Load(deadline until) {
    if (version_) {
      co_return true;
    }
    const auto object =
        co_await store_.Get(kUsageCountsKind, kUsageCountsName, until);
    if (!object) {
      if (object.error() == store_error::kNotFound) {
        version_ = kNone;
      }
      co_return version_.has_value();
    }
    version_ = object->version;
    if (auto counts = DecodeUsageCounts(object->value)) {
      stored_ = std::move(*counts);
    } else {
      // The next write replaces it.
      Log(log_level::kError, log_event::kUsageCountsUnreadable,
          {{"revision", std::to_string(object->version)}});
    }
    co_return true;
  }

  // Stores `counts` if they differ from what was stored last. False if the
  // store did not say that it has them.
  awaitable<bool> Save(const usage_counts& counts, deadline until) {
    if (saved_ && version_ && *saved_ == counts) {
      co_return true;
    }
    if (!co_await Load(until)) {
      co_return false;
    }
    const std::string text = EncodeUsageCounts(counts);
    const auto written =
        *version_ == kNone
            ? co_await store_.Create(kUsageCountsKind, kUsageCountsName, text,
                                     until)
            : co_await store_.Update(kUsageCountsKind, kUsageCountsName,
                                     *version_, text, until);
    if (!written) {
      // Another holder wrote, or the answer was lost: read it again.
      version_.reset();
      co_return false;
    }
    version_ = *written;
    saved_ = counts;
    co_return true;
  }

 private:
  // Versions of objects begin above it.
  static constexpr std::uint64_t kNone = 0;

  Store& store_;
  // Nothing while it has to be read.
  std::optional<std::uint64_t> version_;
  usage_counts stored_;
  std::optional<usage_counts> saved_;
};

}  // namespace anvilloom

#endif  // ENTRY_USAGE_CHECKPOINT_H_
