// Defines CapacityToAppend(), which tells in advance how much memory a string
// takes.
#ifndef LINKS_CAPACITY_H_
#define LINKS_CAPACITY_H_

#include <algorithm>
#include <cstddef>
#include <string>

namespace anvilloom {

// Returns the capacity that `text` should have to append `bytes`. At least
// doubles it when it has to grow, so that appending takes linear time.
inline std::size_t CapacityToAppend(const std::string& text,
                                    std::size_t bytes) {
  const std::size_t needed = text.size() + bytes;
  return needed <= text.capacity() ? text.capacity()
                                   : std::max(needed, 2 * text.capacity());
}

}  // namespace anvilloom

#endif  // LINKS_CAPACITY_H_
