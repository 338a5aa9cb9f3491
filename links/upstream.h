// Defines upstream, a back end that serves one or more services.
#ifndef LINKS_UPSTREAM_H_
#define LINKS_UPSTREAM_H_

#include <cstdint>
#include <string>
#include <vector>

#include "instances/instance.h"

namespace anvilloom {

// Position of an upstream in its topology.
enum class upstream_index : std::uint32_t {};
// Position of a service in its topology.
enum class service_index : std::uint32_t {};
// Position of a workspace in its topology.
enum class workspace_index : std::uint32_t {};

// An upstream and the instance that it runs on.
struct upstream {
  std::string name;
  // IP address and port.
  std::string address;
  instance host;
  // Requests that run concurrently without queueing.
  std::uint32_t slots = 16;
  // Whether the configuration declares `slots`.
  bool slots_declared = false;
  // Whether it rejects requests that carry an outdated fencing token.
  bool checks_fencing = false;
  std::vector<service_index> services;
};

}  // namespace anvilloom

#endif  // LINKS_UPSTREAM_H_
