// Guards against throwing standard exception types when the value of a failed
// result is read, because exception handlers could not tell them apart.

#include <catch2/catch.hpp>

#include "common/bad_result_access.h"
#include "ctl/publish_result.h"
#include "wire/instance_api.h"
#include "wire/object_store.h"
#include "wire/transfer.h"

namespace anvilloom {

SCENARIO("Reading the value of a failed result throws bad_result_access",
         "[bad_result_access]") {
  GIVEN("failed results of each kind of call") {
    const transfer_result<int> transfer =
        transfer_failure{transfer_error::kTimedOut, true};
    const store_result<int> store = store_error::kConflict;
    const instance_result<int> order = instance_error::kNoCapacity;
    const publish_result<int> published =
        publish_failure{publish_error::kUnreadable, 0, {}, {}};

    THEN("the exception carries the failure") {
      CHECK_THROWS_AS(store.value(), bad_result_access<store_error>);
      CHECK_THROWS_AS(order.value(), bad_result_access<instance_error>);
      CHECK_THROWS_AS(published.value(), bad_result_access<publish_failure>);
      try {
        (void)transfer.value();
        FAIL("A failed transfer has no value.");
      } catch (const bad_result_access<transfer_failure>& thrown) {
        CHECK(thrown.failure().error == transfer_error::kTimedOut);
        CHECK(thrown.failure().sent);
      }
    }
  }
}

}  // namespace anvilloom
