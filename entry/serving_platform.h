// Defines serving_platform, the concept of the platform that a gateway runs on.
#ifndef ENTRY_SERVING_PLATFORM_H_
#define ENTRY_SERVING_PLATFORM_H_

#include <concepts>
#include <optional>
#include <string_view>

#include "contracts/manifest.h"
#include "entry/cloud_duties.h"
#include "entry/forwarded_call.h"
#include "entry/rollout_runner.h"
#include "instances/upstream_announcement.h"
#include "wire/object_store.h"

namespace anvilloom {

// The platform interface that a gateway requires: store, cloud API and codecs.
template <typename T>
concept serving_platform = object_store<typename T::store> &&
    cloud_duties<typename T::cloud> && call_codec<typename T::codec> &&
    rollout_platform<T> && requires(std::string_view text) {
  { T::DecodeManifest(text) } -> std::same_as<std::optional<manifest>>;
  {
    T::DecodeUpstream(text, text)
    } -> std::same_as<std::optional<upstream_announcement>>;
  { T::kManifestKind } -> std::convertible_to<std::string_view>;
  { T::kManifestName } -> std::convertible_to<std::string_view>;
  { T::kUpstreamKind } -> std::convertible_to<std::string_view>;
};

}  // namespace anvilloom

#endif  // ENTRY_SERVING_PLATFORM_H_
