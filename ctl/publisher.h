// Defines publisher, which merges the files of a folder into the accepted
// configuration and puts the result into the object API as the next revision.
#ifndef CTL_PUBLISHER_H_
#define CTL_PUBLISHER_H_

#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "ctl/configuration_merge.h"
#include "ctl/publish_result.h"
#include "wire/object_store.h"
#include "wire/steady_clock.h"

namespace anvilloom {

namespace internal {

// The accepted manifest and its version in the store; version 0 if there is
// none yet.
struct held_manifest {
  configuration_manifest manifest;
  std::uint64_t version = 0;
};

// Whether a write of ours took effect.
enum class write_outcome { kWritten, kLost };

// The manifest of the files, without a revision.
configuration_manifest ManifestOf(std::span<const configuration_file> files);

// A random token that no other publish has.
std::string NewAttempt();

// The manifest that follows `held` with the merged files. Its revision is above
// `known_revision` too, which the folder saw accepted: entry instances accept
// only higher revisions, also after the object API has lost some.
configuration_manifest NextManifest(const held_manifest& held,
                                    std::uint64_t known_revision,
                                    std::vector<manifest_entry> files);

// Names of the files that differ or that only one side has.
std::vector<std::string> DifferingFiles(std::span<const manifest_entry> left,
                                        std::span<const manifest_entry> right);

// Waits a short random time, so that two publishers in a race spread out.
awaitable<void> PauseBeforeRetry();

// Decodes and checks; the warnings, or a failure with the faults.
publish_result<std::vector<configuration_fault>> CheckForPublish(
    std::span<const configuration_file> files);

const configuration_file* FindFile(std::span<const configuration_file> files,
                                   const manifest_entry& entry);

bool Names(const std::optional<configuration_manifest>& manifest,
           const manifest_entry& entry);

// The manifests that a clean-up removes, and the digests that no kept manifest
// names.
struct cleanup_plan {
  std::vector<stored_object> manifests;
  std::set<std::string> digests;
};

// Bounds a clean-up to the oldest manifests beyond `kept`.
cleanup_plan PlanCleanup(const object_list& history,
                         const configuration_manifest& accepted,
                         std::uint64_t kept);

}  // namespace internal

// Publishes once. Every call to the store is repeated until the deadline: a
// read has no effect, a file's name is the digest of its text, and the update
// of the manifest is conditional on its version.
template <object_store Store>
class publisher {
 public:
  publisher(Store& store, const publish_options& options)
      : store_(store), options_(options) {}

  awaitable<publish_result<accepted_publish>> Run(publish_source source) {
    const configuration_manifest ours = internal::ManifestOf(source.files);
    const auto base = co_await FindBase(source);
    if (!base) {
      co_return base.error();
    }
    for (;;) {
      auto round = co_await RunRound(source, *base, ours);
      if (!round) {
        co_return round.error();
      }
      if (*round) {
        co_return std::move(**round);
      }
      // Another publish came first; merge again with what it left.
      if (Expired()) {
        co_return publish_failure{publish_error::kUnavailable, 0, {}, {}};
      }
      co_await internal::PauseBeforeRetry();
    }
  }

  // The accepted manifest.
  awaitable<publish_result<internal::held_manifest>> ReadManifest() {
    for (;;) {
      const auto held =
          co_await store_.Get(kManifestKind, kManifestName, CallDeadline());
      if (held) {
        auto manifest = DecodeManifest(held->value);
        if (!manifest) {
          co_return publish_failure{publish_error::kUnreadable, 0, {}, {}};
        }
        co_return internal::held_manifest{std::move(*manifest), held->version};
      }
      if (held.error() == store_error::kNotFound) {
        co_return internal::held_manifest{};
      }
      if (Expired()) {
        co_return publish_failure{publish_error::kUnavailable, 0, {}, {}};
      }
      co_await internal::PauseBeforeRetry();
    }
  }

 private:
  using held_manifest = internal::held_manifest;
  using write_outcome = internal::write_outcome;
  // The accepted publish, or nothing if another one came first.
  using round_result = publish_result<std::optional<accepted_publish>>;

