#include "review/support-2/net.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <sstream>
#include <system_error>
#include <thread>

namespace review {

namespace {

sockaddr_in ToSocketAddress(const std::string& address) {
  const std::size_t colon = address.find(':');
  sockaddr_in parsed{};
  parsed.sin_family = AF_INET;
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &parsed.sin_addr);
  parsed.sin_port =
      htons(static_cast<std::uint16_t>(std::atoi(address.c_str() + colon + 1)));
  return parsed;
}

std::string ToLower(std::string text) {
  std::ranges::transform(text, text.begin(), [](unsigned char each) {
    return static_cast<char>(std::tolower(each));
  });
  return text;
}

std::string Find(const header_map& headers, const std::string& name) {
  const auto found = headers.find(name);
  return found == headers.end() ? std::string() : found->second;
}

void SetNoDelay(int socket) {
  const int on = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

}  // namespace

std::string http_head::Header(const std::string& name) const {
  return Find(headers, name);
}

std::string request::Header(const std::string& name) const {
  return Find(headers, name);
}

std::string request::Query(std::string_view name) const {
  const std::size_t begin = target.find('?');
  std::istringstream pairs(
      begin == std::string::npos ? std::string() : target.substr(begin + 1));
  for (std::string pair; std::getline(pairs, pair, '&');) {
    if (pair.starts_with(std::string(name) + "=")) {
      return pair.substr(name.size() + 1);
    }
  }
  return {};
}

connection::~connection() {
  close(socket_);
}

bool connection::Fill() {
  char bytes[65536];
  const ssize_t size = recv(socket_, bytes, sizeof(bytes), 0);
  if (size <= 0) {
    return false;
  }
  buffer_.append(bytes, static_cast<std::size_t>(size));
  return true;
}

std::optional<http_head> connection::ReadHead() {
  std::size_t end = buffer_.find("\r\n\r\n");
  while (end == std::string::npos) {
    if (!Fill()) {
      return std::nullopt;
    }
    end = buffer_.find("\r\n\r\n");
  }
  std::istringstream lines(buffer_.substr(0, end));
  buffer_.erase(0, end + 4);
  http_head head;
  std::getline(lines, head.first_line);
  if (head.first_line.ends_with('\r')) {
    head.first_line.pop_back();
  }
  for (std::string line; std::getline(lines, line);) {
    if (line.ends_with('\r')) {
      line.pop_back();
    }
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) {
      continue;
    }
    const std::size_t value = line.find_first_not_of(' ', colon + 1);
    head.headers[ToLower(line.substr(0, colon))] =
        value == std::string::npos ? "" : line.substr(value);
  }
  return head;
}

std::optional<std::string> connection::ReadBody(std::size_t size) {
  while (buffer_.size() < size) {
    if (!Fill()) {
      return std::nullopt;
    }
  }
  std::string body = buffer_.substr(0, size);
  buffer_.erase(0, size);
  return body;
}

bool connection::ReadChunks(std::string& body) {
  for (;;) {
    std::size_t end = buffer_.find("\r\n");
    while (end == std::string::npos) {
      if (!Fill()) {
        return false;
      }
      end = buffer_.find("\r\n");
    }
    const std::size_t size = std::strtoul(buffer_.c_str(), nullptr, 16);
    buffer_.erase(0, end + 2);
    const auto chunk = ReadBody(size + 2);
    if (!chunk) {
      return false;
    }
    if (size == 0) {
      return true;
    }
    body.append(*chunk, 0, size);
  }
}

bool connection::Write(std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t size =
        send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (size <= 0) {
      return false;
    }
    bytes.remove_prefix(static_cast<std::size_t>(size));
  }
  return true;
}

bool connection::IsClosedByPeer() const {
  char next = 0;
  const ssize_t size = recv(socket_, &next, 1, MSG_PEEK | MSG_DONTWAIT);
  return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void connection::SetReadTimeout(int milliseconds) const {
  const std::int64_t microseconds = std::int64_t{milliseconds % 1000} * 1000;
  const timeval limit{milliseconds / 1000, microseconds};
  setsockopt(socket_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
}

std::optional<request> ReadRequest(connection& from) {
  auto head = from.ReadHead();
  if (!head) {
    return std::nullopt;
  }
  request parsed;
  std::istringstream line(head->first_line);
  line >> parsed.method >> parsed.target;
  parsed.headers = std::move(head->headers);
  if (parsed.Header("transfer-encoding") == "chunked") {
    if (!from.ReadChunks(parsed.body)) {
      return std::nullopt;
    }
    return parsed;
  }
  const std::string length = parsed.Header("content-length");
  auto body = from.ReadBody(
      length.empty() ? 0 : std::strtoul(length.c_str(), nullptr, 10));
  if (!body) {
    return std::nullopt;
  }
  parsed.body = std::move(*body);
  return parsed;
}

std::string FormatAnswer(std::string_view status,
                         std::string_view headers,
                         std::string_view body) {
  std::ostringstream answer;
  answer << "HTTP/1.1 " << status << "\r\n"
         << headers << "Content-Length: " << body.size() << "\r\n\r\n"
         << body;
  return answer.str();
}

void Serve(const std::string& address,
           const std::function<void(connection&, const std::string&)>& serve) {
  std::signal(SIGPIPE, SIG_IGN);
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in bound = ToSocketAddress(address);
  if (bind(listener, reinterpret_cast<const sockaddr*>(&bound),
           sizeof(bound)) != 0 ||
      listen(listener, SOMAXCONN) != 0) {
    std::cerr << "cannot listen on " << address << '\n';
    std::exit(2);
  }
  PrintLine("listening on " + address);
  for (;;) {
    sockaddr_in peer{};
    socklen_t size = sizeof(peer);
    const int accepted = accept4(listener, reinterpret_cast<sockaddr*>(&peer),
                                 &size, SOCK_CLOEXEC);
    if (accepted < 0) {
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
      continue;
    }
    SetNoDelay(accepted);
    std::thread([accepted, &serve, address] {
      connection served(accepted);
      serve(served, address);
    }).detach();
  }
}

int Connect(const std::string& address) {
  const int opened = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in target = ToSocketAddress(address);
  if (connect(opened, reinterpret_cast<const sockaddr*>(&target),
              sizeof(target)) != 0) {
    close(opened);
    return -1;
  }
  SetNoDelay(opened);
  return opened;
}

std::int64_t SteadyMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

void PrintLine(const std::string& line) {
  const std::string text = line + "\n";
  // A line that can't be written has no reader any more.
  [[maybe_unused]] const ssize_t written =
      write(STDOUT_FILENO, text.data(), text.size());
}

options::options(int argc, char** argv) {
  for (int i = 1; i + 1 < argc; i += 2) {
    values_[argv[i]] = argv[i + 1];
  }
}

std::string options::Text(const std::string& name,
                          const std::string& fallback) const {
  const auto found = values_.find("--" + name);
  return found == values_.end() ? fallback : found->second;
}

int options::Number(const std::string& name, int fallback) const {
  const auto found = values_.find("--" + name);
  return found == values_.end() ? fallback : std::atoi(found->second.c_str());
}

}  // namespace review
