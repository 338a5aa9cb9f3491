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
struct stream_result {
  std::string stream_id;
  std::string text;
  // Whether the end marker was received.
  bool ended = false;
  std::uint32_t reconnects = 0;
  // Number of tokens whose index does not directly follow the previous one.
  std::uint32_t out_of_sequence = 0;
  // The status of the latest answer.
  unsigned status = 0;
  // One line for each request: its port, status, time in ms, bytes of text.
  std::string requests;
};

// Sends the request to ports[0]. Each time the connection ends before the
// stream does, reconnects to the next of `ports`, or to the last one again if
// there is no next one, at most `max_reconnects` times.
stream_result FollowStream(std::span<const std::uint16_t> ports,
                           std::string_view prompt,
                           std::uint32_t max_tokens,
                           std::uint32_t max_reconnects = 20);

}  // namespace anvilloom

#endif  // TEST_SUPPORT_STREAM_READER_H_
