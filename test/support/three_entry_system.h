// Defines three_entry_system, a local_system with three entry instances that
// know each other, for tests of the handover of streams between them.
#ifndef TEST_SUPPORT_THREE_ENTRY_SYSTEM_H_
#define TEST_SUPPORT_THREE_ENTRY_SYSTEM_H_

#include <cstddef>
#include <cstdint>
#include <future>
#include <string>
#include <string_view>
#include <vector>

#include "test/support/local_system.h"
#include "test/support/stream_reader.h"

namespace anvilloom {

// 150 tokens at 20 ms take 3 s, longer than the stops of most tests.
inline constexpr std::uint32_t kLongStreamTokens = 150;

// "entry-a" in zone-a stops within `drain_limit_ms` milliseconds; "entry-b" and
// "entry-c" in zone-b. All three follow the instance API "instances", where
// they are registered.
class three_entry_system {
 public:
  explicit three_entry_system(std::string_view drain_limit_ms);

  local_system& system() { return system_; }
  std::uint16_t a() const { return a_; }
  std::uint16_t b() const { return b_; }
  std::uint16_t c() const { return c_; }

  // The settings by which a further entry instance joins.
  std::string JoinSettings() const;
  std::size_t MembersSeen(std::string_view name) const;
  // The ids of the streams that an entry instance holds.
  std::vector<std::string> Streams(std::string_view name) const;
  // Number of completion requests that the engines have received.
  std::uint64_t EngineRequests() const;
  // Number of completion requests that started while another request with the
  // same id was running.
  std::uint64_t DuplicateIds() const;

  std::future<stream_result> Follow(
      const std::vector<std::uint16_t>& ports,
      const std::string& prompt,
      std::uint32_t tokens = kLongStreamTokens) const;

 private:
  // Sum over the engines of a member of their /seen response.
  std::uint64_t EngineSum(std::string_view member) const;

  local_system system_;
  std::uint16_t a_ = 0;
  std::uint16_t b_ = 0;
  std::uint16_t c_ = 0;
};

}  // namespace anvilloom

#endif  // TEST_SUPPORT_THREE_ENTRY_SYSTEM_H_
