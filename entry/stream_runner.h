// Defines RunStream, which drives one stream_session to its end over one or
// more attempts at upstreams.
#ifndef ENTRY_STREAM_RUNNER_H_
#define ENTRY_STREAM_RUNNER_H_

#include <memory>

#include "entry/stream_session.h"
#include "entry/worker.h"
#include "wire/transfer.h"

namespace anvilloom {

// Runs until the session is complete or has failed, then removes it from the
// worker once a reconnecting caller can no longer want it.
awaitable<void> RunStream(worker& self,
                          std::shared_ptr<stream_session> session);

}  // namespace anvilloom

#endif  // ENTRY_STREAM_RUNNER_H_
