#include "wire/transfer.h"

#include <stdexcept>

namespace anvilloom {

void throw_exception_from_error(const transfer_failure& /*failure*/,
                                const boost::source_location& /*location*/) {
  throw std::logic_error("A failed transfer was read as a value.");
}

}  // namespace anvilloom
