// Defines the ways in which clients break the protocol or use up what a process
// holds for them, for tests of both modes of the program.
#ifndef TEST_SUPPORT_MISBEHAVING_CLIENTS_H_
#define TEST_SUPPORT_MISBEHAVING_CLIENTS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "test/support/child_process.h"
#include "test/support/client_crowd.h"

namespace anvilloom {

struct misbehaviour {
  std::string name;
  std::size_t connections = 0;
  crowd_script script;
};

// Beginnings of requests, without the empty line that ends a header.
struct call_heads {
  // A call that no upstream answers.
  std::string held;
  // A call that is answered with a large body.
  std::string large;
};

// The clients of each kind are enough to end a process that does not limit
// their kind. `body_bytes` is the limit on a body.
std::vector<misbehaviour> Misbehaviours(const call_heads& heads,
                                        std::size_t body_bytes);

// Clients that come at the same time.
struct client_play {
  // Continues "connections that ...".
  std::string name;
  std::vector<misbehaviour> clients;
};

// One play for each kind, and one with `of_each` connections of all kinds.
std::vector<client_play> MakePlays(std::vector<misbehaviour> kinds,
                                   std::size_t of_each);

// `head` with a body.
std::string WithBody(std::string_view head, std::string_view body);

// The largest figures of a process while clients are connected to it.
struct process_peak {
  std::size_t memory_kb = 0;
  std::size_t descriptors = 0;

  void Update(const child_process& process);
};

// Connects all the clients, and returns the figures after the time in which
// they may send, or once the memory no longer grows and all of them have sent
// everything.
process_peak PlayClients(std::vector<std::unique_ptr<client_crowd>>& crowds,
                         const std::vector<misbehaviour>& clients,
                         std::uint16_t port,
                         const child_process& process);

}  // namespace anvilloom

#endif  // TEST_SUPPORT_MISBEHAVING_CLIENTS_H_
