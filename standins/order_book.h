// Defines order_book, the orders that the engine stand-in has accepted and the
// check of their fencing numbers.
#ifndef STANDINS_ORDER_BOOK_H_
#define STANDINS_ORDER_BOOK_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace anvilloom {

// Not thread-safe.
class order_book {
 public:
  explicit order_book(bool checks_fencing) : checks_fencing_(checks_fencing) {}

  // Takes an order (JSON text). False if its fencing number is older than one
  // seen before and the engine checks it.
  bool Accept(std::string_view order, std::uint64_t fencing);
  // The accepted orders as a JSON array.
  std::string Encode() const;

 private:
  bool checks_fencing_;
  std::uint64_t highest_ = 0;
  std::vector<std::string> accepted_;
};

}  // namespace anvilloom

#endif  // STANDINS_ORDER_BOOK_H_
