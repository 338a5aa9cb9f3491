// Defines unread_failure, the exception thrown when the value of a failed
// result is read. It indicates a bug in the calling code, not a failure of the
// call.
#ifndef COMMON_UNREAD_FAILURE_H_
#define COMMON_UNREAD_FAILURE_H_

#include <stdexcept>
#include <string>
#include <utility>

namespace anvilloom {

// Contains the failure of the result.
template <typename Failure>
class unread_failure : public std::logic_error {
 public:
  unread_failure(const std::string& text, Failure failure)
      : std::logic_error(text), failure_(std::move(failure)) {}

  const Failure& failure() const noexcept { return failure_; }

 private:
  Failure failure_;
};

}  // namespace anvilloom

#endif  // COMMON_UNREAD_FAILURE_H_
