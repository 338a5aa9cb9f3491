// Defines CheckConfiguration, which finds references to undeclared names,
// contradictions, and invalid names and addresses in a decoded configuration.
#ifndef CONTRACTS_CONFIGURATION_CHECK_H_
#define CONTRACTS_CONFIGURATION_CHECK_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "contracts/configuration.h"

namespace anvilloom {

// The kinds of errors and warnings in a configuration.
enum class finding_kind : std::uint8_t {
  kBadName,               // A name has characters that URL paths don't allow.
  kUnknownFailureDomain,  // An upstream names an undeclared failure domain.
  kUnknownService,        // An upstream names an undeclared service.
  kDuplicateService,      // An upstream names one service twice.
  kBadAddress,            // Not an IP address and a port.
  kDuplicateAddress,      // Two upstreams have one address.
  kMixedServices,         // An upstream answers model and plain services.
  kMissingModel,          // A model service names no model.
  kModelOfPlainService,   // A plain service names a model.
  kUnrepeatableModel,     // A model service is not repeatable.
  kFirstTokenAboveLimit,  // First-token target exceeds the answer limit.
  kTokenIntervalAboveLimit,  // Token interval exceeds the answer limit.
  kDuplicateCredential,      // Two workspaces have one credential.
  kUnansweredService,        // Warning: no upstream answers the service.
  kUnusedIdentityFields,     // Warning: no effect on a repeatable service.
};

// An error or warning and the key that it concerns.
struct configuration_finding {
  finding_kind kind;
  // Path of the key, for example "upstreams/engine-1/failure_domain".
  std::string key;
  // The name that the value refers to or conflicts with; may be empty.
  std::string other;
};

// Returns whether the configuration may be applied despite the finding.
bool IsWarning(finding_kind kind);

// Returns what is required of the value, worded to follow "The value must ".
std::string Expectation(const configuration_finding& finding);

// Returns all findings, section by section.
std::vector<configuration_finding> CheckConfiguration(
    const configuration& declared);

// Returns whether `text` is an IPv4 address, or an IPv6 address in brackets,
// followed by a colon and a port from 1 to 65535.
bool IsAddress(std::string_view text);

// Returns whether `text` is non-empty and consists of ASCII letters, digits,
// '-', '_' and '.'.
bool IsConfigurationName(std::string_view text);

}  // namespace anvilloom

#endif  // CONTRACTS_CONFIGURATION_CHECK_H_
