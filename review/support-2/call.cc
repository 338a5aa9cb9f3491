// Sends one request with a JSON body and prints the answer's status line and
// body: call METHOD ADDRESS TARGET [BODY]. Ends with 0 if it was answered.

#include <cstdlib>
#include <string>

#include "review/support-2/net.h"

int main(int argc, char** argv) {
  if (argc < 4) {
    return 2;
  }
  const std::string body = argc > 4 ? argv[4] : "";
  const int opened = review::Connect(argv[2]);
  if (opened < 0) {
    return 1;
  }
  review::connection channel(opened);
  constexpr int kTimeoutMs = 2000;
  channel.SetReadTimeout(kTimeoutMs);
  channel.Write(std::string(argv[1]) + " " + argv[3] +
                " HTTP/1.1\r\nHost: platform\r\nContent-Type: "
                "application/json\r\nContent-Length: " +
                std::to_string(body.size()) + "\r\n\r\n" + body);
  const auto head = channel.ReadHead();
  if (!head) {
    return 1;
  }
  const auto text = channel.ReadBody(
      std::strtoul(head->Header("content-length").c_str(), nullptr, 10));
  review::PrintLine(head->first_line);
  review::PrintLine(text.value_or(""));
}
