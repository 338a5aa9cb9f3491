// Defines CheckConfiguration, which finds dangling references, contradictions
// and bad addresses in a decoded configuration.
#ifndef CONTRACTS_CONFIGURATION_CHECK_H_
#define CONTRACTS_CONFIGURATION_CHECK_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "contracts/configuration.h"

namespace anvilloom {

// What does not fit together.
enum class finding_kind : std::uint8_t {
  kBadName,                  // A name cannot be part of a URL path.
  kUnknownFailureDomain,     // An upstream names an undeclared failure domain.
  kUnknownService,           // An upstream names an undeclared service.
  kServiceTwice,             // An upstream names one service twice.
  kBadAddress,               // Not an IP address and a port.
  kDuplicateAddress,         // Two upstreams have one address.
  kMixedServices,            // An upstream answers model and plain services.
  kMissingModel,             // A model service names no model.
  kModelOfPlainService,      // A plain service names a model.
  kUnrepeatableModel,        // A model service must be repeatable.
  kFirstTokenAboveLimit,     // The first token is due after the whole answer.
  kTokenIntervalAboveLimit,  // A token interval exceeds the whole answer.
  kSharedCredential,         // Two workspaces have one credential.
  kUnansweredService,        // Warning: no upstream answers the service.
  kUnusedIdentityFields,     // Warning: they apply to unrepeatable calls only.
};

// One finding with its place.
struct configuration_finding {
  finding_kind kind;
  // Path of the key, for example "upstreams/engine-1/failure_domain".
  std::string key;
  // The name that the value refers to or collides with; may be empty.
  std::string other;
};

// Whether the configuration can be put in force in spite of the finding.
bool IsWarning(finding_kind kind);

// What the value at the key must be, as the end of a sentence after "The value
// must ".
std::string Expectation(const configuration_finding& finding);

// All findings, in the order of the sections.
std::vector<configuration_finding> CheckConfiguration(
    const configuration& declared);

// Whether `text` is an IPv4 address, or an IPv6 address in brackets, with a
// port from 1 to 65535.
bool IsAddress(std::string_view text);

// Whether `text` consists of letters, digits, '-', '_' and '.'.
bool IsConfigurationName(std::string_view text);

}  // namespace anvilloom

#endif  // CONTRACTS_CONFIGURATION_CHECK_H_
