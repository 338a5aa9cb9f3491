// Defines request_reader, which reads a request into memory that is reserved
// before it is filled.
#ifndef WIRE_REQUEST_READER_H_
#define WIRE_REQUEST_READER_H_

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "common/time.h"
#include "wire/memory_account.h"
#include "wire/message_parser.h"
#include "wire/transfer.h"
#include "wire/unfinished_bodies.h"

namespace anvilloom {

// Where the memory of requests comes from.
struct request_memory {
  // Null if it is not limited.
  memory_account* account = nullptr;
  // The requests that the thread reads.
  unfinished_bodies* unfinished = nullptr;
  // Gives up an unfinished request of any thread and then calls EndGiveUp().
  std::function<void()> give_up_one;
};

// Reads one request: the header, then the body. Not thread-safe. What it refers
// to must outlive it, except that `memory.unfinished` is used only until the
// read has ended or failed, or Cancel().
class request_reader {
 public:
  using request_parser = message_parser<true, boost::beast::http::buffer_body>;

  // Bytes of each header that the account does not count. Ordinary headers fit
  // into them; the limit on connections bounds the sum.
  static constexpr std::size_t kUncountedBytes = std::size_t{8} * 1024;

  // `client` identifies the client among those of the server. The deadline of
  // the stream must be `read_by`.
  request_reader(boost::beast::tcp_stream& stream,
                 boost::beast::flat_buffer& buffer,
                 const request_memory& memory,
                 std::uint64_t client,
                 deadline read_by);

  // Reads the header, of at most `limit` bytes, into `parser`. The buffer grows
  // up to `buffer_limit` bytes, which must be more than `limit` and not less
  // than what the buffer holds.
  //
  // This and ReadBody() fail with errc::not_enough_memory if there is no memory
  // for the request or it was given up; it then holds none.
  awaitable<boost::system::error_code> ReadHeader(request_parser& parser,
                                                  std::size_t limit,
                                                  std::size_t buffer_limit);
  // Reads the body that follows, of at most `limit` bytes; reads no byte after
  // it, except into the buffer.
  awaitable<boost::system::error_code> ReadBody(request_parser& parser,
                                                std::size_t limit);
  // Ends the read between the two.
  void Cancel();

  std::string TakeBody() { return std::move(body_); }
  request_share TakeShare() { return std::move(share_); }

 private:
  awaitable<boost::system::error_code> AwaitHeader(std::size_t limit);
  awaitable<boost::system::error_code> ReadLength(std::size_t length);
  awaitable<boost::system::error_code> ReadChunks(request_parser& parser,
                                                  std::size_t limit);
  // Reserves memory for a header that takes `bytes` in all, before any for the
  // body; false if there is none.
  awaitable<bool> ReserveHeader(std::size_t bytes);
  // Enlarges the full body, up to `most` bytes; false if the request was given
  // up. `small` is whether it may be a small body, as far as is known.
  awaitable<bool> Grow(std::size_t most, bool small);
  // Reserves memory so that the share holds `bytes`, or waits until it can.
  awaitable<bool> Reserve(std::size_t bytes, bool small);
  awaitable<bool> AwaitMemory(std::size_t bytes, bool small);
  // Ends the read with a result, or with the error that it was given up.
  boost::system::error_code Finish(boost::system::error_code error);

  boost::beast::tcp_stream& stream_;
  boost::beast::flat_buffer& buffer_;
  const request_memory& memory_;
  deadline read_by_;
  body_read read_;
  // Set while the request is being read.
  std::optional<unfinished_bodies::read_id> id_;
  request_share share_;
  // The part of the share that the header holds, and the size up to which the
  // buffer may grow.
  std::size_t header_bytes_ = 0;
  std::size_t buffer_limit_ = 0;
  // Its size is the memory for the body, of which `filled_` bytes have arrived.
  std::string body_;
  std::size_t filled_ = 0;
};

}  // namespace anvilloom

#endif  // WIRE_REQUEST_READER_H_
