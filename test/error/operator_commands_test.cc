// Guards against changed exit codes of anvilloomctl, which scripts rely on,
// against an admin port that answers without its token, and against an instance
// that starts with settings out of range instead of reporting what to correct.

#include <boost/json/parse.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "common/hash.h"
#include "ctl/exit_code.h"
#include "entry/settings.h"
#include "test/support/local_system.h"

namespace anvilloom {

namespace {

using http_verb = boost::beast::http::verb;
using argument_list = std::vector<std::string>;

constexpr std::string_view kAdminToken = "admin-token";
constexpr std::string_view kUnusedAddress = "127.0.0.1:1";

// Exit code and output of a program that was run.
struct command_run {
  int code = -1;
  std::string output;
};

command_run RunCtl(const argument_list& arguments) {
  child_process process("ctl/anvilloomctl", arguments);
  const int code = process.Wait();
  return {code, process.Output()};
}

// Arguments of anvilloomctl, the exit code and a text that its output must
// contain.
struct expected_run {
  argument_list arguments;
  exit_code code;
  std::string text;
};

void RequireRuns(const std::vector<expected_run>& expected_runs) {
  for (const expected_run& expected : expected_runs) {
    CAPTURE(expected.arguments);
    const command_run run = RunCtl(expected.arguments);
    CAPTURE(run.output);
    REQUIRE(run.code == static_cast<int>(expected.code));
    REQUIRE(run.output.find(expected.text) != std::string::npos);
  }
}

std::string Address(std::uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

std::string WriteFile(const local_system& system,
                      std::string_view name,
                      std::string_view text) {
  std::string path(system.folder());
  path += '/';
  path += name;
  std::ofstream(path) << text << '\n';
  return path;
}

// Publishes `revisions` revisions from a separate folder to another object API.
void PublishToOtherStore(const local_system& system,
                         std::string_view object_api,
                         int revisions) {
  const std::string folder = std::string(system.folder()) + "/elsewhere";
  std::filesystem::create_directory(folder);
  for (int i = 0; i < revisions; ++i) {
    std::ofstream(folder + "/10-limits.json")
        << R"({"limits":{"retry_permille":)" << 100 + i << "}}";
    REQUIRE(RunCtl({"publish", folder, "--object-api", std::string(object_api)})
                .code == 0);
  }
}

std::optional<entry_settings> ParseWith(std::string_view extra) {
  std::string text =
      R"({"name":"a","failure_domain":"z","object_api":"127.0.0.1:1")";
  text += extra;
  text += '}';
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::optional<entry_settings>> {
        BOOST_LEAF_AUTO(settings, ParseSettings(text, "a.json"));
        return std::optional(std::move(settings));
      },
      [] { return std::optional<entry_settings>(); });
}

// Starts an entry instance with additional settings. Returns its output, and
// its exit code if it rejected the settings file; the code is -1 if it started.
command_run RunEntryWith(const local_system& system, std::string_view extra) {
  std::string text =
      R"({"name":"a","failure_domain":"z","listen":"127.0.0.1:0",)"
      R"("object_api":"127.0.0.1:1")";
  text += extra;
  text += '}';
  const std::string path = WriteFile(system, "entry.json", text);
  child_process process("entry/anvilloom", argument_list{"--settings", path});
  command_run run;
  Eventually(
      [&] {
        run.output = process.Output();
        return run.output.find(path) != std::string::npos ||
               run.output.find("E100 ") != std::string::npos;
      },
      std::chrono::seconds(30));
  if (run.output.find(path) != std::string::npos) {
    run.code = process.Wait();
  }
  return run;
}

}  // namespace

SCENARIO("anvilloomctl reports the state of instances", "[operator_commands]") {
  GIVEN("an instance without a configuration") {
    local_system system;
    const std::string store =
        Address(system.Start("objects", "standins/standin_objects"));
    const auto entry = system.StartEntry("entry-a", "zone-a");
    const std::string admin = Address(system.admin_port("entry-a"));
    const std::string down(kUnusedAddress);

    THEN("status reports it as not ready, and show that nothing is published") {
      RequireRuns({
          {{"status", "--instances", admin},
           exit_code::kNotCurrent,
           "not ready"},
          {{"show", "--object-api", store},
           exit_code::kSuccess,
           "No configuration has been published yet."},
          {{"show", "--object-api", down},
           exit_code::kFailure,
           "could not be read from the object API"},
      });
    }

    THEN("callers get status 503 instead of an authentication error") {
      const caller_answer answer =
          Call(entry, http_verb::get, "/s/lookup/x", {},
               {{"Authorization", "Bearer " + std::string(kTestCredential)}});
      REQUIRE(answer.status == 503);
      REQUIRE(answer.body.find("no_configuration") != std::string::npos);
      REQUIRE(answer.body.find("not_run") != std::string::npos);
    }

    WHEN("a configuration is in force") {
      system.WriteConfiguration("10-all.json", TestConfiguration({}, {}));
      REQUIRE(system.PublishConfiguration() == 0);
      REQUIRE(system.AwaitReady("entry-a"));

      THEN("each command reports instances that are up or down") {
        RequireRuns({
            {{"status", "--instances", admin},
             exit_code::kSuccess,
             "entry-a in zone-a: ready, revision 1"},
            {{"status", "--instances", admin + "," + down},
             exit_code::kFailure,
             "The instance at 127.0.0.1:1 did not answer."},
            {{"status", "--instances", down + "," + admin},
             exit_code::kFailure,
             "entry-a in zone-a: ready"},
            {{"show", "--object-api", store, "--instances", admin},
             exit_code::kSuccess,
             "entry-a has revision 1 in force."},
            {{"show", "--object-api", store, "--instances", down},
             exit_code::kFailure,
             "Revision 1 is accepted."},
            {{"dump", admin}, exit_code::kSuccess, R"("name":"entry-a")"},
            {{"dump", down}, exit_code::kFailure, "did not answer"},
            {{"drain", down}, exit_code::kFailure, "did not answer"},
        });
        REQUIRE_NOTHROW(boost::json::parse(RunCtl({"dump", admin}).output));
      }

      THEN("each invalid command line gets its own message") {
        RequireRuns({
            {{}, exit_code::kUsageError, "A command is required."},
            {{"halt"}, exit_code::kUsageError, "is not known"},
            {{"status"}, exit_code::kUsageError, "--instances is required"},
            {{"status", "--instances", "here"},
             exit_code::kUsageError,
             "\"here\" is not an IP address and a port"},
            {{"show", admin}, exit_code::kUsageError, "is used as"},
            {{"show", "--object-api", "here"},
             exit_code::kUsageError,
             "must be an IP address and a port"},
            {{"dump"}, exit_code::kUsageError, "anvilloomctl dump ADDRESS"},
            {{"dump", "here"}, exit_code::kUsageError, "is not an IP address"},
            {{"drain"}, exit_code::kUsageError, "anvilloomctl drain ADDRESS"},
            {{"drain", admin, "--base", "1"},
             exit_code::kUsageError,
             "not valid"},
            {{"dump", admin, "--token-file", "/nowhere"},
             exit_code::kUsageError,
             "The token file /nowhere cannot be read"},
            {{"status", "--help"}, exit_code::kSuccess, "Usage: anvilloomctl"},
        });
      }

      THEN("show reports that the instance is behind a later revision") {
        const std::string newer =
            Address(system.Start("newer", "standins/standin_objects"));
        PublishToOtherStore(system, newer, 2);
        RequireRuns({
            {{"show", "--object-api", newer, "--instances", admin},
             exit_code::kNotCurrent,
             "entry-a has revision 1 in force."},
            {{"show", "--object-api", newer, "--instances", admin + "," + down},
             exit_code::kFailure,
             "Revision 2 is accepted."},
        });
      }

      THEN("a paused instance is reported once the time limit has passed") {
        system.process("entry-a").Pause();
        RequireRuns({{{"dump", admin, "--time-limit-s", "1"},
                      exit_code::kFailure,
                      "did not answer"}});
        system.process("entry-a").Continue();
      }

      AND_WHEN("it is drained") {
        RequireRuns({{{"drain", admin}, exit_code::kSuccess, "is draining"}});

        THEN("it exits with code 0 and no longer answers") {
          REQUIRE(system.process("entry-a").Wait() == 0);
          REQUIRE(Call(entry, http_verb::get, "/readyz").status == 0);
          RequireRuns({{{"status", "--instances", admin},
                        exit_code::kFailure,
                        "did not answer"}});
        }
      }
    }
  }
}

SCENARIO("The admin port requires its token", "[operator_commands]") {
  GIVEN("an instance with an admin token") {
    local_system system;
    system.Start("objects", "standins/standin_objects");
    const auto entry = system.StartEntry(
        "entry-a", "zone-a",
        R"(,"admin_token_sha256":")" + Sha256Hex(kAdminToken) + '"');
    system.WriteConfiguration("10-all.json", TestConfiguration({}, {}));
    REQUIRE(system.PublishConfiguration() == 0);
    REQUIRE(system.AwaitReady("entry-a"));
    const auto port = system.admin_port("entry-a");
    const std::string admin = Address(port);

    THEN("each path except the probes is refused without the right token") {
      const std::string right = "Bearer " + std::string(kAdminToken);
      const std::vector<
          std::tuple<http_verb, std::string, std::string, unsigned>>
          requests = {
              {http_verb::get, "/healthz", "", 200},
              {http_verb::get, "/readyz", "", 200},
              {http_verb::get, "/dump", "", 401},
              {http_verb::get, "/metrics", "", 401},
              {http_verb::post, "/drain", "", 401},
              {http_verb::get, "/nowhere", "", 401},
              {http_verb::get, "/dump", "Bearer wrong", 401},
              {http_verb::get, "/dump", "Bearer ", 401},
              {http_verb::get, "/dump", std::string(kAdminToken), 401},
              {http_verb::get, "/dump", right + "x", 401},
              {http_verb::get, "/dump", "Bearer " + Sha256Hex(kAdminToken),
               401},
              {http_verb::post, "/drain", "Bearer wrong", 401},
              {http_verb::get, "/dump", right, 200},
              {http_verb::get, "/metrics", right, 200},
          };
      for (const auto& [method, path, authorization, status] : requests) {
        CAPTURE(path, authorization);
        REQUIRE(Call(port, method, path, {}, {{"Authorization", authorization}})
                    .status == status);
      }
      REQUIRE(Call(entry, http_verb::get, "/readyz").status == 200);
    }

    THEN("the commands need --token-file with the right token") {
      const std::string wrong = WriteFile(system, "wrong", "another-token");
      const std::string right = WriteFile(system, "right", kAdminToken);
      const std::string refused = "refused the admin token; use --token-file";
      RequireRuns({
          {{"dump", admin}, exit_code::kFailure, refused},
          {{"dump", admin, "--token-file", wrong},
           exit_code::kFailure,
           refused},
          {{"status", "--instances", admin, "--token-file", wrong},
           exit_code::kFailure,
           refused},
          {{"show", "--object-api", Address(system.port("objects")),
            "--instances", admin},
           exit_code::kFailure,
           refused},
          {{"drain", admin, "--token-file", wrong},
           exit_code::kFailure,
           refused},
      });
      REQUIRE(Call(entry, http_verb::get, "/readyz").status == 200);
      RequireRuns({
          {{"dump", admin, "--token-file", right},
           exit_code::kSuccess,
           "entry-a"},
          {{"status", "--instances", admin, "--token-file", right},
           exit_code::kSuccess,
           "ready"},
          {{"drain", admin, "--token-file", right},
           exit_code::kSuccess,
           "is draining"},
      });
      REQUIRE(system.process("entry-a").Wait() == 0);
    }
  }

  GIVEN("settings of the admin port") {
    const std::string token =
        R"(,"admin_token_sha256":")" + Sha256Hex(kAdminToken) + '"';

    THEN(
        "it listens on loopback by default, and on other addresses only "
        "with a token") {
      REQUIRE(ParseWith("")->admin_listen == "127.0.0.1:8081");
      REQUIRE(ParseWith(R"(,"admin_listen":"127.0.0.9:1")"));
      REQUIRE(ParseWith(R"(,"admin_listen":"[::1]:1")"));
      REQUIRE_FALSE(ParseWith(R"(,"admin_listen":"0.0.0.0:1")"));
      REQUIRE_FALSE(ParseWith(R"(,"admin_listen":"[::]:1")"));
      REQUIRE(ParseWith(R"(,"admin_listen":"0.0.0.0:1")" + token));
    }
    THEN("a non-loopback address without a token stops the start") {
      const local_system system;
      const command_run run =
          RunEntryWith(system, R"(,"admin_listen":"0.0.0.0:0")");
      REQUIRE(run.code == 2);
      REQUIRE(run.output.find("must set \"admin_token_sha256\"") !=
              std::string::npos);
    }
  }
}

