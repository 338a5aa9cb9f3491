// Defines instance, a machine rented from the cloud, with its failure domain,
// machine class and price, and whether it can be reclaimed.
#ifndef INSTANCES_INSTANCE_H_
#define INSTANCES_INSTANCE_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace anvilloom {

// Price in millionths of a currency unit per hour, so that sums are exact.
using micro_price = std::int64_t;

// A machine of the fleet, as the configuration and the cloud describe it.
class instance {
 public:
  std::string_view name() const { return name_; }
  // Name of the failure domain that contains the instance.
  std::string_view domain() const { return domain_; }
  std::string_view machine_class() const { return machine_class_; }
  micro_price price_per_hour() const { return price_per_hour_; }
  bool reclaimable() const { return reclaimable_; }

 private:
  friend class instance_builder;

  std::string name_;
  std::string domain_;
  std::string machine_class_;
  micro_price price_per_hour_ = 0;
  bool reclaimable_ = false;
};

// Builder for instance. Fields that are not set keep their defaults.
class instance_builder {
 public:
  explicit instance_builder(std::string_view name);

  instance_builder& Domain(std::string_view domain);
  instance_builder& MachineClass(std::string_view machine_class);
  instance_builder& PricePerHour(micro_price price);
  instance_builder& Reclaimable(bool reclaimable);

  instance Build() const;

 private:
  instance built_;
};

}  // namespace anvilloom

#endif  // INSTANCES_INSTANCE_H_
