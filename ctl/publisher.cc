#include "ctl/publisher.h"

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <charconv>
#include <chrono>
#include <iterator>
#include <random>

#include "common/hash.h"
#include "wire/pause.h"

namespace anvilloom::internal {

namespace {

namespace leaf = boost::leaf;

// Manifests that one clean-up removes at most, so that a publish after a long
// pause of clean-ups stays short.
constexpr std::size_t kRemovedAtOnce = 32;
// Long against one call to the object API, a few milliseconds, and short
// against the 10 s in which a change must be in force.
constexpr int kLeastPauseMs = 20;
constexpr int kMostPauseMs = 200;

std::uint64_t RevisionOf(const stored_object& manifest) {
  std::uint64_t revision = 0;
  std::from_chars(manifest.name.data(),
                  manifest.name.data() + manifest.name.size(), revision);
  return revision;
}

void AddDigests(const configuration_manifest& manifest,
                std::set<std::string>& into) {
  for (const manifest_entry& entry : manifest.files) {
    into.insert(entry.digest);
  }
}

std::set<std::string> DigestsOf(std::span<const stored_object> manifests) {
  std::set<std::string> digests;
  for (const stored_object& encoded : manifests) {
    if (const auto manifest = DecodeManifest(encoded.value)) {
      AddDigests(*manifest, digests);
    }
  }
  return digests;
}

}  // namespace

configuration_manifest ManifestOf(std::span<const configuration_file> files) {
  configuration_manifest manifest;
  for (const configuration_file& file : files) {
    manifest.files.push_back({file.name, Sha256Hex(file.text)});
  }
  std::ranges::sort(manifest.files, {}, &manifest_entry::name);
  return manifest;
}

std::string NewAttempt() {
  std::random_device source;
  std::string attempt;
  for (int i = 0; i < 4; ++i) {
    attempt += std::to_string(source()) + "-";
  }
  return Sha256Hex(attempt);
}

configuration_manifest NextManifest(const held_manifest& held,
                                    std::uint64_t known_revision,
                                    std::vector<manifest_entry> files) {
  configuration_manifest next;
  next.revision = std::max(held.manifest.revision, known_revision) + 1;
  next.files = std::move(files);
  next.attempt = NewAttempt();
  return next;
}

std::vector<std::string> DifferingFiles(std::span<const manifest_entry> left,
                                        std::span<const manifest_entry> right) {
  std::set<std::string> differing;
  const auto mark = [&](std::span<const manifest_entry> from,
                        std::span<const manifest_entry> in) {
    for (const manifest_entry& entry : from) {
      const auto same = [&](const manifest_entry& other) {
        return other.name == entry.name && other.digest == entry.digest;
      };
      if (std::ranges::none_of(in, same)) {
        differing.insert(entry.name);
      }
    }
  };
  mark(left, right);
  mark(right, left);
  return {differing.begin(), differing.end()};
}

publish_result<std::vector<configuration_fault>> CheckForPublish(
    std::span<const configuration_file> files) {
  using result = publish_result<std::vector<configuration_fault>>;
  return leaf::try_handle_all(
      [&]() -> leaf::result<result> {
        BOOST_LEAF_AUTO(decoded, DecodeWithWarnings(files, 1));
        return result(std::move(decoded.warnings));
      },
      [](const configuration_faults& found) {
        return result(
            publish_failure{publish_error::kInvalid, 0, {}, found.faults});
      },
      [] {
        return result(publish_failure{publish_error::kInvalid, 0, {}, {}});
      });
}

const configuration_file* FindFile(std::span<const configuration_file> files,
                                   const manifest_entry& entry) {
  const auto found =
      std::ranges::find(files, entry.name, &configuration_file::name);
  const bool same =
      found != files.end() && Sha256Hex(found->text) == entry.digest;
  return same ? &*found : nullptr;
}

bool Names(const std::optional<configuration_manifest>& manifest,
           const manifest_entry& entry) {
  return manifest &&
         std::ranges::any_of(manifest->files, [&](const manifest_entry& other) {
           return other.name == entry.name && other.digest == entry.digest;
         });
}

awaitable<void> PauseBeforeRetry() {
  std::random_device source;
  std::uniform_int_distribution<int> pause_ms(kLeastPauseMs, kMostPauseMs);
  return Pause(std::chrono::milliseconds(pause_ms(source)));
}

cleanup_plan PlanCleanup(const object_list& history,
                         const configuration_manifest& accepted,
                         std::uint64_t kept) {
  std::vector<stored_object> manifests = history.objects;
  std::ranges::sort(manifests, {}, RevisionOf);
  const std::size_t beyond =
      manifests.size() > kept ? manifests.size() - kept : 0;
  const std::size_t removed = std::min(beyond, kRemovedAtOnce);
  const std::span all(manifests);
  std::set<std::string> named = DigestsOf(all.subspan(removed));
  AddDigests(accepted, named);
  cleanup_plan plan;
  plan.manifests.assign(
      manifests.begin(),
      manifests.begin() + static_cast<std::ptrdiff_t>(removed));
  std::ranges::set_difference(DigestsOf(all.first(removed)), named,
                              std::inserter(plan.digests, plan.digests.end()));
  return plan;
}

}  // namespace anvilloom::internal
