#include "standins/order_book.h"

#include <algorithm>

namespace anvilloom {

bool order_book::Accept(std::string_view order, std::uint64_t fencing) {
  if (checks_fencing_ && fencing < highest_) {
    return false;
  }
  highest_ = std::max(highest_, fencing);
  accepted_.emplace_back(order);
  return true;
}

std::string order_book::Encode() const {
  std::string text = "[";
  for (const std::string& order : accepted_) {
    text += text.size() > 1 ? "," : "";
    text += order;
  }
  return text + "]";
}

}  // namespace anvilloom
