#include "wire/request_reader.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/system/errc.hpp>
#include <cstring>
#include <string_view>
#include <utility>

#include "wire/steady_clock.h"

namespace anvilloom {

namespace {

namespace net = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr auto kAwaitTuple = net::as_tuple(net::use_awaitable);

// How long a large body waits for memory before another one is given up for it.
// Other bodies usually complete in this time, and clients don't give up yet.
constexpr std::chrono::seconds kMemoryWait{1};

error_code NoMemory() {
  return make_error_code(boost::system::errc::not_enough_memory);
}

// Size of the buffer for a header, which doubles when it is full.
constexpr std::size_t kInitialBufferBytes = std::size_t{4} * 1024;

constexpr std::string_view kHeaderEnd = "\r\n\r\n";

// Memory of the fields of a header and of the copy that is sent to an upstream.
// Each field is a node of its own, so that short ones take many times what was
// received.
std::size_t FieldBytes(std::string_view header) {
  constexpr std::size_t kNodeBytes = 96;
  constexpr std::size_t kCopies = 2;
  const auto lines = static_cast<std::size_t>(std::ranges::count(header, '\n'));
  return (header.size() + lines * kNodeBytes) * kCopies;
}

std::string_view ToView(const boost::beast::flat_buffer& buffer) {
  const auto bytes = buffer.data();
  return {static_cast<const char*>(bytes.data()), bytes.size()};
}

// Returns the error of a request line that has arrived, or of the part of it
// that has.
error_code CheckRequestLine(std::string_view received) {
  const std::string_view line = received.substr(0, received.find('\n') + 1);
  request_reader::request_parser parser;
  error_code error;
  parser.put(net::buffer(line.empty() ? received : line), error);
  return error == http::error::need_more ? error_code() : error;
}

}  // namespace

request_reader::request_reader(boost::beast::tcp_stream& stream,
                               boost::beast::flat_buffer& buffer,
                               const request_memory& memory,
                               std::uint64_t client,
                               deadline read_by)
    : stream_(stream),
      buffer_(buffer),
      memory_(memory),
      read_by_(read_by),
      share_(memory.account) {
  read_.stream = &stream;
  read_.progress.client = client;
  read_.progress.since = steady_source().Now();
}

awaitable<error_code> request_reader::ReadHeader(request_parser& parser,
                                                 std::size_t limit,
                                                 std::size_t buffer_limit) {
  id_ = memory_.unfinished->Add(read_);
  buffer_limit_ = buffer_limit;
  error_code error = co_await AwaitHeader(limit);
  if (!error) {
    const std::string_view header = ToView(buffer_);
    const std::size_t end = header.find(kHeaderEnd) + kHeaderEnd.size();
    // Before they are parsed: the fields may take far more than the buffer.
    const bool reserved = co_await ReserveHeader(
        buffer_.capacity() + FieldBytes(header.substr(0, end)));
    error = reserved ? error : NoMemory();
  }
  if (!error) {
    buffer_.consume(parser.put(buffer_.data(), error));
  }
  co_return error ? Finish(error) : error;
}

// Reads until the buffer holds a whole header.
awaitable<error_code> request_reader::AwaitHeader(std::size_t limit) {
  // An earlier request may have left the buffer larger.
  std::size_t size = std::min(
      buffer_limit_, std::max(buffer_.capacity(), kInitialBufferBytes));
  std::size_t searched = 0;
  bool has_line = false;
  // A line that arrives byte by byte is checked when its size has doubled, so
  // that the work stays proportional to its size.
  std::size_t check_at = 1;
  while (ToView(buffer_).find(kHeaderEnd, searched) == std::string_view::npos) {
    const std::size_t received = buffer_.size();
    if (received >= limit) {
      co_return http::error::header_limit;
    }
    if (!has_line) {
      has_line = ToView(buffer_).find('\n', searched) != std::string_view::npos;
      if (has_line || received >= check_at) {
        check_at = received * 2;
        if (const error_code error = CheckRequestLine(ToView(buffer_))) {
          co_return error;
        }
      }
    }
    searched = received - std::min(received, kHeaderEnd.size() - 1);
    size = received < size ? size : std::min(buffer_limit_, size * 2);
    if (!co_await ReserveHeader(size)) {
      co_return NoMemory();
    }
    buffer_.max_size(std::max(size, received));
    const auto [error, bytes] = co_await stream_.async_read_some(
        buffer_.prepare(size - received), kAwaitTuple);
    buffer_.commit(bytes);
    if (error == net::error::eof) {
      co_return http::error::partial_message;
    }
    if (error) {
      co_return error;
    }
  }
  co_return error_code();
}

awaitable<error_code> request_reader::ReadBody(request_parser& parser,
                                               std::size_t limit) {
  error_code error;
  if (parser.chunked()) {
    error = co_await ReadChunks(parser, limit);
  } else if (!parser.is_done()) {
    error = co_await ReadLength(parser.content_length().value_or(0));
  }
  error = Finish(error);
  if (!error) {
    body_.resize(filled_);
  }
  co_return error;
}

void request_reader::Cancel() {
  Finish(net::error::operation_aborted);
}

error_code request_reader::Finish(error_code error) {
  const bool given_up = memory_.unfinished->Remove(*id_);
  id_.reset();
  if (given_up) {
    error = NoMemory();
  }
  if (error) {
    body_ = std::string();
    share_.Shrink(0);
  }
  if (given_up) {
    memory_.account->EndGiveUp(true);
  }
  return error;
}

awaitable<bool> request_reader::ReserveHeader(std::size_t bytes) {
  const std::size_t counted =
      bytes > kUncountedBytes ? bytes - kUncountedBytes : 0;
  if (counted > header_bytes_ &&
      !co_await Reserve(counted, counted <= memory_account::kSmallBodyBytes)) {
    co_return false;
  }
  header_bytes_ = std::max(header_bytes_, counted);
  memory_.unfinished->SetHeld(read_, share_.bytes());
  co_return true;
}

// Reads past the parser into the body: the bytes are copied once, and none
// beyond the body are read.
awaitable<error_code> request_reader::ReadLength(std::size_t length) {
  const bool small = length <= memory_account::kSmallBodyBytes;
  while (filled_ < length) {
    if (filled_ == body_.size() && !co_await Grow(length, small)) {
      co_return NoMemory();
    }
    const net::mutable_buffer space =
        net::buffer(body_.data() + filled_, body_.size() - filled_);
    if (buffer_.size() > 0) {
      const std::size_t bytes = net::buffer_copy(space, buffer_.data());
      buffer_.consume(bytes);
      filled_ += bytes;
      continue;
    }
    const auto [error, bytes] =
        co_await stream_.async_read_some(space, kAwaitTuple);
    filled_ += bytes;
    if (error) {
      co_return error == net::error::eof
          ? make_error_code(http::error::partial_message)
          : error;
    }
    if (read_.given_up) {
      co_return NoMemory();
    }
  }
  co_return error_code();
}

awaitable<error_code> request_reader::ReadChunks(request_parser& parser,
                                                 std::size_t limit) {
  // The parser needs a whole chunk header in the buffer.
  if (!co_await ReserveHeader(buffer_limit_ + header_bytes_)) {
    co_return NoMemory();
  }
  buffer_.max_size(std::max(buffer_limit_, buffer_.size()));
  while (!parser.is_done()) {
    // One byte more than the limit, so that the parser always has space until
    // it finds the body too large.
    if (filled_ == body_.size() && !co_await Grow(limit + 1, body_.empty())) {
      co_return NoMemory();
    }
    auto& space = parser.get().body();
    space.data = body_.data() + filled_;
    space.size = body_.size() - filled_;
    space.more = true;
    const auto [error, bytes] =
        co_await http::async_read_some(stream_, buffer_, parser, kAwaitTuple);
    filled_ = body_.size() - space.size;
    if (error && error != http::error::need_buffer) {
      co_return error;
    }
    if (read_.given_up) {
      co_return NoMemory();
    }
  }
  co_return error_code();
}

awaitable<bool> request_reader::Grow(std::size_t most, bool small) {
  const std::size_t size = body_.size();
  const std::size_t next =
      std::min(most, std::max(size * 2, memory_account::kSmallBodyBytes));
  // Both buffers exist while the bytes are copied.
  if (!co_await Reserve(header_bytes_ + size + next, small)) {
    co_return false;
  }
  std::string larger;
  larger.reserve(next);
  larger.append(body_);
  body_ = std::move(larger);
  body_.resize(next);
  share_.Shrink(header_bytes_ + next);
  memory_.unfinished->SetHeld(read_, share_.bytes());
  co_return true;
}

awaitable<bool> request_reader::Reserve(std::size_t bytes, bool small) {
  if (read_.given_up) {
    co_return false;
  }
  if (share_.TryGrow(bytes, small)) {
    co_return true;
  }
  co_return co_await AwaitMemory(bytes, small);
}

awaitable<bool> request_reader::AwaitMemory(std::size_t bytes, bool small) {
  memory_account& account = *memory_.account;
  const steady_source clock;
  net::steady_timer timer(stream_.get_executor());
  deadline give_up_at = deadline::After(
      clock.Now(), small ? duration::zero() : duration(kMemoryWait));
  bool reserved = false;
  account.AddWaiter();
  while (!read_.given_up && !read_.stopped) {
    reserved = share_.TryGrow(bytes, small);
    const time_point now = clock.Now();
    if (reserved || read_by_.Expired(now)) {
      break;
    }
    if (give_up_at.Expired(now)) {
      if (account.TryBeginGiveUp(small, now)) {
        memory_.give_up_one();
      }
      give_up_at = deadline::After(
          now, small ? memory_account::kGiveUpInterval : duration(kMemoryWait));
    }
    read_.wanted = bytes;
    read_.waiting = &timer;
    timer.expires_at(ToSteady(give_up_at.Earlier(read_by_)));
    co_await timer.async_wait(kAwaitTuple);
    read_.waiting = nullptr;
  }
  account.RemoveWaiter();
  if (reserved && account.waiters() > 0) {
    memory_.unfinished->WakeSmallest();
  }
  co_return reserved && !read_.given_up;
}

}  // namespace anvilloom
