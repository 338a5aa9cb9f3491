// Defines RunCoroutine, which runs a coroutine to completion on the calling
// thread.
#ifndef CTL_RUN_COROUTINE_H_
#define CTL_RUN_COROUTINE_H_

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <utility>

#include "wire/transfer.h"

namespace anvilloom {

// Blocks until `work` has finished, and returns its result or rethrows its
// exception. No other thread may run `context` meanwhile.
template <typename T>
T RunCoroutine(boost::asio::io_context& context, awaitable<T> work) {
  auto result =
      boost::asio::co_spawn(context, std::move(work), boost::asio::use_future);
  context.restart();
  context.run();
  return result.get();
}

}  // namespace anvilloom

#endif  // CTL_RUN_COROUTINE_H_
