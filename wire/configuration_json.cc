#include "wire/configuration_json.h"

#include <algorithm>
#include <array>
#include <boost/json/serialize.hpp>
#include <boost/leaf/error.hpp>
#include <functional>
#include <iterator>
#include <map>
#include <set>
#include <utility>

#include "contracts/configuration_check.h"
#include "wire/json_text.h"

namespace anvilloom {

namespace {

namespace json = boost::json;
namespace leaf = boost::leaf;

constexpr std::size_t kDigestDigits = 64;

// Long route reviews need latency targets of up to 10 minutes and complete
// answers of up to 2 hours. Larger values most likely have the wrong unit and
// are rejected.
constexpr std::uint64_t kMaxTargetMs = 600'000;
constexpr std::uint64_t kMaxAnswerMs = 7'200'000;
constexpr std::uint64_t kMaxWeight = 1000;
constexpr std::uint64_t kMaxRequestsPerSecond = 1'000'000;
constexpr std::uint64_t kMaxTokensPerSecond = 100'000'000;
constexpr std::uint64_t kMaxPriceMicros = 1'000'000'000;
constexpr std::uint64_t kMaxSlots = 65'536;
constexpr std::uint64_t kMaxPermille = 1000;
constexpr std::uint64_t kMaxOpenRequests = 1'000'000;
// Callers retry a call for minutes. With a shorter retention period, a retried
// call could run twice.
constexpr std::uint64_t kMinRetentionSeconds = 3'600;
constexpr std::uint64_t kMaxRetentionSeconds = 31'536'000;
constexpr std::uint64_t kMaxConcurrentLoads = 1'000;

constexpr std::string_view kLimits = "limits";
constexpr std::array<std::string_view, 5> kSections = {
    "failure_domains", "workspaces", "services", "upstreams", kLimits};

constexpr std::array<std::string_view, 2> kServiceKinds = {"model", "plain"};
constexpr std::array<std::string_view, 3> kPriorities = {"interactive",
                                                         "normal", "batch"};

constexpr std::string_view kNonEmptyStringExpected = "be a non-empty string";
constexpr std::string_view kBoolExpected = "be true or false";
constexpr std::string_view kStringListExpected =
    "be a list of non-empty strings";

constexpr std::array<configuration_key, 25> kKeys = {{
    {"failure_domains", "region", value_type::kString, true, 0, 0,
     kNonEmptyStringExpected},
    {"workspaces", "credential_sha256", value_type::kDigest, true, 0, 0,
     "be a SHA-256 digest of 64 lower-case hexadecimal digits"},
    {"workspaces", "weight", value_type::kNumber, false, 1, kMaxWeight,
     "be a whole number from 1 to 1000"},
    {"workspaces", "requests_per_second", value_type::kNumber, false, 0,
     kMaxRequestsPerSecond,
     "be a whole number of requests per second from 0 to 1000000"},
    {"workspaces", "tokens_per_second", value_type::kNumber, false, 0,
     kMaxTokensPerSecond,
     "be a whole number of tokens per second from 0 to 100000000"},
    {"services", "kind", value_type::kEnum, true, 0, 0,
     "be \"model\" or \"plain\""},
    {"services", "model", value_type::kString, false, 0, 0,
     kNonEmptyStringExpected},
    {"services", "first_token_ms", value_type::kNumber, false, 1, kMaxTargetMs,
     "be a whole number of milliseconds from 1 to 600000"},
    {"services", "token_interval_ms", value_type::kNumber, false, 1,
     kMaxTargetMs, "be a whole number of milliseconds from 1 to 600000"},
    {"services", "answer_limit_ms", value_type::kNumber, false, 1, kMaxAnswerMs,
     "be a whole number of milliseconds from 1 to 7200000"},
    {"services", "priority", value_type::kEnum, false, 0, 0,
     "be \"interactive\", \"normal\" or \"batch\""},
    {"services", "repeatable", value_type::kBool, false, 0, 0, kBoolExpected},
    {"services", "identity_fields", value_type::kStringList, false, 0, 0,
     kStringListExpected},
    {"upstreams", "address", value_type::kString, true, 0, 0,
     "be an IP address and a port, for example 127.0.0.1:9101"},
    {"upstreams", "failure_domain", value_type::kString, true, 0, 0,
     kNonEmptyStringExpected},
    {"upstreams", "machine_class", value_type::kString, false, 0, 0,
     kNonEmptyStringExpected},
    {"upstreams", "price_per_hour_micros", value_type::kNumber, false, 0,
     kMaxPriceMicros,
     "be a whole number of millionths of a currency unit per hour from 0 to "
     "1000000000"},
    {"upstreams", "reclaimable", value_type::kBool, false, 0, 0, kBoolExpected},
    {"upstreams", "checks_fencing", value_type::kBool, false, 0, 0,
     kBoolExpected},
    {"upstreams", "slots", value_type::kNumber, false, 1, kMaxSlots,
     "be a whole number of requests from 1 to 65536"},
    {"upstreams", "services", value_type::kStringList, false, 0, 0,
     kStringListExpected},
    {kLimits, "retry_permille", value_type::kNumber, false, 0, kMaxPermille,
     "be a whole number of thousandths from 0 to 1000"},
    {kLimits, "open_requests_per_workspace", value_type::kNumber, false, 1,
     kMaxOpenRequests, "be a whole number of requests from 1 to 1000000"},
    {kLimits, "claim_retention_s", value_type::kNumber, false,
     kMinRetentionSeconds, kMaxRetentionSeconds,
     "be a whole number of seconds from 3600 to 31536000"},
    {kLimits, "concurrent_loads", value_type::kNumber, false, 1,
     kMaxConcurrentLoads, "be a whole number of loads from 1 to 1000"},
}};

std::string_view View(const json::string& text) {
  return {text.data(), text.size()};
}

std::string JoinPath(std::string_view path, std::string_view key) {
  std::string joined(path);
  if (!joined.empty()) {
    joined += '/';
  }
  joined += key;
  return joined;
}

// Merges files and records the last file that set each value.
class file_merger {
 public:
  void Add(const json::value& patch, std::string_view file) {
    ApplyMergePatch(merged_, patch, {}, file);
  }

