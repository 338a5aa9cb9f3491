#include "wire/object_store.h"

#include <boost/throw_exception.hpp>

#include "common/bad_result_access.h"

namespace anvilloom {

void throw_exception_from_error(store_error error,
                                const boost::source_location& location) {
  boost::throw_exception(
      bad_result_access<store_error>(
          "The value of a failed object API call was accessed.", error),
      location);
}

}  // namespace anvilloom
