// Lesson 1: deciding a route, in virtual time and without sockets.
//
// The packages common to links hold the decisions. They receive the time and
// all inputs as arguments and return values, so a program without threads and
// sockets can drive them. This lesson declares a small system, builds the
// snapshot that requests read, and asks a policy for an upstream.

#include <cstdlib>
#include <iostream>

#include "links/router.h"
#include "links/topology.h"

namespace {

using anvilloom::configuration;
using anvilloom::deadline;
using anvilloom::time_point;

// What operators write in files, here as typed values: one service, and one
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

// Stops the lesson, and with it its test, when a claim of the text is wrong.
void Expect(bool holds, const char* claim) {
  std::cout << (holds ? "As expected: " : "Not as expected: ") << claim << '\n';
  if (!holds) {
    std::exit(EXIT_FAILURE);
  }
}

}  // namespace

int main() {
  // The snapshot is immutable; a new configuration makes a new one.
  const configuration declared = Declare();
  const auto world =
      anvilloom::topology_builder().Configuration(declared).Build();

  // Virtual time starts where we like. Deadlines are points on its line.
  const time_point now{std::chrono::seconds(100)};
  anvilloom::route_request request;
  request.wanted = *world->FindService("plan");
  request.answer_by = deadline::After(now, std::chrono::seconds(60));

  // Links are the only mutable state: atomics that count what is outstanding.
  anvilloom::least_outstanding policy;
  const auto first = policy.Choose(*world, request, now);
  Expect(first.has_value(), "some engine takes the request.");
  world->link_at(*first).Begin();

  // The first engine has work now, so the other one is chosen.
  const auto second = policy.Choose(*world, request, now);
  Expect(second.has_value() && *second != *first,
         "the next request goes to the other engine.");

  // An engine that leaves gets no new work, however idle it is.
  world->link_at(*second).SetCondition(anvilloom::link_condition::kLeaving);
  const auto third = policy.Choose(*world, request, now);
  Expect(third == first, "a leaving engine is passed over.");

  // When no engine is left the policy returns nothing, and the caller is told
  // that the request did not run.
  request.excluded = {&*first, 1};
  const auto none = policy.Choose(*world, request, now);
  Expect(!none.has_value(), "without an eligible engine there is no route.");
  return EXIT_SUCCESS;
}
