#include "wire/http_server.h"

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/system/errc.hpp>
#include <exception>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "common/log.h"
#include "wire/endpoint.h"
#include "wire/pause.h"
#include "wire/request_reader.h"

namespace anvilloom {

namespace {

namespace net = boost::asio;
namespace http = boost::beast::http;
using tcp = net::ip::tcp;

constexpr auto kAwaitTuple = net::as_tuple(net::use_awaitable);

// Delay after a failed accept, so that the thread does not busy-loop when file
// descriptors are exhausted.
constexpr std::chrono::milliseconds kAcceptPause{50};

// Closing a socket with unread input resets the connection, and the client may
// lose the response. Input after a rejected request is therefore read and
// discarded, up to these limits.
constexpr std::chrono::seconds kLingerLimit{1};
constexpr std::size_t kLingerBytes = std::size_t{256} * 1024;

// A request that has been arriving for a shorter time is not ended to admit a
// new connection: ordinary ones have arrived by then.
constexpr std::chrono::seconds kMinReadTime{1};

// How long a new connection waits for a descriptor before it is closed. By then
// refused clients have been disconnected; further ones wait in the kernel.
constexpr std::chrono::seconds kMaxAcceptWait{1};

// Connections that have been chosen to be closed, and may still be open.
constexpr std::ptrdiff_t kClosingConnections = 100;
// The same as a part of all connections, which is less if there may be few.
constexpr std::size_t kClosingDivisor = 8;

// A buffer that a request has left larger is released between requests.
constexpr std::size_t kKeptBufferBytes = 4096;

constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

constexpr std::string_view kMalformedRequestBody =
    R"({"error":{"code":"malformed_request","outcome":"not_run",)"
    R"("message":"The request could not be read."}})";
constexpr std::string_view kLimitsInDoubtBody =
    R"({"error":{"code":"limits_in_doubt","outcome":"not_run",)"
    R"("message":"This instance may have old limits."}})";
// Limits that have changed are usually known after this time.
constexpr std::string_view kLimitsInDoubtRetryAfter = "0.3";
constexpr std::string_view kNoMemoryBody =
    R"({"error":{"code":"memory_in_use","outcome":"not_run",)"
    R"("message":"This instance has no memory for the request."}})";
// Long enough for other bodies to be completed or given up.
constexpr std::string_view kNoMemoryRetryAfter = "1";
// Most calls end within this time.
constexpr std::string_view kNoDescriptorsRetryAfter = "1";
constexpr std::string_view kNoDescriptorsBody =
    R"({"error":{"code":"descriptors_in_use","outcome":"not_run",)"
    R"("message":"This instance has too many open connections."}})";
constexpr std::string_view kInternalErrorBody =
    R"({"error":{"code":"internal_error","outcome":"unknown",)"
    R"("message":"The request failed inside the instance."}})";

tcp::endpoint EndpointOrThrow(std::string_view address) {
  const auto endpoint = ParseEndpoint(address);
  if (!endpoint) {
    throw boost::system::system_error(
        net::error::invalid_argument,
        "The listen address is not an IP address and a port");
  }
  return *endpoint;
}

// A request for which no descriptor is left. In another category than the
// errors of sockets, so that it is not taken for one.
boost::system::error_code NoDescriptors() {
  return make_error_code(boost::system::errc::too_many_files_open);
}

// Returns the status for a request that could not be read, or nullopt if the
// client has disconnected.
std::optional<http_status> StatusFor(const boost::system::error_code& error) {
  if (error == http::error::header_limit) {
    return http_status::request_header_fields_too_large;
  }
  if (error == http::error::body_limit) {
    return http_status::payload_too_large;
  }
  if (error == boost::beast::error::timeout) {
    return http_status::request_timeout;
  }
  if (error == boost::system::errc::not_supported) {
    return http_status::not_implemented;
  }
  if (error == boost::system::errc::not_enough_memory ||
      error == NoDescriptors()) {
    return http_status::service_unavailable;
  }
  const bool gone = error == http::error::end_of_stream ||
                    error == http::error::partial_message ||
                    error.category() == net::error::get_system_category();
  if (gone) {
    return std::nullopt;
  }
  return http_status::bad_request;
}

std::string Cause(const boost::system::error_code& error) {
  if (error == NoDescriptors()) {
    return "descriptors_in_use";
  }
  return error == boost::system::errc::not_enough_memory ? "memory_in_use"
                                                         : error.message();
}

// Shuts down the sending side and discards further input, up to the limits
// above.
awaitable<void> Linger(boost::beast::tcp_stream& stream) {
  boost::system::error_code ignored;
  stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
  stream.expires_after(kLingerLimit);
  std::array<char, 4096> dropped;
  std::size_t total = 0;
  while (total < kLingerBytes) {
    const auto [error, bytes] =
        co_await stream.async_read_some(net::buffer(dropped), kAwaitTuple);
    if (error) {
      co_return;
    }
    total += bytes;
  }
}

// Returns the error status for a well-formed request that no handler accepts,
// or nullopt.
std::optional<http_status> StatusFor(const http_request& request) {
  switch (request.method()) {
    case http::verb::get:
    case http::verb::head:
    case http::verb::post:
    case http::verb::put:
    case http::verb::patch:
    case http::verb::delete_:
    case http::verb::options:
      break;
    default:
      return http_status::method_not_allowed;
  }
  const bool path = !request.target().empty() && request.target()[0] == '/';
  return path ? std::nullopt : std::optional(http_status::bad_request);
}

// The query is not logged, since it may contain sensitive data.
void LogHandlerFailure(const http_exchange& exchange, std::string_view cause) {
  Log(log_level::kError, log_event::kHandlerFailed,
      {{"method", std::string(exchange.request().method_string())},
       {"path", std::string(exchange.path())},
       {"cause", std::string(cause)}});
}

// Tells a client that sent "Expect: 100-continue" to send the body.
awaitable<bool> SendContinue(boost::beast::tcp_stream& stream) {
  const auto [error, bytes] = co_await net::async_write(
      stream, net::buffer(kContinue.data(), kContinue.size()), kAwaitTuple);
  co_return !error;
}

// Whether bytes have arrived that were not read.
bool HasInput(boost::beast::tcp_stream& stream) {
  boost::system::error_code error;
  return stream.socket().available(error) > 0 && !error;
}

// Identifies the client of a connection by its IP address.
std::uint64_t ClientOf(const boost::beast::tcp_stream& stream) {
  boost::system::error_code error;
  const tcp::endpoint client = stream.socket().remote_endpoint(error);
  return error ? 0 : std::hash<net::ip::address>{}(client.address());
}

bool ExpectsContinue(const http::request_header<>& header) {
  return boost::beast::iequals(header[http::field::expect], "100-continue");
}

}  // namespace

http_server::http_server(io_pool& pool,
                         std::string_view address,
                         const http_server_limits& limits,
                         internal::handler_function handler)
    : pool_(pool),
      limits_(std::make_unique<const http_server_limits>(limits)),
      handler_(std::move(handler)),
      acceptor_(pool.context(0), EndpointOrThrow(address)),
      port_(acceptor_.local_endpoint().port()),
      idle_(pool.size()),
      reading_(pool.size()),
      bodies_(pool.size()),
      wake_posted_(pool.size()) {
  net::co_spawn(pool.context(0), AcceptConnections(), net::detached);
}

// Suspended requests are destroyed with their io_context, after the server, and
// release their memory then.
http_server::~http_server() {
  if (account_ != nullptr) {
    account_->SetReleased([] {});
  }
}

void http_server::SetMemoryAccount(memory_account& account) {
  account_ = &account;
  account_->SetReleased([this] { WakeBodies(); });
}

void http_server::WakeBodies() {
  for (std::size_t thread = 0; thread < bodies_.size(); ++thread) {
    if (!wake_posted_[thread].exchange(true)) {
      net::post(pool_.context(thread), [this, thread] {
        wake_posted_[thread].store(false);
        bodies_[thread].WakeSmallest();
      });
    }
  }
}

void http_server::GiveUpBody() {
  std::size_t chosen = 0;
  for (std::size_t thread = 1; thread < bodies_.size(); ++thread) {
    if (bodies_[thread].held() > bodies_[chosen].held()) {
      chosen = thread;
    }
  }
  net::post(pool_.context(chosen), [this, chosen] {
    // Otherwise the reader of the body ends the give-up.
    if (!bodies_[chosen].GiveUpOne()) {
      account_->EndGiveUp(false);
    }
  });
}

void http_server::UpdateLimits(const http_server_limits& limits) {
  limits_.Publish(std::make_unique<const http_server_limits>(limits));
}

http_server_limits http_server::CurrentLimits() const {
  const rcu_read_guard guard;
  return limits_.Read(guard);
}

void http_server::Close() {
  closing_.store(true, std::memory_order_relaxed);
  net::post(pool_.context(0), [this] {
    boost::system::error_code ignored;
    acceptor_.cancel(ignored);
    AcceptPending();
    acceptor_.close(ignored);
  });
  for (std::size_t thread = 0; thread < pool_.size(); ++thread) {
    net::post(pool_.context(thread),
              [this, thread] { idle_[thread].CancelAll(); });
  }
}

void http_server::EndReads() {
  for (std::size_t thread = 0; thread < pool_.size(); ++thread) {
    net::post(pool_.context(thread), [this, thread] {
      reading_[thread].CancelAll();
      bodies_[thread].StopWaits();
    });
  }
}

namespace {

// Ends the longest wait for a request, or for the rest of one: either for its
// bytes or for the memory that they need. Returns false if there is none.
awaitable<bool> EndLongestWait(idle_connections& waits,
                               unfinished_bodies& bodies) {
  boost::beast::tcp_stream* stream = waits.CancelLongest();
  if (stream != nullptr) {
    bodies.StopWait(*stream);
  }
  co_return stream != nullptr;
}

// Returns the thread with the longest wait that began before `before`, or
// nullopt if there is none.
std::optional<std::size_t> LongestWaitThread(
    const std::vector<idle_connections>& waits,
    time_point before) {
  std::optional<std::size_t> longest;
  time_point since = before;
  for (std::size_t thread = 0; thread < waits.size(); ++thread) {
    const time_point wait_start = waits[thread].idle_since();
    if (wait_start < since) {
      since = wait_start;
      longest = thread;
    }
  }
  return longest;
}

}  // namespace

awaitable<bool> http_server::EvictConnection() {
  // The wait may end before its thread cancels it, so the attempt is repeated.
  for (std::size_t tries = 0; tries < idle_.size(); ++tries) {
    std::vector<idle_connections>* waits = &idle_;
    auto thread = LongestWaitThread(idle_, time_point::max());
    if (!thread) {
      waits = &reading_;
      thread = LongestWaitThread(reading_, clock_.Now() - kMinReadTime);
    }
    if (!thread) {
      co_return false;
    }
    const bool ended = co_await net::co_spawn(
        pool_.context(*thread),
        EndLongestWait((*waits)[*thread], bodies_[*thread]),
        net::use_awaitable);
    if (ended) {
      co_return true;
    }
  }
  co_return false;
}

awaitable<void> http_server::AcceptConnections() {
  while (!closing_.load(std::memory_order_relaxed)) {
    const std::size_t thread = pool_.NextIndex();
    auto [error, socket] =
        co_await acceptor_.async_accept(pool_.context(thread), kAwaitTuple);
    if (error == net::error::operation_aborted) {
      co_return;
    }
    if (error) {
      if (error == net::error::no_descriptors) {
        co_await EvictConnection();
      }
      co_await Pause(kAcceptPause);
      continue;
    }
    if (co_await MakeRoom()) {
      Serve(std::move(socket), thread);
    }
    // Otherwise the socket closes as it goes out of scope.
  }
}

awaitable<bool> http_server::MakeRoom() {
  const deadline until = deadline::After(clock_.Now(), kMaxAcceptWait);
  for (;;) {
    const std::size_t limit = CurrentLimits().connections;
    const std::size_t open = open_connections_->load(std::memory_order_relaxed);
    const bool is_short = IsShortOfDescriptors(1);
    if (!is_short && open < limit) {
      co_return true;
    }
    const bool evicted = co_await EvictConnection();
    // The evicted connection closes shortly after the new one opens, so the
    // limit may be exceeded briefly, but not by any number.
    if (evicted && open < limit + limit / kClosingDivisor) {
      co_return true;
    }
    const bool may_wait = (is_short || evicted) &&
                          !until.Expired(clock_.Now()) &&
                          !closing_.load(std::memory_order_relaxed);
    if (!may_wait) {
      co_return false;
    }
    co_await Pause(kAcceptPause);
  }
}

bool http_server::IsShortOfDescriptors(std::ptrdiff_t more) const {
  const auto used = static_cast<std::ptrdiff_t>(
      open_connections_->load(std::memory_order_relaxed) +
      handled_->load(std::memory_order_relaxed));
  return used + more > static_cast<std::ptrdiff_t>(descriptors_);
}

void http_server::AcceptPending() {
  boost::system::error_code error;
  acceptor_.non_blocking(true, error);
  while (!error) {
    const std::size_t thread = pool_.NextIndex();
    tcp::socket socket(pool_.context(thread));
    acceptor_.accept(socket, error);
    if (!error) {
      Serve(std::move(socket), thread);
    }
  }
}

void http_server::Serve(tcp::socket socket, std::size_t thread) {
  net::co_spawn(pool_.context(thread),
                ServeConnection(std::move(socket), thread,
                                internal::counted_use(open_connections_)),
                net::detached);
}

awaitable<void> http_server::ServeConnection(tcp::socket socket,
                                             std::size_t thread,
                                             internal::counted_use /*open*/) {
  boost::system::error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  boost::beast::tcp_stream stream(std::move(socket));
  boost::beast::flat_buffer buffer;
  bool more = true;
  while (more) {
    more = co_await ServeRequest(stream, buffer, thread) &&
           !closing_.load(std::memory_order_relaxed);
    if (buffer.size() == 0 && buffer.capacity() > kKeptBufferBytes) {
      buffer.shrink_to_fit();
    }
  }
  if (buffer.size() > 0 || HasInput(stream)) {
    co_await Linger(stream);
  }
  stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
}

awaitable<bool> http_server::AwaitRequest(boost::beast::tcp_stream& stream,
                                          boost::beast::flat_buffer& buffer,
                                          std::size_t thread) {
  if (buffer.size() > 0) {
    co_return true;  // The request is pipelined.
  }
  idle_connections& idle = idle_[thread];
  const idle_connections::wait_id wait = idle.Add(stream, clock_.Now());
  if (closing_.load(std::memory_order_relaxed)) {
    idle.Remove(wait);
    co_return HasInput(stream);
  }
  constexpr std::size_t kInitialReadBytes = 4096;
  stream.expires_after(CurrentLimits().idle_timeout);
  const auto [error, bytes] = co_await stream.async_read_some(
      buffer.prepare(kInitialReadBytes), kAwaitTuple);
  idle.Remove(wait);
  buffer.commit(bytes);
  // A request may arrive at the moment at which Close() or EvictConnection()
  // cancels the wait.
  co_return !error ||
      (error == net::error::operation_aborted && HasInput(stream));
}

awaitable<void> http_server::RefuseRequest(
    boost::beast::tcp_stream& stream,
    const boost::system::error_code& error,
    const http_server_limits& limits) const {
  std::optional<http_status> status = StatusFor(error);
  if (!status) {
    co_return;
  }
  const bool in_doubt = (error == http::error::header_limit ||
                         error == http::error::body_limit) &&
                        limits_in_doubt_();
  if (in_doubt) {
    status = http_status::service_unavailable;
  }
  Log(log_level::kWarning, log_event::kRequestRejected,
      {{"status", std::to_string(static_cast<unsigned>(*status))},
       {"cause", Cause(error)}});
  http_exchange exchange(stream, http_request(http::verb::get, "/", 11),
                         limits);
  exchange.CloseAfterResponse();
  if (in_doubt) {
    const std::array<http_header, 1> headers = {
        {{"Retry-After", kLimitsInDoubtRetryAfter}}};
    co_await exchange.Respond(*status, "application/json", kLimitsInDoubtBody,
                              headers);
  } else if (error == boost::system::errc::not_enough_memory) {
    const std::array<http_header, 1> headers = {
        {{"Retry-After", kNoMemoryRetryAfter}}};
    co_await exchange.Respond(*status, "application/json", kNoMemoryBody,
                              headers);
  } else if (error == NoDescriptors()) {
    const std::array<http_header, 1> headers = {
        {{"Retry-After", kNoDescriptorsRetryAfter}}};
    co_await exchange.Respond(*status, "application/json", kNoDescriptorsBody,
                              headers);
  } else {
    co_await exchange.Respond(*status, "application/json",
                              kMalformedRequestBody);
  }
  co_await Linger(stream);
}

awaitable<bool> http_server::ServeRequest(boost::beast::tcp_stream& stream,
                                          boost::beast::flat_buffer& buffer,
                                          std::size_t thread) {
  if (!co_await AwaitRequest(stream, buffer, thread)) {
    co_return false;
  }
  // The wait was cancelled when the request had arrived.
  const bool evicted = buffer.size() == 0;
  const internal::counted_use counted(busy_);
  request_reader::request_parser parser;
  const http_server_limits limits = CurrentLimits();
  parser.header_limit(static_cast<std::uint32_t>(limits.header_bytes));
  parser.body_limit(limits.body_bytes);
  // Holds a header, or a part of a chunked body, beside what has arrived of
  // further requests. Without a limit it would grow with a chunk header or a
  // trailer that never ends. Set for each request, since the limits may have
  // changed since the connection was opened.
  constexpr std::size_t kBodyPartBytes = std::size_t{16} * 1024;
  const std::size_t buffer_limit =
      std::max(limits.header_bytes + kBodyPartBytes, buffer.size() + 1);
  // A single timeout covers header and body, so that a client cannot hold a
  // connection by sending one byte at a time.
  const deadline read_by = deadline::After(clock_.Now(), limits.read_timeout);
  stream.expires_at(ToSteady(read_by));
  const idle_connections::wait_id read =
      reading_[thread].Add(stream, clock_.Now());
  const request_memory memory{account_, &bodies_[thread],
                              [this] { GiveUpBody(); }};
  request_reader reader(stream, buffer, memory, ClientOf(stream), read_by);
  boost::system::error_code error =
      co_await reader.ReadHeader(parser, limits.header_bytes, buffer_limit);
  if (!error && ExpectsContinue(parser.get()) && !parser.is_done() &&
      !co_await SendContinue(stream)) {
    reader.Cancel();
    reading_[thread].Remove(read);
    co_return false;
  }
  if (!error) {
    error = co_await reader.ReadBody(parser, limits.body_bytes);
  }
  reading_[thread].Remove(read);
  if (error == net::error::operation_aborted) {
    // Ended by EndReads() or EvictConnection().
    error = boost::beast::error::timeout;
  }
  if (error) {
    co_await RefuseRequest(stream, error, limits);
    co_return false;
  }
  const internal::counted_use handled(handled_);
  // A connection that was to be closed must not have another one closed.
  if (IsShortOfDescriptors(0) && (evicted || !co_await EvictConnection() ||
                                  IsShortOfDescriptors(-kClosingConnections))) {
    co_await RefuseRequest(stream, NoDescriptors(), limits);
    co_return false;
  }
  http_exchange exchange(
      stream, http_request(std::move(parser.get().base()), reader.TakeBody()),
      limits, reader.TakeShare());
  stream.expires_never();
  if (closing_.load(std::memory_order_relaxed) ||
      draining_.load(std::memory_order_relaxed)) {
    exchange.CloseAfterResponse();
  }
  co_await HandleRequest(exchange, thread);
  co_return exchange.reusable();
}

awaitable<void> http_server::HandleRequest(http_exchange& exchange,
                                           std::size_t thread) {
  if (const auto refused = StatusFor(exchange.request())) {
    co_await exchange.Respond(*refused, "application/json",
                              kMalformedRequestBody);
    co_return;
  }
  // An exception that escapes the coroutine would terminate the process and
  // every other request with it.
  bool failed = false;
  try {
    co_await handler_(exchange, thread);
  } catch (const std::exception& failure) {
    failed = true;
    LogHandlerFailure(exchange, failure.what());
  } catch (...) {
    failed = true;
    LogHandlerFailure(exchange, "unknown");
  }
  if (failed && exchange.responded()) {
    exchange.Abort();
  } else if (failed) {
    exchange.CloseAfterResponse();
    co_await exchange.Respond(http_status::internal_server_error,
                              "application/json", kInternalErrorBody);
  } else if (!exchange.responded()) {
    co_await exchange.Respond(http_status::not_found, "text/plain",
                              "Nothing is served at this path.\n");
  }
}

}  // namespace anvilloom
