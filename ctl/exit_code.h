// Defines the exit codes of anvilloomctl, which scripts rely on.
#ifndef CTL_EXIT_CODE_H_
#define CTL_EXIT_CODE_H_

namespace anvilloom {

enum class exit_code : int {
  kDone = 0,
  kFailed = 1,          // No answer, or the call was refused.
  kUsage = 2,           // The command line is not valid.
  kInvalid = 3,         // The configuration has faults.
  kConflict = 4,        // Another operator changed the same files.
  kOutcomeUnknown = 5,  // The update may have been accepted.
  kBehind = 6,  // An instance is not ready, or has another revision in force.
};

}  // namespace anvilloom

#endif  // CTL_EXIT_CODE_H_
