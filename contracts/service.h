// Defines service, a named service that upstreams answer under a contract.
#ifndef CONTRACTS_SERVICE_H_
#define CONTRACTS_SERVICE_H_

#include <string>

#include "contracts/contract.h"

namespace anvilloom {

// A service as the operator declares it.
struct service {
  std::string name;
  service_kind kind = service_kind::kModel;
  // The model that its engines must have loaded; empty for plain services.
  std::string model;
  contract terms;
};

}  // namespace anvilloom

#endif  // CONTRACTS_SERVICE_H_
