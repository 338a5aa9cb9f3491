// Defines gateway_settings, the startup settings of an entry instance on the
// users' platform, and the functions that load them.
#ifndef ENTRY_GATEWAY_SETTINGS_H_
#define ENTRY_GATEWAY_SETTINGS_H_

#include <boost/leaf/result.hpp>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "common/time.h"
#include "entry/process_limits.h"
#include "entry/settings.h"

namespace anvilloom {

// Addresses consist of an IP address and a port; times are in microseconds.
// docs/settings.md is the reference.
struct gateway_settings {
  // Unique name of the instance.
  std::string name;
  std::string failure_domain;
  // Listen address for callers.
  std::string listen;
  // Listen address for the readiness probes of the load balancer.
  std::string ready_listen;
  // Listen address for metrics and the state dump.
  std::string admin_listen;
  // UDP address for the reports of other instances.
  std::string report_listen;
  // Addresses of the platform's store and cloud API. Without a cloud API the
  // instance performs no duties.
  std::string store;
  std::string cloud;
  std::size_t threads = 1;
  process_limits process;
  // Time from SIGTERM until the platform kills the process.
  duration stop_limit = std::chrono::seconds(8);
  // Lease period stated by the platform; the duty lease uses two thirds of it.
  duration lease = std::chrono::seconds(3);
  duration usage_window = std::chrono::seconds(5);
  duration usage_due = std::chrono::seconds(10);
  // Retry budget of all instances together for one service within
  // `retry_window`: a fraction of the calls, plus a constant number,
  // which may have a fraction in a small deployment.
  double retry_share = 0.2;
  double retry_extra = 50;
  duration retry_window = std::chrono::seconds(10);
  // Time from the store's acknowledgement of a new manifest until it must be in
  // force on every instance, and from that of an upstream's leaving until it
  // must get no new call.
  duration manifest_apply = std::chrono::seconds(2);
  duration upstream_drain = std::chrono::seconds(2);
  // The calls of all instances together that may go to a version of a service
  // that has not been judged: a share of the calls since the order, plus a
  // constant number. With a share of 0, orders to change versions have no
  // effect.
  double rollout_share = 0;
  double rollout_extra_calls = 50;
  // Time from the 50th bad answer of a version until it gets no more calls.
  duration rollout_revert = std::chrono::seconds(5);

  bool HasRollouts() const { return rollout_share > 0; }
  // Interval between two reports to the other instances, before it is scaled
  // with their number.
  duration report_interval = std::chrono::milliseconds(200);
};

// Returns all known keys.
std::vector<std::string> KnownGatewaySettingsKeys();

// Fails with a settings_fault.
boost::leaf::result<gateway_settings> LoadGatewaySettings(
    std::string_view path);
boost::leaf::result<gateway_settings> ParseGatewaySettings(
    std::string_view text,
    std::string_view file);

}  // namespace anvilloom

#endif  // ENTRY_GATEWAY_SETTINGS_H_