  bool Expired() const { return options_.until.Expired(steady_source().Now()); }

  deadline CallDeadline() const {
    return deadline::After(steady_source().Now(), options_.call_limit)
        .Earlier(options_.until);
  }

  static publish_failure Failure(publish_error error,
                                 std::uint64_t revision = 0) {
    return {error, revision, {}, {}};
  }

  awaitable<publish_result<configuration_manifest>> FindBase(
      const publish_source& source) {
    const configuration_manifest recorded =
        source.base.value_or(configuration_manifest{});
    if (!source.base_revision) {
      co_return recorded;
    }
    auto named = co_await ReadRevision(*source.base_revision);
    if (!named) {
      co_return named.error();
    }
    if (!*named) {
      co_return Failure(publish_error::kUnknownBase, *source.base_revision);
    }
    co_return std::move(**named);
  }

  // A revision that is accepted or in the history.
  awaitable<publish_result<std::optional<configuration_manifest>>> ReadRevision(
      std::uint64_t revision) {
    auto held = co_await ReadManifest();
    if (!held) {
      co_return held.error();
    }
    if (held->manifest.revision == revision) {
      co_return std::optional(std::move(held->manifest));
    }
    const std::string name = std::to_string(revision);
    for (;;) {
      const auto kept = co_await store_.Get(kHistoryKind, name, CallDeadline());
      if (kept) {
        co_return DecodeManifest(kept->value);
      }
      if (kept.error() == store_error::kNotFound) {
        co_return std::optional<configuration_manifest>();
      }
      if (Expired()) {
        co_return Failure(publish_error::kUnavailable);
      }
      co_await internal::PauseBeforeRetry();
    }
  }

  awaitable<round_result> RunRound(const publish_source& source,
                                   const configuration_manifest& base,
                                   const configuration_manifest& ours) {
    const auto held = co_await ReadManifest();
    if (!held) {
      co_return held.error();
    }
    // An empty store has nothing to merge with.
    manifest_merge merged{ours.files, {}};
    if (held->version != 0) {
      if (held->manifest.revision < base.revision) {
        co_return Failure(publish_error::kBaseAhead, held->manifest.revision);
      }
      merged = MergeManifests(base.files, held->manifest.files, ours.files);
    }
    if (!merged.conflicts.empty()) {
      co_return publish_failure{publish_error::kConflict,
                                held->manifest.revision,
                                std::move(merged.conflicts),
                                {}};
    }
    auto checked = co_await CheckMerged(source, merged.files);
    if (!checked) {
      co_return checked.error();
    }
    accepted_publish accepted{
        held->manifest.revision, false,
        internal::DifferingFiles(merged.files, ours.files),
        std::move(*checked)};
    const bool same =
        internal::DifferingFiles(merged.files, held->manifest.files).empty();
    if (held->version != 0 && same) {
      co_return std::optional(std::move(accepted));
    }
    co_return co_await Advance(source, *held, std::move(merged.files),
                               std::move(accepted));
  }

  // Puts the merged files in place of `held`.
  awaitable<round_result> Advance(const publish_source& source,
                                  const held_manifest& held,
                                  std::vector<manifest_entry> files,
                                  accepted_publish accepted) {
    const std::uint64_t known_revision =
        source.base ? source.base->revision : 0;
    const configuration_manifest next =
        internal::NextManifest(held, known_revision, std::move(files));
    const auto uploaded = co_await Upload(source, next);
    if (!uploaded) {
      co_return uploaded.error();
    }
    if (held.version != 0) {
      const auto archived = co_await CreateOnce(
          kHistoryKind, std::to_string(held.manifest.revision),
          EncodeManifest(held.manifest));
      if (!archived) {
        co_return archived.error();
      }
    }
    const auto written = co_await Write(held, next);
    if (!written) {
      co_return written.error();
    }
    if (*written == write_outcome::kLost) {
      co_return std::optional<accepted_publish>();
    }
    accepted.revision = next.revision;
    accepted.changed = true;
    co_await RefreshFiles(source, next);
    if (next.revision % options_.cleanup_interval == 0) {
      co_await CleanUp();
    }
    co_return std::optional(std::move(accepted));
  }

