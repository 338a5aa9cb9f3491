#include "wire/instance_api.h"

#include <boost/throw_exception.hpp>

#include "common/unread_failure.h"

namespace anvilloom {

void throw_exception_from_error(instance_error error,
                                const boost::source_location& location) {
  boost::throw_exception(
      unread_failure<instance_error>(
          "The value of a failed instance API call was accessed.", error),
      location);
}

}  // namespace anvilloom
