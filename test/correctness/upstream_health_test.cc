// Guards against new work for an upstream that was changed without notice or
// gives wrong answers, and against quarantines that leave a service without
// upstreams.

#include <catch2/catch.hpp>
#include <random>

#include "links/health.h"
#include "links/least_cost.h"

namespace anvilloom {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// An upstream with its link and health, reviewed at the interval of the entry
// instance.
class reviewed_upstream {
 public:
  link& path() { return path_; }

  link_condition Review(bool is_last = false) {
    now_ += milliseconds(50);
    const link_condition next = health_.Review(path_.health(), now_, is_last);
    path_.SetCondition(next);
    return next;
  }

  link_condition ReviewFor(duration time) {
    for (const time_point end = now_ + time; now_ < end;) {
      Review();
    }
    return path_.condition();
  }

  // A good answer of ten tokens.
  void Answer(duration interval, std::uint64_t version = 1) {
    path_.ObserveVersion(version, now_);
    for (int i = 0; i < 10; ++i) {
      path_.ObserveTokenInterval(interval);
    }
    path_.RecordSuccess();
    path_.RecordGoodAnswer();
  }

  // Alternates answers and reviews.
  void AnswerAndReview(int times, duration interval) {
    for (int i = 0; i < times; ++i) {
      Answer(interval);
      Review();
    }
  }

  void EstablishBaseline() { AnswerAndReview(60, milliseconds(20)); }

  // Alternates answers and reviews while the upstream is healthy, at most 100
  // times. Returns the number of reviews.
  int AnswerWhileHealthy(duration interval) {
    int reviews = 0;
    while (path_.condition() == link_condition::kHealthy && reviews < 100) {
      AnswerAndReview(1, interval);
      ++reviews;
    }
    return reviews;
  }

  time_point now() const { return now_; }
  const upstream_health& health() const { return health_; }

 private:
  link path_{"engine-1"};
  upstream_health health_;
  time_point now_{duration(1)};
};

}  // namespace

