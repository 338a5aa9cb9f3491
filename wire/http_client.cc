#include "wire/http_client.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <cerrno>
#include <charconv>
#include <optional>
#include <utility>

#include "wire/endpoint.h"
#include "wire/message_parser.h"
#include "wire/steady_clock.h"

namespace anvilloom {

namespace {

namespace net = boost::asio;
namespace http = boost::beast::http;
using tcp = net::ip::tcp;

constexpr auto kAwaitTuple = net::as_tuple(net::use_awaitable);
// A token event takes about 250 bytes. A larger buffer would only use more
// memory for each open stream.
constexpr std::size_t kReadBufferBytes = std::size_t{4} * 1024;
// Model engines and plain services send small response headers.
constexpr std::uint32_t kHeaderLimitBytes = 16 * 1024;
// The parser needs a whole header, or a whole chunk header, in the buffer.
constexpr std::size_t kReceiveBufferBytes =
    kHeaderLimitBytes + kReadBufferBytes;
constexpr unsigned kFirstStatus = 100;
constexpr unsigned kSwitchingProtocols = 101;
constexpr unsigned kFirstFinalStatus = 200;
constexpr unsigned kLastStatus = 599;
// Servers send one or two interim responses (1xx) before a response.
constexpr int kMaxInterimResponses = 8;

// TCP keep-alive: the first probe is sent after one idle second, then one per
// second. The connection fails after three seconds without an acknowledgement.
constexpr int kKeepAliveIdleSeconds = 1;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbes = 2;
// A connection is not reused shortly before the server's idle timeout, since
// the server may already be closing it.
constexpr std::chrono::milliseconds kReuseMargin{500};

void EnableKeepAlive(tcp::socket& socket) {
  using idle_option =
      net::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
  using interval_option =
      net::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
  using count_option =
      net::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
  using user_timeout_option =
      net::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
  constexpr int kUserTimeoutMs =
      (kKeepAliveIdleSeconds + kKeepAliveProbes) * 1000;
  // Errors are ignored: without these options, a broken connection is only
  // detected later.
  boost::system::error_code ignored;
  socket.set_option(net::socket_base::keep_alive(true), ignored);
  socket.set_option(idle_option(kKeepAliveIdleSeconds), ignored);
  socket.set_option(interval_option(kKeepAliveIntervalSeconds), ignored);
  socket.set_option(count_option(kKeepAliveProbes), ignored);
  socket.set_option(user_timeout_option(kUserTimeoutMs), ignored);
}

// Returns the timeout of a Keep-Alive header such as "timeout=5, max=100".
std::optional<std::chrono::seconds> ParseKeepAliveTimeout(
    std::string_view header) {
  constexpr std::string_view kName = "timeout=";
  const std::size_t at = header.find(kName);
  if (at == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view digits = header.substr(at + kName.size());
  int seconds = 0;
  const auto [end, error] =
      std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  if (error != std::errc{} || seconds < 0) {
    return std::nullopt;
  }
  return std::chrono::seconds(seconds);
}

// Returns a request with the header of `request`, which is moved, and a view of
// its body.
http_request_view ViewOf(http_request& request) {
  http_request_view view(std::move(request.base()));
  view.body() = {request.body().data(), request.body().size()};
  return view;
}

transfer_error ToTransferError(const boost::system::error_code& error) {
  if (error == boost::beast::error::timeout) {
    return transfer_error::kTimedOut;
  }
  if (error == http::error::body_limit || error == http::error::header_limit) {
    return transfer_error::kTooLarge;
  }
  if (error == http::error::end_of_stream ||
      error == http::error::partial_message ||
      error.category() == net::error::get_system_category() ||
      error.category() == net::error::get_misc_category()) {
    return transfer_error::kClosed;
  }
  return transfer_error::kMalformed;
}

}  // namespace

namespace internal {

// A connection and the response being read from it.
class http_connection {
 public:
  using response_parser = message_parser<false, http::buffer_body>;

  http_connection(const net::any_io_executor& executor,
                  std::string_view address)
      : address_(address), stream_(executor) {}

  std::string_view address() const { return address_; }
  boost::beast::tcp_stream& stream() { return stream_; }
  boost::beast::flat_buffer& buffer() { return buffer_; }
  response_parser& parser() { return *parser_; }
  const response_parser& parser() const { return *parser_; }
  bool reused() const { return reused_; }
  void MarkReused() { reused_ = true; }

  void SetRequest(http::verb method, std::size_t body_limit) {
    is_head_ = method == http::verb::head;
    body_limit_ = body_limit;
  }

