#include "entry/gateway_settings.h"

#include <algorithm>
#include <array>
#include <boost/leaf/error.hpp>
#include <cmath>
#include <fstream>
#include <iterator>

#include "entry/settings_reader.h"

namespace anvilloom {

namespace {

namespace leaf = boost::leaf;

constexpr std::array<std::string_view, 25> kKeys = {"name",
                                                    "failure_domain",
                                                    "listen",
                                                    "ready_listen",
                                                    "admin_listen",
                                                    "report_listen",
                                                    "store",
                                                    "cloud",
                                                    "threads",
                                                    "descriptors",
                                                    "memory_mb",
                                                    "stop_limit_s",
                                                    "lease_ms",
                                                    "usage_window_s",
                                                    "usage_due_s",
                                                    "retry_share",
                                                    "retry_extra",
                                                    "retry_window_s",
                                                    "manifest_apply_ms",
                                                    "upstream_drain_ms",
                                                    "rollout_share",
                                                    "rollout_extra_calls",
                                                    "rollout_revert_ms",
                                                    "store_trouble_ms",
                                                    "report_interval_ms"};
constexpr double kMinThreads = 0.01;
constexpr double kMaxThreads = 64;
constexpr duration kMillisecond = std::chrono::milliseconds(1);
constexpr std::size_t kMinTimeMs = 50;
constexpr std::size_t kMaxTimeMs = 600'000;
constexpr double kMinTimeS = 0.05;
constexpr double kMaxTimeS = 600;
constexpr double kMaxShare = 1;
constexpr double kMaxExtra = 1'000'000;

// Reads a time in milliseconds that may have a fraction.
void ReadFractionalMs(settings_reader& reader,
                      std::string_view key,
                      duration& time) {
  auto milliseconds = static_cast<double>(time / kMillisecond);
  reader.ReadNumber(key, kMinTimeMs, kMaxTimeMs, milliseconds);
  time = duration(static_cast<std::int64_t>(
      milliseconds * static_cast<double>(kMillisecond.count())));
}

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
  reader.ReadString("name", true, settings.name);
  reader.ReadString("failure_domain", true, settings.failure_domain);
  reader.ReadAddress("listen", true, settings.listen);
  reader.ReadAddress("ready_listen", true, settings.ready_listen);
  reader.ReadAddress("admin_listen", true, settings.admin_listen);
  reader.ReadAddress("report_listen", true, settings.report_listen);
  reader.ReadAddress("store", true, settings.store);
  reader.ReadAddress("cloud", false, settings.cloud);
  // A part of a core counts as one.
  auto threads = static_cast<double>(settings.threads);
  reader.ReadNumber("threads", kMinThreads, kMaxThreads, threads);
  settings.threads = static_cast<std::size_t>(std::ceil(threads));
  ReadProcessLimits(reader, settings.process);
  reader.ReadSeconds("stop_limit_s", kMinTimeS, kMaxTimeS, settings.stop_limit);
  ReadFractionalMs(reader, "lease_ms", settings.lease);
  reader.ReadSeconds("usage_window_s", kMinTimeS, kMaxTimeS,
                     settings.usage_window);
  reader.ReadSeconds("usage_due_s", kMinTimeS, kMaxTimeS, settings.usage_due);
  reader.ReadNumber("retry_share", 0, kMaxShare, settings.retry_share);
  reader.ReadNumber("retry_extra", 0, kMaxExtra, settings.retry_extra);
  reader.ReadSeconds("retry_window_s", kMinTimeS, kMaxTimeS,
                     settings.retry_window);
  ReadFractionalMs(reader, "manifest_apply_ms", settings.manifest_apply);
  ReadFractionalMs(reader, "upstream_drain_ms", settings.upstream_drain);
  reader.ReadNumber("rollout_share", 0, kMaxShare, settings.rollout_share);
  reader.ReadNumber("rollout_extra_calls", 0, kMaxExtra,
                    settings.rollout_extra_calls);
  ReadFractionalMs(reader, "rollout_revert_ms", settings.rollout_revert);
  // Checked, but without effect: no decision on rollouts waits for the store.
  duration store_trouble{0};
  ReadFractionalMs(reader, "store_trouble_ms", store_trouble);

  reader.ReadMilliseconds("report_interval_ms", kMinTimeMs, kMaxTimeMs,
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
