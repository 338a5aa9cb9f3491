// Guards against handler failures that leave no trace: each answer with status
// 500 must have a log line with the cause.

#include <easylogging++.h>

#include <catch2/catch.hpp>
#include <mutex>
#include <stdexcept>
#include <string>
#include <vector>

#include "test/support/local_system.h"
#include "wire/http_server.h"

namespace anvilloom {

namespace {

// Records the log lines of this process while it is installed.
class log_recorder : public el::LogDispatchCallback {
 public:
  std::vector<std::string> lines() {
    const std::lock_guard lock(mutex_);
    return lines_;
  }

 protected:
  void handle(const el::LogDispatchData* data) override {
    const std::lock_guard lock(mutex_);
    lines_.push_back(data->logMessage()->message());
  }

 private:
  std::mutex mutex_;
  std::vector<std::string> lines_;
};

constexpr const char* kRecorderId = "handler_failure_test";

// Throws before its answer or in the middle of it.
class failing_handler {
 public:
  awaitable<void> Handle(http_exchange& exchange, std::size_t /*thread*/) {
    if (exchange.path() == "/middle") {
      co_await exchange.BeginStream(http_status::ok, "text/plain");
      co_await exchange.WriteChunk("half");
    }
    if (exchange.path() == "/odd") {
      throw 7;
    }
    throw std::runtime_error("the table is empty");
  }
};

}  // namespace

SCENARIO("A handler throws", "[handler_failure]") {
  GIVEN("a server whose handler fails") {
    failing_handler handler;
    io_pool pool(1);
    http_server server(pool, "127.0.0.1:0", {}, handler);
    pool.Start();
    el::Helpers::installLogDispatchCallback<log_recorder>(kRecorderId);
    auto* recorder =
        el::Helpers::logDispatchCallback<log_recorder>(kRecorderId);
    const auto [path, status, cause] =
        GENERATE(table<std::string, unsigned, std::string>({
            {"/before", 500, R"("the table is empty")"},
            {"/middle", 0, R"("the table is empty")"},
            {"/odd", 500, "unknown"},
        }));

    WHEN("a request arrives") {
      const caller_answer answer = Call(
          server.port(), boost::beast::http::verb::get, path + "?token=secret");
      pool.Stop();
      const std::vector<std::string> lines = recorder->lines();
      el::Helpers::uninstallLogDispatchCallback<log_recorder>(kRecorderId);

      THEN("the request fails, and one log line gives the cause") {
        REQUIRE(answer.status == status);
        REQUIRE(lines.size() == 1);
        REQUIRE(lines[0] == "E105 handler_failed method=GET path=" + path +
                                " cause=" + cause);
      }
    }
  }
}

}  // namespace anvilloom