SCENARIO("Limits out of range stop the start", "[operator_commands]") {
  GIVEN("each limit and its range") {
    const local_system system;
    const auto [key, minimum, maximum] =
        GENERATE(table<std::string, std::uint64_t, std::uint64_t>({
            {"header_bytes", 1024, 1'048'576},
            {"body_bytes", 1024, 67'108'864},
            {"connections", 1, 65'536},
            {"idle_limit_ms", 50, 3'600'000},
            {"read_limit_ms", 50, 3'600'000},
            {"write_limit_ms", 50, 3'600'000},
        }));
    const auto setting = [key = key](const std::string& value) {
      std::string text = R"(,"limits":{")";
      text += key;
      text += "\":" + value + "}";
      return text;
    };
    CAPTURE(key);

    THEN("the bounds of the range are accepted") {
      REQUIRE(ParseWith(setting(std::to_string(minimum))));
      REQUIRE(ParseWith(setting(std::to_string(maximum))));
    }
    THEN("other values give exit code 2 and a message with the range") {
      const std::string range = "a whole number from " +
                                std::to_string(minimum) + " to " +
                                std::to_string(maximum);
      for (const std::string& value :
           {std::to_string(minimum - 1), std::to_string(maximum + 1),
            std::string("-1"), std::string("1.5"), std::string("\"100\""),
            std::string("null")}) {
        CAPTURE(value);
        const command_run run = RunEntryWith(
            system, setting(value) + R"(,"admin_listen":"127.0.0.1:0")");
        CAPTURE(run.output);
        REQUIRE(run.code == 2);
        std::string sentence = "The settings file ";
        sentence += system.folder();
        sentence += "/entry.json must give ";
        sentence += range;
        sentence += " for the key \"limits/";
        sentence += key;
        sentence += "\".";
        REQUIRE(run.output.find(sentence) != std::string::npos);
      }
    }
  }

  GIVEN("a body that takes more than its part of the memory") {
    THEN("the settings are refused, and accepted with more memory") {
      const std::string limit = R"(,"limits":{"body_bytes":16000001})";
      REQUIRE(!ParseWith(limit + R"(,"memory_mb":64)"));
      REQUIRE(ParseWith(limit + R"(,"memory_mb":64.1)"));
      REQUIRE(!ParseWith(R"(,"memory_mb":31)"));
      REQUIRE(!ParseWith(R"(,"descriptors":255)"));
    }
  }

  GIVEN("limits that are not an object or have an unknown key") {
    const local_system system;
    const auto [text, sentence] = GENERATE(table<std::string, std::string>({
        {"[]", "must give an object for the key \"limits\"."},
        {R"({"bodybytes":2048})",
         "has the key \"limits/bodybytes\", which is not known."},
    }));

    THEN("the start stops with exit code 2") {
      const command_run run = RunEntryWith(
          system, R"(,"limits":)" + text + R"(,"admin_listen":"127.0.0.1:0")");
      REQUIRE(run.code == 2);
      REQUIRE(run.output.find(sentence) != std::string::npos);
    }
  }
}

}  // namespace anvilloom
