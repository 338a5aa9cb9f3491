#include "entry/settings.h"

#include <algorithm>
#include <array>
#include <boost/leaf/error.hpp>
#include <fstream>
#include <iterator>
#include <utility>

#include "entry/settings_reader.h"
#include "wire/endpoint.h"
#include "wire/json_text.h"

namespace anvilloom {

namespace {

namespace json = boost::json;
namespace leaf = boost::leaf;

constexpr std::array<std::string_view, 20> kKeys = {
    "name",           "failure_domain",     "listen",
    "admin_listen",   "admin_token_sha256", "object_api",
    "threads",        "instance_api",       "reclaim_plan",
    "limits",         "peer_listen",        "seeds",
    "drain_limit_ms", "drain_grace_ms",     "fleet",
    "fleet_lease_ms", "fleet_round_ms",     "load_interval_ms",
    "memory_mb",      "descriptors"};
constexpr std::size_t kMaxThreads = 64;
constexpr std::size_t kMaxDrainMs = 600'000;
// A shorter lease would expire under the usual delays of a busy machine.
constexpr std::size_t kMinLeaseMs = 1'000;
constexpr std::size_t kMaxLeaseMs = 600'000;
constexpr std::size_t kMinRoundMs = 100;
constexpr std::size_t kMaxRoundMs = 600'000;
constexpr std::size_t kMaxLoadIntervalMs = 60'000;

constexpr std::string_view kLimits = "limits";

// A key of "limits" that counts bytes or connections.
struct size_limit {
  std::string_view name;
  std::size_t http_server_limits::*member;
  std::size_t min;
  std::size_t max;
};

// A key of "limits" in milliseconds.
struct time_limit {
  std::string_view name;
  duration http_server_limits::*member;
};

constexpr std::array<size_limit, 3> kSizeLimits = {{
    {"header_bytes", &http_server_limits::header_bytes, 1024,
     std::size_t{1024} * 1024},
    {"body_bytes", &http_server_limits::body_bytes, 1024,
     std::size_t{64} * 1024 * 1024},
    {"connections", &http_server_limits::connections, 1, 65'536},
}};
constexpr std::array<time_limit, 3> kTimeLimits = {{
    {"idle_limit_ms", &http_server_limits::idle_timeout},
    {"read_limit_ms", &http_server_limits::read_timeout},
    {"write_limit_ms", &http_server_limits::write_timeout},
}};
// Shorter limits would disconnect clients on a busy machine.
constexpr std::size_t kMinTimeLimitMs = 50;
constexpr std::size_t kMaxTimeLimitMs = 3'600'000;

bool IsLimitKey(std::string_view key) {
  return std::ranges::find(kSizeLimits, key, &size_limit::name) !=
             kSizeLimits.end() ||
         std::ranges::find(kTimeLimits, key, &time_limit::name) !=
             kTimeLimits.end();
}

// Reads the member "limits"; faults name the key as "limits/<key>".
void ReadLimits(settings_reader& reader,
                const json::value& settings,
                std::string_view file,
                http_server_limits& into) {
  const json::value* limits = FindMember(settings, kLimits);
  if (limits == nullptr) {
    return;
  }
  if (!limits->is_object()) {
    reader.Fail(settings_fault_kind::kWrongType, kLimits, "an object");
    return;
  }
  settings_reader inner(*limits, file);
  for (const auto& member : limits->get_object()) {
    const std::string_view key(member.key().data(), member.key().size());
    if (!IsLimitKey(key)) {
      inner.Fail(settings_fault_kind::kUnknownKey, key);
    }
  }
  for (const size_limit& known : kSizeLimits) {
    inner.ReadCount(known.name, known.min, known.max, into.*known.member);
  }
  for (const time_limit& known : kTimeLimits) {
    std::size_t milliseconds =
        std::chrono::duration_cast<std::chrono::milliseconds>(into.*
                                                              known.member)
            .count();
    inner.ReadCount(known.name, kMinTimeLimitMs, kMaxTimeLimitMs, milliseconds);
    into.*known.member = std::chrono::milliseconds(milliseconds);
  }
  if (inner.failed()) {
    reader.Fail(inner.fault().kind,
                std::string(kLimits) + "/" + inner.fault().key,
                inner.fault().expected);
  }
}

bool IsName(std::string_view text) {
  const auto allowed = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
  };
  return !text.empty() && std::ranges::all_of(text, allowed);
}

bool IsLoopback(std::string_view address) {
  const auto endpoint = ParseEndpoint(address);
  return endpoint && endpoint->address().is_loopback();
}

}  // namespace

std::string ErrorMessage(const settings_fault& fault) {
  const std::string place = "The settings file " + fault.file;
  const std::string key = "the key \"" + fault.key + "\"";
  switch (fault.kind) {
    case settings_fault_kind::kUnreadable:
      return place + " cannot be read.";
    case settings_fault_kind::kNotJson:
      return place + " is not a JSON object with comments.";
    case settings_fault_kind::kUnknownKey:
      return place + " has " + key + ", which is not known.";
    case settings_fault_kind::kMissingKey:
      return place + " lacks " + key + ".";
    case settings_fault_kind::kWrongType:
      return place + " must give " + fault.expected + " for " + key + ".";
    case settings_fault_kind::kBadAddress:
      return place + " must give an IP address and a port for " + key + ".";
    case settings_fault_kind::kBadName:
      return place +
             " must use only lower-case letters, digits and hyphens "
             "for " +
             key + ".";
    case settings_fault_kind::kOpenAdminWithoutToken:
      return place + " must set \"admin_token_sha256\", because " + key +
             " is not a loopback address.";
  }
  return place + " is not valid.";
}

std::vector<std::string> KnownSettingsKeys() {
  std::vector<std::string> keys(kKeys.begin(), kKeys.end());
  const std::string prefix = std::string(kLimits) + "/";
  for (const size_limit& known : kSizeLimits) {
    keys.push_back(prefix + std::string(known.name));
  }
  for (const time_limit& known : kTimeLimits) {
    keys.push_back(prefix + std::string(known.name));
  }
  return keys;
}

leaf::result<entry_settings> ParseSettings(std::string_view text,
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
  entry_settings settings;
  reader.ReadString("name", true, settings.name);
  reader.ReadString("failure_domain", true, settings.failure_domain);
  reader.ReadAddress("listen", false, settings.listen);
  reader.ReadAddress("admin_listen", false, settings.admin_listen);
  reader.ReadString("admin_token_sha256", false, settings.admin_token_sha256);
  reader.ReadAddress("object_api", true, settings.object_api);
  reader.ReadAddress("instance_api", false, settings.instance_api);
  reader.ReadBool("reclaim_plan", settings.reclaim_plan);
  reader.ReadCount("threads", 1, kMaxThreads, settings.threads);
  ReadLimits(reader, *parsed, file, settings.limits);
  ReadProcessLimits(reader, settings.process);
  reader.ReadAddress("peer_listen", false, settings.peer_listen);
  reader.ReadAddresses("seeds", settings.seeds);
  reader.ReadCount("drain_limit_ms", 1, kMaxDrainMs, settings.drain_limit_ms);
  reader.ReadCount("drain_grace_ms", 1, kMaxDrainMs, settings.drain_grace_ms);
  reader.ReadBool("fleet", settings.fleet);
  reader.ReadCount("fleet_lease_ms", kMinLeaseMs, kMaxLeaseMs,
                   settings.fleet_lease_ms);
  reader.ReadCount("fleet_round_ms", kMinRoundMs, kMaxRoundMs,
                   settings.fleet_round_ms);
  reader.ReadCount("load_interval_ms", 0, kMaxLoadIntervalMs,
                   settings.load_interval_ms);
  if (settings.limits.body_bytes > settings.process.MaxBodyBytes()) {
    reader.Fail(settings_fault_kind::kWrongType, "limits/body_bytes",
                "at most a quarter of \"memory_mb\"");
  }
  if (!IsName(settings.name)) {
    reader.Fail(settings_fault_kind::kBadName, "name");
  }
  if (!IsLoopback(settings.admin_listen) &&
      settings.admin_token_sha256.empty()) {
    reader.Fail(settings_fault_kind::kOpenAdminWithoutToken, "admin_listen");
  }
  if (reader.failed()) {
    return leaf::new_error(reader.fault());
  }
  return settings;
}

leaf::result<entry_settings> LoadSettings(std::string_view path) {
  std::ifstream file{std::string(path)};
  if (!file) {
    return leaf::new_error(settings_fault{settings_fault_kind::kUnreadable,
                                          std::string(path), ""});
  }
  const std::string text(std::istreambuf_iterator<char>(file), {});
  return ParseSettings(text, path);
}

}  // namespace anvilloom
