#include "wire/object_store.h"

#include <stdexcept>

namespace anvilloom {

void throw_exception_from_error(store_error /*error*/,
                                const boost::source_location& /*location*/) {
  throw std::logic_error("A failed store call was read as a value.");
}

}  // namespace anvilloom
