// Defines manifest, the routes, services and workspaces that operators declare,
// and manifest_index, which finds the route and the workspace of a call.
#ifndef CONTRACTS_MANIFEST_H_
#define CONTRACTS_MANIFEST_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "common/time.h"

namespace anvilloom {

// Whether a call may be sent again after its upstream failed.
enum class retry_semantics {
  kRepeatable,  // It may run more than once.
  kAtMostOnce,  // It may run at most once.
  kResumable,   // A stream that another upstream may resume.
};

// A service that a route sends calls to, with its weight among the targets.
struct route_target {
  std::string service;
  std::uint32_t weight = 1;
};

struct manifest_route {
  std::string name;
  // Lower case, without a port.
  std::string host;
  std::string path_prefix;
  retry_semantics repeat = retry_semantics::kAtMostOnce;
  bool streaming = false;
  bool anonymous = false;
  std::vector<route_target> targets;
  // Maximum number of upstreams that one call may be sent to.
  std::uint32_t attempts = 1;
  // Maximum time to the complete answer, in microseconds.
  duration answer_limit{0};
  // Target time to the answer, or to the first event of a stream, in
  // microseconds.
  duration latency_target{0};
  // 0 is the highest priority.
  std::uint32_t priority = 0;
};

// Settings for ordering the engines of a service from the cloud. The bounds
// apply to each failure domain and count reclaimable and on-demand engines
// together.
struct scaling_terms {
  std::uint32_t min_engines = 0;
  std::uint32_t max_engines = 0;
  duration boot_time{0};
  // Price of a reclaimable engine relative to an on-demand engine.
  double reclaimable_price = 1.0;
  // Price of an engine by failure domain.
  std::map<std::string, double, std::less<>> domain_prices;
};

struct manifest_service {
  std::string name;
  // Whether its upstreams are model engines, which cache prompt prefixes.
  bool model = false;
  // Requests that one upstream serves concurrently.
  std::uint32_t slots = 0;
  // Time in which an engine receives one cached token from another engine, in
  // microseconds; 0 if it is not declared.
  double transfer_us_per_token = 0;
  // Prompt tokens that the cache of one engine holds.
  std::uint64_t cache_tokens = 0;
  std::optional<scaling_terms> scaling;
};

struct manifest_workspace {
  std::string name;
  std::vector<std::string> keys;
  // Overrides the priority of a route.
  std::optional<std::uint32_t> priority;
  // Whether the limit counts tokens instead of requests.
  bool metered_in_tokens = false;
  // Tokens charged to a token limit for a call without a token count.
  std::uint64_t default_call_tokens = 0;
  // 0 means no limit.
  std::uint64_t units_per_second = 0;
  std::uint64_t burst_units = 0;
};

// Limits on the size and timing of callers' requests.
struct caller_limits {
  std::size_t header_bytes = std::size_t{16} * 1024;
  std::size_t body_bytes = std::size_t{4} * 1024 * 1024;
  duration header_time = std::chrono::seconds(3);
  duration idle_time = std::chrono::seconds(15);
};

struct manifest {
  std::uint64_t version = 0;
  std::vector<manifest_route> routes;
  std::vector<manifest_service> services;
  std::vector<manifest_workspace> workspaces;
  caller_limits limits;
};

// A manifest with lookup tables. Immutable, and therefore thread-safe.
class manifest_index {
 public:
  explicit manifest_index(manifest source);
  manifest_index(const manifest_index&) = delete;
  manifest_index& operator=(const manifest_index&) = delete;

  const manifest& source() const { return source_; }
  std::uint64_t version() const { return source_.version; }

  // Returns the route of `host` with the longest prefix of `path`, or null.
  // `host` may include a port and upper-case letters.
  const manifest_route* FindRoute(std::string_view host,
                                  std::string_view path) const;
  // Returns the workspace that has the API key `key`, or null.
  const manifest_workspace* FindWorkspace(std::string_view key) const;
  const manifest_service* FindService(std::string_view name) const;

 private:
  manifest source_;
  // Routes of a host, longest prefix first.
  std::map<std::string_view, std::vector<const manifest_route*>> by_host_;
  std::unordered_map<std::string_view, const manifest_workspace*> by_key_;
};

// Chooses a target at random in proportion to the weights. `draw` is a uniform
// random number in [0, 1). Returns null if no target has a weight above zero.
const route_target* ChooseTarget(std::span<const route_target> targets,
                                 double draw);

}  // namespace anvilloom

#endif  // CONTRACTS_MANIFEST_H_
