#include "review/programs-3/caller.h"

#include <sys/socket.h>
#include <sys/time.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

namespace review {

namespace {

namespace http = boost::beast::http;
using tcp = boost::asio::ip::tcp;

// Time after the time limit until which a caller still reads an answer.
constexpr int kGraceMs = 1000;

void SetTimeout(tcp::socket& socket, int milliseconds) {
  timeval limit{};
  limit.tv_sec = milliseconds / 1000;
  limit.tv_usec = (milliseconds % 1000) * 1000L;
  ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit,
               sizeof(limit));
}

}  // namespace

caller_answer Call(std::uint16_t port, const caller_request& request) {
  boost::asio::io_context context;
  tcp::socket socket(context);
  boost::system::error_code error;
  socket.connect(tcp::endpoint(boost::asio::ip::address_v4::loopback(), port),
                 error);
  if (error) {
    return {};
  }
  SetTimeout(socket, request.time_limit_ms + kGraceMs);
  http::request<http::string_body> sent(http::string_to_verb(request.method),
                                        request.path, 11);
  sent.set(http::field::host, "studio.example");
  if (!request.id.empty()) {
    sent.set("X-Request-Id", request.id);
    sent.set("X-Deadline-Ms", std::to_string(request.time_limit_ms));
  }
  if (!request.key.empty()) {
    sent.set("Authorization", "Token " + request.key);
  }
  sent.body() = request.body;
  sent.prepare_payload();
  http::write(socket, sent, error);
  if (error) {
    return {};
  }
  boost::beast::flat_buffer buffer;
  http::response<http::string_body> answer;
  http::read(socket, buffer, answer, error);
  if (error) {
    return {};
  }
  return {answer.result_int(), !answer["X-Response-Signature"].empty()};
}

}  // namespace review
