#include "standins/order_log.h"

#include <algorithm>

namespace anvilloom {

bool order_log::Accept(std::string_view order, std::uint64_t fencing) {
  if (checks_fencing_ && fencing < highest_fencing_) {
    return false;
  }
  highest_fencing_ = std::max(highest_fencing_, fencing);
  accepted_.emplace_back(order);
  return true;
}

std::string order_log::Encode() const {
  std::string text = "[";
  for (const std::string& order : accepted_) {
    text += text.size() > 1 ? "," : "";
    text += order;
  }
  return text + "]";
}

}  // namespace anvilloom
