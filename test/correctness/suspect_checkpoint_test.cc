// Guards against suspected prompt parts that are lost with all processes
// although they had been stored, and against calls to the store without need.

#include "entry/suspect_checkpoint.h"

#include <catch2/catch.hpp>
#include <string_view>

#include "test/support/recoverable_store.h"
#include "test/support/remembered_suspects.h"

namespace anvilloom {

namespace {

using std::chrono::seconds;

deadline Soon() {
  return deadline::After(time_point{}, seconds(1));
}

// Counts the calls to a store.
class counted_store : public seen_store {
 public:
  using seen_store::seen_store;

  awaitable<store_result<stored_object>> Get(std::string_view kind,
                                             std::string_view name,
                                             deadline until) {
    ++calls;
    return seen_store::Get(kind, name, until);
  }
  awaitable<version_result> Create(std::string_view kind,
                                   std::string_view name,
                                   std::string_view value,
                                   deadline until) {
    ++calls;
    return seen_store::Create(kind, name, value, until);
  }
  awaitable<version_result> Update(std::string_view kind,
                                   std::string_view name,
                                   std::uint64_t version,
                                   std::string_view value,
                                   deadline until) {
    ++calls;
    return seen_store::Update(kind, name, version, value, until);
  }

  int calls = 0;
};

// An instance from its start until it is killed.
struct process {
  explicit process(recoverable_store& shared) : store(shared, era) {}

  bool Load() { return RunCall(checkpoint.Load(Soon())); }
  bool Save() { return RunCall(checkpoint.Save(Soon())); }

  store_era era;
  counted_store store;
  remembered_suspects memory;
  suspect_checkpoint<counted_store, remembered_suspects> checkpoint{store, era,
                                                                    memory};
};

constexpr std::uint64_t kFirst = 11;
constexpr std::uint64_t kSecond = 12;

}  // namespace

SCENARIO("Suspected parts outlive all processes", "[suspect_checkpoint]") {
  recoverable_store store;
  GIVEN("a stored part that is blocked") {
    process before(store);
    before.memory.RecordEnds(kFirst, 3);
    REQUIRE(before.Save());

    WHEN("an instance starts") {
      process after(store);
      REQUIRE(after.Load());
      THEN("it blocks the part and has nothing to store") {
        REQUIRE(after.memory.known.blocked() == 1);
        REQUIRE(after.checkpoint.IsSaved());
      }
      AND_WHEN("an upstream ends under another part") {
        after.memory.RecordEnds(kSecond, 1);
        REQUIRE_FALSE(after.checkpoint.IsSaved());
        REQUIRE(after.Save());
        THEN("both parts are stored") {
          process next(store);
          REQUIRE(next.Load());
          REQUIRE(next.memory.known.size() == 2);
        }
      }
    }

    // Guards against a list that is replaced by what an instance has learned
    // since, because the store was away when it started.
    WHEN("an instance starts while the store is away") {
      process after(store);
      store.loss = 1;
      REQUIRE_FALSE(after.Load());
      REQUIRE_FALSE(after.checkpoint.loaded());
      after.memory.RecordEnds(kSecond, 3);
      REQUIRE_FALSE(after.Save());

      AND_WHEN("the store is back") {
        store.loss = 0;
        REQUIRE(after.Save());
        THEN("it has learned the stored part and keeps it in the store") {
          REQUIRE(after.memory.known.blocked() == 2);
          process next(store);
          REQUIRE(next.Load());
          REQUIRE(next.memory.known.blocked() == 2);
        }
      }
    }

    // Guards against a part that one of two writers drops because it has not
    // read what the other one wrote.
    WHEN("two instances store what each has learned") {
      process one(store);
      process other(store);
      REQUIRE(one.Load());
      REQUIRE(other.Load());
      one.memory.RecordEnds(kSecond, 1);
      other.memory.RecordEnds(kSecond + 1, 1);
      REQUIRE(one.Save());
      REQUIRE_FALSE(other.Save());
      REQUIRE(other.Save());
      THEN("all parts are stored") {
        process next(store);
        REQUIRE(next.Load());
        REQUIRE(next.memory.known.size() == 3);
      }
    }

    WHEN("a call with the part is answered") {
      before.memory.known.RecordAnswer(std::vector<std::uint64_t>{kFirst},
                                       before.memory.now);
      REQUIRE(before.Save());
      THEN("the part is no longer stored") {
        process next(store);
        REQUIRE(next.Load());
        REQUIRE(next.memory.known.size() == 0);
      }
    }
  }
}

SCENARIO("Parts are stored with few calls", "[suspect_checkpoint]") {
  recoverable_store store;
  process running(store);

  GIVEN("an instance that knows no parts") {
    REQUIRE(running.Load());
    THEN("it reads the store once") {
      REQUIRE(running.Save());
      REQUIRE(running.Load());
      REQUIRE(running.store.calls == 1);
    }
    WHEN("its parts change twice") {
      for (const std::uint64_t part : {kFirst, kSecond}) {
        running.memory.RecordEnds(part, 1);
        REQUIRE(running.Save());
        REQUIRE(running.Save());
      }
      THEN("it writes twice and reads nothing again") {
        REQUIRE(running.store.calls == 3);
      }
    }
  }
  GIVEN("two instances that know the same parts") {
    running.memory.RecordEnds(kFirst, 3);
    running.memory.RecordEnds(kSecond, 1);
    process other(store);
    other.memory = running.memory;
    store.TakeCopy();
    REQUIRE(running.Save());
    REQUIRE(RunCall(other.checkpoint.Restore(Soon())));
    WHEN("the store comes back from a copy without the parts") {
      store.Recover();
      running.store.calls = 0;
      other.store.calls = 0;
      for (process* each : {&running, &other}) {
        RunCall(each->store.Get("any", "any", Soon()));
        REQUIRE(each->checkpoint.MayBeLost());
        REQUIRE(RunCall(each->checkpoint.Restore(Soon())));
      }
      THEN("the first one reads and writes, the other one only reads") {
        constexpr int kCallsBefore = 1;
        CHECK(running.store.calls == kCallsBefore + 2);
        CHECK(other.store.calls == kCallsBefore + 1);
      }
      THEN("neither has anything left to store") {
        CHECK(running.checkpoint.IsSaved());
        CHECK(other.checkpoint.IsSaved());
        CHECK_FALSE(other.checkpoint.MayBeLost());
      }
    }
  }
}

}  // namespace anvilloom
