// Guards the enforcement of limits and admission control: a refused request
// must not run, and its caller must learn when to retry.

#include <catch2/catch.hpp>

#include "entry/admission_gate.h"
#include "test/support/test_topology_builder.h"

namespace anvilloom {

SCENARIO("An entry instance that joins others is ready after its hold-down",
         "[admission_gate]") {
  GIVEN("a process with a configuration") {
    process_state process{entry_settings{}};
    process.revision_in_force.store(1);
    REQUIRE(process.ready());

    WHEN("it has just joined") {
      process.share.Join(process.clock.Now());

      THEN("it is not ready, since its limits would refuse callers") {
        REQUIRE_FALSE(process.ready());
      }
    }
    WHEN("its hold-down has passed") {
      process.share.Join(process.clock.Now() - limit_share::kDefaultHoldDown);

      THEN("it is ready") {
        REQUIRE(process.ready());
      }
    }
  }
}

SCENARIO("Limits are applied before requests run", "[admission_gate]") {
  GIVEN("a process with one engine and a workspace of 1,000 tokens a second") {
    process_state process{entry_settings{}};
    test_topology_builder declared;
    declared.Upstream("a", 1'000'000).Workspace("studio");
    declared.declared().workspaces[0].tokens_per_second = 1000;
    process.world.Publish(declared.Build());
    const service target = declared.declared().services[0];
    const time_point now = process.clock.Now();
    route_request routing = ChatRequest();
    routing.answer_by = deadline::After(now, std::chrono::seconds(60));

    const auto Account = [&] {
      const rcu_read_guard guard;
      return process.world.Read(guard).accounts()[0];
    };

    WHEN("a request of 600 tokens arrives") {
      auto first = AdmitRequest(process, "studio", target, routing, now);
      REQUIRE_FALSE(first.refused);
      REQUIRE(Account()->admitted_tokens(now) == 600);

      THEN("a second one is refused, with a time at which to retry") {
        const auto second =
            AdmitRequest(process, "studio", target, routing, now);
        REQUIRE(second.refused);
        REQUIRE(second.refused->code == refusal_code::kWorkspaceLimit);
        REQUIRE(second.refused->ran == outcome::kNotRun);
        REQUIRE(second.refused->retry_at);
        REQUIRE(Account()->requests_in_flight() == 1);
      }
      AND_WHEN("it ends without using any tokens") {
        {
          const admission_ticket ended = std::move(first.ticket);
          REQUIRE(Account()->requests_in_flight() == 1);
        }
        first.ticket.Settle(0);

        THEN("its share of the account is released exactly once") {
          REQUIRE(Account()->requests_in_flight() == 0);
        }
      }
      AND_WHEN("the configuration changes while it runs") {
        declared.declared().revision = 2;
        std::unique_ptr<const topology> next;
        {
          const rcu_read_guard guard;
          next = topology_builder()
                     .Configuration(declared.declared())
                     .ReuseLinksAndAccounts(process.world.Read(guard))
                     .Build();
        }
        process.world.Publish(std::move(next));

        THEN("it still counts against the limit") {
          REQUIRE(Account()->requests_in_flight() == 1);
          REQUIRE(
              AdmitRequest(process, "studio", target, routing, now).refused);
        }
      }
    }

    WHEN("the engine has more requests than it can serve within the target") {
      const auto engine = [&] {
        const rcu_read_guard guard;
        return process.world.Read(guard).shared_link_at(upstream_index{0});
      }();
      engine->Report({.running = 16, .waiting = 40}, now);
      Account()->Begin(5000, now);

      THEN("the request is refused as overloaded, with a retry time") {
        const auto refused =
            AdmitRequest(process, "studio", target, routing, now);
        REQUIRE(refused.refused);
        REQUIRE(refused.refused->code == refusal_code::kOverloaded);
        REQUIRE(refused.refused->retry_at);
      }
    }

    WHEN("all tokens of the workspace are used and it calls a plain service") {
      const auto first = AdmitRequest(process, "studio", target, routing, now);
      REQUIRE_FALSE(first.refused);
      service plain = target;
      plain.kind = service_kind::kPlain;
      const auto call = AdmitRequest(process, "studio", plain, {}, now);

      THEN("the call, which uses no tokens, is admitted and counted") {
        REQUIRE_FALSE(call.refused);
        REQUIRE(Account()->admitted_calls(now) == 1);
        REQUIRE(Account()->requests_in_flight() == 2);
      }
    }

    WHEN("the workspace or service is gone from the topology") {
      THEN("admission leaves the refusal to routing") {
        REQUIRE_FALSE(
            AdmitRequest(process, "other", target, routing, now).refused);
      }
    }
  }
}

SCENARIO("Calls to plain services are shed only by declared slots",
         "[admission_gate]") {
  GIVEN("a plain service whose upstream holds twice its slots") {
    const bool stated = GENERATE(false, true);
    process_state process{entry_settings{}};
    test_topology_builder declared;
    declared.Upstream("a", 0).Workspace("studio").Workspace("other");
    declared.declared().services[0].kind = service_kind::kPlain;
    declared.declared().upstreams[0].slots_declared = stated;
    process.world.Publish(declared.Build());
    const service target = declared.declared().services[0];
    const time_point now = process.clock.Now();
    {
      const rcu_read_guard guard;
      const topology& world = process.world.Read(guard);
      for (int i = 0; i < 32; ++i) {
        world.link_at(upstream_index{0}).Begin();
        world.accounts()[1]->BeginCall(now);
      }
    }

    WHEN("a call arrives") {
      const auto result = AdmitRequest(process, "studio", target, {}, now);

      THEN("it is refused only if the operator declares the slots") {
        // The default number of slots is that of an engine, so the load is not
        // known unless the slots are declared.
        REQUIRE(result.refused.has_value() == stated);
        if (stated) {
          REQUIRE(result.refused->code == refusal_code::kOverloaded);
          REQUIRE(result.refused->ran == outcome::kNotRun);
          REQUIRE(result.refused->retry_at);
        }
      }
    }
  }

  GIVEN("a plain service just above the load at which its calls are shed") {
    process_state process{entry_settings{}};
    test_topology_builder declared;
    declared.Upstream("a", 0).Workspace("studio").Workspace("other");
    declared.declared().services[0].kind = service_kind::kPlain;
    declared.declared().upstreams[0].slots_declared = true;
    process.world.Publish(declared.Build());
    const service target = declared.declared().services[0];
    const time_point now = process.clock.Now();
    {
      const rcu_read_guard guard;
      const topology& world = process.world.Read(guard);
      for (int i = 0; i < 16; ++i) {
        world.link_at(upstream_index{0}).Begin();
        world.accounts()[1]->BeginCall(now);
      }
    }

    THEN("the workspace below its share is admitted, the one above is not") {
      REQUIRE_FALSE(AdmitRequest(process, "studio", target, {}, now).refused);
      REQUIRE(AdmitRequest(process, "other", target, {}, now).refused);
    }
  }
}

}  // namespace anvilloom
