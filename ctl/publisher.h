// Defines publisher, which merges the files of a folder into the accepted
// configuration and writes the result to the object API as the next revision.
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

// The accepted manifest and its version in the store; version 0 if the store
// has no manifest yet.
struct versioned_manifest {
  configuration_manifest manifest;
  std::uint64_t version = 0;
};

// Whether a conditional write took effect or another publish came first.
enum class write_outcome { kWritten, kSuperseded };

// Lists the names and digests of the files; the revision stays 0.
configuration_manifest MakeManifest(std::span<const configuration_file> files);

// Returns a random token that identifies one attempt to write the manifest.
std::string MakeAttemptId();

// Builds the manifest that follows `current` with the merged files. Its
// revision is also above `known_revision`, that of the folder's base, because
// entry instances accept only higher revisions, even after the object API has
// lost some.
configuration_manifest NextManifest(const versioned_manifest& current,
                                    std::uint64_t known_revision,
                                    std::vector<manifest_entry> files);

// Returns the names of the files that differ or that only one side has.
std::vector<std::string> DifferingFiles(std::span<const manifest_entry> left,
                                        std::span<const manifest_entry> right);

// Waits for a short random time, so that competing publishers do not retry
// simultaneously.
awaitable<void> PauseBeforeRetry();

// Decodes and checks the files. Returns the warnings, or kInvalidConfiguration
// with the errors found.
publish_result<std::vector<configuration_fault>> ValidateFiles(
    std::span<const configuration_file> files);

// Finds the file with the name and digest of `entry`; null if there is none.
const configuration_file* FindMatchingFile(
    std::span<const configuration_file> files,
    const manifest_entry& entry);

// Whether the manifest lists the entry's name with the same digest.
bool ContainsEntry(const std::optional<configuration_manifest>& manifest,
                   const manifest_entry& entry);

// The manifests that a clean-up removes, and the digests that no remaining
// manifest references.
struct cleanup_plan {
  std::vector<stored_object> manifests;
  std::set<std::string> digests;
};

// Selects the oldest manifests beyond the latest `max_manifests` ones for
// removal, up to the limit of one clean-up.
cleanup_plan PlanCleanup(const object_list& history,
                         const configuration_manifest& accepted,
                         std::uint64_t max_manifests);

}  // namespace internal

// Publishes a folder to the object API. Calls to the store are retried until
// the deadline. Retries are safe: reads have no effect, a file's name is the
// digest of its text, and the update of the manifest is conditional on its
// version. Not thread-safe.
template <object_store Store>
class publisher {
 public:
  publisher(Store& store, const publish_options& options)
      : store_(store), options_(options) {}

  // Merges and publishes; merges again if another publish comes first. Fails
  // with a publish_failure.
  awaitable<publish_result<accepted_publish>> Run(publish_source source) {
    const configuration_manifest ours = internal::MakeManifest(source.files);
    const auto base = co_await FindBase(source);
    if (!base) {
      co_return base.error();
    }
    for (;;) {
      auto published = co_await TryPublish(source, *base, ours);
      if (!published) {
        co_return published.error();
      }
      if (*published) {
        co_return std::move(**published);
      }
      // Another publish came first; merge again with its revision.
      if (Expired()) {
        co_return publish_failure{publish_error::kUnavailable, 0, {}, {}};
      }
      co_await internal::PauseBeforeRetry();
    }
  }

  // Reads the accepted manifest. Fails with kUnreadable, or with kUnavailable
  // after the deadline.
  awaitable<publish_result<internal::versioned_manifest>> ReadManifest() {
    for (;;) {
      const auto current =
          co_await store_.Get(kManifestKind, kManifestName, CallDeadline());
      if (current) {
        auto manifest = DecodeManifest(current->value);
        if (!manifest) {
          co_return publish_failure{publish_error::kUnreadable, 0, {}, {}};
        }
        co_return internal::versioned_manifest{std::move(*manifest),
                                               current->version};
      }
      if (current.error() == store_error::kNotFound) {
        co_return internal::versioned_manifest{};
      }
      if (Expired()) {
        co_return publish_failure{publish_error::kUnavailable, 0, {}, {}};
      }
      co_await internal::PauseBeforeRetry();
    }
  }

 private:
  using versioned_manifest = internal::versioned_manifest;
  using write_outcome = internal::write_outcome;
  // The accepted publish, or std::nullopt if another one came first.
  using try_result = publish_result<std::optional<accepted_publish>>;

  bool Expired() const { return options_.until.Expired(steady_source().Now()); }

  deadline CallDeadline() const {
    return deadline::After(steady_source().Now(), options_.call_timeout)
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
    auto requested = co_await ReadRevision(*source.base_revision);
    if (!requested) {
      co_return requested.error();
    }
    if (!*requested) {
      co_return Failure(publish_error::kUnknownBase, *source.base_revision);
    }
    co_return std::move(**requested);
  }

