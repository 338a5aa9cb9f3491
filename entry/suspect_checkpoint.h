// Defines suspect_checkpoint, which keeps the suspected prompt parts in the
// store, so that they are known after all processes have been lost.
#ifndef ENTRY_SUSPECT_CHECKPOINT_H_
#define ENTRY_SUSPECT_CHECKPOINT_H_

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "common/log.h"
#include "common/time.h"
#include "entry/suspect_record.h"
#include "instances/store_era.h"
#include "wire/object_store.h"
#include "wire/wall_clock.h"

namespace anvilloom {

// Kind and name of the object that holds the parts.
inline constexpr std::string_view kBlockedPartsKind = "blocked-parts";
inline constexpr std::string_view kBlockedPartsName = "latest";

// The suspected parts that an instance knows, and a number that is 0 at first
// and changes with them.
template <typename T>
concept suspect_memory = requires(T& memory, const suspect_evidence& stored) {
  memory.Restore(stored);
  { memory.Evidence() } -> std::same_as<suspect_evidence>;
  { memory.stored_version() } -> std::same_as<std::uint64_t>;
};

// Any instance may write, since all learn the same. Each write is conditional
// on the version read, whose parts the writer has taken over, so that no write
// replaces parts that its writer doesn't know. Not thread-safe; used on the
// control thread.
template <object_store Store, suspect_memory Memory>
class suspect_checkpoint {
 public:
  suspect_checkpoint(Store& store, const store_era& era, Memory& memory)
      : store_(store), era_(era), memory_(memory) {}

  // Whether the stored parts have been read since the start.
  bool loaded() const { return loaded_; }

  // Whether the store holds what this instance knows. An older copy of the
  // store may lack parts.
  bool IsSaved() const {
    const std::uint64_t version = memory_.stored_version();
    return version == saved_version_ &&
           (version == 0 || era_.seen() == saved_era_);
  }

  // Whether the store has come back from a copy that may lack what this
  // instance knows.
  bool MayBeLost() const {
    return memory_.stored_version() != 0 && era_.seen() != saved_era_;
  }

  // Stores what this instance knows if the store lacks any of it. False if the
  // store did not respond or did not confirm the write.
  awaitable<bool> Restore(deadline until) {
    version_.reset();
    if (!co_await Load(until)) {
      co_return false;
    }
    if (Includes(read_, memory_.Evidence())) {
      MarkSaved(memory_.stored_version());
      co_return true;
    }
    const bool written = co_await Write(until);
    co_return written;
  }

  // Reads the object unless its version is known, and takes over its parts.
  // False if the store did not respond.
  awaitable<bool> Load(deadline until) {
    if (version_) {
      co_return true;
    }
    const auto object =
        co_await store_.Get(kBlockedPartsKind, kBlockedPartsName, until);
    if (!object && object.error() != store_error::kNotFound) {
      co_return false;
    }
    const bool knew_nothing = memory_.stored_version() == 0;
    version_ = object ? object->version : kNoObject;
    loaded_ = true;
    read_ = {};
    if (object) {
      TakeOver(*object);
    }
    if (knew_nothing) {
      MarkSaved(memory_.stored_version());
    }
    co_return true;
  }

  // Stores what this instance knows unless it is stored. False if the store did
  // not confirm the write.
  awaitable<bool> Save(deadline until) {
    if (IsSaved()) {
      co_return true;
    }
    if (era_.seen() != saved_era_) {
      version_.reset();
    }
    if (!co_await Load(until)) {
      co_return false;
    }
    const bool written = co_await Write(until);
    co_return written;
  }

 private:
  // The version while the object does not exist; versions in the store are
  // higher.
  static constexpr std::uint64_t kNoObject = 0;

  // Replaces the object of the version that was read. Callers store the result
  // before they return it: GCC 12 miscompiles "co_return co_await Write()".
  awaitable<bool> Write(deadline until) {
    const std::uint64_t saved = memory_.stored_version();
    const std::string text =
        EncodeEvidence(memory_.Evidence(), WallClockMicros());
    const auto written =
        *version_ == kNoObject
            ? co_await store_.Create(kBlockedPartsKind, kBlockedPartsName, text,
                                     until)
            : co_await store_.Update(kBlockedPartsKind, kBlockedPartsName,
                                     *version_, text, until);
    if (!written) {
      // Another instance has written, or the response was lost.
      version_.reset();
      co_return false;
    }
    version_ = *written;
    MarkSaved(saved);
    co_return true;
  }

  void TakeOver(const stored_object& object) {
    if (auto evidence = DecodeEvidence(object.value, WallClockMicros())) {
      memory_.Restore(*evidence);
      read_ = std::move(*evidence);
      return;
    }
    // The next write replaces it.
    Log(log_level::kError, log_event::kBlockedPartsUnreadable,
        {{"revision", std::to_string(object.version)}});
  }

  void MarkSaved(std::uint64_t version) {
    saved_version_ = version;
    saved_era_ = era_.seen();
  }

  Store& store_;
  const store_era& era_;
  Memory& memory_;
  // Empty while the object must be read.
  std::optional<std::uint64_t> version_;
  bool loaded_ = false;
  // What the object held when it was read.
  suspect_evidence read_;
  // The version of the memory that was stored last, and the store's era then.
  std::uint64_t saved_version_ = 0;
  std::uint64_t saved_era_ = 0;
};

}  // namespace anvilloom

#endif  // ENTRY_SUSPECT_CHECKPOINT_H_
