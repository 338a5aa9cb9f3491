// Defines publish_failure, which says why a configuration was not published,
// and the options, input and result of a publish.
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
  kConflict,              // Another operator changed the same files.
  kInvalidConfiguration,  // The merged files do not pass the checks.
  kUnavailable,     // The object API did not answer; nothing was published.
  kRefused,         // The object API refused a write, for example as too large.
  kOutcomeUnknown,  // It is unknown whether the update was accepted.
  kUnknownBase,     // The base revision is not in the history.
  kBaseAhead,       // The base is later than the accepted revision.
  kUnreadable,      // The manifest in the object API cannot be decoded.
};

struct publish_failure {
  publish_error error;
  // The accepted revision (kConflict, kBaseAhead), the requested base
  // (kUnknownBase) or the revision to be written (kOutcomeUnknown). Has no
  // meaning for the other errors.
  std::uint64_t revision = 0;
  // For kConflict: the files that both sides changed.
  std::vector<std::string> files;
  // For kInvalidConfiguration: the errors found in the merged files.
  std::vector<configuration_fault> faults;
};

// Formats the failure for an operator, one sentence a line.
std::string FormatFailure(const publish_failure& failure);

[[noreturn]] void throw_exception_from_error(
    const publish_failure& failure,
    const boost::source_location& location);

template <typename T>
using publish_result = boost::system::result<T, publish_failure>;

struct publish_options {
  deadline until;
  // Manifests kept in the history, and the number of revisions between two
  // clean-ups. Listing 64 manifests of 200 files transfers about 1.3 MB, well
  // under the 8 MB that the client accepts.
  std::uint64_t kept_revisions = 64;
  std::uint64_t cleanup_interval = 16;
  // Time limit of a single call to the object API.
  duration call_timeout = std::chrono::seconds(3);
};

// The files of the folder and the base of the merge.
struct publish_source {
  std::vector<configuration_file> files;
  // Manifest of the last publish; without one, every file counts as new.
  std::optional<configuration_manifest> base;
  // Revision to read from the object API and use in place of `base`.
  std::optional<std::uint64_t> base_revision;
};

// Result of a successful publish.
struct accepted_publish {
  std::uint64_t revision = 0;
  // False if the accepted revision already contained the folder's changes.
  bool changed = false;
  // Files that other operators changed since the base and that differ in the
  // folder.
  std::vector<std::string> newer_files;
  std::vector<configuration_fault> warnings;
};

}  // namespace anvilloom

#endif  // CTL_PUBLISH_RESULT_H_
