// Defines upstream_announcement, the properties that an upstream publishes, and
// upstream_change, an update or removal of one announcement.
#ifndef INSTANCES_UPSTREAM_ANNOUNCEMENT_H_
#define INSTANCES_UPSTREAM_ANNOUNCEMENT_H_

#include <cstdint>
#include <string>

namespace anvilloom {

// Properties that an upstream publishes.
struct upstream_announcement {
  // Identifies one run of the upstream together with `born_ms`, since the id
  // may stay the same after a restart.
  std::string id;
  std::uint64_t born_ms = 0;
  std::string service;
  // IP address and port.
  std::string address;
  std::string domain;
  // Requests that it serves concurrently; 0 if it does not say so.
  std::uint32_t slots = 0;
  bool draining = false;
  // Whether the cloud may reclaim the upstream, possibly together with its
  // whole failure domain.
  bool reclaimable = false;
  // Version of the service that it runs; empty if it does not say so.
  std::string version = {};
  // Rises with each change of the announcement in one run of the upstream; 0 if
  // it does not say so.
  std::uint64_t sequence = 0;
  // Time from the announcement in which its answers are slow because it has
  // just started, in milliseconds.
  std::uint32_t cold_remaining_ms = 0;

  friend bool operator==(const upstream_announcement&,
                         const upstream_announcement&) = default;
};

// An announcement as of one version of the store, or the removal of an
// announcement at that version.
struct upstream_change {
  std::uint64_t version = 0;
  bool removed = false;
  // For a removal only the id is set.
  upstream_announcement announced;
};

}  // namespace anvilloom

#endif  // INSTANCES_UPSTREAM_ANNOUNCEMENT_H_
