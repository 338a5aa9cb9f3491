#include "domains/failure_domain.h"

namespace anvilloom {

failure_domain::failure_domain(std::string_view name, std::string_view region)
    : name_(name), region_(region) {}

proximity Proximity(const failure_domain& left, const failure_domain& right) {
  if (left.name() == right.name()) {
    return proximity::kSameDomain;
  }
  if (left.region() == right.region()) {
    return proximity::kSameRegion;
  }
  return proximity::kOtherRegion;
}

}  // namespace anvilloom
