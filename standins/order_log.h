// Defines order_log, which checks the fencing numbers of the orders to an
// engine stand-in and records the accepted orders.
#ifndef STANDINS_ORDER_LOG_H_
#define STANDINS_ORDER_LOG_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace anvilloom {

// Not thread-safe.
class order_log {
 public:
  explicit order_log(bool checks_fencing) : checks_fencing_(checks_fencing) {}

  // Records an order (JSON text). Returns false without recording it if fencing
  // numbers are checked and this one is lower than an accepted one.
  bool Accept(std::string_view order, std::uint64_t fencing);
  // Returns the accepted orders as a JSON array.
  std::string Encode() const;

 private:
  bool checks_fencing_;
  std::uint64_t highest_fencing_ = 0;
  std::vector<std::string> accepted_;
};

}  // namespace anvilloom

#endif  // STANDINS_ORDER_LOG_H_
