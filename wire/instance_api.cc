#include "wire/instance_api.h"

#include <boost/throw_exception.hpp>

#include "common/bad_result_access.h"

namespace anvilloom {

void throw_exception_from_error(instance_error error,
                                const boost::source_location& location) {
  boost::throw_exception(
      bad_result_access<instance_error>(
          "The value of a failed instance API call was accessed.", error),
      location);
}

}  // namespace anvilloom
