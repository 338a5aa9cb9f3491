#include "wire/load_codec.h"

#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>

#include <algorithm>

#include "common/hash.h"
#include "wire/json_text.h"

namespace anvilloom {

namespace {

namespace io = google::protobuf::io;

// Above this, a count is taken for a fault of the engine.
constexpr std::uint64_t kMostRequests = 1'000'000;
constexpr std::uint32_t kMostPermille = 1'000;
constexpr std::uint32_t kPermillePerPercent = 10;
// Bounds what a malformed age can do to the time of a report.
constexpr std::uint32_t kMostAgeMs = 3'600'000;

std::optional<engine_load> ReadEngine(io::CodedInputStream& in) {
  engine_load load;
  std::uint32_t term = 0;
  std::uint32_t percent = 0;
  const bool read =
      in.ReadLittleEndian32(&load.upstream) && in.ReadVarint32(&term) &&
      in.ReadVarint32(&load.report.running) &&
      in.ReadVarint32(&load.report.waiting) && in.ReadVarint32(&percent);
  if (!read || load.report.running > kMostRequests ||
      load.report.waiting > kMostRequests ||
      percent > kMostPermille / kPermillePerPercent) {
    return std::nullopt;
  }
  // The lowest bit of the term says whether the version follows.
  load.term = term / 2;
  load.report.cache_permille = percent * kPermillePerPercent;
  if (term % 2 != 0 && !in.ReadLittleEndian64(&load.version)) {
    return std::nullopt;
  }
  return load;
}

}  // namespace

std::optional<polled_load> DecodeLoad(std::string_view text) {
  const auto parsed = ParseJson(text);
  if (!parsed) {
    return std::nullopt;
  }
  const auto running = UnsignedMember(*parsed, "running");
  const auto waiting = UnsignedMember(*parsed, "waiting");
  const auto cache = UnsignedMember(*parsed, "cache_permille");
  const bool valid = running && waiting && cache && *running <= kMostRequests &&
                     *waiting <= kMostRequests && *cache <= kMostPermille;
  if (!valid) {
    return std::nullopt;
  }
  polled_load polled;
  polled.report = {static_cast<std::uint32_t>(*running),
                   static_cast<std::uint32_t>(*waiting),
                   static_cast<std::uint32_t>(*cache)};
  const std::string_view version =
      StringMember(*parsed, "version").value_or("");
  polled.version = version.empty() ? 0 : Hash64(version);
  return polled;
}

std::uint32_t ShortUpstreamId(std::uint64_t name_hash) {
  return static_cast<std::uint32_t>(name_hash);
}

std::string PackLoads(const load_summary& summary) {
  std::string bytes;
  {
    io::StringOutputStream stream(&bytes);
    io::CodedOutputStream out(&stream);
    out.WriteVarint32(summary.round);
    const auto age =
        std::chrono::ceil<std::chrono::milliseconds>(summary.age).count();
    out.WriteVarint32(static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(age, 0, kMostAgeMs)));
    for (const engine_load& each : summary.engines) {
      out.WriteLittleEndian32(each.upstream);
      out.WriteVarint32(each.term * 2 + (each.version != 0 ? 1 : 0));
      out.WriteVarint32(each.report.running);
      out.WriteVarint32(each.report.waiting);
      out.WriteVarint32(each.report.cache_permille / kPermillePerPercent);
      if (each.version != 0) {
        out.WriteLittleEndian64(each.version);
      }
    }
  }
  return bytes;
}

std::optional<load_summary> UnpackLoads(std::string_view bytes) {
  io::CodedInputStream in(reinterpret_cast<const std::uint8_t*>(bytes.data()),
                          static_cast<int>(bytes.size()));
  load_summary summary;
  std::uint32_t age_ms = 0;
  if (!in.ReadVarint32(&summary.round) || !in.ReadVarint32(&age_ms) ||
      age_ms > kMostAgeMs) {
    return std::nullopt;
  }
  summary.age = std::chrono::milliseconds(age_ms);
  while (in.CurrentPosition() < static_cast<int>(bytes.size())) {
    const auto load = ReadEngine(in);
    if (!load) {
      return std::nullopt;
    }
    summary.engines.push_back(*load);
  }
  return summary;
}

}  // namespace anvilloom
