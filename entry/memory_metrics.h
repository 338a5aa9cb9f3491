// Defines AppendCounter, which writes a metric, and AppendMemoryMetrics, the
// metrics of a memory account, which both modes of the program have.
#ifndef ENTRY_MEMORY_METRICS_H_
#define ENTRY_MEMORY_METRICS_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "wire/memory_account.h"

namespace anvilloom {

inline void AppendCounter(std::string& out,
                          std::string_view name,
                          std::uint64_t value) {
  out += "anvilloom_";
  out += name;
  out += ' ' + std::to_string(value) + '\n';
}

inline void AppendMemoryMetrics(std::string& out,
                                const memory_account& account) {
  AppendCounter(out, "answer_memory_bytes", account.answers().used());
  AppendCounter(out, "request_memory_bytes", account.requests().used());
  AppendCounter(out, "waiting_bodies", account.waiters());
  AppendCounter(out, "given_up_bodies_total", account.given_up());
}

}  // namespace anvilloom

#endif  // ENTRY_MEMORY_METRICS_H_
