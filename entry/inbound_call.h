// Defines inbound_call, a decoded call, and the interface between the request
// path and the encoding of calls: the request path makes the decisions, and a
// call_codec only encodes and decodes.
#ifndef ENTRY_INBOUND_CALL_H_
#define ENTRY_INBOUND_CALL_H_

#include <boost/beast/http/fields.hpp>
#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "common/time.h"
#include "contracts/upstream_load_figures.h"
#include "links/prompt.h"
#include "wire/http_exchange.h"
#include "wire/http_request_view.h"

namespace anvilloom {

// A decoded call. Views point into the request.
struct inbound_call {
  std::string_view request_id;
  std::string_view host;
  std::string_view path;
  std::optional<std::string_view> key;
  // The caller's time-out, in microseconds from the arrival of the call.
  std::optional<duration> caller_timeout;
  prompt_shape prompt;
  // Whether the call states its token counts.
  bool has_token_counts = false;
  // Id of the last event that the caller received of an interrupted stream;
  // empty for a new call.
  std::string_view last_event_id;
};

// Parameters that are sent to an upstream in addition to the caller's request.
struct upstream_call_options {
  // An upstream with another id must not run the call.
  std::string_view expected_id;
  std::string_view workspace;
  // Time until the deadline, in microseconds.
  duration time_left{0};
  // 0 is the highest priority.
  std::uint32_t priority = 0;
  // Id of the last event that the caller received; empty to begin at the start.
  std::string_view last_event_id;
  // Address of an upstream that has a longer part of the prompt cached; may be
  // empty.
  std::string_view fetch_from;
};

// Decoded header of an upstream's answer. Views point into the fields.
struct upstream_answer {
  std::string_view request_id;
  // Whether it has the signature that every complete answer carries.
  bool is_signed = false;
  // The upstream states that the call did not run.
  bool not_run = false;
  // The upstream is leaving and must get no new calls.
  bool leaving = false;
  // Time from now in which the upstream wants no calls from this instance, in
  // microseconds; zero if it does not say so.
  duration refuses_for{0};
  // Whether the body has a content encoding, so that its bytes are not those of
  // the plain answer.
  bool encoded = false;
  // What the upstream says about its load, if it does.
  std::optional<upstream_load_figures> load;
};

// Encodes and decodes the calls of one front end.
template <typename T>
concept call_codec = requires(const http_exchange& exchange,
                              const http_request& request,
                              const upstream_call_options& options,
                              const boost::beast::http::fields& fields,
                              std::string_view name) {
  { T::DecodeCall(exchange) } -> std::same_as<inbound_call>;
  // The result refers to the body of `request`.
  { T::EncodeCall(request, options) } -> std::same_as<http_request_view>;
  { T::DecodeAnswer(fields) } -> std::same_as<upstream_answer>;
  // Whether an answer header is forwarded to the caller.
  { T::ForwardsToCaller(name) } -> std::same_as<bool>;
  // Name of the header that carries the id of a request.
  { T::RequestIdHeader() } -> std::same_as<std::string_view>;
};

}  // namespace anvilloom

#endif  // ENTRY_INBOUND_CALL_H_
