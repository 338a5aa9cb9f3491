// Defines Call, which makes one call on a connection of its own.
#ifndef REVIEW_PROGRAMS_3_CALLER_H_
#define REVIEW_PROGRAMS_3_CALLER_H_

#include <cstdint>
#include <string>

namespace review {

struct caller_request {
  std::string method = "POST";
  std::string path;
  std::string id;
  std::string key;
  // How long the caller waits, in milliseconds.
  int time_limit_ms = 1500;
  std::string body;
};

struct caller_answer {
  // 0 if the connection ended without an answer.
  unsigned status = 0;
  // Whether the answer has the signature of an engine.
  bool is_signed = false;
};

caller_answer Call(std::uint16_t port, const caller_request& request);

}  // namespace review

#endif  // REVIEW_PROGRAMS_3_CALLER_H_
