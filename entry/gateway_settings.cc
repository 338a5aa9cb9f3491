#include "entry/gateway_settings.h"

#include <algorithm>
#include <array>
#include <boost/leaf/error.hpp>
#include <fstream>
#include <iterator>

#include "entry/settings_reader.h"

namespace anvilloom {

namespace {

namespace leaf = boost::leaf;

constexpr std::array<std::string_view, 18> kKeys = {
    "name",           "failure_domain",    "listen",       "ready_listen",
    "admin_listen",   "report_listen",     "store",        "cloud",
    "threads",        "descriptors",       "stop_limit_s", "lease_ms",
    "usage_window_s", "usage_due_s",       "retry_share",  "retry_extra",
    "retry_window_s", "report_interval_ms"};
constexpr std::size_t kMostThreads = 64;
// Below this, listeners and connections to upstreams leave none for callers.
constexpr std::size_t kLeastDescriptors = 256;
constexpr std::size_t kMostDescriptors = 1'048'576;
constexpr std::size_t kLeastTimeMs = 50;
constexpr std::size_t kMostTimeMs = 600'000;
constexpr double kLeastTimeS = 0.05;
constexpr double kMostTimeS = 600;
constexpr double kMostShare = 1;
constexpr std::size_t kMostExtra = 1'000'000;

}  // namespace

std::vector<std::string> KnownGatewaySettingsKeys() {
  return {kKeys.begin(), kKeys.end()};
}

leaf::result<gateway_settings> ParseGatewaySettings(std::string_view text,
                                                    std::string_view file) {
  const auto parsed = ParseJsonWithComments(text);
  if (!parsed || !parsed->is_object()) {
    return leaf::new_error(
        settings_fault{settings_fault_kind::kNotJson, std::string(file), ""});
  }
  settings_reader reader(*parsed, file);
  for (const auto& member : parsed->get_object()) {
    const std::string_view key(member.key().data(), member.key().size());
    if (std::ranges::find(kKeys, key) == kKeys.end()) {
      reader.Fail(settings_fault_kind::kUnknownKey, key);
    }
  }
  gateway_settings settings;
  reader.Text("name", true, settings.name);
  reader.Text("failure_domain", true, settings.failure_domain);
  reader.Address("listen", true, settings.listen);
  reader.Address("ready_listen", true, settings.ready_listen);
  reader.Address("admin_listen", true, settings.admin_listen);
  reader.Address("report_listen", true, settings.report_listen);
  reader.Address("store", true, settings.store);
  reader.Address("cloud", false, settings.cloud);
  reader.Count("threads", 1, kMostThreads, settings.threads);
  reader.Count("descriptors", kLeastDescriptors, kMostDescriptors,
               settings.descriptors);
  reader.Seconds("stop_limit_s", kLeastTimeS, kMostTimeS, settings.stop_limit);
  reader.Milliseconds("lease_ms", kLeastTimeMs, kMostTimeMs, settings.lease);
  reader.Seconds("usage_window_s", kLeastTimeS, kMostTimeS,
                 settings.usage_window);
  reader.Seconds("usage_due_s", kLeastTimeS, kMostTimeS, settings.usage_due);
  reader.Number("retry_share", 0, kMostShare, settings.retry_share);
  reader.Count("retry_extra", 0, kMostExtra, settings.retry_extra);
  reader.Seconds("retry_window_s", kLeastTimeS, kMostTimeS,
                 settings.retry_window);
  reader.Milliseconds("report_interval_ms", kLeastTimeMs, kMostTimeMs,
                      settings.report_interval);
  if (reader.failed()) {
    return leaf::new_error(reader.fault());
  }
  return settings;
}

leaf::result<gateway_settings> LoadGatewaySettings(std::string_view path) {
  std::ifstream file{std::string(path)};
  if (!file) {
    return leaf::new_error(settings_fault{settings_fault_kind::kUnreadable,
                                          std::string(path), ""});
  }
  const std::string text(std::istreambuf_iterator<char>(file), {});
  return ParseGatewaySettings(text, path);
}

}  // namespace anvilloom