  // Reads the header of the next final response, until the deadline of the
  // stream. Adds the size of everything read to `received`.
  awaitable<boost::system::error_code> ReadHeader(std::size_t& received) {
    for (int interim = 0; interim <= kMaxInterimResponses; ++interim) {
      parser_.emplace();
      parser_->header_limit(kHeaderLimitBytes);
      parser_->body_limit(body_limit_);
      // A response to HEAD announces a body but does not send it.
      parser_->skip(is_head_);
      const auto [error, bytes] = co_await http::async_read_header(
          stream_, buffer_, *parser_, kAwaitTuple);
      received += bytes;
      if (error) {
        co_return error;
      }
      const unsigned status = parser_->get().result_int();
      if (status >= kFirstFinalStatus && status <= kLastStatus) {
        co_return error;
      }
      if (status < kFirstStatus || status > kLastStatus ||
          status == kSwitchingProtocols) {
        break;  // No request asks to switch protocols.
      }
    }
    co_return http::error::bad_status;
  }

  bool ResponseEnded() const { return parser_ && parser_->is_done(); }

  // Whether bytes beyond the end of the response have arrived. They would be
  // parsed as the start of the next response.
  bool HasExcessData() { return buffer_.size() > 0 || Peek() > 0; }

  // Whether neither bytes nor the end of the connection have arrived.
  bool HasNoPendingInput() {
    return buffer_.size() == 0 && Peek() < 0 &&
           (errno == EAGAIN || errno == EWOULDBLOCK);
  }

  void SetReuseDeadline(deadline reuse_deadline) {
    reuse_deadline_ = reuse_deadline;
  }
  deadline reuse_deadline() const { return reuse_deadline_; }

  // Whether the response is delimited only by the close of the connection, so
  // that a truncated response cannot be told from a complete one.
  bool IsCloseDelimited() const { return parser_->need_eof(); }

  bool Reusable() {
    return ResponseEnded() && parser_->get().keep_alive() &&
           !parser_->need_eof() && stream_.socket().is_open() &&
           HasNoPendingInput();
  }

  awaitable<transfer_result<std::string_view>> ReadSome(deadline until) {
    // A read may return no body bytes, for example only a chunk header.
    while (!ResponseEnded()) {
      auto& body = parser_->get().body();
      body.data = read_buffer_.data();
      body.size = read_buffer_.size();
      body.more = true;
      stream_.expires_at(ToSteady(until));
      const auto [error, bytes] = co_await http::async_read_some(
          stream_, buffer_, *parser_, kAwaitTuple);
      const std::size_t filled = read_buffer_.size() - body.size;
      if (error && error != http::error::need_buffer) {
        co_return transfer_failure{ToTransferError(error), true};
      }
      if (filled > 0) {
        co_return std::string_view(read_buffer_.data(), filled);
      }
    }
    co_return std::string_view{};
  }

 private:
  // Returns the result of recv() for one byte, without consuming it.
  ssize_t Peek() {
    char next = 0;
    return ::recv(stream_.socket().native_handle(), &next, 1,
                  MSG_PEEK | MSG_DONTWAIT);
  }

  std::string address_;
  boost::beast::tcp_stream stream_;
  // Holds at most a header and a part of the body. Without a limit it would
  // grow with a chunk header or a trailer that never ends.
  boost::beast::flat_buffer buffer_{kReceiveBufferBytes};
  std::optional<response_parser> parser_;
  std::array<char, kReadBufferBytes> read_buffer_;
  // About the request whose response is read.
  bool is_head_ = false;
  std::size_t body_limit_ = 0;
  bool reused_ = false;
  deadline reuse_deadline_ = deadline::Never();
};

// Idle connections, keyed by server address.
class connection_pool {
 public:
  connection_pool(std::size_t per_server, duration idle_timeout)
      : per_server_(per_server), idle_timeout_(idle_timeout) {}

  std::unique_ptr<http_connection> Take(std::string_view address) {
    const auto found = idle_.find(address);
    while (found != idle_.end() && !found->second.empty()) {
      std::unique_ptr<http_connection> taken = std::move(found->second.back());
      found->second.pop_back();
      if (!taken->reuse_deadline().Expired(steady_source().Now()) &&
          taken->HasNoPendingInput()) {
        taken->MarkReused();
        return taken;
      }
    }
    return nullptr;
  }

  void Put(std::unique_ptr<http_connection> connection) {
    const auto server_timeout = ParseKeepAliveTimeout(
        std::string_view(connection->parser().get()["Keep-Alive"]));
    const duration idle_time =
        server_timeout ? duration(*server_timeout) : idle_timeout_;
    connection->SetReuseDeadline(
        deadline::After(steady_source().Now(), idle_time - kReuseMargin));
    auto found = idle_.find(connection->address());
    if (found == idle_.end()) {
      found =
          idle_.emplace(std::string(connection->address()), idle_list{}).first;
    }
    if (found->second.size() < per_server_) {
      found->second.push_back(std::move(connection));
    }
  }

