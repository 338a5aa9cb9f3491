// Guards the operators' interface: exit codes that scripts rely on, an admin
// port that must not serve strangers, and settings out of range that must stop
// a start with a sentence that says what to correct.

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
using words = std::vector<std::string>;

constexpr std::string_view kAdminToken = "admin-token";
constexpr std::string_view kNobody = "127.0.0.1:1";

// One run of anvilloomctl.
struct command_run {
  int code = -1;
  std::string output;
};

command_run RunCtl(const words& arguments) {
  child_process process("ctl/anvilloomctl", arguments);
  const int code = process.Wait();
  return {code, process.Output()};
}

// What a run must give.
struct expected_run {
  words arguments;
  exit_code code;
  std::string text;
};

void RequireRuns(const std::vector<expected_run>& rows) {
  for (const expected_run& row : rows) {
    CAPTURE(row.arguments);
    const command_run run = RunCtl(row.arguments);
    CAPTURE(run.output);
    REQUIRE(run.code == static_cast<int>(row.code));
    REQUIRE(run.output.find(row.text) != std::string::npos);
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

// Publishes `revisions` revisions to another object API from a folder of its
// own.
void PublishElsewhere(const local_system& system,
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

std::optional<entry_settings> Parse(std::string_view extra) {
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

// What a start with these settings prints, and its exit code if it has ended.
command_run RunEntry(const local_system& system, std::string_view extra) {
  std::string text =
      R"({"name":"a","failure_domain":"z","listen":"127.0.0.1:0",)"
      R"("object_api":"127.0.0.1:1")";
  text += extra;
  text += '}';
  const std::string path = WriteFile(system, "entry.json", text);
  child_process process("entry/anvilloom", words{"--settings", path});
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

SCENARIO("Operators ask instances in every state", "[operator_commands]") {
  GIVEN("an instance without a configuration") {
    local_system system;
    const std::string store =
        Address(system.Start("objects", "standins/standin_objects"));
    const auto entry = system.StartEntry("entry-a", "zone-a");
    const std::string admin = Address(system.admin_port("entry-a"));
    const std::string down(kNobody);

    THEN("status says that it is not ready, show that nothing is published") {
      RequireRuns({
          {{"status", "--instances", admin}, exit_code::kBehind, "not ready"},
          {{"show", "--object-api", store},
           exit_code::kDone,
           "No configuration was published yet."},
          {{"show", "--object-api", down},
           exit_code::kFailed,
           "could not be read from the object API"},
      });
    }

    THEN("callers are told to come again, not that they are unknown") {
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

      THEN("each command tells the state of instances that are up or down") {
        RequireRuns({
            {{"status", "--instances", admin},
             exit_code::kDone,
             "entry-a in zone-a: ready, revision 1"},
            {{"status", "--instances", admin + "," + down},
             exit_code::kFailed,
             "The instance at 127.0.0.1:1 did not answer."},
            {{"status", "--instances", down + "," + admin},
             exit_code::kFailed,
             "entry-a in zone-a: ready"},
            {{"show", "--object-api", store, "--instances", admin},
             exit_code::kDone,
             "entry-a has revision 1 in force."},
            {{"show", "--object-api", store, "--instances", down},
             exit_code::kFailed,
             "Revision 1 is accepted."},
            {{"dump", admin}, exit_code::kDone, R"("name":"entry-a")"},
            {{"dump", down}, exit_code::kFailed, "did not answer"},
            {{"drain", down}, exit_code::kFailed, "did not answer"},
        });
        REQUIRE_NOTHROW(boost::json::parse(RunCtl({"dump", admin}).output));
      }

      THEN("command lines that are not valid are told apart") {
        RequireRuns({
            {{}, exit_code::kUsage, "A command is required."},
            {{"halt"}, exit_code::kUsage, "is not known"},
            {{"status"}, exit_code::kUsage, "--instances is required"},
            {{"status", "--instances", "here"},
             exit_code::kUsage,
             "\"here\" is not an IP address and a port"},
            {{"show", admin}, exit_code::kUsage, "is used as"},
            {{"show", "--object-api", "here"},
             exit_code::kUsage,
             "must be an IP address and a port"},
            {{"dump"}, exit_code::kUsage, "anvilloomctl dump ADDRESS"},
            {{"dump", "here"}, exit_code::kUsage, "is not an IP address"},
            {{"drain"}, exit_code::kUsage, "anvilloomctl drain ADDRESS"},
            {{"drain", admin, "--base", "1"}, exit_code::kUsage, "not valid"},
            {{"dump", admin, "--token-file", "/nowhere"},
             exit_code::kUsage,
             "The token file /nowhere cannot be read"},
            {{"status", "--help"}, exit_code::kDone, "Usage: anvilloomctl"},
        });
      }

      THEN("show says that it is behind a store with a later revision") {
        const std::string newer =
            Address(system.Start("newer", "standins/standin_objects"));
        PublishElsewhere(system, newer, 2);
        RequireRuns({
            {{"show", "--object-api", newer, "--instances", admin},
             exit_code::kBehind,
             "entry-a has revision 1 in force."},
            {{"show", "--object-api", newer, "--instances", admin + "," + down},
             exit_code::kFailed,
             "Revision 2 is accepted."},
        });
      }

      THEN("a paused instance is reported once the time limit has passed") {
        system.process("entry-a").Pause();
        RequireRuns({{{"dump", admin, "--time-limit-s", "1"},
                      exit_code::kFailed,
                      "did not answer"}});
        system.process("entry-a").Continue();
      }

      AND_WHEN("it is drained") {
        RequireRuns({{{"drain", admin}, exit_code::kDone, "is draining"}});

        THEN("it ends with exit code 0 and answers no more") {
          REQUIRE(system.process("entry-a").Wait() == 0);
          REQUIRE(Call(entry, http_verb::get, "/readyz").status == 0);
          RequireRuns({{{"status", "--instances", admin},
                        exit_code::kFailed,
                        "did not answer"}});
        }
      }
    }
  }
}

SCENARIO("The admin port asks for its token", "[operator_commands]") {
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

    THEN("each path but the probes is refused without the right one") {
      const std::string right = "Bearer " + std::string(kAdminToken);
      const std::vector<
          std::tuple<http_verb, std::string, std::string, unsigned>>
          rows = {
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
      for (const auto& [method, path, authorization, status] : rows) {
        CAPTURE(path, authorization);
        REQUIRE(Call(port, method, path, {}, {{"Authorization", authorization}})
                    .status == status);
      }
      REQUIRE(Call(entry, http_verb::get, "/readyz").status == 200);
    }

    THEN("the commands need the file with the token") {
      const std::string wrong = WriteFile(system, "wrong", "another-token");
      const std::string right = WriteFile(system, "right", kAdminToken);
      const std::string refused = "refused the admin token; use --token-file";
      RequireRuns({
          {{"dump", admin}, exit_code::kFailed, refused},
          {{"dump", admin, "--token-file", wrong}, exit_code::kFailed, refused},
          {{"status", "--instances", admin, "--token-file", wrong},
           exit_code::kFailed,
           refused},
          {{"show", "--object-api", Address(system.port("objects")),
            "--instances", admin},
           exit_code::kFailed,
           refused},
          {{"drain", admin, "--token-file", wrong},
           exit_code::kFailed,
           refused},
      });
      REQUIRE(Call(entry, http_verb::get, "/readyz").status == 200);
      RequireRuns({
          {{"dump", admin, "--token-file", right}, exit_code::kDone, "entry-a"},
          {{"status", "--instances", admin, "--token-file", right},
           exit_code::kDone,
           "ready"},
          {{"drain", admin, "--token-file", right},
           exit_code::kDone,
           "is draining"},
      });
      REQUIRE(system.process("entry-a").Wait() == 0);
    }
  }

  GIVEN("settings of the admin port") {
    const std::string token =
        R"(,"admin_token_sha256":")" + Sha256Hex(kAdminToken) + '"';

    THEN(
        "it listens on loopback unless told otherwise, and elsewhere only "
        "with a token") {
      REQUIRE(Parse("")->admin_listen == "127.0.0.1:8081");
      REQUIRE(Parse(R"(,"admin_listen":"127.0.0.9:1")"));
      REQUIRE(Parse(R"(,"admin_listen":"[::1]:1")"));
      REQUIRE_FALSE(Parse(R"(,"admin_listen":"0.0.0.0:1")"));
      REQUIRE_FALSE(Parse(R"(,"admin_listen":"[::]:1")"));
      REQUIRE(Parse(R"(,"admin_listen":"0.0.0.0:1")" + token));
    }
    THEN("an open admin port without a token stops the start") {
      const local_system system;
      const command_run run =
          RunEntry(system, R"(,"admin_listen":"0.0.0.0:0")");
      REQUIRE(run.code == 2);
      REQUIRE(run.output.find("must set \"admin_token_sha256\"") !=
              std::string::npos);
    }
  }
}

SCENARIO("Limits out of range stop the start", "[operator_commands]") {
  GIVEN("each limit and its range") {
    const local_system system;
    const auto [key, least, most] =
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

    THEN("the ends of the range are accepted") {
      REQUIRE(Parse(setting(std::to_string(least))));
      REQUIRE(Parse(setting(std::to_string(most))));
    }
    THEN("what is beyond them gives exit code 2 and says what is expected") {
      const std::string range = "a whole number from " + std::to_string(least) +
                                " to " + std::to_string(most);
      for (const std::string& value :
           {std::to_string(least - 1), std::to_string(most + 1),
            std::string("-1"), std::string("1.5"), std::string("\"100\""),
            std::string("null")}) {
        CAPTURE(value);
        const command_run run = RunEntry(
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

  GIVEN("limits that are not an object or have an unknown key") {
    const local_system system;
    const auto [text, sentence] = GENERATE(table<std::string, std::string>({
        {"[]", "must give an object for the key \"limits\"."},
        {R"({"bodybytes":2048})",
         "has the key \"limits/bodybytes\", which is not known."},
    }));

    THEN("the start stops with exit code 2") {
      const command_run run = RunEntry(
          system, R"(,"limits":)" + text + R"(,"admin_listen":"127.0.0.1:0")");
      REQUIRE(run.code == 2);
      REQUIRE(run.output.find(sentence) != std::string::npos);
    }
  }
}

}  // namespace anvilloom
