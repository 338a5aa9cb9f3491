// Defines test_topology_builder, a configuration with one model service whose
// upstreams a test lists, and the topology built from it.
#ifndef TEST_SUPPORT_TEST_TOPOLOGY_BUILDER_H_
#define TEST_SUPPORT_TEST_TOPOLOGY_BUILDER_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "contracts/configuration.h"
#include "links/router.h"
#include "links/topology.h"

namespace anvilloom {

// Upstreams are indexed in the order of the Upstream() calls.
class test_topology_builder {
 public:
  explicit test_topology_builder(const contract& terms = {}) {
    declared_.revision = 1;
    service chat;
    chat.name = "chat";
    chat.terms = terms;
    declared_.services.push_back(chat);
  }

  test_topology_builder& Upstream(std::string_view domain,
                                  std::int64_t price_per_hour,
                                  bool reclaimable = false,
                                  std::uint32_t slots = 16) {
    upstream_declaration added;
    added.name = "engine-" + std::to_string(declared_.upstreams.size());
    added.domain = domain;
    added.price_per_hour = price_per_hour;
    added.reclaimable = reclaimable;
    added.slots = slots;
    added.services = {"chat"};
    declared_.upstreams.push_back(added);
    return *this;
  }

  test_topology_builder& Workspace(std::string_view name,
                                   std::uint32_t weight = 1) {
    workspace added;
    added.name = name;
    added.credential_digest = name;
    added.weight = weight;
    declared_.workspaces.push_back(added);
    return *this;
  }

  configuration& declared() { return declared_; }

  std::unique_ptr<const topology> Build() const {
    return topology_builder().Configuration(declared_).Build();
  }

 private:
  configuration declared_;
};

// A chat request of usual size, without deadlines.
inline route_request ChatRequest(std::uint64_t prefix = 0) {
  route_request request;
  request.wanted = service_index{0};
  request.prefix_hash = prefix;
  request.prompt_tokens = 400;
  request.answer_tokens = 200;
  return request;
}

}  // namespace anvilloom

#endif  // TEST_SUPPORT_TEST_TOPOLOGY_BUILDER_H_
