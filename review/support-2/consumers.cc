// Consumers of the users' pages. Each opens a channel, sends requests on it one
// after the other and prints a line for each:
//
//   MS id=ID consumer=N sequence=N status=S outcome=O bytes=B took_ms=T
//
// where S is 0 without an answer, and O is complete, broken (an answer that
// ended early), closed (no answer, the channel closed), silent (no answer
// within the time limit), foreign (a success that is not the engine's answer to
// this request) or unconnected. A consumer ends after the first that isn't
// complete, or with --reconnect 1 opens another channel.
//
// --to ADDRESS[,ADDRESS] --count N --gap-ms T: consumers, the first of each
// started T after the one before, on the addresses in turn. --requests N: of
// each. --first-body BYTES --body BYTES: of the first request and the others.
// --path PATH --first-path PATH --host HOST --key KEY --deadline-ms T --prefix
// TEXT: of the ids. --headers LINES: further ones, separated by |, in which %U
// stands for a hexadecimal number of the request's own. --pause-ms T: between
// two requests. --body-ms T: time over which a body is sent.

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <functional>
#include <memory>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "review/support-2/net.h"

namespace review {

namespace {

struct plan {
  std::vector<std::string> addresses;
  int requests = 1;
  int first_body = 0;
  int body = 0;
  std::string first_path;
  std::string path;
  std::string host;
  std::string key;
  int deadline_ms = 6000;
  std::string prefix;
  std::string headers;
  int pause_ms = 0;
  int body_ms = 0;
  bool reconnect = false;
};

struct outcome {
  int status = 0;
  std::string name;
  std::size_t bytes = 0;
  // Whether the answer says that the channel ends with it.
  bool closes = false;
};

void Sleep(int milliseconds) {
  std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

std::vector<std::string> Split(const std::string& text, char separator) {
  std::istringstream parts(text);
  std::vector<std::string> split;
  for (std::string each; std::getline(parts, each, separator);) {
    split.push_back(each);
  }
  return split;
}

// Returns the further headers of a request, as lines.
std::string FurtherHeaders(const plan& wanted, const std::string& id) {
  std::ostringstream own;
  own << std::hex << std::hash<std::string>()(id);
  std::string lines;
  for (std::string each : Split(wanted.headers, '|')) {
    const std::size_t at = each.find("%U");
    if (at != std::string::npos) {
      each.replace(at, 2, own.str());
    }
    lines += each + "\r\n";
  }
  return lines;
}

bool SendBody(connection& channel, int size, int body_ms) {
  constexpr int kParts = 16;
  const std::string part(static_cast<std::size_t>((size + kParts - 1) / kParts),
                         'p');
  for (int sent = 0; sent < size;) {
    const int next = std::min(size - sent, static_cast<int>(part.size()));
    if (!channel.Write(
            std::string_view(part).substr(0, static_cast<std::size_t>(next)))) {
      return false;
    }
    sent += next;
    if (body_ms > 0 && sent < size) {
      Sleep(body_ms / kParts);
    }
  }
  return true;
}

// Whether a body is that of engine.cc for this request, whole and in order.
bool IsOwnBody(const std::string& body, const std::string& id) {
  if (!body.starts_with("id: ")) {
    return body == "done " + id || !body.starts_with("done ");
  }
  std::string expected;
  for (int number = 1; expected.size() < body.size(); ++number) {
    std::ostringstream event;
    event << "id: " << number << "\ndata: " << id << " " << number << "\n\n";
    expected += event.str();
  }
  return body == expected;
}

outcome ReadAnswer(connection& channel,
                   const std::string& id,
                   std::int64_t give_up_at) {
  const auto head = channel.ReadHead();
  if (!head) {
    return {0, SteadyMs() >= give_up_at ? "silent" : "closed"};
  }
  const int status = std::atoi(head->first_line.c_str() + 9);
  std::string body;
  bool complete = false;
  if (head->Header("transfer-encoding") == "chunked") {
    complete = channel.ReadChunks(body);
  } else {
    const auto read = channel.ReadBody(
        std::strtoul(head->Header("content-length").c_str(), nullptr, 10));
    complete = read.has_value();
    body = read.value_or("");
  }
  const bool closes = head->Header("connection") == "close";
  if (complete && status < 300 && !IsOwnBody(body, id)) {
    return {status, "foreign", body.size(), closes};
  }
  return {status, complete ? "complete" : "broken", body.size(), closes};
}

outcome Send(connection& channel,
             const plan& wanted,
             const std::string& id,
             bool first) {
  const int size = first ? wanted.first_body : wanted.body;
  std::ostringstream head;
  head << "POST " << (first ? wanted.first_path : wanted.path)
       << " HTTP/1.1\r\nHost: " << wanted.host << "\r\nX-Request-Id: " << id
       << "\r\nX-Deadline-Ms: " << wanted.deadline_ms
       << "\r\nAuthorization: Token " << wanted.key << "\r\n"
       << FurtherHeaders(wanted, id) << "Content-Length: " << size
       << "\r\n\r\n";
  const std::int64_t give_up_at = SteadyMs() + wanted.deadline_ms;
  channel.SetReadTimeout(wanted.deadline_ms);
  // An answer may have come before the whole body was sent.
  const bool sent =
      channel.Write(head.str()) && SendBody(channel, size, wanted.body_ms);
  outcome got = ReadAnswer(channel, id, give_up_at);
  if (!sent && got.status == 0) {
    got.name = "closed";
  }
  return got;
}

void Consume(const plan& wanted, int number) {
  const std::string& address = wanted.addresses[static_cast<std::size_t>(
      number % static_cast<int>(wanted.addresses.size()))];
  std::unique_ptr<connection> channel;
  for (int sequence = 0; sequence < wanted.requests; ++sequence) {
    const std::string id = wanted.prefix + "-" + std::to_string(number) + "-" +
                           std::to_string(sequence);
    const std::int64_t begin = SteadyMs();
    if (!channel) {
      const int opened = Connect(address);
      channel = opened < 0 ? nullptr : std::make_unique<connection>(opened);
    }
    const outcome got = channel ? Send(*channel, wanted, id, sequence == 0)
                                : outcome{0, "unconnected"};
    std::ostringstream line;
    line << SteadyMs() << " id=" << id << " consumer=" << number
         << " sequence=" << sequence << " status=" << got.status
         << " outcome=" << got.name << " bytes=" << got.bytes
         << " took_ms=" << SteadyMs() - begin;
    PrintLine(line.str());
    if (got.closes) {
      channel.reset();
    }
    if (got.name != "complete") {
      channel.reset();
      if (!wanted.reconnect) {
        return;
      }
    }
    Sleep(wanted.pause_ms);
  }
}

}  // namespace

}  // namespace review

int main(int argc, char** argv) {
  const review::options given(argc, argv);
  review::plan wanted;
  wanted.addresses = review::Split(given.Text("to", "127.0.0.1:8080"), ',');
  wanted.requests = given.Number("requests", wanted.requests);
  wanted.body = given.Number("body", wanted.body);
  wanted.first_body = given.Number("first-body", wanted.body);
  wanted.path = given.Text("path", "/once/1");
  wanted.first_path = given.Text("first-path", wanted.path);
  wanted.host = given.Text("host", "a.example");
  wanted.key = given.Text("key", "key-1");
  wanted.deadline_ms = given.Number("deadline-ms", wanted.deadline_ms);
  wanted.prefix = given.Text("prefix", "r");
  wanted.headers = given.Text("headers", "");
  wanted.pause_ms = given.Number("pause-ms", 0);
  wanted.body_ms = given.Number("body-ms", 0);
  wanted.reconnect = given.Number("reconnect", 0) != 0;
  const int gap_ms = given.Number("gap-ms", 0);
  std::vector<std::thread> running;
  for (int number = 0; number < given.Number("count", 1); ++number) {
    running.emplace_back(
        [&wanted, number] { review::Consume(wanted, number); });
    review::Sleep(gap_ms);
  }
  for (std::thread& each : running) {
    each.join();
  }
}
