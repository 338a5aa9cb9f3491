// Guards against callers that receive part of an event, or the same event twice
// after another upstream has resumed the stream.

#include "links/event_splitter.h"

#include <catch2/catch.hpp>

namespace anvilloom {

SCENARIO("A stream is split into complete events", "[event_splitter]") {
  event_splitter events;

  WHEN("an event arrives in pieces") {
    events.Append("id: 1\ndata: a");
    REQUIRE(events.CompleteEvents().empty());
    REQUIRE(events.HasIncompleteEvent());
    events.Append("b\n\nid: 2\nda");

    THEN("it is complete after its empty line") {
      REQUIRE(events.CompleteEvents() == "id: 1\ndata: ab\n\n");
    }

    AND_WHEN("it is forwarded") {
      events.ConsumeEvents();

      THEN("its id is recorded and the next event is incomplete") {
        REQUIRE(events.last_id() == "1");
        REQUIRE(events.CompleteEvents().empty());
        REQUIRE(events.HasIncompleteEvent());
      }

      AND_WHEN("the upstream fails there and another one resumes") {
        events.DiscardIncompleteEvent();
        events.Append("id: 2\ndata: c\n\n");

        THEN("only the complete event of the other one is forwarded") {
          REQUIRE(events.CompleteEvents() == "id: 2\ndata: c\n\n");
        }
      }
    }
  }

  WHEN("lines end with a carriage return") {
    events.Append("id: 7\r\ndata: x\r\n\r\nid: 8\r\n");

    THEN("events end at the empty line as well") {
      REQUIRE(events.CompleteEvents() == "id: 7\r\ndata: x\r\n\r\n");
      events.ConsumeEvents();
      REQUIRE(events.last_id() == "7");
    }
  }

  WHEN("the data of an event looks like an id") {
    events.Append("id: 3\ndata: the id: 9\n\n");
    events.ConsumeEvents();

    THEN("only the id line counts") {
      REQUIRE(events.last_id() == "3");
    }
  }
}

}  // namespace anvilloom
