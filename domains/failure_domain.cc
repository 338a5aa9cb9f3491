#include "domains/failure_domain.h"

namespace anvilloom {

failure_domain::failure_domain(std::string_view name, std::string_view region)
    : name_(name), region_(region) {}

}  // namespace anvilloom
