// Defines fault_injector, which injects faults into the requests of a stand-in.
// Tests add fault rules over HTTP; each rule applies to a limited number of
// requests.
#ifndef STANDINS_FAULT_INJECTOR_H_
#define STANDINS_FAULT_INJECTOR_H_

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "wire/http_exchange.h"

namespace anvilloom {

// The fault that is injected into a matching request.
enum class fault_action {
  kRefuse,      // Responds with 503; the request has no effect.
  kDropBefore,  // The connection closes; the request has no effect.
  kDropAfter,   // The request takes effect, then the connection closes.
  kDelay,       // The request takes effect after delay_ms.
  kHang,  // The connection closes after delay_ms without a response; no effect.
  kTruncate,   // The response ends after `after` tokens, without an end marker.
  kWrongId,    // The response has the id of another request.
  kDuplicate,  // Token `after` is sent twice.
  kGap,        // Token `after` is omitted.
  kMalformed,  // Token `after` is not valid JSON.
  // For plain services only, where `after` is in bytes:
  kCutHeader,    // The connection closes after `after` bytes of the header.
  kWrongLength,  // The Content-Length is `after`; the connection stays open.
  kNoLength,  // No Content-Length; the connection closes after `after` bytes of
              // body.
};

// A fault and the requests that it applies to.
struct fault_rule {
  fault_action action;
  // Method and path prefix to match; an empty value matches every request.
  std::string method;
  std::string path;
  // Number of further requests that the rule applies to.
  std::uint32_t count = 1;
  std::uint32_t delay_ms = 0;
  // Position in the response, in tokens; in bytes for plain services.
  std::uint32_t after = 0;
};

// Thread-safe. POST /faults adds a rule, for example
// {"action":"drop_after","method":"PUT","path":"/objects/claims","count":2};
// DELETE /faults removes all rules.
class fault_injector {
 public:
  // Responds to a request for /faults. Returns false for any other path.
  awaitable<bool> HandleControl(http_exchange& exchange);

  // Returns the first rule that matches the request and decrements its count.
  std::optional<fault_rule> Take(const http_exchange& exchange);

 private:
  std::mutex mutex_;
  std::vector<fault_rule> rules_;
};

// Waits for rule.delay_ms.
awaitable<void> AwaitFaultDelay(const fault_rule& rule);

// Waits for the delay of the rule and applies the faults that precede the
// effect of a request. Returns whether the exchange has ended without an
// effect.
awaitable<bool> ApplyBeforeEffect(http_exchange& exchange,
                                  std::optional<fault_rule> rule);

}  // namespace anvilloom

#endif  // STANDINS_FAULT_INJECTOR_H_