  const json::value& merged() const { return merged_; }

  // Returns the last file that set the path or its nearest recorded ancestor.
  std::string FileOf(std::string_view path) const {
    for (;;) {
      const auto found = origins_.find(path);
      if (found != origins_.end()) {
        return found->second;
      }
      const std::size_t slash = path.rfind('/');
      if (slash == std::string_view::npos) {
        return {};
      }
      path = path.substr(0, slash);
    }
  }

 private:
  // Applies `patch` to `target` as a JSON merge patch (RFC 7396).
  void ApplyMergePatch(json::value& target,
                       const json::value& patch,
                       const std::string& path,
                       std::string_view file) {
    origins_.insert_or_assign(path, std::string(file));
    if (!patch.is_object()) {
      target = patch;
      return;
    }
    if (!target.is_object()) {
      target = json::object();
    }
    json::object& members = target.get_object();
    for (const auto& [key, value] : patch.get_object()) {
      const std::string inner = JoinPath(path, {key.data(), key.size()});
      if (value.is_null()) {
        members.erase(key);
        origins_.erase(inner);
      } else {
        ApplyMergePatch(members[key], value, inner, file);
      }
    }
  }

  json::value merged_ = json::object();
  std::map<std::string, std::string, std::less<>> origins_;
};

bool IsDigest(std::string_view text) {
  const auto digit = [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
  };
  return text.size() == kDigestDigits && std::ranges::all_of(text, digit);
}

bool IsKnownEnumValue(std::string_view key, std::string_view text) {
  const std::span<const std::string_view> words =
      key == "kind" ? std::span<const std::string_view>(kServiceKinds)
                    : std::span<const std::string_view>(kPriorities);
  return std::ranges::find(words, text) != words.end();
}

using optional_fault = std::optional<configuration_fault_kind>;

optional_fault CheckString(const json::value& value) {
  const json::string* text = value.if_string();
  if (text == nullptr) {
    return configuration_fault_kind::kWrongType;
  }
  return text->empty() ? optional_fault(configuration_fault_kind::kOutOfRange)
                       : std::nullopt;
}

optional_fault CheckStringList(const json::value& value) {
  const json::array* elements = value.if_array();
  if (elements == nullptr) {
    return configuration_fault_kind::kWrongType;
  }
  for (const json::value& element : *elements) {
    if (const optional_fault fault = CheckString(element)) {
      return fault;
    }
  }
  return std::nullopt;
}

optional_fault CheckNumber(const json::value& value,
                           const configuration_key& known) {
  if (!value.is_number()) {
    return configuration_fault_kind::kWrongType;
  }
  boost::system::error_code error;
  const auto number = value.to_number<std::uint64_t>(error);
  if (error || number < known.min_value || number > known.max_value) {
    return configuration_fault_kind::kOutOfRange;
  }
  return std::nullopt;
}

// Checks the type and range of a value; returns nullopt if it is valid.
optional_fault CheckValue(const json::value& value,
                          const configuration_key& known) {
  switch (known.type) {
    case value_type::kString:
      return CheckString(value);
    case value_type::kStringList:
      return CheckStringList(value);
    case value_type::kBool:
      return value.is_bool()
                 ? std::nullopt
                 : optional_fault(configuration_fault_kind::kWrongType);
    case value_type::kNumber:
      return CheckNumber(value, known);
    case value_type::kDigest:
      if (!value.is_string()) {
        return configuration_fault_kind::kWrongType;
      }
      return IsDigest(View(value.get_string()))
                 ? std::nullopt
                 : optional_fault(configuration_fault_kind::kOutOfRange);
    case value_type::kEnum:
      if (!value.is_string()) {
        return configuration_fault_kind::kWrongType;
      }
      return IsKnownEnumValue(known.name, View(value.get_string()))
                 ? std::nullopt
                 : optional_fault(configuration_fault_kind::kUnsupportedValue);
  }
  return std::nullopt;
}

// Lists the known keys of a section for the error message about an unknown key.
std::string ListKeys(std::string_view section) {
  std::string listed;
  for (const configuration_key& known : kKeys) {
    if (known.section == section) {
      listed += listed.empty() ? "" : ", ";
      listed += known.name;
    }
  }
  return listed;
}

// Checks the keys, types and ranges of a merged configuration and collects all
// faults.
class schema_checker {
 public:
  explicit schema_checker(const file_merger& files) : files_(files) {}