  // Decodes and checks the files that the merge chose; returns the warnings.
  awaitable<publish_result<std::vector<configuration_fault>>> CheckMerged(
      const publish_source& source,
      std::span<const manifest_entry> files) {
    std::vector<configuration_file> texts;
    for (const manifest_entry& entry : files) {
      auto text = co_await TextOf(source, entry);
      if (!text) {
        co_return text.error();
      }
      texts.push_back({entry.name, std::move(*text)});
    }
    co_return internal::CheckForPublish(texts);
  }

  // The text of a file, from the folder or from the store.
  awaitable<publish_result<std::string>> TextOf(const publish_source& source,
                                                const manifest_entry& entry) {
    const configuration_file* own = FindOwn(source, entry);
    if (own != nullptr) {
      co_return own->text;
    }
    for (;;) {
      const auto object =
          co_await store_.Get(kFileKind, entry.digest, CallDeadline());
      if (object) {
        auto text = DecodeFileObject(object->value);
        if (!text) {
          co_return Failure(publish_error::kUnreadable);
        }
        co_return std::move(*text);
      }
      if (Expired()) {
        co_return Failure(publish_error::kUnavailable);
      }
      co_await internal::PauseBeforeRetry();
    }
  }

  static const configuration_file* FindOwn(const publish_source& source,
                                           const manifest_entry& entry) {
    return internal::FindFile(source.files, entry);
  }

  awaitable<publish_result<void>> Upload(const publish_source& source,
                                         const configuration_manifest& next) {
    for (const manifest_entry& entry : next.files) {
      const configuration_file* own = FindOwn(source, entry);
      if (own == nullptr) {
        continue;
      }
      const auto created = co_await CreateOnce(kFileKind, entry.digest,
                                               EncodeFileObject(own->text));
      if (!created) {
        co_return created.error();
      }
    }
    co_return publish_result<void>();
  }

  // Creates an object whose name decides its value, so that an object that
  // exists is the same one.
  awaitable<publish_result<void>> CreateOnce(std::string_view kind,
                                             std::string name,
                                             std::string value) {
    for (;;) {
      const auto created =
          co_await store_.Create(kind, name, value, CallDeadline());
      if (created || created.error() == store_error::kConflict) {
        co_return publish_result<void>();
      }
      if (created.error() == store_error::kRefused) {
        co_return Failure(publish_error::kRefused);
      }
      if (Expired()) {
        co_return Failure(publish_error::kUnavailable);
      }
      co_await internal::PauseBeforeRetry();
    }
  }

  awaitable<store_result<std::uint64_t>> WriteOnce(const held_manifest& held,
                                                   std::string value) {
    if (held.version == 0) {
      co_return co_await store_.Create(kManifestKind, kManifestName, value,
                                       CallDeadline());
    }
    co_return co_await store_.Update(kManifestKind, kManifestName, held.version,
                                     value, CallDeadline());
  }

  // Writes the manifest unless another publish comes first. A write without an
  // answer is settled by reading the manifest back.
  awaitable<publish_result<write_outcome>> Write(
      const held_manifest& held,
      const configuration_manifest& next) {
    const std::string value = EncodeManifest(next);
    // Whether an earlier try may have taken effect.
    bool ambiguous = false;
    for (;;) {
      const auto written = co_await WriteOnce(held, value);
      if (written) {
        co_return write_outcome::kWritten;
      }
      if (written.error() == store_error::kRefused) {
        co_return Failure(publish_error::kRefused);
      }
      const bool beaten = written.error() == store_error::kConflict ||
                          written.error() == store_error::kNotFound;
      if (beaten && !ambiguous) {
        co_return write_outcome::kLost;
      }
      ambiguous = ambiguous || written.error() == store_error::kAmbiguous;
      const auto settled = co_await Settle(held, next);
      if (!settled) {
        co_return Failure(
            ambiguous ? publish_error::kOutcomeUnknown : settled.error().error,
            next.revision);
      }
      if (*settled) {
        co_return **settled;
      }
      // The manifest is unchanged. The same conditional write is repeated: only
      // one of the tries can take effect.
      if (Expired()) {
        co_return Failure(ambiguous ? publish_error::kOutcomeUnknown
                                    : publish_error::kUnavailable,
                          next.revision);
      }
      co_await internal::PauseBeforeRetry();
    }
  }

