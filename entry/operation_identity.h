// Defines operation_identity, which identifies a non-repeatable operation, so
// that a duplicate of it is recognized.
#ifndef ENTRY_OPERATION_IDENTITY_H_
#define ENTRY_OPERATION_IDENTITY_H_

#include <optional>
#include <string>

#include "contracts/service.h"
#include "contracts/workspace.h"
#include "wire/http_exchange.h"

namespace anvilloom {

struct operation_identity {
  // Name of the claim object: SHA-256 of workspace, service and key.
  std::string name;
  // SHA-256 of method, target and body.
  std::string request_digest;
};

// The key is the Idempotency-Key header, or else the contract's identity fields
// of the JSON body. Returns nothing if the header is absent and the contract
// has no identity fields or the body lacks one of them.
std::optional<operation_identity> IdentifyOperation(
    const http_exchange& exchange,
    const workspace& customer,
    const service& target);

}  // namespace anvilloom

#endif  // ENTRY_OPERATION_IDENTITY_H_