  std::vector<configuration_fault> Run() {
    for (const auto& [key, value] : files_.merged().get_object()) {
      CheckSection({key.data(), key.size()}, value);
    }
    return std::move(faults_);
  }

 private:
  using fault_kind = configuration_fault_kind;

  void Add(fault_kind kind, const std::string& key, std::string expected) {
    faults_.push_back({kind, files_.FileOf(key), key, std::move(expected)});
  }

  void CheckSection(std::string_view section, const json::value& value) {
    const std::string path(section);
    if (std::ranges::find(kSections, section) == kSections.end()) {
      Add(fault_kind::kUnknownKey, path,
          "be one of the sections failure_domains, workspaces, services, "
          "upstreams and limits");
    } else if (!value.is_object()) {
      Add(fault_kind::kWrongType, path, "be an object");
    } else if (section == kLimits) {
      CheckMembers(section, path, value);
    } else {
      CheckEntries(section, value);
    }
  }

  void CheckEntries(std::string_view section, const json::value& entries) {
    for (const auto& [name, entry] : entries.get_object()) {
      const std::string path = JoinPath(section, {name.data(), name.size()});
      if (entry.is_object()) {
        CheckMembers(section, path, entry);
      } else {
        Add(fault_kind::kWrongType, path, "be an object");
      }
    }
  }

