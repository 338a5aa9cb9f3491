#include "wire/load_codec.h"

#include "common/hash.h"
#include "wire/json_text.h"

namespace anvilloom {

namespace {

// A larger count is treated as an error of the engine.
constexpr std::uint64_t kMaxRequests = 1'000'000;
constexpr std::uint32_t kMaxPermille = 1'000;

}  // namespace

std::optional<load_report> MakeLoadReport(std::uint64_t running,
                                          std::uint64_t waiting,
                                          std::uint64_t cache_permille) {
  if (running > kMaxRequests || waiting > kMaxRequests ||
      cache_permille > kMaxPermille) {
    return std::nullopt;
  }
  return load_report{static_cast<std::uint32_t>(running),
                     static_cast<std::uint32_t>(waiting),
                     static_cast<std::uint32_t>(cache_permille)};
}

std::optional<polled_load> DecodeLoad(std::string_view text) {
  const auto parsed = ParseJson(text);
  if (!parsed) {
    return std::nullopt;
  }
  const auto running = UnsignedMember(*parsed, "running");
  const auto waiting = UnsignedMember(*parsed, "waiting");
  const auto cache = UnsignedMember(*parsed, "cache_permille");
  if (!running || !waiting || !cache) {
    return std::nullopt;
  }
  const auto report = MakeLoadReport(*running, *waiting, *cache);
  if (!report) {
    return std::nullopt;
  }
  polled_load polled;
  polled.report = *report;
  const std::string_view version =
      StringMember(*parsed, "version").value_or("");
  polled.version = version.empty() ? 0 : Hash64(version);
  return polled;
}

std::uint32_t ShortUpstreamId(std::uint64_t name_hash) {
  return static_cast<std::uint32_t>(name_hash);
}

}  // namespace anvilloom
