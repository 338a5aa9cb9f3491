// Defines exit_code, the exit codes of anvilloomctl. Scripts depend on the
// numbers, so they must not change.
#ifndef CTL_EXIT_CODE_H_
#define CTL_EXIT_CODE_H_

namespace anvilloom {

enum class exit_code : int {
  kSuccess = 0,
  kFailure = 1,               // No answer, or the call was refused.
  kUsageError = 2,            // The command line is not valid.
  kInvalidConfiguration = 3,  // The configuration does not pass the checks.
  kConflict = 4,              // Another operator changed the same files.
  kOutcomeUnknown = 5,        // It is unknown whether the update was accepted.
  kNotCurrent = 6,  // An instance is not ready or has another revision.
};

}  // namespace anvilloom

#endif  // CTL_EXIT_CODE_H_