  // Whether the write of `next` took effect or lost against another one;
  // nothing while the manifest is still `held`.
  awaitable<publish_result<std::optional<write_outcome>>> Settle(
      const held_manifest& held,
      const configuration_manifest& next) {
    const auto now = co_await ReadManifest();
    if (!now) {
      co_return now.error();
    }
    if (now->version == held.version) {
      co_return std::optional<write_outcome>();
    }
    if (now->manifest.attempt == next.attempt) {
      co_return std::optional(write_outcome::kWritten);
    }
    if (now->manifest.revision <= next.revision) {
      co_return std::optional(write_outcome::kLost);
    }
    // A later publish archived whichever manifest had our revision.
    const auto archived = co_await ReadRevision(next.revision);
    if (!archived) {
      co_return archived.error();
    }
    const bool own = *archived && (*archived)->attempt == next.attempt;
    co_return std::optional(own ? write_outcome::kWritten
                                : write_outcome::kLost);
  }

  // Writes our files once more. A clean-up that judged one of them as unused
  // before the manifest named it then either fails to delete it, because its
  // version has changed, or has deleted it already and it is created again.
  awaitable<void> RefreshFiles(const publish_source& source,
                               const configuration_manifest& next) {
    for (const manifest_entry& entry : next.files) {
      const configuration_file* own = FindOwn(source, entry);
      if (own != nullptr && !IsInBase(source, entry)) {
        co_await RefreshFile(entry.digest, EncodeFileObject(own->text));
      }
    }
  }

  // Files that the base holds too were accepted before and stayed in use.
  static bool IsInBase(const publish_source& source,
                       const manifest_entry& entry) {
    return internal::Names(source.base, entry);
  }

  awaitable<void> RefreshFile(std::string digest, std::string value) {
    const auto held = co_await store_.Get(kFileKind, digest, CallDeadline());
    if (held) {
      co_await store_.Update(kFileKind, digest, held->version, value,
                             CallDeadline());
    } else if (held.error() == store_error::kNotFound) {
      co_await store_.Create(kFileKind, digest, value, CallDeadline());
    }
  }

  // Removes old manifests and the files that only they name. Failures are left
  // to the next clean-up.
  awaitable<void> CleanUp() {
    const auto accepted = co_await ReadManifest();
    const auto history = co_await store_.List(kHistoryKind, CallDeadline());
    if (!accepted || !history) {
      co_return;
    }
    const internal::cleanup_plan plan = internal::PlanCleanup(
        *history, accepted->manifest, options_.kept_revisions);
    const std::vector<stored_object> unused = co_await FilesOf(plan.digests);
    // The versions are known now; what the manifest names after this is kept.
    const auto latest = co_await ReadManifest();
    if (!latest) {
      co_return;
    }
    std::set<std::string> named;
    for (const manifest_entry& entry : latest->manifest.files) {
      named.insert(entry.digest);
    }
    for (const stored_object& file : unused) {
      if (!named.contains(file.name)) {
        co_await store_.Delete(kFileKind, file.name, file.version,
                               CallDeadline());
      }
    }
    for (const stored_object& manifest : plan.manifests) {
      co_await store_.Delete(kHistoryKind, manifest.name, manifest.version,
                             CallDeadline());
    }
  }

  awaitable<std::vector<stored_object>> FilesOf(
      const std::set<std::string>& digests) {
    std::vector<stored_object> files;
    for (const std::string& digest : digests) {
      auto file = co_await store_.Get(kFileKind, digest, CallDeadline());
      if (file) {
        files.push_back({digest, file->version, {}});
      }
    }
    co_return files;
  }

  Store& store_;
  publish_options options_;
};

}  // namespace anvilloom

#endif  // CTL_PUBLISHER_H_
