#include "contracts/configuration_check.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <map>
#include <set>
#include <utility>

namespace anvilloom {

namespace {

using name_by_value = std::map<std::string_view, std::string_view>;

std::string Path(std::string_view section,
                 std::string_view name,
                 std::string_view key = {}) {
  std::string path(section);
  path += '/';
  path += name;
  if (!key.empty()) {
    path += '/';
    path += key;
  }
  return path;
}

bool IsPort(std::string_view text) {
  std::uint16_t port = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), port);
  return error == std::errc() && end == text.data() + text.size() && port > 0;
}

bool IsHost(std::string_view text) {
  // Large enough for the binary address of either family.
  std::array<unsigned char, sizeof(in6_addr)> binary{};
  const bool brackets =
      text.size() > 2 && text.front() == '[' && text.back() == ']';
  const std::string host(brackets ? text.substr(1, text.size() - 2) : text);
  const int family = brackets ? AF_INET6 : AF_INET;
  return inet_pton(family, host.c_str(), binary.data()) == 1;
}

// Checks one configuration and collects the findings.
class configuration_checker {
 public:
  explicit configuration_checker(const configuration& declared)
      : declared_(declared) {
    for (const failure_domain& domain : declared.domains) {
      domains_.insert(domain.name());
    }
    for (const service& offered : declared.services) {
      services_.emplace(offered.name, &offered);
    }
  }

  std::vector<configuration_finding> Run() {
    for (const failure_domain& domain : declared_.domains) {
      CheckName("failure_domains", domain.name());
    }
    for (const workspace& customer : declared_.workspaces) {
      CheckWorkspace(customer);
    }
    for (const upstream_declaration& target : declared_.upstreams) {
      answered_services_.insert(target.services.begin(), target.services.end());
    }
    for (const service& offered : declared_.services) {
      CheckService(offered);
    }
    for (const upstream_declaration& target : declared_.upstreams) {
      CheckUpstream(target);
    }
    return std::move(findings_);
  }

 private:
  void AddFinding(finding_kind kind,
                  std::string key,
                  std::string_view other = {}) {
    findings_.push_back({kind, std::move(key), std::string(other)});
  }

  void CheckName(std::string_view section, std::string_view name) {
    if (!IsConfigurationName(name)) {
      AddFinding(finding_kind::kBadName, Path(section, name));
    }
  }

  void CheckWorkspace(const workspace& customer) {
    CheckName("workspaces", customer.name);
    const auto [existing, added] =
        credentials_.emplace(customer.credential_digest, customer.name);
    if (!added) {
      AddFinding(finding_kind::kDuplicateCredential,
                 Path("workspaces", customer.name, "credential_sha256"),
                 existing->second);
    }
  }

  void CheckService(const service& offered) {
    CheckName("services", offered.name);
    const contract& terms = offered.terms;
    const auto path = [&](std::string_view key) {
      return Path("services", offered.name, key);
    };
    if (offered.kind == service_kind::kModel) {
      CheckModelService(offered);
    } else if (!offered.model.empty()) {
      AddFinding(finding_kind::kModelOfPlainService, path("model"));
    }
    if (terms.repeatable && !terms.identity_fields.empty()) {
      AddFinding(finding_kind::kUnusedIdentityFields, path("identity_fields"));
    }
    if (!answered_services_.contains(offered.name)) {
      AddFinding(finding_kind::kUnansweredService, path({}));
    }
  }

  // Token targets are checked for model services only, because plain services
  // have no tokens.
  void CheckModelService(const service& offered) {
    const contract& terms = offered.terms;
    const auto path = [&](std::string_view key) {
      return Path("services", offered.name, key);
    };
    if (offered.model.empty()) {
      AddFinding(finding_kind::kMissingModel, path("model"));
    }
    if (!terms.repeatable) {
      AddFinding(finding_kind::kUnrepeatableModel, path("repeatable"));
    }
    if (terms.first_token_target > terms.answer_limit) {
      AddFinding(finding_kind::kFirstTokenAboveLimit, path("first_token_ms"));
    }
    if (terms.token_interval_target > terms.answer_limit) {
      AddFinding(finding_kind::kTokenIntervalAboveLimit,
                 path("token_interval_ms"));
    }
  }

