// Defines remembered_suspects, the suspected prompt parts that an instance
// knows at a set time, as suspect_checkpoint stores and restores them.
#ifndef TEST_SUPPORT_REMEMBERED_SUSPECTS_H_
#define TEST_SUPPORT_REMEMBERED_SUSPECTS_H_

#include <cstdint>

#include <vector>

#include "links/crash_suspects.h"

namespace anvilloom {

struct remembered_suspects {
  void Restore(const suspect_evidence& stored) { known.Restore(stored, now); }
  suspect_evidence Evidence() const { return known.Evidence(now); }
  std::uint64_t stored_version() const { return known.stored_version(); }

  // Records that `count` upstreams ended under a part, one a second.
  void RecordEnds(std::uint64_t part, std::uint64_t count) {
    for (std::uint64_t i = 1; i <= count; ++i) {
      now += std::chrono::seconds(1);
      known.RecordCrash(std::vector<std::uint64_t>{part},
                        {1'000 * part + i, 1'000 * part + i, now});
    }
  }

  crash_suspects known;
  time_point now{std::chrono::seconds(100)};
};

}  // namespace anvilloom

#endif  // TEST_SUPPORT_REMEMBERED_SUSPECTS_H_