  // Reads a revision that is accepted or in the history; std::nullopt if it is
  // neither.
  awaitable<publish_result<std::optional<configuration_manifest>>> ReadRevision(
      std::uint64_t revision) {
    auto current = co_await ReadManifest();
    if (!current) {
      co_return current.error();
    }
    if (current->manifest.revision == revision) {
      co_return std::optional(std::move(current->manifest));
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

  awaitable<try_result> TryPublish(const publish_source& source,
                                   const configuration_manifest& base,
                                   const configuration_manifest& ours) {
    const auto current = co_await ReadManifest();
    if (!current) {
      co_return current.error();
    }
    // In an empty store there is nothing to merge with.
    manifest_merge merged{ours.files, {}};
    if (current->version != 0) {
      if (current->manifest.revision < base.revision) {
        co_return Failure(publish_error::kBaseAhead,
                          current->manifest.revision);
      }
      merged = MergeManifests(base.files, current->manifest.files, ours.files);
    }
    if (!merged.conflicts.empty()) {
      co_return publish_failure{publish_error::kConflict,
                                current->manifest.revision,
                                std::move(merged.conflicts),
                                {}};
    }
    auto checked = co_await CheckMerged(source, merged.files);
    if (!checked) {
      co_return checked.error();
    }
    accepted_publish accepted{
        current->manifest.revision, false,
        internal::DifferingFiles(merged.files, ours.files),
        std::move(*checked)};
    const bool same =
        internal::DifferingFiles(merged.files, current->manifest.files).empty();
    if (current->version != 0 && same) {
      co_return std::optional(std::move(accepted));
    }
    co_return co_await WriteNextRevision(
        source, *current, std::move(merged.files), std::move(accepted));
  }

  // Uploads the merged files, archives `current` and replaces it by the next
  // manifest.
  awaitable<try_result> WriteNextRevision(const publish_source& source,
                                          const versioned_manifest& current,
                                          std::vector<manifest_entry> files,
                                          accepted_publish accepted) {
    const std::uint64_t known_revision =
        source.base ? source.base->revision : 0;
    const configuration_manifest next =
        internal::NextManifest(current, known_revision, std::move(files));
    const auto uploaded = co_await Upload(source, next);
    if (!uploaded) {
      co_return uploaded.error();
    }
    if (current.version != 0) {
      const auto archived = co_await CreateIfAbsent(
          kHistoryKind, std::to_string(current.manifest.revision),
          EncodeManifest(current.manifest));
      if (!archived) {
        co_return archived.error();
      }
    }
    const auto written = co_await WriteManifest(current, next);
    if (!written) {
      co_return written.error();
    }
    if (*written == write_outcome::kSuperseded) {
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

  // Decodes and checks the merged files; returns the warnings.
  awaitable<publish_result<std::vector<configuration_fault>>> CheckMerged(
      const publish_source& source,
      std::span<const manifest_entry> files) {
    std::vector<configuration_file> texts;
    for (const manifest_entry& entry : files) {
      auto text = co_await ReadText(source, entry);
      if (!text) {
        co_return text.error();
      }
      texts.push_back({entry.name, std::move(*text)});
    }
    co_return internal::ValidateFiles(texts);
  }

  // Returns the text of a file from the folder, or else from the store.
  awaitable<publish_result<std::string>> ReadText(const publish_source& source,
                                                  const manifest_entry& entry) {
    const configuration_file* local_file = FindLocalFile(source, entry);
    if (local_file != nullptr) {
      co_return local_file->text;
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

  static const configuration_file* FindLocalFile(const publish_source& source,
                                                 const manifest_entry& entry) {
    return internal::FindMatchingFile(source.files, entry);
  }

  awaitable<publish_result<void>> Upload(const publish_source& source,
                                         const configuration_manifest& next) {
    for (const manifest_entry& entry : next.files) {
      const configuration_file* local_file = FindLocalFile(source, entry);
      if (local_file == nullptr) {
        continue;
      }
      const auto created = co_await CreateIfAbsent(
          kFileKind, entry.digest, EncodeFileObject(local_file->text));
      if (!created) {
        co_return created.error();
      }
    }
    co_return publish_result<void>();
  }

  // Creates an object whose name determines its value, so that an existing
  // object of this name counts as success.
  awaitable<publish_result<void>> CreateIfAbsent(std::string_view kind,
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

  awaitable<store_result<std::uint64_t>> TryWriteManifest(
      const versioned_manifest& current,
      std::string value) {
    if (current.version == 0) {
      co_return co_await store_.Create(kManifestKind, kManifestName, value,
                                       CallDeadline());
    }
    co_return co_await store_.Update(kManifestKind, kManifestName,
                                     current.version, value, CallDeadline());
  }

  // Writes the manifest unless another publish comes first. If a write gets no
  // answer, reads the manifest back to find out whether it took effect.
  awaitable<publish_result<write_outcome>> WriteManifest(
      const versioned_manifest& current,
      const configuration_manifest& next) {
    const std::string value = EncodeManifest(next);
    // Whether an earlier attempt may have taken effect.
    bool ambiguous = false;
    for (;;) {
      const auto written = co_await TryWriteManifest(current, value);
      if (written) {
        co_return write_outcome::kWritten;
      }
      if (written.error() == store_error::kRefused) {
        co_return Failure(publish_error::kRefused);
      }
      const bool superseded = written.error() == store_error::kConflict ||
                              written.error() == store_error::kNotFound;
      if (superseded && !ambiguous) {
        co_return write_outcome::kSuperseded;
      }
      ambiguous = ambiguous || written.error() == store_error::kAmbiguous;
      const auto resolved = co_await ResolveWrite(current, next);
      if (!resolved) {
        co_return Failure(
            ambiguous ? publish_error::kOutcomeUnknown : resolved.error().error,
            next.revision);
      }
      if (*resolved) {
        co_return **resolved;
      }
      // The manifest is unchanged. Repeating the same conditional write is
      // safe: only one of the attempts can take effect.
      if (Expired()) {
        co_return Failure(ambiguous ? publish_error::kOutcomeUnknown
                                    : publish_error::kUnavailable,
                          next.revision);
      }
      co_await internal::PauseBeforeRetry();
    }
  }

  // Determines whether the write of `next` took effect or another one came
  // first; std::nullopt while the manifest is still `current`.
  awaitable<publish_result<std::optional<write_outcome>>> ResolveWrite(
      const versioned_manifest& current,
      const configuration_manifest& next) {
    const auto observed = co_await ReadManifest();
    if (!observed) {
      co_return observed.error();
    }
    if (observed->version == current.version) {
      co_return std::optional<write_outcome>();
    }
    if (observed->manifest.attempt == next.attempt) {
      co_return std::optional(write_outcome::kWritten);
    }
    if (observed->manifest.revision <= next.revision) {
      co_return std::optional(write_outcome::kSuperseded);
    }
    // A later publish archived the manifest that got the revision of `next`.
    const auto archived = co_await ReadRevision(next.revision);
    if (!archived) {
      co_return archived.error();
    }
    const bool same_attempt = *archived && (*archived)->attempt == next.attempt;
    co_return std::optional(same_attempt ? write_outcome::kWritten
                                         : write_outcome::kSuperseded);
  }

  // Writes the uploaded files again. A concurrent clean-up may have found one
  // of them unreferenced before the new manifest was accepted. Its deletion
  // then either fails because the file's version has changed, or has happened
  // already and the file is created again.
  awaitable<void> RefreshFiles(const publish_source& source,
                               const configuration_manifest& next) {
    for (const manifest_entry& entry : next.files) {
      const configuration_file* local_file = FindLocalFile(source, entry);
      if (local_file != nullptr && !IsInBase(source, entry)) {
        co_await RefreshFile(entry.digest, EncodeFileObject(local_file->text));
      }
    }
  }

  // Files that are also in the base were accepted earlier and stayed
  // referenced.
  static bool IsInBase(const publish_source& source,
                       const manifest_entry& entry) {
    return internal::ContainsEntry(source.base, entry);
  }

  awaitable<void> RefreshFile(std::string digest, std::string value) {
    const auto current = co_await store_.Get(kFileKind, digest, CallDeadline());
    if (current) {
      co_await store_.Update(kFileKind, digest, current->version, value,
                             CallDeadline());
    } else if (current.error() == store_error::kNotFound) {
      co_await store_.Create(kFileKind, digest, value, CallDeadline());
    }
  }

  // Removes old manifests and the files that only they reference. Whatever
  // fails is retried by the next clean-up.
  awaitable<void> CleanUp() {
    const auto accepted = co_await ReadManifest();
    const auto history = co_await store_.List(kHistoryKind, CallDeadline());
    if (!accepted || !history) {
      co_return;
    }
    const internal::cleanup_plan plan = internal::PlanCleanup(
        *history, accepted->manifest, options_.kept_revisions);
    const std::vector<stored_object> unreferenced_files =
        co_await ReadFileVersions(plan.digests);
    // Deletions are conditional on the versions read above, so the manifest
    // must be read after them: a file that it references now is kept.
    const auto latest = co_await ReadManifest();
    if (!latest) {
      co_return;
    }
    std::set<std::string> referenced;
    for (const manifest_entry& entry : latest->manifest.files) {
      referenced.insert(entry.digest);
    }
    for (const stored_object& file : unreferenced_files) {
      if (!referenced.contains(file.name)) {
        co_await store_.Delete(kFileKind, file.name, file.version,
                               CallDeadline());
      }
    }
    for (const stored_object& manifest : plan.manifests) {
      co_await store_.Delete(kHistoryKind, manifest.name, manifest.version,
                             CallDeadline());
    }
  }

  awaitable<std::vector<stored_object>> ReadFileVersions(
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
