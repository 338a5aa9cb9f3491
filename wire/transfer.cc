#include "wire/transfer.h"

#include <boost/throw_exception.hpp>

#include "common/bad_result_access.h"

namespace anvilloom {

void throw_exception_from_error(const transfer_failure& failure,
                                const boost::source_location& location) {
  boost::throw_exception(
      bad_result_access<transfer_failure>(
          "The value of a failed transfer was accessed.", failure),
      location);
}

}  // namespace anvilloom
