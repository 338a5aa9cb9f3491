// Guards against changes in the placement at upstreams that say nothing about
// their load, which the figures of other deployments must not cause.

#include <array>
#include <catch2/catch.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "common/hash.h"
#include "common/random.h"
#include "links/placement.h"

namespace anvilloom {

namespace {

// Returns a digest of the upstreams that 4,000 calls were placed at, while
// calls begin and end, upstreams fail and recover, and reports arrive.
std::uint64_t DigestOfPlacements(bool model, std::uint64_t seed) {
  constexpr std::uint32_t kUpstreams = 7;
  split_mix random(seed);
  upstream_pool pool;
  pool.model = model;
  for (std::uint32_t i = 0; i < kUpstreams; ++i) {
    upstream_announcement announced;
    announced.id = "u" + std::to_string(i);
    announced.domain = i % 2 == 0 ? "a" : "b";
    announced.slots = 6;
    pool.members.push_back(std::make_shared<pooled_upstream>(announced));
  }
  prefix_locations locations;
  const placement_costs costs;
  std::uint64_t digest = seed;
  time_point now{std::chrono::seconds(100)};
  for (int call = 0; call < 4'000; ++call) {
    now += std::chrono::milliseconds(random.NextBelow(40));
    prompt_shape prompt;
    if (model) {
      prompt.prompt_tokens = 1'000 + random.NextBelow(4'000);
      prompt.prefixes = {{random.NextBelow(20) + 1U, 900},
                         {random.Next(), prompt.prompt_tokens}};
    }
    placement_request request;
    request.prompt = &prompt;
    request.domain = "a";
    request.now = now;
    request.random_seed = random.Next();
    request.can_fetch = model;
    const placement chosen = PlaceCall(pool, locations, costs, request);
    REQUIRE(chosen.target);
    digest = CombineHash(digest, chosen.target->hash());
    digest = CombineHash(digest, chosen.unread_tokens);
    pooled_upstream& target = *chosen.target;
    target.Begin(chosen.unread_tokens);
    if (model) {
      RecordPlacement(locations, target, prompt, now);
    }
    pooled_upstream& other = *pool.members[random.NextBelow(kUpstreams)];
    switch (random.NextBelow(8)) {
      case 0:
        other.RecordFailure(now);
        break;
      case 1:
        other.RecordUnreachable(now);
        break;
      case 2:
        other.RecordOverload(now);
        break;
      case 3:
        other.RecordPace(0.5 + random.NextUnit(), now);
        break;
      case 4:
        other.SetPeerLoad(random.NextBelow(6), random.NextBelow(9'000));
        break;
      default:
        other.RecordSuccess();
        break;
    }
    if (random.NextBelow(10) != 0) {
      target.EndPrefill(chosen.unread_tokens);
      target.End();
    }
  }
  return digest;
}

}  // namespace

SCENARIO("Calls go where they went before upstreams could report their load",
         "[placement_unreported]") {
  // Digests of the placements of dd8e2a1, which reads no figures, on each kind
  // of machine: on arm64, multiplications and additions are fused, which rounds
  // costs otherwise.
#ifdef __aarch64__
  constexpr std::array<std::uint64_t, 2> kModel = {0xeb4ee6b63979a4d9U,
                                                   0xcd637972adc8c64eU};
  constexpr std::array<std::uint64_t, 2> kPlain = {0x5ceac6707015c627U,
                                                   0x779802df198f3dcdU};
#else
  constexpr std::array<std::uint64_t, 2> kModel = {0x715cf4d709404U,
                                                   0x354e82abc23d2b0cU};
  constexpr std::array<std::uint64_t, 2> kPlain = {0x9536c4dd3c8b4f26U,
                                                   0xa11628029a48ccbdU};
#endif
  THEN("each call of a model service has the same upstream") {
    CHECK(DigestOfPlacements(true, 1) == kModel[0]);
    CHECK(DigestOfPlacements(true, 2) == kModel[1]);
  }
  THEN("each call of a plain service has the same upstream") {
    CHECK(DigestOfPlacements(false, 1) == kPlain[0]);
    CHECK(DigestOfPlacements(false, 2) == kPlain[1]);
  }
}

}  // namespace anvilloom
