// Defines configuration, the decoded form of all settings that operators
// declare. It is encoded in wire/ and checked in contracts/configuration_check.
#ifndef CONTRACTS_CONFIGURATION_H_
#define CONTRACTS_CONFIGURATION_H_

#include <cstdint>
#include <string>
#include <vector>

#include "contracts/service.h"
#include "contracts/workspace.h"
#include "domains/failure_domain.h"

namespace anvilloom {

// An upstream as the operator declares it.
struct upstream_declaration {
  std::string name;
  // IP address and port, for example "127.0.0.1:9101".
  std::string address;
  std::string domain;
  std::string machine_class;
  // Millionths of a currency unit per hour.
  std::int64_t price_per_hour = 0;
  bool reclaimable = false;
  // Whether the upstream refuses orders with an outdated fencing token.
  bool checks_fencing = false;
  // Requests that the upstream runs concurrently without queueing.
  std::uint32_t slots = 16;
  // Whether the operator declared `slots`. The default suits model engines
  // only.
  bool slots_declared = false;
  // Names of the services that the upstream answers.
  std::vector<std::string> services;
};

// System-wide limits and rates.
struct system_limits {
  // Maximum of retries and hedged requests, in thousandths of all requests.
  std::uint32_t retry_permille = 100;
  // Maximum of open requests of a workspace at one entry instance.
  std::uint32_t open_requests_per_workspace = 512;
  // Time for which a closed claim is kept, in seconds.
  std::uint32_t claim_retention_s = 604'800;
  // Maximum of concurrent model weight loads, which the throughput of the
  // weight store bounds.
  std::uint32_t concurrent_loads = 4;
};

// One revision of the configuration. Revision numbers only increase.
struct configuration {
  std::uint64_t revision = 0;
  std::vector<failure_domain> domains;
  std::vector<workspace> workspaces;
  std::vector<service> services;
  std::vector<upstream_declaration> upstreams;
  system_limits limits;
};

}  // namespace anvilloom

#endif  // CONTRACTS_CONFIGURATION_H_
