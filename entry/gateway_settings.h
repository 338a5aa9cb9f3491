// Defines gateway_settings, what an entry instance on the users' platform is
// told at its start, and LoadGatewaySettings.
#ifndef ENTRY_GATEWAY_SETTINGS_H_
#define ENTRY_GATEWAY_SETTINGS_H_

#include <boost/leaf/result.hpp>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "common/time.h"
#include "entry/settings.h"

namespace anvilloom {

// Addresses are an IP address and a port; times are in microseconds. The
// reference is docs/settings.md.
struct gateway_settings {
  // Unique name of the instance.
  std::string name;
  std::string failure_domain;
  // Where callers connect.
  std::string listen;
  // Where the balancer asks whether the instance takes calls.
  std::string ready_listen;
  // Metrics and the state dump.
  std::string admin_listen;
  // Where reports of other instances arrive, over UDP.
  std::string report_listen;
  // The platform's store and its cloud API.
  std::string store;
  std::string cloud;
  std::size_t threads = 1;
  // Descriptors that the process may have open.
  std::size_t descriptors = 4096;
  // How long after SIGTERM the process is killed.
  duration stop_limit = std::chrono::seconds(8);
  // Period of the duty lease.
  duration lease = std::chrono::seconds(3);
  duration usage_window = std::chrono::seconds(5);
  duration usage_due = std::chrono::seconds(10);
  // Repeats of calls to one service that all instances together may add within
  // `retry_window`: a share of the calls, and a number besides.
  double retry_share = 0.2;
  std::size_t retry_extra = 50;
  duration retry_window = std::chrono::seconds(10);
  // Longest pause between two reports to the other instances.
  duration report_interval = std::chrono::milliseconds(200);
};

// All known keys.
std::vector<std::string> KnownGatewaySettingsKeys();

// Fails with a settings_fault.
boost::leaf::result<gateway_settings> LoadGatewaySettings(
    std::string_view path);
boost::leaf::result<gateway_settings> ParseGatewaySettings(
    std::string_view text,
    std::string_view file);

}  // namespace anvilloom

#endif  // ENTRY_GATEWAY_SETTINGS_H_
