// Defines unread_failure, thrown when a result that holds a failure is read as
// a value. It shows a fault of the program, not of the call.
#ifndef COMMON_UNREAD_FAILURE_H_
#define COMMON_UNREAD_FAILURE_H_

#include <stdexcept>
#include <string>
#include <utility>

namespace anvilloom {

// Carries the failure that the result holds.
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
