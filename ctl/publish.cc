#include "ctl/publish.h"

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <string>

#include "common/hash.h"

namespace anvilloom {

namespace {

constexpr std::string_view kManifestKind = "configuration";
constexpr std::string_view kManifestName = "manifest";
constexpr std::string_view kFileKind = "configuration-files";

awaitable<store_result<void>> UploadFile(http_object_store& store,
                                         const configuration_file& file,
                                         std::string_view digest,
                                         deadline until) {
  const std::string value =
      boost::json::serialize(boost::json::value{{"text", file.text}});
  const auto created = co_await store.Create(kFileKind, digest, value, until);
  // The name is the digest of the content, so an existing object is the same.
  if (!created && created.error() != store_error::kConflict) {
    co_return created.error();
  }
  co_return store_result<void>();
}

}  // namespace

awaitable<store_result<std::uint64_t>> Publish(
    http_object_store& store,
    std::span<const configuration_file> files,
    deadline until) {
  configuration_manifest next;
  for (const configuration_file& file : files) {
    const std::string digest = Sha256Hex(file.text);
    const auto uploaded = co_await UploadFile(store, file, digest, until);
    if (!uploaded) {
      co_return uploaded.error();
    }
    next.files.push_back({file.name, digest});
  }
  const auto held = co_await store.Get(kManifestKind, kManifestName, until);
  if (!held && held.error() != store_error::kNotFound) {
    co_return held.error();
  }
  const auto current = held ? DecodeManifest(held->value) : std::nullopt;
  next.revision = current ? current->revision + 1 : 1;
  const std::string value = EncodeManifest(next);
  const auto written =
      held ? co_await store.Update(kManifestKind, kManifestName, held->version,
                                   value, until)
           : co_await store.Create(kManifestKind, kManifestName, value, until);
  if (!written) {
    co_return written.error();
  }
  co_return next.revision;
}

}  // namespace anvilloom
