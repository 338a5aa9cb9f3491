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

// Limits the time of a clean-up that follows many skipped clean-ups.
constexpr std::size_t kMaxManifestsPerCleanup = 32;
// Well above the few milliseconds of a call to the object API, and well below
// the 10 s within which a change must be in force.
constexpr int kMinRetryDelayMs = 20;
constexpr int kMaxRetryDelayMs = 200;

std::uint64_t ParseRevision(const stored_object& manifest) {
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

std::set<std::string> CollectDigests(std::span<const stored_object> manifests) {
  std::set<std::string> digests;
  for (const stored_object& encoded : manifests) {
    if (const auto manifest = DecodeManifest(encoded.value)) {
      AddDigests(*manifest, digests);
    }
  }
  return digests;
}

}  // namespace

configuration_manifest MakeManifest(std::span<const configuration_file> files) {
  configuration_manifest manifest;
  for (const configuration_file& file : files) {
    manifest.files.push_back({file.name, Sha256Hex(file.text)});
  }
  std::ranges::sort(manifest.files, {}, &manifest_entry::name);
  return manifest;
}

std::string MakeAttemptId() {
  std::random_device source;
  std::string attempt;
  for (int i = 0; i < 4; ++i) {
    attempt += std::to_string(source()) + "-";
  }
  return Sha256Hex(attempt);
}

configuration_manifest NextManifest(const versioned_manifest& current,
                                    std::uint64_t known_revision,
                                    std::vector<manifest_entry> files) {
  configuration_manifest next;
  next.revision = std::max(current.manifest.revision, known_revision) + 1;
  next.files = std::move(files);
  next.attempt = MakeAttemptId();
  return next;
}

std::vector<std::string> DifferingFiles(std::span<const manifest_entry> left,
                                        std::span<const manifest_entry> right) {
  std::set<std::string> differing;
  const auto collect = [&](std::span<const manifest_entry> from,
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
  collect(left, right);
  collect(right, left);
  return {differing.begin(), differing.end()};
}

publish_result<std::vector<configuration_fault>> ValidateFiles(
    std::span<const configuration_file> files) {
  using result = publish_result<std::vector<configuration_fault>>;
  return leaf::try_handle_all(
      [&]() -> leaf::result<result> {
        BOOST_LEAF_AUTO(decoded, DecodeConfigurationWithWarnings(files, 1));
        return result(std::move(decoded.warnings));
      },
      [](const configuration_faults& found) {
        return result(publish_failure{
            publish_error::kInvalidConfiguration, 0, {}, found.faults});
      },
      [] {
        return result(
            publish_failure{publish_error::kInvalidConfiguration, 0, {}, {}});
      });
}

const configuration_file* FindMatchingFile(
    std::span<const configuration_file> files,
    const manifest_entry& entry) {
  const auto found =
      std::ranges::find(files, entry.name, &configuration_file::name);
  const bool same =
      found != files.end() && Sha256Hex(found->text) == entry.digest;
  return same ? &*found : nullptr;
}

bool ContainsEntry(const std::optional<configuration_manifest>& manifest,
                   const manifest_entry& entry) {
  return manifest &&
         std::ranges::any_of(manifest->files, [&](const manifest_entry& other) {
           return other.name == entry.name && other.digest == entry.digest;
         });
}

awaitable<void> PauseBeforeRetry() {
  std::random_device source;
  std::uniform_int_distribution<int> pause_ms(kMinRetryDelayMs,
                                              kMaxRetryDelayMs);
  return Pause(std::chrono::milliseconds(pause_ms(source)));
}

cleanup_plan PlanCleanup(const object_list& history,
                         const configuration_manifest& accepted,
                         std::uint64_t max_manifests) {
  std::vector<stored_object> manifests = history.objects;
  std::ranges::sort(manifests, {}, ParseRevision);
  const std::size_t excess =
      manifests.size() > max_manifests ? manifests.size() - max_manifests : 0;
  const std::size_t removed = std::min(excess, kMaxManifestsPerCleanup);
  const std::span all(manifests);
  std::set<std::string> referenced = CollectDigests(all.subspan(removed));
  AddDigests(accepted, referenced);
  cleanup_plan plan;
  plan.manifests.assign(
      manifests.begin(),
      manifests.begin() + static_cast<std::ptrdiff_t>(removed));
  std::ranges::set_difference(CollectDigests(all.first(removed)), referenced,
                              std::inserter(plan.digests, plan.digests.end()));
  return plan;
}

}  // namespace anvilloom::internal
