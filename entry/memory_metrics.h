// Defines AppendMemoryMetrics, the metrics of a memory account, which both
// modes of the program have.
#ifndef ENTRY_MEMORY_METRICS_H_
#define ENTRY_MEMORY_METRICS_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "wire/memory_account.h"

namespace anvilloom {

inline void AppendMemoryMetrics(std::string& out,
                                const memory_account& account) {
  const auto line = [&](std::string_view name, std::uint64_t value) {
    out += "anvilloom_";
    out += name;
    out += ' ' + std::to_string(value) + '\n';
  };
  line("answer_memory_bytes", account.answers().used());
  line("request_memory_bytes", account.requests().used());
  line("waiting_bodies", account.waiters());
  line("given_up_bodies_total", account.given_up());
}

}  // namespace anvilloom

#endif  // ENTRY_MEMORY_METRICS_H_
