// Defines plain_handler, which forwards calls to plain services within the
// limits of their workspaces.
#ifndef ENTRY_PLAIN_HANDLER_H_
#define ENTRY_PLAIN_HANDLER_H_

#include <string_view>

#include "contracts/service.h"
#include "entry/caller.h"
#include "entry/operation_identity.h"
#include "entry/worker.h"
#include "wire/http_exchange.h"

namespace anvilloom {

// Stateless; one instance serves the whole process.
class plain_handler {
 public:
  // Handles any method on /s/<service>/<path>. `path` begins with a slash.
  awaitable<void> Forward(http_exchange& exchange,
                          worker& self,
                          const caller& from,
                          std::string_view service_name,
                          std::string_view path);

 private:
  // Sends until an upstream answers or the attempts of the call are used up.
  awaitable<void> ForwardRepeatable(http_exchange& exchange,
                                    worker& self,
                                    const caller& from,
                                    const service& target,
                                    std::string_view path,
                                    deadline answer_by);
  // Sends at most once for each operation, protected by a claim.
  awaitable<void> ForwardClaimed(http_exchange& exchange,
                                 worker& self,
                                 const caller& from,
                                 const service& target,
                                 std::string_view path,
                                 deadline answer_by);
  // Responds to a claimed call that admission refused, without sending it.
  awaitable<void> RespondWithoutSending(http_exchange& exchange,
                                        worker& self,
                                        const caller& from,
                                        const operation_identity& operation,
                                        const refusal& reason,
                                        deadline reply_by);
};

}  // namespace anvilloom

#endif  // ENTRY_PLAIN_HANDLER_H_
