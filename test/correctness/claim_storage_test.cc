// Guards against claims that cannot be read back as they were written, and
// against clean-up that deletes open or recent claims.

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <string>
#include <utility>

#include "entry/claim_sweeper.h"
#include "test/support/local_system.h"
#include "wire/claim_json.h"
#include "wire/http_object_store.h"
#include "wire/steady_clock.h"

namespace anvilloom {

namespace {

constexpr std::int64_t kNow = 1'800'000'000;
constexpr std::chrono::hours kRetention{24};
constexpr std::int64_t kTwoDaysInSeconds = 172'800;
constexpr std::int64_t kTwoDaysAgo = kNow - kTwoDaysInSeconds;

claim_record Claim(claim_state state, std::int64_t written_at_s) {
  claim_record record;
  record.state = state;
  record.attempt = "a.1";
  record.owner = "a";
  record.request_digest = "digest";
  record.lease = std::chrono::seconds(5);
  record.written_at_s = written_at_s;
  record.answer.status = 200;
  record.answer.content_type = "text/plain";
  return record;
}

template <typename T>
T Await(boost::asio::io_context& context, awaitable<T> call) {
  auto result =
      boost::asio::co_spawn(context, std::move(call), boost::asio::use_future);
  context.restart();
  context.run();
  return result.get();
}

}  // namespace

SCENARIO("A claim is read back as it was written", "[claim_storage]") {
  GIVEN("a closed claim with a binary answer") {
    claim_record record = Claim(claim_state::kDone, kNow);
    const auto size = GENERATE(0U, 1U, 2U, 3U, 4U, 1000U);
    for (std::size_t i = 0; i < size; ++i) {
      record.answer.body.push_back(static_cast<char>(255 - i % 256));
    }

    THEN("every field is unchanged") {
      const auto read = DecodeClaim(EncodeClaim(record));
      REQUIRE(read);
      CHECK(read->state == record.state);
      CHECK(read->attempt == record.attempt);
      CHECK(read->owner == record.owner);
      CHECK(read->request_digest == record.request_digest);
      CHECK(read->lease == record.lease);
      CHECK(read->written_at_s == record.written_at_s);
      CHECK(read->answer == record.answer);
    }
  }
  GIVEN("an answer above the size limit") {
    claim_record record = Claim(claim_state::kDone, kNow);
    record.answer.body.assign(kMaxStoredBodyBytes + 1, 'x');

    THEN("the claim records that the body was omitted") {
      const auto read = DecodeClaim(EncodeClaim(record));
      REQUIRE(read);
      CHECK(read->answer.omitted);
      CHECK(read->answer.body.empty());
    }
  }
  GIVEN("text that is not a claim") {
    THEN("it is rejected") {
      CHECK_FALSE(DecodeClaim("{}"));
      CHECK_FALSE(DecodeClaim("not JSON"));
      CHECK_FALSE(DecodeClaim(R"({"state":"other"})"));
    }
  }
}

SCENARIO("Clean-up deletes closed claims after the retention period",
         "[claim_storage]") {
  GIVEN("an object API with old and recent claims") {
    local_system system;
    const auto port = system.Start("objects", "standins/standin_objects");
    boost::asio::io_context context(1);
    http_object_store store(context.get_executor(),
                            "127.0.0.1:" + std::to_string(port));
    const deadline until =
        deadline::After(steady_source().Now(), std::chrono::seconds(20));
    const auto put = [&](std::string_view name, const claim_record& record) {
      const std::string text = EncodeClaim(record);
      const auto created =
          Await(context, store.Create(kClaimKind, name, text, until));
      REQUIRE(created.has_value());
    };
    put("old-done", Claim(claim_state::kDone, kTwoDaysAgo));
    put("old-unknown", Claim(claim_state::kUnknown, kTwoDaysAgo));
    put("old-open", Claim(claim_state::kOpen, kTwoDaysAgo));
    put("recent-done", Claim(claim_state::kDone, kNow));

    WHEN("the sweeper runs") {
      const auto deleted =
          Await(context, SweepClaims(store, kNow, kRetention, until));

      THEN("only the old closed ones are deleted") {
        REQUIRE(deleted.has_value());
        CHECK(*deleted == 2);
        const auto left = Await(context, store.List(kClaimKind, until));
        REQUIRE(left.has_value());
        REQUIRE(left->objects.size() == 2);
        CHECK(left->objects[0].name == "old-open");
        CHECK(left->objects[1].name == "recent-done");
      }
    }
    WHEN("the sweeper loses its permission after it has listed the claims") {
      std::function<bool()> may_act = [] { return false; };
      const auto deleted = Await(
          context,
          SweepClaims(store, kNow, kRetention, until, std::move(may_act)));

      THEN("nothing is deleted") {
        REQUIRE(deleted.has_value());
        CHECK(*deleted == 0);
        const auto left = Await(context, store.List(kClaimKind, until));
        REQUIRE(left.has_value());
        CHECK(left->objects.size() == 4);
      }
    }
  }
}

}  // namespace anvilloom
