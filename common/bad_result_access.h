// Defines bad_result_access, the exception thrown when the value of a failed
// result is read. It indicates a bug in the calling code, not a failure of the
// call.
#ifndef COMMON_BAD_RESULT_ACCESS_H_
#define COMMON_BAD_RESULT_ACCESS_H_

#include <stdexcept>
#include <string>
#include <utility>

namespace anvilloom {

// Contains the failure of the result.
template <typename Failure>
class bad_result_access : public std::logic_error {
 public:
  bad_result_access(const std::string& text, Failure failure)
      : std::logic_error(text), failure_(std::move(failure)) {}

  const Failure& failure() const noexcept { return failure_; }

 private:
  Failure failure_;
};

}  // namespace anvilloom

#endif  // COMMON_BAD_RESULT_ACCESS_H_
