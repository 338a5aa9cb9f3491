// Defines manifest, the routes, services and workspaces that operators have
// declared, and manifest_index, which finds the route and the workspace of a
// call.
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

// What may happen to a call whose upstream failed after the call was sent.
enum class repeat_rule {
  kRepeatable,  // It may run again.
  kOnce,        // It may run at most once.
  kResumable,   // A stream that another upstream may go on with.
};

// A service that a route leads to, with its share of the route's calls.
struct route_target {
  std::string service;
  std::uint32_t weight = 1;
};

struct manifest_route {
  std::string name;
  // Lower case, without a port.
  std::string host;
  std::string path_prefix;
  repeat_rule repeat = repeat_rule::kOnce;
  bool streaming = false;
  bool anonymous = false;
  std::vector<route_target> targets;
  // Most upstreams that one call may be sent to.
  std::uint32_t attempts = 1;
  // Longest time to the whole answer, in microseconds.
  duration answer_limit{0};
  // Time to the answer, or to the first event of a stream, in microseconds.
  duration latency_target{0};
  // 0 is served first.
  std::uint32_t priority = 0;
};

// How the engines of a service are ordered from the cloud. Bounds hold for each
// failure domain, for both kinds of engine together.
struct scaling_terms {
  std::uint32_t min_engines = 0;
  std::uint32_t max_engines = 0;
  duration boot_time{0};
  // Price of a reclaimable engine relative to one on demand.
  double reclaimable_price = 1.0;
  // Price of an engine by failure domain.
  std::map<std::string, double, std::less<>> domain_prices;
};

struct manifest_service {
  std::string name;
  // Whether its upstreams are model engines, which keep parts of prompts.
  bool model = false;
  // Requests that one upstream serves at once.
  std::uint32_t slots = 0;
  // Prompt tokens that one engine keeps.
  std::uint64_t cache_tokens = 0;
  std::optional<scaling_terms> scaling;
};

struct manifest_workspace {
  std::string name;
  std::vector<std::string> keys;
  // Goes before the priority of a route.
  std::optional<std::uint32_t> priority;
  // Whether the limit counts tokens; requests otherwise.
  bool metered_in_tokens = false;
  // What a call without a token count takes from a limit in tokens.
  std::uint64_t tokens_of_plain_call = 0;
  // 0 means no limit.
  std::uint64_t units_per_second = 0;
  std::uint64_t burst_units = 0;
};

// Bounds on what callers may send.
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

// A manifest prepared for lookup. Immutable.
class manifest_index {
 public:
  explicit manifest_index(manifest source);
  manifest_index(const manifest_index&) = delete;
  manifest_index& operator=(const manifest_index&) = delete;

  const manifest& source() const { return source_; }
  std::uint64_t version() const { return source_.version; }

  // The route of `host` with the longest prefix of `path`, or null. `host` may
  // carry a port and upper-case letters.
  const manifest_route* FindRoute(std::string_view host,
                                  std::string_view path) const;
  // The workspace that holds `key`, or null.
  const manifest_workspace* FindWorkspace(std::string_view key) const;
  const manifest_service* FindService(std::string_view name) const;

 private:
  manifest source_;
  // Routes of a host, longest prefix first.
  std::map<std::string_view, std::vector<const manifest_route*>> by_host_;
  std::unordered_map<std::string_view, const manifest_workspace*> by_key_;
};

// The target that a route's weights give to a call. `draw` is uniform in
// [0, 1). Null if the route has none.
const route_target* ChooseTarget(std::span<const route_target> targets,
                                 double draw);

}  // namespace anvilloom

#endif  // CONTRACTS_MANIFEST_H_
