#include "entry/process_limits.h"

#include <algorithm>

#include "entry/settings_reader.h"

namespace anvilloom {

namespace {

// With fewer file descriptors, listeners and upstream connections leave none
// for callers.
constexpr std::size_t kMinDescriptors = 256;
constexpr std::size_t kMaxDescriptors = 1'048'576;
// The program itself takes about 20 MB.
constexpr double kMinMemoryMb = 32;
constexpr double kMaxMemoryMb = 1'048'576;
constexpr double kBytesPerMb = 1'000'000;

// File descriptors reserved for listeners, upstreams and the store.
constexpr std::size_t kReservedDescriptors = 700;
// The part of them that is needed whatever the calls: for listeners, threads,
// the store, and idle connections to upstreams.
constexpr std::size_t kOwnDescriptors = 200;

bool HasManyDescriptors(const process_limits& limits) {
  return limits.descriptors > 2 * kReservedDescriptors;
}

}  // namespace

std::size_t process_limits::ClientConnections() const {
  // With few descriptors, all connections may need a second one for an upstream
  // at the same time.
  return HasManyDescriptors(*this) ? descriptors - kReservedDescriptors
                                   : descriptors * 2 / 5;
}

void ReadProcessLimits(settings_reader& reader, process_limits& into) {
  reader.ReadCount("descriptors", kMinDescriptors, kMaxDescriptors,
                   into.descriptors);
  auto memory_mb = static_cast<double>(into.memory_bytes) / kBytesPerMb;
  reader.ReadNumber("memory_mb", kMinMemoryMb, kMaxMemoryMb, memory_mb);
  into.memory_bytes = static_cast<std::size_t>(memory_mb * kBytesPerMb);
}

void LimitClients(http_server& server,
                  const process_limits& limits,
                  memory_account& account) {
  server.SetMemoryAccount(account);
  if (HasManyDescriptors(limits)) {
    server.SetDescriptorLimit(limits.descriptors - kOwnDescriptors);
  }
}

http_server_limits AdminLimits(http_server_limits limits) {
  limits.body_bytes =
      std::min(limits.body_bytes, memory_account::kSmallBodyBytes);
  return limits;
}

}  // namespace anvilloom
