#include "wire/transfer.h"

#include <boost/throw_exception.hpp>

#include "common/unread_failure.h"

namespace anvilloom {

void throw_exception_from_error(const transfer_failure& failure,
                                const boost::source_location& location) {
  boost::throw_exception(
      unread_failure<transfer_failure>(
          "The value of a failed transfer was accessed.", failure),
      location);
}

}  // namespace anvilloom