  void CheckMembers(std::string_view section,
                    const std::string& path,
                    const json::value& entry) {
    for (const auto& [key, value] : entry.get_object()) {
      CheckMember(section, JoinPath(path, {key.data(), key.size()}),
                  {key.data(), key.size()}, value);
    }
    for (const configuration_key& known : kKeys) {
      if (known.section == section && known.required &&
          FindMember(entry, known.name) == nullptr) {
        Add(fault_kind::kMissingKey, JoinPath(path, known.name),
            std::string(known.expected));
      }
    }
  }

  void CheckMember(std::string_view section,
                   const std::string& path,
                   std::string_view key,
                   const json::value& value) {
    const auto known =
        std::ranges::find_if(kKeys, [&](const configuration_key& one) {
          return one.section == section && one.name == key;
        });
    if (known == kKeys.end()) {
      Add(fault_kind::kUnknownKey, path,
          "be one of the keys " + ListKeys(section));
    } else if (const optional_fault fault = CheckValue(value, *known)) {
      Add(*fault, path, std::string(known->expected));
    }
  }

  const file_merger& files_;
  std::vector<configuration_fault> faults_;
};

std::string StringOrEmpty(const json::value& object, std::string_view key) {
  return std::string(StringMember(object, key).value_or(""));
}

std::uint32_t NumberOr(const json::value& object,
                       std::string_view key,
                       std::uint32_t fallback) {
  const auto number = UnsignedMember(object, key);
  return number && *number <= UINT32_MAX ? static_cast<std::uint32_t>(*number)
                                         : fallback;
}

duration MillisecondsOr(const json::value& object,
                        std::string_view key,
                        duration fallback) {
  const auto number = UnsignedMember(object, key);
  // The schema refuses longer times, but reports them only after decoding.
  return number && *number <= kMaxAnswerMs ? std::chrono::milliseconds(*number)
                                           : fallback;
}

std::vector<std::string> StringListOrEmpty(const json::value& object,
                                           std::string_view key) {
  std::vector<std::string> strings;
  const json::value* member = FindMember(object, key);
  if (member == nullptr || !member->is_array()) {
    return strings;
  }
  for (const json::value& element : member->get_array()) {
    if (const json::string* text = element.if_string()) {
      strings.emplace_back(text->data(), text->size());
    }
  }
  return strings;
}

priority ParsePriority(std::string_view name) {
  if (name == "interactive") {
    return priority::kInteractive;
  }
  return name == "batch" ? priority::kBatch : priority::kNormal;
}

workspace DecodeWorkspace(std::string_view name, const json::value& encoded) {
  workspace decoded;
  decoded.name = name;
  decoded.credential_digest = StringOrEmpty(encoded, "credential_sha256");
  decoded.weight = NumberOr(encoded, "weight", decoded.weight);
  decoded.requests_per_second = NumberOr(encoded, "requests_per_second", 0);
  decoded.tokens_per_second = NumberOr(encoded, "tokens_per_second", 0);
  return decoded;
}

service DecodeService(std::string_view name, const json::value& encoded) {
  service decoded;
  decoded.name = name;
  decoded.kind = StringOrEmpty(encoded, "kind") == "plain"
                     ? service_kind::kPlain
                     : service_kind::kModel;
  decoded.model = StringOrEmpty(encoded, "model");
  contract& terms = decoded.terms;
  terms.first_token_target =
      MillisecondsOr(encoded, "first_token_ms", terms.first_token_target);
  terms.token_interval_target =
      MillisecondsOr(encoded, "token_interval_ms", terms.token_interval_target);
  terms.answer_limit =
      MillisecondsOr(encoded, "answer_limit_ms", terms.answer_limit);
  terms.priority_class = ParsePriority(StringOrEmpty(encoded, "priority"));
  terms.repeatable = BoolMember(encoded, "repeatable").value_or(true);
  terms.identity_fields = StringListOrEmpty(encoded, "identity_fields");
  return decoded;
}

upstream_declaration DecodeUpstream(std::string_view name,
                                    const json::value& encoded) {
  upstream_declaration decoded;
  decoded.name = name;
  decoded.address = StringOrEmpty(encoded, "address");
  decoded.domain = StringOrEmpty(encoded, "failure_domain");
  decoded.machine_class = StringOrEmpty(encoded, "machine_class");
  decoded.price_per_hour = NumberOr(encoded, "price_per_hour_micros", 0);
  decoded.reclaimable = BoolMember(encoded, "reclaimable").value_or(false);
  decoded.checks_fencing =
      BoolMember(encoded, "checks_fencing").value_or(false);
  decoded.slots = NumberOr(encoded, "slots", decoded.slots);
  decoded.slots_declared = FindMember(encoded, "slots") != nullptr;
  decoded.services = StringListOrEmpty(encoded, "services");
  return decoded;
}

template <typename Decode>
void ForEachMember(const json::value& merged,
                   std::string_view section,
                   Decode decode) {
  const json::value* members = FindMember(merged, section);
  if (members == nullptr || !members->is_object()) {
    return;
  }
  for (const auto& [key, value] : members->get_object()) {
    decode(std::string_view(key.data(), key.size()), value);
  }
}

// Merges the files in the order of their names; returns a fault for each file
// that is not a JSON object.
std::vector<configuration_fault> MergeFiles(
    std::span<const configuration_file> files,
    file_merger& merger) {
  std::vector<configuration_fault> faults;
  std::vector<const configuration_file*> ordered;
  for (const configuration_file& file : files) {
    ordered.push_back(&file);
  }
  std::ranges::sort(ordered, {}, &configuration_file::name);
  for (const configuration_file* file : ordered) {
    const auto parsed = ParseJsonWithComments(file->text);
    if (parsed && parsed->is_object()) {
      merger.Add(*parsed, file->name);
    } else {
      faults.push_back({configuration_fault_kind::kNotJson, file->name, "",
                        "be a JSON object with comments"});
    }
  }
  return faults;
}

configuration DecodeMerged(const json::value& merged, std::uint64_t revision) {
  configuration decoded;
  decoded.revision = revision;
  ForEachMember(merged, "failure_domains", [&](auto name, const auto& value) {
    decoded.domains.emplace_back(name, StringOrEmpty(value, "region"));
  });
  ForEachMember(merged, "workspaces", [&](auto name, const auto& value) {
    decoded.workspaces.push_back(DecodeWorkspace(name, value));
  });
  ForEachMember(merged, "services", [&](auto name, const auto& value) {
    decoded.services.push_back(DecodeService(name, value));
  });
  ForEachMember(merged, "upstreams", [&](auto name, const auto& value) {
    decoded.upstreams.push_back(DecodeUpstream(name, value));
  });
  if (const json::value* limits = FindMember(merged, kLimits)) {
    decoded.limits.retry_permille =
        NumberOr(*limits, "retry_permille", decoded.limits.retry_permille);
    decoded.limits.open_requests_per_workspace =
        NumberOr(*limits, "open_requests_per_workspace",
                 decoded.limits.open_requests_per_workspace);
    decoded.limits.claim_retention_s = NumberOr(
        *limits, "claim_retention_s", decoded.limits.claim_retention_s);
    decoded.limits.concurrent_loads =
        NumberOr(*limits, "concurrent_loads", decoded.limits.concurrent_loads);
  }
  return decoded;
}

// Adds the findings of the consistency checks. A value that failed validation
// was decoded as its default, so findings about it are skipped, as are findings
// about a service with an invalid kind.
void AddConsistencyFaults(const file_merger& merger,
                          decoded_configuration& decoded,
                          std::vector<configuration_fault>& faults) {
  std::set<std::string> reported;
  for (const configuration_fault& fault : faults) {
    reported.insert(fault.key);
  }
  for (const configuration_finding& finding :
       CheckConfiguration(decoded.value)) {
    const std::string entry = finding.key.substr(0, finding.key.rfind('/'));
    if (reported.contains(finding.key) || reported.contains(entry) ||
        reported.contains(JoinPath(entry, "kind"))) {
      continue;
    }
    configuration_fault fault{configuration_fault_kind::kInconsistent,
                              merger.FileOf(finding.key), finding.key,
                              Expectation(finding)};
    (IsWarning(finding.kind) ? decoded.warnings : faults)
        .push_back(std::move(fault));
  }
}

}  // namespace

std::string EncodeFileObject(std::string_view text) {
  return json::serialize(json::value{{"text", std::string(text)}});
}

std::optional<std::string> DecodeFileObject(std::string_view value) {
  const auto parsed = ParseJson(value);
  const auto text = parsed ? StringMember(*parsed, "text") : std::nullopt;
  return text ? std::optional(std::string(*text)) : std::nullopt;
}

std::string EncodeManifest(const configuration_manifest& manifest) {
  json::array files;
  for (const manifest_entry& entry : manifest.files) {
    files.push_back({{"name", entry.name}, {"digest", entry.digest}});
  }
  return json::serialize(json::value{{"revision", manifest.revision},
                                     {"attempt", manifest.attempt},
                                     {"files", std::move(files)}});
}

std::optional<configuration_manifest> DecodeManifest(std::string_view text) {
  const auto parsed = ParseJson(text);
  const auto revision =
      parsed ? UnsignedMember(*parsed, "revision") : std::nullopt;
  const json::value* files = parsed ? FindMember(*parsed, "files") : nullptr;
  if (!revision || files == nullptr || !files->is_array()) {
    return std::nullopt;
  }
  configuration_manifest manifest;
  manifest.revision = *revision;
  manifest.attempt = StringOrEmpty(*parsed, "attempt");
  for (const json::value& encoded : files->get_array()) {
    manifest.files.push_back(
        {StringOrEmpty(encoded, "name"), StringOrEmpty(encoded, "digest")});
  }
  return manifest;
}

std::span<const configuration_key> KnownConfigurationKeys() {
  return kKeys;
}

std::string ErrorMessage(const configuration_fault& fault) {
  const std::string place = "The file " + fault.file;
  const std::string key = "the key \"" + fault.key + "\"";
  const std::string expected = "; it must " + fault.expected + ".";
  switch (fault.kind) {
    case configuration_fault_kind::kNotJson:
      return place + " must " + fault.expected + ".";
    case configuration_fault_kind::kUnknownKey:
      return place + " has " + key + ", which is not known" + expected;
    case configuration_fault_kind::kMissingKey:
      return place + " lacks " + key + expected;
    case configuration_fault_kind::kWrongType:
      return place + " has a value of the wrong type for " + key + expected;
    case configuration_fault_kind::kOutOfRange:
      return place + " has a value out of range for " + key + expected;
    case configuration_fault_kind::kUnsupportedValue:
      return place + " has an unsupported value for " + key + expected;
    case configuration_fault_kind::kInconsistent:
      return place + " has an inconsistent value for " + key + expected;
  }
  return place + " is not valid.";
}

leaf::result<decoded_configuration> DecodeConfigurationWithWarnings(
    std::span<const configuration_file> files,
    std::uint64_t revision) {
  file_merger merger;
  std::vector<configuration_fault> faults = MergeFiles(files, merger);
  const bool all_files_parsed = faults.empty();
  std::ranges::move(schema_checker(merger).Run(), std::back_inserter(faults));
  decoded_configuration decoded{DecodeMerged(merger.merged(), revision), {}};
  if (all_files_parsed) {
    AddConsistencyFaults(merger, decoded, faults);
  }
  if (!faults.empty()) {
    return leaf::new_error(configuration_faults{std::move(faults)});
  }
  return decoded;
}

leaf::result<configuration> DecodeConfiguration(
    std::span<const configuration_file> files,
    std::uint64_t revision) {
  BOOST_LEAF_AUTO(decoded, DecodeConfigurationWithWarnings(files, revision));
  return std::move(decoded.value);
}

}  // namespace anvilloom
