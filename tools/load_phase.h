// Defines load_phase, one measured load on one address: calls or streams at a
// fixed concurrency, with the latencies that a caller sees.
#ifndef TOOLS_LOAD_PHASE_H_
#define TOOLS_LOAD_PHASE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "common/time.h"
#include "wire/transfer.h"

namespace anvilloom {

// What to send, and to whom.
struct load_order {
  // IP address and port.
  std::string address;
  std::string credential;
  // The target of plain calls, for example "/s/lookup/x".
  std::string path;
  // The "model" of streams: a service name.
  std::string service;
  std::uint32_t concurrency = 1;
  // Calls, or streams, for each of the concurrent clients.
  std::uint32_t repeats = 1;
  // Tokens of each stream; 0 means plain calls.
  std::uint32_t tokens = 0;
};

// What came back. Latencies are in microseconds.
struct load_outcome {
  std::uint64_t completed = 0;
  std::uint64_t failed = 0;
  std::uint64_t tokens = 0;
  double seconds = 0;
  // Whole plain calls, or first tokens of streams.
  std::vector<double> latencies;
  std::vector<double> token_intervals;
};

// Runs the load to its end on one thread.
load_outcome RunLoad(const load_order& order);

// The value below which a share of the sorted values lies; 0 if there are none.
double Quantile(std::vector<double>& values, double share);

}  // namespace anvilloom

#endif  // TOOLS_LOAD_PHASE_H_
