// Defines failure_domain, a zone whose instances can all be lost or reclaimed
// at the same time, and its region.
#ifndef DOMAINS_FAILURE_DOMAIN_H_
#define DOMAINS_FAILURE_DOMAIN_H_

#include <string>
#include <string_view>

#include "common/time.h"

namespace anvilloom {

// A failure domain as declared in the configuration. Immutable.
class failure_domain {
 public:
  failure_domain(std::string_view name, std::string_view region);

  std::string_view name() const { return name_; }
  std::string_view region() const { return region_; }

 private:
  std::string name_;
  std::string region_;
};

}  // namespace anvilloom

#endif  // DOMAINS_FAILURE_DOMAIN_H_
