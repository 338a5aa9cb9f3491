// Guards against callers that get part of an event, or the same event twice
// after a stream went on at another upstream.

#include "links/event_splitter.h"

#include <catch2/catch.hpp>

namespace anvilloom {

SCENARIO("A stream is cut into whole events", "[event_splitter]") {
  event_splitter events;

  WHEN("an event arrives in pieces") {
    events.Append("id: 1\ndata: a");
    REQUIRE(events.WholeEvents().empty());
    REQUIRE(events.HasPart());
    events.Append("b\n\nid: 2\nda");

    THEN("it is whole with its empty line") {
      REQUIRE(events.WholeEvents() == "id: 1\ndata: ab\n\n");
    }

    AND_WHEN("it was passed on") {
      events.Drop();

      THEN("its id is known and the next event is a part") {
        REQUIRE(events.last_id() == "1");
        REQUIRE(events.WholeEvents().empty());
        REQUIRE(events.HasPart());
      }

      AND_WHEN("the upstream stops there and another one goes on") {
        events.DiscardPart();
        events.Append("id: 2\ndata: c\n\n");

        THEN("only the whole event of the other one is passed on") {
          REQUIRE(events.WholeEvents() == "id: 2\ndata: c\n\n");
        }
      }
    }
  }

  WHEN("lines end with a carriage return") {
    events.Append("id: 7\r\ndata: x\r\n\r\nid: 8\r\n");

    THEN("events end at the empty line too") {
      REQUIRE(events.WholeEvents() == "id: 7\r\ndata: x\r\n\r\n");
      events.Drop();
      REQUIRE(events.last_id() == "7");
    }
  }

  WHEN("the data of an event looks like an id") {
    events.Append("id: 3\ndata: the id: 9\n\n");
    events.Drop();

    THEN("only the id line counts") {
      REQUIRE(events.last_id() == "3");
    }
  }
}

}  // namespace anvilloom
