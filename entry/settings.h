// Defines entry_settings, what an entry instance is told at its start, and
// LoadSettings, which reads them from a JSON file with comments.
#ifndef ENTRY_SETTINGS_H_
#define ENTRY_SETTINGS_H_

#include <boost/leaf/result.hpp>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "wire/http_exchange.h"

namespace anvilloom {

// Addresses are an IP address and a port. The reference is docs/settings.md.
struct entry_settings {
  // Unique name of the instance: lower-case letters, digits and hyphens.
  std::string name;
  std::string failure_domain;
  // Where callers connect.
  std::string listen = "127.0.0.1:8080";
  // Health, metrics, state dump. Loopback only, unless a token is set.
  std::string admin_listen = "127.0.0.1:8081";
  std::string admin_token_sha256;
  std::string object_api;
  // Empty if no instance API announces reclaims.
  std::string instance_api;
  // Whether streams move when their upstream receives a notice. Without it
  // they run until the upstream is gone and are computed again elsewhere.
  bool reclaim_plan = true;
  std::size_t threads = 2;
  // What the instance accepts from clients, on both ports.
  http_server_limits limits;
  // Where other entry instances connect; empty if this one works alone. The IP
  // address must be one that the others can reach.
  std::string peer_listen;
  // Peer addresses of other entry instances, to join them.
  std::vector<std::string> seeds;
  // Time between two polls of an engine's load by its owner; 0 polls nothing.
  std::size_t load_interval_ms = 1'000;
  // Longest time of a planned stop, and the part of it in which the balancer
  // still sends requests because it has not seen the readiness withdrawn yet.
  std::size_t drain_limit_ms = 30'000;
  std::size_t drain_grace_ms = 500;
  // Whether this instance tries for the fleet lease.
  bool fleet = true;
  // Time without a renewal after which another instance takes over.
  std::size_t fleet_lease_ms = 15'000;
  // Between two rounds of orders of the lease's holder.
  std::size_t fleet_round_ms = 10'000;
};

// What is wrong with a settings file.
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

// A fault with its place.
struct settings_fault {
  settings_fault_kind kind;
  std::string file;
  std::string key;
  // What a value of the wrong type or range should be, for example "an object".
  std::string expected = {};
};

// A full sentence that names the file, the key and what was expected.
std::string Sentence(const settings_fault& fault);

// All known keys; those of "limits" as "limits/<key>".
std::vector<std::string> KnownSettingsKeys();

// Fails with a settings_fault.
boost::leaf::result<entry_settings> LoadSettings(std::string_view path);
// As LoadSettings, for text that was read already. `file` is for messages.
boost::leaf::result<entry_settings> ParseSettings(std::string_view text,
                                                  std::string_view file);

}  // namespace anvilloom

#endif  // ENTRY_SETTINGS_H_