SCENARIO("An upstream changed without notice is quarantined and readmitted") {
  GIVEN("an upstream with an established baseline") {
    reviewed_upstream upstream;
    upstream.EstablishBaseline();
    REQUIRE(upstream.path().condition() == link_condition::kHealthy);
    least_cost policy;
    policy.CacheStored(77, upstream.path().upstream_name(), upstream.now());
    REQUIRE(policy.IsCached(77, upstream.path()));

    WHEN("an answer shows another model version") {
      upstream.Answer(milliseconds(20), 2);
      upstream.Review();

      THEN("it gets no new work and its cache is no longer trusted") {
        REQUIRE(!upstream.path().takes_new_work());
        REQUIRE(upstream.health().cause() == health_cause::kVersionChange);
        REQUIRE(!policy.IsCached(77, upstream.path()));
      }

      AND_WHEN("the quarantine has passed") {
        REQUIRE(upstream.ReviewFor(seconds(3)) == link_condition::kProbation);

        THEN("it takes only a few requests at once") {
          REQUIRE(upstream.path().takes_new_work());
          upstream.path().Begin();
          upstream.path().Begin();
          REQUIRE(!upstream.path().takes_new_work());
        }

        THEN("good answers end the probation") {
          for (int i = 0; i < 3; ++i) {
            upstream.Answer(milliseconds(20), 2);
          }
          REQUIRE(upstream.Review() == link_condition::kHealthy);
        }

        THEN("a failure quarantines it for twice as long") {
          upstream.path().RecordFailure();
          REQUIRE(upstream.Review() == link_condition::kQuarantined);
          REQUIRE(upstream.ReviewFor(milliseconds(3500)) ==
                  link_condition::kQuarantined);
          REQUIRE(upstream.ReviewFor(seconds(1)) == link_condition::kProbation);
        }
      }
    }

    WHEN("its tokens take three times as long at the same load") {
      const int reviews = upstream.AnswerWhileHealthy(milliseconds(60));

      THEN("the shift is detected within 20 reviews") {
        REQUIRE(upstream.health().cause() == health_cause::kLatencyShift);
        REQUIRE(reviews <= 20);
      }
    }

    WHEN("its tokens take longer because its load has increased") {
      for (int i = 0; i < 8; ++i) {
        upstream.path().Begin();
      }
      upstream.AnswerAndReview(100, milliseconds(60));

      THEN("it stays healthy") {
        REQUIRE(upstream.path().condition() == link_condition::kHealthy);
        // The condition alone does not show a quarantine that has ended.
        REQUIRE(upstream.health().cause() == health_cause::kNone);
      }
    }

    WHEN("it becomes slower, and calls that last longer increase its load") {
      for (int i = 0; i < 4; ++i) {
        upstream.path().Begin();
      }
      upstream.AnswerAndReview(40, milliseconds(80));
      REQUIRE(upstream.path().condition() == link_condition::kHealthy);
      for (int i = 0; i < 4; ++i) {
        upstream.path().End();
      }
      const int reviews = upstream.AnswerWhileHealthy(milliseconds(80));

      THEN("the shift is detected once they have ended") {
        REQUIRE(upstream.health().cause() == health_cause::kLatencyShift);
        REQUIRE(reviews <= 20);
      }
    }

    WHEN("it becomes slower and answers one call at a time") {
      int tokens = 0;
      while (upstream.path().condition() == link_condition::kHealthy &&
             tokens < 200) {
        upstream.path().ObserveTokenInterval(milliseconds(80));
        upstream.Review();
        ++tokens;
      }

      THEN("the shift is detected within a hundred tokens") {
        REQUIRE(upstream.health().cause() == health_cause::kLatencyShift);
        REQUIRE(tokens <= 100);
      }
    }

    WHEN("its load increases permanently") {
      for (int i = 0; i < 8; ++i) {
        upstream.path().Begin();
      }
      upstream.AnswerAndReview(500, milliseconds(60));
      REQUIRE(upstream.path().condition() == link_condition::kHealthy);
      const int reviews = upstream.AnswerWhileHealthy(milliseconds(200));

      THEN("the baseline includes it, and a further shift is detected") {
        REQUIRE(upstream.health().cause() == health_cause::kLatencyShift);
        REQUIRE(reviews <= 20);
      }
    }

    WHEN("one answer is malformed") {
      upstream.path().RecordBadAnswer();

      THEN("it stays healthy") {
        REQUIRE(upstream.Review() == link_condition::kHealthy);
      }
    }

    WHEN("two answers are malformed a second apart") {
      upstream.path().RecordBadAnswer();
      upstream.ReviewFor(seconds(1));

      THEN("the second one quarantines it despite its few requests") {
        upstream.path().RecordBadAnswer();
        REQUIRE(upstream.Review() == link_condition::kQuarantined);
        REQUIRE(upstream.health().cause() == health_cause::kBadAnswers);
      }

      THEN("a good answer in between prevents the quarantine") {
        upstream.Answer(milliseconds(20));
        upstream.Review();
        upstream.path().RecordBadAnswer();
        REQUIRE(upstream.Review() == link_condition::kHealthy);
      }
    }

    WHEN("several answers are malformed or mismatched") {
      upstream.path().RecordBadAnswer();
      upstream.path().RecordBadAnswer();

      THEN("it is quarantined") {
        REQUIRE(upstream.Review() == link_condition::kQuarantined);
        REQUIRE(upstream.health().cause() == health_cause::kBadAnswers);
      }
    }

    WHEN("three calls fail in a row") {
      for (int i = 0; i < 3; ++i) {
        upstream.path().RecordFailure();
      }

      THEN("it is quarantined") {
        REQUIRE(upstream.Review() == link_condition::kQuarantined);
      }

      THEN("it stays healthy if it is the last one of its service") {
        REQUIRE(upstream.Review(true) == link_condition::kHealthy);
      }
    }
  }
}

SCENARIO("An upstream recovers after any sequence of observations") {
  GIVEN("random observations from fixed seeds") {
    const unsigned seed = GENERATE(11U, 12U, 13U, 14U);
    CAPTURE(seed);
    std::mt19937 random(seed);
    reviewed_upstream upstream;
    for (int i = 0; i < 500; ++i) {
      switch (random() % 5) {
        case 0:
          upstream.path().RecordFailure();
          break;
        case 1:
          upstream.path().RecordBadAnswer();
          break;
        case 2:
          upstream.Answer(milliseconds(10 + random() % 100), 1 + random() % 2);
          break;
        default:
          break;
      }
      upstream.Review();
    }

    WHEN("it gives only good answers from then on") {
      for (int i = 0; i < 3000; ++i) {
        if (upstream.path().takes_new_work()) {
          upstream.Answer(milliseconds(20));
        }
        upstream.Review();
      }

      THEN("it is healthy again") {
        REQUIRE(upstream.path().condition() == link_condition::kHealthy);
      }
    }
  }
}

SCENARIO("Sources that report a leaving upstream are independent") {
  GIVEN("a link") {
    link path("engine-1");

    WHEN("two sources report that it is leaving and one is cleared") {
      path.SetLeaving(leaving_source::kNotice, true);
      path.SetLeaving(leaving_source::kList, true);
      path.SetLeaving(leaving_source::kList, false);

      THEN("it is still leaving, even if it is healthy") {
        path.SetCondition(link_condition::kHealthy);
        REQUIRE(path.condition() == link_condition::kLeaving);
        REQUIRE(!path.takes_new_work());
        path.SetLeaving(leaving_source::kNotice, false);
        REQUIRE(path.takes_new_work());
      }
    }
  }
}

}  // namespace anvilloom
