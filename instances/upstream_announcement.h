// Defines upstream_announcement, what an upstream says of itself, and
// upstream_change, a change of one announcement.
#ifndef INSTANCES_UPSTREAM_ANNOUNCEMENT_H_
#define INSTANCES_UPSTREAM_ANNOUNCEMENT_H_

#include <cstdint>
#include <string>

namespace anvilloom {

// What an upstream announces of itself.
struct upstream_announcement {
  // Names one lifetime, with `born_ms`: a restart may keep the id.
  std::string id;
  std::uint64_t born_ms = 0;
  std::string service;
  // IP address and port.
  std::string address;
  std::string domain;
  std::uint32_t slots = 1;
  bool draining = false;
  // Whether the cloud may take it away with its whole failure domain.
  bool reclaimable = false;

  friend bool operator==(const upstream_announcement&,
                         const upstream_announcement&) = default;
};

// An announcement as of a version of the store, or its removal.
struct upstream_change {
  std::uint64_t version = 0;
  bool removed = false;
  // Only the id counts for a removal.
  upstream_announcement announced;
};

}  // namespace anvilloom

#endif  // INSTANCES_UPSTREAM_ANNOUNCEMENT_H_
