// Defines entry_settings, the startup settings of an entry instance, and
// LoadSettings, which reads them from a JSON file with comments.
#ifndef ENTRY_SETTINGS_H_
#define ENTRY_SETTINGS_H_

#include <boost/leaf/result.hpp>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "entry/process_limits.h"
#include "wire/http_exchange.h"

namespace anvilloom {

// Addresses consist of an IP address and a port. docs/settings.md is the
// reference.
struct entry_settings {
  // Unique name of the instance: lower-case letters, digits and hyphens.
  std::string name;
  std::string failure_domain;
  // Listen address for callers.
  std::string listen = "127.0.0.1:8080";
  // Listen address for health checks, metrics and the state dump. Must be a
  // loopback address unless a token is set.
  std::string admin_listen = "127.0.0.1:8081";
  std::string admin_token_sha256;
  std::string object_api;
  // Empty if no instance API announces reclaims.
  std::string instance_api;
  // Whether streams are moved when their upstream receives a reclaim notice.
  // Otherwise they run until the upstream is gone and are recomputed elsewhere.
  bool reclaim_plan = true;
  std::size_t threads = 2;
  // Limits on client connections and requests, for both ports.
  http_server_limits limits;
  // Memory above which the process is killed, and its descriptors.
  process_limits process;
  // Listen address for other entry instances; empty if there are none. They
  // must be able to reach the IP address.
  std::string peer_listen;
  // Peer addresses of other entry instances, through which this one joins.
  std::vector<std::string> seeds;
  // Interval at which an engine's owner polls its load; 0 disables polling.
  std::size_t load_interval_ms = 1'000;
  // Maximum duration of a drain, and the initial part of it in which requests
  // are still accepted, since the load balancer has not noticed the withdrawn
  // readiness yet.
  std::size_t drain_limit_ms = 30'000;
  std::size_t drain_grace_ms = 500;
  // Whether this instance competes for the fleet lease.
  bool fleet = true;
  // Time without a renewal after which another instance may acquire the lease.
  std::size_t fleet_lease_ms = 15'000;
  // Interval between two order rounds of the lease holder.
  std::size_t fleet_round_ms = 10'000;
};

// The kind of a fault in a settings file.
enum class settings_fault_kind {
  kUnreadable,
  kNotJson,
  kUnknownKey,
  kMissingKey,
  kWrongType,
  kBadAddress,
  kBadName,
  kOpenAdminWithoutToken,
};

// A fault in a settings file and its location.
struct settings_fault {
  settings_fault_kind kind;
  std::string file;
  std::string key;
  // The expected value if the type or range is wrong, for example "an object".
  std::string expected = {};
};

// Returns a full sentence that names the file, the key and the expected value.
std::string ErrorMessage(const settings_fault& fault);

// Returns all known keys; those of "limits" as "limits/<key>".
std::vector<std::string> KnownSettingsKeys();

// Fails with a settings_fault.
boost::leaf::result<entry_settings> LoadSettings(std::string_view path);
// Like LoadSettings, but parses `text`. `file` is used in messages only.
boost::leaf::result<entry_settings> ParseSettings(std::string_view text,
                                                  std::string_view file);

}  // namespace anvilloom

#endif  // ENTRY_SETTINGS_H_
