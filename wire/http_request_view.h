// Defines http_request_view, a request that does not own its body.
#ifndef WIRE_HTTP_REQUEST_VIEW_H_
#define WIRE_HTTP_REQUEST_VIEW_H_

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/span_body.hpp>

namespace anvilloom {

// The body must stay in place until the request has been sent.
using http_request_view =
    boost::beast::http::request<boost::beast::http::span_body<const char>>;

}  // namespace anvilloom

#endif  // WIRE_HTTP_REQUEST_VIEW_H_
