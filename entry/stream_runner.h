// Defines RunStream, which runs one stream_session to its end with one or more
// attempts at upstreams.
#ifndef ENTRY_STREAM_RUNNER_H_
#define ENTRY_STREAM_RUNNER_H_

#include <memory>

#include "entry/stream_session.h"
#include "entry/worker.h"
#include "wire/transfer.h"

namespace anvilloom {

// Runs until the session has ended, then keeps it for callers that reconnect
// and finally removes it from the worker.
awaitable<void> RunStream(worker& self,
                          std::shared_ptr<stream_session> session);

}  // namespace anvilloom

#endif  // ENTRY_STREAM_RUNNER_H_