  void CheckUpstream(const upstream_declaration& target) {
    CheckName("upstreams", target.name);
    if (!domains_.contains(target.domain)) {
      AddFinding(finding_kind::kUnknownFailureDomain,
                 Path("upstreams", target.name, "failure_domain"),
                 target.domain);
    }
    CheckAddress(target);
    CheckOfferedServices(target);
  }

  void CheckAddress(const upstream_declaration& target) {
    const std::string path = Path("upstreams", target.name, "address");
    if (!IsAddress(target.address)) {
      AddFinding(finding_kind::kBadAddress, path);
      return;
    }
    const auto [existing, added] =
        addresses_.emplace(target.address, target.name);
    if (!added) {
      AddFinding(finding_kind::kDuplicateAddress, path, existing->second);
    }
  }

  void CheckOfferedServices(const upstream_declaration& target) {
    const std::string path = Path("upstreams", target.name, "services");
    std::set<std::string_view> seen;
    std::set<service_kind> kinds;
    for (const std::string& name : target.services) {
      if (!seen.insert(name).second) {
        AddFinding(finding_kind::kDuplicateService, path, name);
      }
      const auto found = services_.find(name);
      if (found == services_.end()) {
        AddFinding(finding_kind::kUnknownService, path, name);
        continue;
      }
      kinds.insert(found->second->kind);
    }
    if (kinds.size() > 1) {
      AddFinding(finding_kind::kMixedServices, path);
    }
  }

  const configuration& declared_;
  std::set<std::string_view> domains_;
  std::map<std::string_view, const service*> services_;
  std::set<std::string_view> answered_services_;
  name_by_value credentials_;
  name_by_value addresses_;
  std::vector<configuration_finding> findings_;
};

std::string Quoted(std::string_view text) {
  return '"' + std::string(text) + '"';
}

}  // namespace

bool IsWarning(finding_kind kind) {
  return kind == finding_kind::kUnansweredService ||
         kind == finding_kind::kUnusedIdentityFields;
}

std::string Expectation(const configuration_finding& finding) {
  switch (finding.kind) {
    case finding_kind::kBadName:
      return "have a name of letters, digits, '-', '_' and '.'";
    case finding_kind::kUnknownFailureDomain:
      return "name a declared failure domain; " + Quoted(finding.other) +
             " is not declared";
    case finding_kind::kUnknownService:
      return "name declared services; " + Quoted(finding.other) +
             " is not declared";
    case finding_kind::kDuplicateService:
      return "name each service once; " + Quoted(finding.other) +
             " is named twice";
    case finding_kind::kBadAddress:
      return "be an IP address and a port, for example 127.0.0.1:9101";
    case finding_kind::kDuplicateAddress:
      return "differ from the address of upstream " + Quoted(finding.other);
    case finding_kind::kMixedServices:
      return "name either model services or plain services, because one "
             "upstream speaks one protocol";
    case finding_kind::kMissingModel:
      return "name a model, because the kind of the service is \"model\"";
    case finding_kind::kModelOfPlainService:
      return "be left out, because the kind of the service is \"plain\"";
    case finding_kind::kUnrepeatableModel:
      return "be true, because streams of a model service continue on another "
             "upstream after a failure";
    case finding_kind::kFirstTokenAboveLimit:
    case finding_kind::kTokenIntervalAboveLimit:
      return "be at most the answer limit of the service (answer_limit_ms)";
    case finding_kind::kDuplicateCredential:
      return "differ from the credential of workspace " + Quoted(finding.other);
    case finding_kind::kUnansweredService:
      return "be answered by an upstream; no upstream names it";
    case finding_kind::kUnusedIdentityFields:
      return "be left out unless the service is not repeatable; it has no "
             "effect on repeatable calls";
  }
  return "be valid";
}

std::vector<configuration_finding> CheckConfiguration(
    const configuration& declared) {
  return configuration_checker(declared).Run();
}

bool IsAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  return colon != std::string_view::npos && IsHost(text.substr(0, colon)) &&
         IsPort(text.substr(colon + 1));
}

bool IsConfigurationName(std::string_view text) {
  const auto allowed = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
  };
  return !text.empty() && std::ranges::all_of(text, allowed);
}

}  // namespace anvilloom
