// Guards against moves that recompute more tokens than necessary, that take
// longer than the notice period, or that import a KV cache into an engine with
// another model version.

#include "links/reclaim_plan.h"

#include <catch2/catch.hpp>
#include <random>
#include <vector>

namespace anvilloom {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point kNow{duration(1'000'000)};

moving_stream LongStream() {
  moving_stream stream;
  stream.prompt_tokens = 2000;
  stream.generated = 500;
  stream.remaining = 1000;
  stream.token_interval = milliseconds(50);
  return stream;
}

deadline In(duration left) {
  return deadline::After(kNow, left);
}

}  // namespace

SCENARIO(
    "A stream on a leaving upstream recomputes as few tokens as possible") {
  const move_target same{upstream_index{1}, true, 0, 5};
  const move_target patched{upstream_index{2}, false, 0, 0};
  const move_target cached{upstream_index{3}, false, 2000, 0};

  GIVEN("a stream with 50 s left to run") {
    const moving_stream stream = LongStream();

    WHEN("the notice period is longer than that") {
      const auto choice =
          PlanMove(stream, std::vector{same}, In(seconds(60)), kNow);

      THEN("it runs to its end on the upstream") {
        REQUIRE(choice->action == reclaim_action::kRunToEnd);
        REQUIRE(choice->recomputed_tokens == 0);
      }
    }

    WHEN("the time of the reclaim is not known") {
      const auto choice =
          PlanMove(stream, std::vector{same}, deadline::Never(), kNow);

      THEN("it keeps running on the upstream") {
        REQUIRE(choice->action == reclaim_action::kRunToEnd);
      }
    }

    WHEN("the notice period is long enough for an export") {
      const auto choice = PlanMove(stream, std::vector{patched, cached, same},
                                   In(seconds(2)), kNow);

      THEN("the cache is exported to the engine with the same version") {
        REQUIRE(choice->action == reclaim_action::kExport);
        REQUIRE(choice->target == same.where);
        // Tokens that the source generates in the 282 ms of the transfer.
        REQUIRE(choice->recomputed_tokens == 5);
      }
    }

    WHEN("no engine has the same version") {
      const auto choice =
          PlanMove(stream, std::vector{patched, cached}, In(seconds(2)), kNow);

      THEN("it is prefilled where the prompt is cached") {
        REQUIRE(choice->action == reclaim_action::kReprefill);
        REQUIRE(choice->target == cached.where);
        REQUIRE(choice->recomputed_tokens == 500);
      }
    }

    WHEN("the notice period is too short for an export") {
      const auto choice = PlanMove(stream, std::vector{same, cached},
                                   In(milliseconds(400)), kNow);

      THEN("it is prefilled") {
        REQUIRE(choice->action == reclaim_action::kReprefill);
        REQUIRE(choice->target == cached.where);
      }
    }

    WHEN("twenty entry instances export at once and share the network") {
      move_costs shared;
      shared.export_per_token *= 20;
      const auto choice =
          PlanMove(stream, std::vector{same}, In(seconds(2)), kNow, shared);

      THEN("the export would take too long, and it is prefilled") {
        REQUIRE(choice->action == reclaim_action::kReprefill);
      }
    }

    WHEN("another stream is being exported") {
      moving_stream next = stream;
      next.until_free = milliseconds(300);

      THEN("it waits while there is enough time for both") {
        REQUIRE(
            PlanMove(next, std::vector{same}, In(seconds(2)), kNow)->action ==
            reclaim_action::kAwaitExport);
      }
      THEN("it is prefilled if there is not") {
        REQUIRE(PlanMove(next, std::vector{same}, In(milliseconds(500)), kNow)
                    ->action == reclaim_action::kReprefill);
      }
    }

    WHEN("the export failed before") {
      moving_stream failed = stream;
      failed.may_export = false;
      const auto choice =
          PlanMove(failed, std::vector{same}, In(seconds(2)), kNow);

      THEN("it is prefilled") {
        REQUIRE(choice->action == reclaim_action::kReprefill);
      }
    }

    WHEN("there is no target") {
      const auto choice = PlanMove(stream, {}, In(seconds(2)), kNow);

      THEN("there is no choice, and the caller has to plan again") {
        REQUIRE(!choice);
      }
    }

    WHEN("two targets cost the same") {
      move_target busy = same;
      busy.where = upstream_index{7};
      busy.outstanding_requests = 50;
      const auto choice =
          PlanMove(stream, std::vector{busy, same}, In(seconds(2)), kNow);

      THEN("the one with fewer outstanding requests is chosen") {
        REQUIRE(choice->target == same.where);
      }
    }
  }
}

SCENARIO("Plans satisfy their invariants for random streams and notices") {
  GIVEN("schedules from fixed seeds") {
    const unsigned seed = GENERATE(1U, 2U, 3U, 4U, 5U);
    CAPTURE(seed);
    std::mt19937 random(seed);
    const auto below = [&](std::uint32_t bound) {
      return static_cast<std::uint32_t>(random() % bound);
    };

    THEN("no plan uses another version, ends late or exceeds a prefill") {
      for (int round = 0; round < 2000; ++round) {
        moving_stream stream;
        stream.prompt_tokens = 1 + below(8000);
        stream.generated = below(4000);
        stream.remaining = below(4000);
        stream.token_interval = milliseconds(1 + below(100));
        stream.until_free = milliseconds(below(2) * below(3000));
        move_costs costs;
        costs.export_per_token *= 1 + below(30);
        std::vector<move_target> targets;
        const std::uint32_t count = below(6);
        for (std::uint32_t i = 0; i < count; ++i) {
          targets.push_back(
              {upstream_index{i}, below(2) == 0, below(9000), below(40)});
        }
        const duration left = milliseconds(below(30'000));
        const auto choice = PlanMove(stream, targets, In(left), kNow, costs);
        if (!choice) {
          REQUIRE(targets.empty());
          continue;
        }
        if (choice->action == reclaim_action::kRunToEnd) {
          REQUIRE(stream.token_interval * stream.remaining <= left);
          continue;
        }
        const auto chosen = static_cast<std::uint32_t>(*choice->target);
        const bool by_export = choice->action == reclaim_action::kExport ||
                               choice->action == reclaim_action::kAwaitExport;
        if (by_export) {
          REQUIRE((choice->action == reclaim_action::kAwaitExport) ==
                  (stream.until_free > duration::zero()));
          REQUIRE(targets[chosen].same_version);
          REQUIRE(stream.token_interval * choice->recomputed_tokens <= left);
        }
        for (const move_target& other : targets) {
          const std::uint32_t cached =
              std::min(other.cached_tokens, stream.prompt_tokens);
          REQUIRE(choice->recomputed_tokens <=
                  stream.prompt_tokens + stream.generated - cached);
        }
      }
    }
  }
}

}  // namespace anvilloom
