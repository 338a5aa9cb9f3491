#include "instances/instance.h"

namespace anvilloom {

instance_builder::instance_builder(std::string_view name) {
  built_.name_ = name;
}

instance_builder& instance_builder::Domain(std::string_view domain) {
  built_.domain_ = domain;
  return *this;
}

instance_builder& instance_builder::MachineClass(
    std::string_view machine_class) {
  built_.machine_class_ = machine_class;
  return *this;
}

instance_builder& instance_builder::PricePerHour(micro_price price) {
  built_.price_per_hour_ = price;
  return *this;
}

instance_builder& instance_builder::Reclaimable(bool reclaimable) {
  built_.reclaimable_ = reclaimable;
  return *this;
}

instance instance_builder::Build() const {
  return built_;
}

}  // namespace anvilloom
