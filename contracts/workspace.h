// Defines workspace, the credential, weight and limits of one customer.
#ifndef CONTRACTS_WORKSPACE_H_
#define CONTRACTS_WORKSPACE_H_

#include <cstdint>
#include <string>

namespace anvilloom {

// A workspace as the operator declares it. Limits apply to all entry instances
// together.
struct workspace {
  std::string name;
  // SHA-256 of the credential in hexadecimal; the credential is never stored.
  std::string credential_digest;
  // Weight of the guaranteed share under overload.
  std::uint32_t weight = 1;
  // Limit in requests per second; 0 means no limit.
  std::uint32_t requests_per_second = 0;
  // Limit in tokens of prompts and answers per second; 0 means no limit.
  std::uint32_t tokens_per_second = 0;
};

}  // namespace anvilloom

#endif  // CONTRACTS_WORKSPACE_H_
