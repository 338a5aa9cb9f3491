#include "wire/pause.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "wire/steady_clock.h"

namespace anvilloom {

namespace net = boost::asio;

awaitable<void> Pause(duration time) {
  return PauseUntil(deadline::After(steady_source().Now(), time));
}

awaitable<void> PauseUntil(deadline until) {
  net::steady_timer timer(co_await net::this_coro::executor);
  timer.expires_at(ToSteady(until));
  co_await timer.async_wait(net::as_tuple(net::use_awaitable));
}

}  // namespace anvilloom
