#include "wire/configuration_json.h"

#include <algorithm>
#include <boost/json/serialize.hpp>
#include <utility>

#include "wire/json_text.h"

namespace anvilloom {

namespace {

namespace json = boost::json;

// Applies `patch` to `target` as RFC 7396 defines it.
void MergePatch(json::value& target, const json::value& patch) {
  if (!patch.is_object()) {
    target = patch;
    return;
  }
  if (!target.is_object()) {
    target = json::object();
  }
  json::object& members = target.get_object();
  for (const auto& [key, value] : patch.get_object()) {
    if (value.is_null()) {
      members.erase(key);
    } else {
      MergePatch(members[key], value);
    }
  }
}

std::string Text(const json::value& object, std::string_view key) {
  return std::string(StringMember(object, key).value_or(""));
}

std::uint32_t Number(const json::value& object,
                     std::string_view key,
                     std::uint32_t fallback) {
  const auto number = UnsignedMember(object, key);
  return number && *number <= UINT32_MAX ? static_cast<std::uint32_t>(*number)
                                         : fallback;
}

duration Milliseconds(const json::value& object,
                      std::string_view key,
                      duration fallback) {
  const auto number = UnsignedMember(object, key);
  return number ? std::chrono::milliseconds(*number) : fallback;
}

std::vector<std::string> Texts(const json::value& object,
                               std::string_view key) {
  std::vector<std::string> texts;
  const json::value* member = FindMember(object, key);
  if (member == nullptr || !member->is_array()) {
    return texts;
  }
  for (const json::value& element : member->get_array()) {
    if (const json::string* text = element.if_string()) {
      texts.emplace_back(text->data(), text->size());
    }
  }
  return texts;
}

priority Rank(std::string_view name) {
  if (name == "interactive") {
    return priority::kInteractive;
  }
  return name == "batch" ? priority::kBatch : priority::kNormal;
}

workspace DecodeWorkspace(std::string_view name, const json::value& encoded) {
  workspace decoded;
  decoded.name = name;
  decoded.credential_digest = Text(encoded, "credential_sha256");
  decoded.weight = Number(encoded, "weight", decoded.weight);
  decoded.requests_per_second = Number(encoded, "requests_per_second", 0);
  decoded.tokens_per_second = Number(encoded, "tokens_per_second", 0);
  return decoded;
}

service DecodeService(std::string_view name, const json::value& encoded) {
  service decoded;
  decoded.name = name;
  decoded.kind = Text(encoded, "kind") == "plain" ? service_kind::kPlain
                                                  : service_kind::kModel;
  decoded.model = Text(encoded, "model");
  contract& terms = decoded.terms;
  terms.first_token_target =
      Milliseconds(encoded, "first_token_ms", terms.first_token_target);
  terms.token_interval_target =
      Milliseconds(encoded, "token_interval_ms", terms.token_interval_target);
  terms.answer_limit =
      Milliseconds(encoded, "answer_limit_ms", terms.answer_limit);
  terms.rank = Rank(Text(encoded, "priority"));
  terms.repeatable = BoolMember(encoded, "repeatable").value_or(true);
  terms.identity_fields = Texts(encoded, "identity_fields");
  return decoded;
}

upstream_declaration DecodeUpstream(std::string_view name,
                                    const json::value& encoded) {
  upstream_declaration decoded;
  decoded.name = name;
  decoded.address = Text(encoded, "address");
  decoded.domain = Text(encoded, "failure_domain");
  decoded.machine_class = Text(encoded, "machine_class");
  decoded.price_per_hour = Number(encoded, "price_per_hour_micros", 0);
  decoded.reclaimable = BoolMember(encoded, "reclaimable").value_or(false);
  decoded.checks_fencing =
      BoolMember(encoded, "checks_fencing").value_or(false);
  decoded.slots = Number(encoded, "slots", decoded.slots);
  decoded.services = Texts(encoded, "services");
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

}  // namespace

std::string EncodeManifest(const configuration_manifest& manifest) {
  json::array files;
  for (const manifest_entry& entry : manifest.files) {
    files.push_back({{"name", entry.name}, {"digest", entry.digest}});
  }
  return json::serialize(json::value{{"revision", manifest.revision},
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
  for (const json::value& encoded : files->get_array()) {
    manifest.files.push_back({Text(encoded, "name"), Text(encoded, "digest")});
  }
  return manifest;
}

std::optional<configuration> DecodeConfiguration(
    std::span<const configuration_file> files,
    std::uint64_t revision) {
  std::vector<const configuration_file*> ordered;
  for (const configuration_file& file : files) {
    ordered.push_back(&file);
  }
  std::ranges::sort(ordered, {}, &configuration_file::name);
  json::value merged = json::object();
  for (const configuration_file* file : ordered) {
    const auto parsed = ParseJsonWithComments(file->text);
    if (!parsed || !parsed->is_object()) {
      return std::nullopt;
    }
    MergePatch(merged, *parsed);
  }
  configuration decoded;
  decoded.revision = revision;
  ForEachMember(merged, "failure_domains", [&](auto name, const auto& value) {
    decoded.domains.emplace_back(name, Text(value, "region"));
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
  if (const json::value* limits = FindMember(merged, "limits")) {
    decoded.limits.retry_permille =
        Number(*limits, "retry_permille", decoded.limits.retry_permille);
    decoded.limits.open_requests_per_workspace =
        Number(*limits, "open_requests_per_workspace",
               decoded.limits.open_requests_per_workspace);
  }
  return decoded;
}

}  // namespace anvilloom
