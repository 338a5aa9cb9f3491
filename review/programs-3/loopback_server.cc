#include "review/programs-3/loopback_server.h"

#include <sys/socket.h>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <thread>
#include <utility>

namespace review {

namespace {

namespace http = boost::beast::http;
using boost::system::error_code;

}  // namespace

loopback_server::loopback_server(handler handle)
    : handle_(std::move(handle)),
      acceptor_(context_,
                tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)),
      port_(acceptor_.local_endpoint().port()) {
  std::thread([this] { Accept(); }).detach();
}

void loopback_server::SetAway(bool away) {
  const std::scoped_lock lock(mutex_);
  away_ = away;
  if (away) {
    for (const auto& socket : open_) {
      // Resets the connection once its thread closes it.
      error_code ignored;
      socket->set_option(boost::asio::socket_base::linger(true, 0), ignored);
      ::shutdown(socket->native_handle(), SHUT_RDWR);
    }
  }
}

void loopback_server::Accept() {
  for (;;) {
    auto socket = std::make_shared<tcp::socket>(context_);
    error_code error;
    acceptor_.accept(*socket, error);
    if (!error && Add(socket)) {
      std::thread([this, socket] { Serve(socket); }).detach();
    }
  }
}

void loopback_server::Serve(const std::shared_ptr<tcp::socket>& socket) {
  boost::beast::flat_buffer buffer;
  error_code error;
  socket->set_option(tcp::no_delay(true), error);
  bool open = true;
  while (open) {
    http_request request;
    http::read(*socket, buffer, request, error);
    if (error) {
      break;
    }
    auto answer = handle_(request);
    if (!answer) {
      break;
    }
    answer->prepare_payload();
    http::write(*socket, *answer, error);
    open = !error && answer->keep_alive();
  }
  Remove(socket);
  socket->close(error);
}

bool loopback_server::Add(const std::shared_ptr<tcp::socket>& socket) {
  const std::scoped_lock lock(mutex_);
  if (away_) {
    return false;
  }
  open_.insert(socket);
  return true;
}

void loopback_server::Remove(const std::shared_ptr<tcp::socket>& socket) {
  const std::scoped_lock lock(mutex_);
  open_.erase(socket);
}

std::string HeaderOf(const http_request& request, const std::string& name) {
  const auto found = request.find(name);
  return found == request.end() ? std::string() : std::string(found->value());
}

http_response MakeAnswer(const http_request& request,
                         unsigned status,
                         std::string body) {
  http_response answer(static_cast<http::status>(status), request.version());
  answer.keep_alive(request.keep_alive());
  answer.body() = std::move(body);
  return answer;
}

}  // namespace review
