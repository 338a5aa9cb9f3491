// Lesson 1: choosing an upstream, in virtual time and without sockets.
//
// The packages from common to links contain the decisions. They take the time
// and all inputs as arguments and return values, so they can be used without
// threads and sockets. This lesson declares a small system, builds the snapshot
// that requests read, and lets a routing policy choose an upstream.

#include <cstdlib>
#include <iostream>

#include "links/router.h"
#include "links/topology.h"

namespace {

using anvilloom::configuration;
using anvilloom::deadline;
using anvilloom::time_point;

// Returns the configuration that operators write in files: one service, and one
// engine in each of two failure domains.
configuration Declare() {
  configuration declared;
  declared.revision = 1;
  declared.domains.emplace_back("zone-a", "region-1");
  declared.domains.emplace_back("zone-b", "region-1");
  anvilloom::service plan;
  plan.name = "plan";
  plan.model = "stylist";
  declared.services.push_back(plan);
  for (const char* domain : {"zone-a", "zone-b"}) {
    anvilloom::upstream_declaration engine;
    engine.name = std::string("engine-in-") + domain;
    engine.address = "127.0.0.1:9101";
    engine.domain = domain;
    engine.services = {"plan"};
    declared.upstreams.push_back(engine);
  }
  return declared;
}

// Fails the lesson, which also runs as a test, if a condition is false.
void Expect(bool holds, const char* condition) {
  std::cout << (holds ? "As expected: " : "Not as expected: ") << condition
            << '\n';
  if (!holds) {
    std::exit(EXIT_FAILURE);
  }
}

}  // namespace

int main() {
  // The snapshot is immutable; a new configuration yields a new snapshot.
  const configuration declared = Declare();
  const auto snapshot =
      anvilloom::topology_builder().Configuration(declared).Build();

  // Virtual time starts at an arbitrary point. Deadlines are points in time.
  const time_point now{std::chrono::seconds(100)};
  anvilloom::route_request request;
  request.wanted = *snapshot->FindService("plan");
  request.answer_by = deadline::After(now, std::chrono::seconds(60));

  // Links are the only mutable state: they count outstanding work in atomics.
  anvilloom::least_outstanding policy;
  const auto first = policy.Choose(*snapshot, request, now);
  Expect(first.has_value(), "an engine is chosen for the request.");
  snapshot->link_at(*first).Begin();

  // The first engine has an outstanding request, so the other one is chosen.
  const auto second = policy.Choose(*snapshot, request, now);
  Expect(second.has_value() && *second != *first,
         "the next request goes to the other engine.");

  // A leaving engine gets no new requests, even when it is idle.
  snapshot->link_at(*second).SetCondition(anvilloom::link_condition::kLeaving);
  const auto third = policy.Choose(*snapshot, request, now);
  Expect(third == first, "a leaving engine is not chosen.");

  // Without an eligible engine the policy returns nullopt. The caller then gets
  // an error which says that the request did not run.
  request.excluded = {&*first, 1};
  const auto none = policy.Choose(*snapshot, request, now);
  Expect(!none.has_value(), "without an eligible engine there is no route.");
  return EXIT_SUCCESS;
}
