// Defines announced_service, a service whose upstreams an instance learns of
// from the store.
#ifndef TEST_SUPPORT_ANNOUNCED_SERVICE_H_
#define TEST_SUPPORT_ANNOUNCED_SERVICE_H_

#include <cstddef>
#include <memory>

#include "entry/announced_upstreams.h"

namespace anvilloom {

// The service is named "plans".
struct announced_service {
  announced_service() {
    manifest declared;
    declared.services.emplace_back().name = "plans";
    builder.SetManifest(std::make_shared<const manifest_index>(declared));
  }

  // Number of upstreams that get work.
  std::size_t Serving() {
    return builder.Build()->FindPool("plans")->members.size();
  }

  serving_view_builder builder;
  announced_upstreams upstreams{builder, [] {}};
};

}  // namespace anvilloom

#endif  // TEST_SUPPORT_ANNOUNCED_SERVICE_H_
