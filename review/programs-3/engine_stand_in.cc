#include "review/programs-3/engine_stand_in.h"

#include <thread>
#include <utility>

namespace review {

namespace {

constexpr const char* kHealthPath = "/healthz";

}  // namespace

engine_stand_in::engine_stand_in(std::string service,
                                 std::string id,
                                 std::string zone,
                                 std::chrono::milliseconds work,
                                 run_listener on_run)
    : service_(std::move(service)),
      id_(std::move(id)),
      zone_(std::move(zone)),
      work_(work),
      on_run_(std::move(on_run)),
      born_ms_(std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
                   .count()),
      server_([this](http_request& request) { return Handle(request); }) {}

std::string engine_stand_in::Entry() const {
  return R"({"service":")" + service_ + R"(","address":")" + server_.address() +
         R"(","zone":")" + zone_ +
         R"(","version":"v1","batchSlots":16,"state":"ready",)"
         R"("coldRemainingMs":0,"sequence":)" +
         std::to_string(sequence_) + R"(,"born":)" + std::to_string(born_ms_) +
         "}";
}

std::optional<http_response> engine_stand_in::Handle(http_request& request) {
  const std::string id = HeaderOf(request, "X-Request-Id");
  http_response answer = MakeAnswer(request, 200, "answer to " + id + "\n");
  answer.set("X-Request-Id", id);
  const std::string expected = HeaderOf(request, "X-Expect-Instance");
  if (request.target() == kHealthPath) {
    answer.set("X-Instance-Id", id_);
    answer.result(leaving_ ? 503 : 200);
  } else if (!expected.empty() && expected != id_) {
    answer.result(421);
    answer.set("X-Not-Executed", "1");
  } else {
    on_run_(*this, id);
    std::this_thread::sleep_for(work_);
    answer.set("X-Response-Signature", "signed." + id_ + "." + id);
  }
  // Also in the answers to requests that came before.
  if (leaving_) {
    answer.set("Server-Leaving", "1");
    answer.keep_alive(false);
  }
  return answer;
}

}  // namespace review
