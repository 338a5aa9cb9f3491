#include "wire/instance_api.h"

#include <stdexcept>

namespace anvilloom {

void throw_exception_from_error(instance_error /*error*/,
                                const boost::source_location& /*location*/) {
  throw std::logic_error("A failed instance call was read as a value.");
}

}  // namespace anvilloom
