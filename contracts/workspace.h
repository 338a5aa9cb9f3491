// Defines workspace, a customer: its credential and its share of the system.
#ifndef CONTRACTS_WORKSPACE_H_
#define CONTRACTS_WORKSPACE_H_

#include <cstdint>
#include <string>

namespace anvilloom {

// A workspace as the operator declares it. Limits hold over all entry
// instances together.
struct workspace {
  std::string name;
  // SHA-256 of the credential in hexadecimal; the credential is never stored.
  std::string credential_digest;
  // Relative share under overload.
  std::uint32_t weight = 1;
  // Upper limit in requests per second; 0 means no limit.
  std::uint32_t requests_per_second = 0;
  // Upper limit in tokens per second, prompt and answer; 0 means no limit.
  std::uint32_t tokens_per_second = 0;
};

}  // namespace anvilloom

#endif  // CONTRACTS_WORKSPACE_H_
