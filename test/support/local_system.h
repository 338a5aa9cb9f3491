// Defines local_system, a whole system of separate processes on loopback:
// stand-ins, upstreams and entry instances, for tests that need real ones.
#ifndef TEST_SUPPORT_LOCAL_SYSTEM_H_
#define TEST_SUPPORT_LOCAL_SYSTEM_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "common/time.h"
#include "test/support/child_process.h"
#include "wire/http_exchange.h"

namespace anvilloom {

// A response as received by a caller. `status` is 0 if there was none.
struct caller_answer {
  unsigned status = 0;
  std::string body;
  // The Retry-After header, or empty.
  std::string retry_after = {};
};

// The credential of the workspace in TestConfiguration().
inline constexpr std::string_view kTestCredential = "test-credential";

// Sends one request and reads the whole answer. `timeout_ms` bounds the wait.
caller_answer Call(std::uint16_t port,
                   boost::beast::http::verb method,
                   std::string_view target,
                   std::string_view body = {},
                   const std::map<std::string, std::string>& headers = {},
                   std::uint32_t timeout_ms = 20'000);

// Polls until `holds` returns true; false after `limit`.
template <typename Condition>
bool Eventually(Condition holds, duration limit);

// Owns the processes; kills them when destroyed.
class local_system {
 public:
  local_system();
  ~local_system();

  // Starts a program that prints "listening on port <n>" and returns the port.
  std::uint16_t Start(std::string_view name,
                      std::string_view program,
                      std::vector<std::string> arguments = {});
  // Starts an entry instance in a failure domain; returns its port. `extra`
  // is appended to its settings, for example ",\"threads\":4".
  std::uint16_t StartEntry(std::string_view name,
                           std::string_view domain,
                           std::string_view extra = {});

  // The text before a port in a log line, and the suffix that port() takes
  // after the name of the process to return this port.
  struct port_mark {
    std::string_view suffix;
    std::string_view text;
  };
  // Starts a program that prints ports in its first log line, reads the port
  // after each mark and returns the port whose mark has an empty suffix.
  std::uint16_t StartProgram(std::string_view name,
                             std::string_view program,
                             const std::vector<std::string>& arguments,
                             const std::vector<port_mark>& marks);

  child_process& process(std::string_view name);
  // The port of a process started here.
  std::uint16_t port(std::string_view name) const;
  std::uint16_t admin_port(std::string_view entry_name) const;
  // 0 if the entry instance does not listen for peers.
  std::uint16_t peer_port(std::string_view entry_name) const;

  // Writes, replaces or, with empty text, removes a configuration file.
  void WriteConfiguration(std::string_view file, std::string_view text);
  // Runs anvilloomctl publish; returns its exit code.
  int PublishConfiguration() const;
  // Waits until an entry instance is ready.
  bool AwaitReady(std::string_view entry_name) const;

  std::string_view folder() const { return folder_; }

 private:
  std::string folder_;
  std::map<std::string, std::unique_ptr<child_process>, std::less<>> processes_;
  std::map<std::string, std::uint16_t, std::less<>> ports_;
};

// A configuration with model service "plan" on the given engine ports and
// plain services "lookup" (repeatable) and "deposit" (not repeatable) on the
// given service ports.
std::string TestConfiguration(const std::vector<std::uint16_t>& engines,
                              const std::vector<std::uint16_t>& services);

// The body of a chat completion request for service "plan".
std::string ChatBody(std::string_view prompt,
                     std::uint32_t max_tokens,
                     bool stream);

// The text of an uninterrupted response to ChatBody(prompt, max_tokens).
std::string ExpectedAnswer(std::string_view prompt, std::uint32_t max_tokens);

namespace internal {

void SleepPollInterval();

}  // namespace internal

template <typename Condition>
bool Eventually(Condition holds, duration limit) {
  const auto end = std::chrono::steady_clock::now() + limit;
  while (!holds()) {
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    internal::SleepPollInterval();
  }
  return true;
}

}  // namespace anvilloom

#endif  // TEST_SUPPORT_LOCAL_SYSTEM_H_
