// Defines caller_call, what a caller asks for, and the other types that stand
// between the request path and the encoding of calls: the path decides on them
// and a call_codec translates them.
#ifndef ENTRY_CALLER_CALL_H_
#define ENTRY_CALLER_CALL_H_

#include <boost/beast/http/fields.hpp>
#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "common/time.h"
#include "links/prompt.h"
#include "wire/http_exchange.h"

namespace anvilloom {

// Views point into the request.
struct caller_call {
  std::string_view request_id;
  std::string_view host;
  std::string_view path;
  std::optional<std::string_view> key;
  // How long the caller waits, in microseconds, from the arrival of the call.
  std::optional<duration> patience;
  prompt_shape prompt;
  // Whether the call states its token counts.
  bool counts_tokens = false;
  // The caller resumes a stream that broke behind this event.
  std::string_view last_event;
};

// What an upstream is told besides the caller's request.
struct upstream_orders {
  // An upstream with another id does not run the call.
  std::string_view expected_id;
  std::string_view workspace;
  // Time that is left, in microseconds.
  duration time_left{0};
  // 0 is served first.
  std::uint32_t priority = 0;
  // The last event that the caller has; empty to begin at the start.
  std::string_view last_event;
  // Address of an upstream that keeps a longer part of the prompt; may be
  // empty.
  std::string_view fetch_from;
};

// Header of an upstream's answer. Views point into the fields.
struct upstream_answer {
  std::string_view request_id;
  // Whether it bears the signature that every whole answer has.
  bool is_signed = false;
  // The upstream states that the call did not run.
  bool not_run = false;
  // Whether the body is encoded, which makes it another body.
  bool encoded = false;
};

// Translates calls of one kind of front end.
template <typename T>
concept call_codec = requires(const http_exchange& exchange,
                              const http_request& request,
                              const upstream_orders& orders,
                              const boost::beast::http::fields& fields,
                              std::string_view name) {
  { T::DecodeCall(exchange) } -> std::same_as<caller_call>;
  { T::EncodeCall(request, orders) } -> std::same_as<http_request>;
  { T::DecodeAnswer(fields) } -> std::same_as<upstream_answer>;
  // Whether a header of an answer goes on to the caller.
  { T::PassesToCaller(name) } -> std::same_as<bool>;
  // Name of the header that carries the id of a request.
  { T::RequestIdHeader() } -> std::same_as<std::string_view>;
};

}  // namespace anvilloom

#endif  // ENTRY_CALLER_CALL_H_
