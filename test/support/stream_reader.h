// Defines FollowStream, a caller that requests a stream and reconnects with
// Last-Event-ID whenever its connection ends before the stream does.
#ifndef TEST_SUPPORT_STREAM_READER_H_
#define TEST_SUPPORT_STREAM_READER_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace anvilloom {

// What the caller has received.
struct followed_stream {
  std::string stream_id;
  std::string text;
  // Whether the end marker was received.
  bool ended = false;
  std::uint32_t reconnects = 0;
  // Tokens whose index was not the next one.
  std::uint32_t misplaced = 0;
  // The status of the latest answer.
  unsigned status = 0;
  // One line for each request: its port, status, time in ms, bytes of text.
  std::string requests;
};

// Asks ports[0]. Each time the connection ends early, goes on at the next of
// `ports`, the last one repeatedly, at most `max_reconnects` times.
followed_stream FollowStream(std::span<const std::uint16_t> ports,
                             std::string_view prompt,
                             std::uint32_t max_tokens,
                             std::uint32_t max_reconnects = 20);

}  // namespace anvilloom

#endif  // TEST_SUPPORT_STREAM_READER_H_
