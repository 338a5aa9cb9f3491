// Defines publish_failure, why a configuration was not published, and the
// options and results of a publish.
#ifndef CTL_PUBLISH_RESULT_H_
#define CTL_PUBLISH_RESULT_H_

#include <boost/system/result.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "common/time.h"
#include "wire/configuration_json.h"

namespace anvilloom {

enum class publish_error : std::uint8_t {
  kConflict,        // Another operator changed the same files.
  kInvalid,         // The merged files do not pass the checks.
  kUnavailable,     // The object API did not answer; nothing was published.
  kRefused,         // The object API refused a write, for example as too large.
  kOutcomeUnknown,  // The update may have been accepted; nobody could tell.
  kUnknownBase,     // The base revision is not in the history.
  kBaseAhead,       // The object API holds an earlier revision than the base.
  kUnreadable,      // The manifest in the object API cannot be decoded.
};

struct publish_failure {
  publish_error error;
  // The revision that the failure is about: the accepted one, or the base.
  std::uint64_t revision = 0;
  // The files that both sides changed.
  std::vector<std::string> files;
  // What the checks found in the merged files.
  std::vector<configuration_fault> faults;
};

// Full sentences, one a line.
std::string Sentences(const publish_failure& failure);

[[noreturn]] void throw_exception_from_error(
    const publish_failure& failure,
    const boost::source_location& location);

template <typename T>
using publish_result = boost::system::result<T, publish_failure>;

struct publish_options {
  deadline until;
  // Manifests kept in the history, and the number of revisions between two
  // clean-ups. A history of 64 manifests with 200 files takes about 1.3 MB to
  // list, well under the 8 MB that the client accepts.
  std::uint64_t kept_revisions = 64;
  std::uint64_t cleanup_interval = 16;
  // Longest wait for one call to the object API.
  duration call_limit = std::chrono::seconds(3);
};

// What the folder holds, and what it was last synchronized with.
struct publish_source {
  std::vector<configuration_file> files;
  // Base of the merge; without one, every file counts as new.
  std::optional<configuration_manifest> base;
  // Revision to fetch from the history in place of `base`.
  std::optional<std::uint64_t> base_revision;
};

// An accepted publish.
struct accepted_publish {
  std::uint64_t revision = 0;
  // False if the accepted revision held the folder's changes already.
  bool changed = false;
  // Files that other operators changed since the base, and that the folder
  // does not hold in their accepted form.
  std::vector<std::string> newer_files;
  std::vector<configuration_fault> warnings;
};

}  // namespace anvilloom

#endif  // CTL_PUBLISH_RESULT_H_
