// Defines fault_switch, the scripted faults of a stand-in: rules that a test
// adds over HTTP and that requests use up.
#ifndef STANDINS_FAULT_SWITCH_H_
#define STANDINS_FAULT_SWITCH_H_

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "wire/http_exchange.h"

namespace anvilloom {

// What a matching request suffers.
enum class fault_action {
  kRefuse,      // Answered with 503; has no effect.
  kDropBefore,  // The connection closes; the request has no effect.
  kDropAfter,   // The request takes effect, then the connection closes.
  kDelay,       // The request takes effect after delay_ms.
  kHang,       // No answer for delay_ms, no effect, then the connection closes.
  kTruncate,   // The answer ends after `after` tokens, with no end marker.
  kWrongId,    // The answer carries another request's id.
  kDuplicate,  // Token `after` is sent twice.
  kGap,        // Token `after` is left out.
  kMalformed,  // Token `after` is not JSON.
  // Of plain services, where `after` counts bytes:
  kCutHeader,    // The connection closes after that much of the header.
  kWrongLength,  // The Content-Length is `after`; the connection stays open.
  kNoLength,     // No Content-Length; the connection closes within the body.
};

// One scripted fault.
struct fault_rule {
  fault_action action;
  // Requests it applies to; an empty method or path prefix matches all.
  std::string method;
  std::string path;
  // Requests left before the rule is used up.
  std::uint32_t count = 1;
  std::uint32_t delay_ms = 0;
  // Position in the answer, in tokens; in bytes at plain services.
  std::uint32_t after = 0;
};

// Thread-safe. POST /faults adds a rule, for example
// {"action":"drop_after","method":"PUT","path":"/objects/claims","count":2};
// DELETE /faults removes all rules.
class fault_switch {
 public:
  // Whether the request was for /faults and has been answered.
  awaitable<bool> HandleControl(http_exchange& exchange);

  // The first rule that matches the request, used up by one.
  std::optional<fault_rule> Take(const http_exchange& exchange);

 private:
  std::mutex mutex_;
  std::vector<fault_rule> rules_;
};

// Lets time pass as kDelay and kHang ask for.
awaitable<void> PassFaultDelay(const fault_rule& rule);

// Passes the delay of a rule and does what it asks for before the request takes
// effect. Whether that ended the exchange: the request then has no effect.
awaitable<bool> ApplyBeforeEffect(http_exchange& exchange,
                                  std::optional<fault_rule> rule);

}  // namespace anvilloom

#endif  // STANDINS_FAULT_SWITCH_H_