 private:
  using idle_list = std::vector<std::unique_ptr<http_connection>>;

  std::size_t per_server_;
  duration idle_timeout_;
  std::map<std::string, idle_list, std::less<>> idle_;
};

}  // namespace internal

http_response_stream::http_response_stream(
    std::unique_ptr<internal::http_connection> connection,
    std::shared_ptr<internal::connection_pool> pool)
    : connection_(std::move(connection)), pool_(std::move(pool)) {}

http_response_stream::~http_response_stream() {
  if (handle_ != nullptr) {
    handle_->connection_ = nullptr;
  }
  if (!reuse_disabled_ && connection_->Reusable()) {
    pool_->Put(std::move(connection_));
  }
}

void http_call_handle::Cancel() {
  cancelled_ = true;
  if (connection_ != nullptr) {
    connection_->stream().close();
  }
}

bool http_response_stream::IsCloseDelimited() const {
  return connection_->IsCloseDelimited();
}

bool http_response_stream::IsOnReusedConnection() const {
  return connection_->reused();
}

const http::fields& http_response_stream::fields() const {
  return connection_->parser().get();
}

awaitable<transfer_result<void>> http_response_stream::ReadNextResponse(
    deadline until) {
  for (;;) {
    const auto piece = co_await connection_->ReadSome(until);
    if (!piece) {
      co_return piece.error();
    }
    if (piece->empty()) {
      break;
    }
  }
  connection_->stream().expires_at(ToSteady(until));
  std::size_t received = 0;
  const auto error = co_await connection_->ReadHeader(received);
  if (error) {
    co_return transfer_failure{ToTransferError(error), true};
  }
  co_return transfer_result<void>();
}

http_status http_response_stream::status() const {
  // result() would turn a status that Beast has no name for into 0.
  return static_cast<http_status>(connection_->parser().get().result_int());
}

std::string_view http_response_stream::Header(std::string_view name) const {
  const auto& message = connection_->parser().get();
  const auto found = message.find(name);
  if (found == message.end()) {
    return {};
  }
  return {found->value().data(), found->value().size()};
}

awaitable<transfer_result<std::string_view>> http_response_stream::ReadSome(
    deadline until) {
  return connection_->ReadSome(until);
}

void http_response_stream::Close() {
  connection_->stream().close();
}

http_client::http_client(net::any_io_executor executor,
                         const http_client_limits& limits)
    : executor_(std::move(executor)),
      limits_(limits),
      pool_(std::make_shared<internal::connection_pool>(
          limits.idle_connections_per_server,
          limits.idle_timeout)) {}

awaitable<transfer_result<std::unique_ptr<internal::http_connection>>>
http_client::Connect(std::string_view address,
                     deadline until,
                     http_call_handle* handle) {
  const auto endpoint = ParseEndpoint(address);
  if (!endpoint) {
    co_return transfer_failure{transfer_error::kBadAddress, false};
  }
  auto connection =
      std::make_unique<internal::http_connection>(executor_, address);
  const deadline connect_by =
      deadline::After(steady_source().Now(), limits_.connect_timeout);
  connection->stream().expires_at(ToSteady(connect_by.Earlier(until)));
  if (handle != nullptr) {
    handle->connection_ = connection.get();
  }
  const auto [error] =
      co_await connection->stream().async_connect(*endpoint, kAwaitTuple);
  if (handle != nullptr) {
    handle->connection_ = nullptr;
  }
  if (error) {
    const transfer_error kind = error == boost::beast::error::timeout
                                    ? transfer_error::kTimedOut
                                    : transfer_error::kRefused;
    co_return transfer_failure{kind, false};
  }
  boost::system::error_code ignored;
  connection->stream().socket().set_option(tcp::no_delay(true), ignored);
  if (limits_.tcp_keep_alive) {
    EnableKeepAlive(connection->stream().socket());
  }
  co_return connection;
}

awaitable<transfer_result<std::unique_ptr<internal::http_connection>>>
http_client::SendAndReadHeader(std::string_view address,
                               http_request_view& request,
                               deadline until,
                               connection_use use,
                               deadline send_by,
                               http_call_handle* handle) {
  std::unique_ptr<internal::http_connection> connection;
  if (handle != nullptr && handle->cancelled()) {
    co_return transfer_failure{transfer_error::kClosed, false};
  }
  if (use != connection_use::kFresh) {
    connection = pool_->Take(address);
  }
  if (!connection) {
    auto connected = co_await Connect(address, until.Earlier(send_by), handle);
    if (!connected) {
      co_return connected.error();
    }
    connection = std::move(*connected);
  }
  if (send_by.Expired(steady_source().Now())) {
    co_return transfer_failure{transfer_error::kTimedOut, false};
  }
  if (handle != nullptr && handle->cancelled()) {
    co_return transfer_failure{transfer_error::kClosed, false};
  }
  if (handle != nullptr) {
    handle->connection_ = connection.get();
  }
  connection->SetRequest(request.method(), limits_.max_response_bytes);
  connection->stream().expires_at(ToSteady(until));
  auto [write_error, written] =
      co_await http::async_write(connection->stream(), request, kAwaitTuple);
  boost::system::error_code error = write_error;
  std::size_t received = 0;
  if (!error) {
    error = co_await connection->ReadHeader(received);
  }
  if (!error) {
    co_return connection;
  }
  if (handle != nullptr) {
    handle->connection_ = nullptr;
  }
  const transfer_failure failure{ToTransferError(error), true};
  const bool stale = use == connection_use::kPooled && connection->reused() &&
                     received == 0 && connection->buffer().size() == 0 &&
                     failure.error == transfer_error::kClosed;
  if (stale) {
    co_return co_await SendAndReadHeader(
        address, request, until, connection_use::kFresh, send_by, handle);
  }
  co_return failure;
}

awaitable<transfer_result<std::unique_ptr<http_response_stream>>>
http_client::Open(std::string_view address,
                  http_request request,
                  deadline until,
                  connection_use use,
                  http_call_handle* handle) {
  co_return co_await Open(address, ViewOf(request), until, use, handle);
}

awaitable<transfer_result<std::unique_ptr<http_response_stream>>>
http_client::Open(std::string_view address,
                  http_request_view request,
                  deadline until,
                  connection_use use,
                  http_call_handle* handle) {
  auto connection = co_await SendAndReadHeader(address, request, until, use,
                                               deadline::Never(), handle);
  if (!connection) {
    co_return connection.error();
  }
  auto stream =
      std::make_unique<http_response_stream>(std::move(*connection), pool_);
  stream->handle_ = handle;
  co_return stream;
}

awaitable<transfer_result<http_response>> http_client::Exchange(
    std::string_view address,
    http_request request,
    deadline until,
    connection_use use,
    deadline send_by) {
  http_request_view view = ViewOf(request);
  co_return co_await ExchangeView(address, view, nullptr, until, use, send_by);
}

awaitable<transfer_result<http_response>> http_client::Exchange(
    std::string_view address,
    http_request_view request,
    answer_share& memory,
    deadline until,
    connection_use use,
    deadline send_by) {
  co_return co_await ExchangeView(address, request, &memory, until, use,
                                  send_by);
}

awaitable<transfer_result<http_response>> http_client::ExchangeView(
    std::string_view address,
    http_request_view& request,
    answer_share* memory,
    deadline until,
    connection_use use,
    deadline send_by) {
  auto connection =
      co_await SendAndReadHeader(address, request, until, use, send_by);
  if (!connection) {
    co_return connection.error();
  }
  if ((*connection)->IsCloseDelimited()) {
    co_return transfer_failure{transfer_error::kMalformed, true};
  }
  http_response response;
  response.base() = (*connection)->parser().get().base();
  for (;;) {
    const auto piece = co_await (*connection)->ReadSome(until);
    if (!piece) {
      co_return piece.error();
    }
    if (piece->empty()) {
      break;
    }
    const std::size_t size = response.body().size() + piece->size();
    if (memory != nullptr && !memory->Resize(size)) {
      co_return transfer_failure{transfer_error::kTooLarge, true};
    }
    response.body().append(*piece);
  }
  if ((*connection)->HasExcessData()) {
    // The server sent more than it announced, so the body may be truncated.
    co_return transfer_failure{transfer_error::kMalformed, true};
  }
  if ((*connection)->Reusable()) {
    pool_->Put(std::move(*connection));
  }
  co_return response;
}

http_request MakeRequest(http::verb method,
                         std::string_view target,
                         std::string_view body,
                         std::string_view content_type) {
  http_request_view view = MakeRequestView(method, target, body, content_type);
  http_request request(std::move(view.base()));
  request.body() = body;
  return request;
}

http_request_view MakeRequestView(http::verb method,
                                  std::string_view target,
                                  std::string_view body,
                                  std::string_view content_type) {
  http_request_view request(method, target, 11);
  request.set(http::field::host, "anvilloom");
  if (!body.empty()) {
    request.set(http::field::content_type, content_type);
    request.body() = {body.data(), body.size()};
  }
  request.prepare_payload();
  return request;
}

}  // namespace anvilloom
