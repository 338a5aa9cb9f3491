// Defines RunLoad, which sends calls or streams to one address at a fixed
// concurrency and measures the latencies that a caller sees.
#ifndef TOOLS_LOAD_PHASE_H_
#define TOOLS_LOAD_PHASE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "common/time.h"
#include "wire/transfer.h"

namespace anvilloom {

// Describes the load and its destination.
struct load_spec {
  // IP address and port.
  std::string address;
  std::string credential;
  // The target of plain calls, for example "/s/lookup/x".
  std::string path;
  // Service name, sent as the "model" of streams.
  std::string service;
  std::uint32_t concurrency = 1;
  // Calls, or streams, for each of the concurrent clients.
  std::uint32_t repeats = 1;
  // Tokens of each stream; 0 means plain calls.
  std::uint32_t tokens = 0;
};

// Counts and latencies of a load. Latencies are in microseconds.
struct load_outcome {
  std::uint64_t completed = 0;
  std::uint64_t failed = 0;
  std::uint64_t tokens = 0;
  double seconds = 0;
  // Durations of plain calls, or times to the first token of streams.
  std::vector<double> latencies;
  std::vector<double> token_intervals;
};

// Runs the load on the calling thread and blocks until it is complete.
load_outcome RunLoad(const load_spec& spec);

// Sorts the values and returns their quantile for a share from 0 to 1; 0 if
// there are none.
double Quantile(std::vector<double>& values, double share);

}  // namespace anvilloom

#endif  // TOOLS_LOAD_PHASE_H_
