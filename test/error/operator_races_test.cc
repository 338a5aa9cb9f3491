// Guards against publishes that overwrite another operator's changes or report
// a wrong outcome. Causes are concurrent publishes, lost answers, and an object
// API that is down or slow.

#include <boost/asio/io_context.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>

#include "ctl/base_file.h"
#include "ctl/configuration_merge.h"
#include "ctl/publisher.h"
#include "ctl/run_coroutine.h"
#include "test/support/local_system.h"
#include "wire/http_object_store.h"

namespace anvilloom {

namespace {

using http_verb = boost::beast::http::verb;
using manifest_entries = std::vector<manifest_entry>;

// Parses entries of the form "name=digest" separated by spaces.
manifest_entries ParseEntries(std::string_view text) {
  manifest_entries files;
  while (!text.empty()) {
    const std::size_t end = std::min(text.find(' '), text.size());
    const std::size_t equals = text.find('=');
    files.push_back({std::string(text.substr(0, equals)),
                     std::string(text.substr(equals + 1, end - equals - 1))});
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  return files;
}

std::string FormatEntries(const manifest_entries& files) {
  std::string text;
  for (const manifest_entry& file : files) {
    text += text.empty() ? "" : " ";
    text += file.name + "=" + file.digest;
  }
  return text;
}

// Returns the text of a configuration file that declares one failure domain.
std::string DomainFile(std::string_view name) {
  return R"({"failure_domains": {")" + std::string(name) +
         R"(": {"region": "r1"}}})";
}

// The working copy of one operator.
class working_copy {
 public:
  explicit working_copy(std::string path) : path_(std::move(path)) {
    std::filesystem::create_directory(path_);
  }

  std::string_view path() const { return path_; }

  void Write(std::string_view file, std::string_view text) const {
    std::ofstream(path_ + "/" + std::string(file)) << text;
  }

  void Remove(std::string_view file) const {
    std::filesystem::remove(path_ + "/" + std::string(file));
  }

 private:
  std::string path_;
};

std::string LoopbackAddress(std::uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

std::vector<std::string> PublishArguments(const working_copy& folder,
                                          std::uint16_t objects,
                                          std::vector<std::string> extra = {}) {
  std::vector<std::string> arguments = {"publish", std::string(folder.path()),
                                        "--object-api",
                                        LoopbackAddress(objects)};
  arguments.insert(arguments.end(), extra.begin(), extra.end());
  return arguments;
}

int Publish(const working_copy& folder,
            std::uint16_t objects,
            std::vector<std::string> extra = {}) {
  return RunProgram("ctl/anvilloomctl",
                    PublishArguments(folder, objects, std::move(extra)));
}

// Reads the accepted manifest from the object API; empty if there is none.
configuration_manifest ReadAcceptedManifest(std::uint16_t objects) {
  const caller_answer answer =
      Call(objects, http_verb::get, "/objects/configuration/manifest");
  if (answer.status != 200) {
    return {};
  }
  const auto parsed = boost::json::parse(answer.body);
  return DecodeManifest(boost::json::serialize(parsed.at("value")))
      .value_or(configuration_manifest{});
}

// Returns the names of the accepted files, separated by spaces.
std::string ReadAcceptedFileNames(std::uint16_t objects) {
  std::string names;
  for (const manifest_entry& file : ReadAcceptedManifest(objects).files) {
    names += names.empty() ? "" : " ";
    names += file.name;
  }
  return names;
}

void InjectFault(std::uint16_t objects, std::string_view fault) {
  REQUIRE(Call(objects, http_verb::post, "/faults", fault).status == 200);
}

}  // namespace

SCENARIO("Manifests are merged file by file", "[operators]") {
  GIVEN("a base and the changes of two sides") {
    // Base, theirs, ours, expected merged files, expected conflicts.
    const auto [base, theirs, ours, merged, conflicts] = GENERATE(
        table<const char*, const char*, const char*, const char*, const char*>({
            {"", "", "", "", ""},
            {"a=1", "a=1", "a=1", "a=1", ""},
            {"a=1", "a=1", "a=2", "a=2", ""},
            {"a=1", "a=2", "a=1", "a=2", ""},
            {"a=1", "a=2", "a=2", "a=2", ""},
            {"a=1", "a=2", "a=3", "", "a"},
            {"a=1", "", "a=1", "", ""},
            {"a=1", "a=1", "", "", ""},
            {"a=1", "", "", "", ""},
            {"a=1", "", "a=2", "", "a"},
            {"a=1", "a=2", "", "", "a"},
            {"", "a=1", "", "a=1", ""},
            {"", "", "a=1", "a=1", ""},
            {"", "a=1", "a=1", "a=1", ""},
            {"", "a=1", "a=2", "", "a"},
            {"a=1 b=1", "a=2 b=1", "a=1 b=2", "a=2 b=2", ""},
            {"a=1 b=1", "a=1 b=1 c=1", "b=1 d=1", "b=1 c=1 d=1", ""},
            {"a=1 b=1 c=1", "a=2 b=2 c=2", "a=3 b=3 c=1", "c=2", "a b"},
        }));

    WHEN("they are merged") {
      const manifest_merge result = MergeManifests(
          ParseEntries(base), ParseEntries(theirs), ParseEntries(ours));

      THEN("each file follows the side that changed it") {
        REQUIRE(FormatEntries(result.files) == merged);
        std::string names;
        for (const std::string& name : result.conflicts) {
          names += names.empty() ? "" : " ";
          names += name;
        }
        REQUIRE(names == conflicts);
      }
    }
  }
}

SCENARIO("Operators publish concurrently", "[operators]") {
  GIVEN("two working copies that were synchronized with revision 1") {
    local_system system;
    const auto objects = system.Start("objects", "standins/standin_objects");
    const working_copy first(std::string(system.folder()) + "/first");
    const working_copy second(std::string(system.folder()) + "/second");
    for (const working_copy* folder : {&first, &second}) {
      folder->Write("10-a.json", DomainFile("za"));
      folder->Write("20-b.json", DomainFile("zb"));
      REQUIRE(Publish(*folder, objects) == 0);
    }
    REQUIRE(ReadAcceptedManifest(objects).revision == 1);

    WHEN("they change different files at the same time") {
      first.Write("10-a.json", DomainFile("za2"));
      second.Write("20-b.json", DomainFile("zb2"));
      second.Write("30-c.json", DomainFile("zc"));
      child_process one("ctl/anvilloomctl", PublishArguments(first, objects));
      child_process two("ctl/anvilloomctl", PublishArguments(second, objects));

      THEN("both changes are accepted") {
        REQUIRE(one.Wait() == 0);
        REQUIRE(two.Wait() == 0);
        REQUIRE(ReadAcceptedManifest(objects).revision == 3);
        REQUIRE(ReadAcceptedFileNames(objects) ==
                "10-a.json 20-b.json 30-c.json");
        for (const manifest_entry& file : ReadAcceptedManifest(objects).files) {
          const bool from_first = file.name == "10-a.json";
          const auto base =
              ReadBaseFile(from_first ? first.path() : second.path());
          REQUIRE(base);
          REQUIRE(internal::ContainsEntry(base, file));
        }
        AND_THEN("a further publish of either folder reverts nothing") {
          REQUIRE(Publish(first, objects) == 0);
          REQUIRE(Publish(second, objects) == 0);
          REQUIRE(ReadAcceptedManifest(objects).revision == 3);
        }
      }
    }

    WHEN("they change the same file at the same time") {
      first.Write("10-a.json", DomainFile("from-first"));
      second.Write("10-a.json", DomainFile("from-second"));
      child_process one("ctl/anvilloomctl", PublishArguments(first, objects));
      child_process two("ctl/anvilloomctl", PublishArguments(second, objects));
      const int first_code = one.Wait();
      const int second_code = two.Wait();

      THEN("one is accepted and the other one reports the conflict") {
        REQUIRE(first_code + second_code == 4);
        const bool first_won = first_code == 0;
        const child_process& loser = first_won ? two : one;
        REQUIRE(loser.Output().find("The file 10-a.json was changed both") !=
                std::string::npos);
        REQUIRE(ReadAcceptedManifest(objects).revision == 2);

        AND_WHEN("the other one publishes again with the base revision") {
          const working_copy& folder = first_won ? second : first;
          REQUIRE(Publish(folder, objects) == 4);
          REQUIRE(Publish(folder, objects, {"--base", "2"}) == 0);

          THEN("the chosen file is accepted") {
            REQUIRE(ReadAcceptedManifest(objects).revision == 3);
            REQUIRE(internal::ContainsEntry(
                ReadBaseFile(folder.path()),
                ReadAcceptedManifest(objects).files.front()));
          }
        }
      }
    }

    WHEN("one removes a file and the other adds one") {
      first.Remove("20-b.json");
      second.Write("30-c.json", DomainFile("zc"));
      REQUIRE(Publish(first, objects) == 0);
      REQUIRE(Publish(second, objects) == 0);

      THEN("both changes are in the accepted configuration") {
        REQUIRE(ReadAcceptedFileNames(objects) == "10-a.json 30-c.json");
      }
    }

    WHEN("each change is valid but the merged result is not") {
      first.Write("20-b.json", "{}");
      second.Write("30-c.json",
                   R"({"upstreams": {"u": {"address": "127.0.0.1:1",
                       "failure_domain": "zb"}}})");
      REQUIRE(Publish(first, objects) == 0);

      THEN("the later publish is refused, and revision 2 stays accepted") {
        REQUIRE(Publish(second, objects) == 3);
        REQUIRE(ReadAcceptedManifest(objects).revision == 2);
      }
    }

    WHEN("a folder without a base differs from the accepted configuration") {
      const working_copy fresh(std::string(system.folder()) + "/fresh");
      fresh.Write("10-a.json", DomainFile("other"));

      THEN("nothing is overwritten without a valid --base") {
        REQUIRE(Publish(fresh, objects) == 4);
        REQUIRE(Publish(fresh, objects, {"--base", "99"}) == 1);
        REQUIRE(ReadAcceptedManifest(objects).revision == 1);
        REQUIRE(Publish(fresh, objects, {"--base", "1"}) == 0);
        REQUIRE(ReadAcceptedFileNames(objects) == "10-a.json");
      }
    }
  }
}

SCENARIO("A publish resolves ambiguous answers of the object API",
         "[operators]") {
  GIVEN("an accepted revision and a changed folder") {
    local_system system;
    const auto objects = system.Start("objects", "standins/standin_objects");
    const working_copy folder(std::string(system.folder()) + "/one");
    folder.Write("10-a.json", DomainFile("za"));
    REQUIRE(Publish(folder, objects) == 0);
    folder.Write("10-a.json", DomainFile("zb"));

    // Injected fault, time limit in seconds, expected exit code, expected
    // revision.
    const auto [fault, limit, code, revision] =
        GENERATE(table<const char*, const char*, int, std::uint64_t>({
            {R"({"action":"drop_after","method":"PUT",
                 "path":"/objects/configuration/"})",
             "20", 0, 2},
            {R"({"action":"drop_after","method":"PUT",
                 "path":"/objects/configuration/","count":2})",
             "20", 0, 2},
            {R"({"action":"drop_before","method":"PUT",
                 "path":"/objects/configuration/"})",
             "20", 0, 2},
            {R"({"action":"refuse","count":3})", "20", 0, 2},
            {R"({"action":"drop_after","method":"POST","count":2})", "20", 0,
             2},
            {R"({"action":"delay","delay_ms":300,"count":20})", "20", 0, 2},
            {R"({"action":"hang","delay_ms":4000,"method":"GET"})", "20", 0, 2},
            {R"({"action":"refuse","count":1000})", "1", 1, 1},
            {R"({"action":"drop_before","count":1000})", "1", 1, 1},
            {R"({"action":"refuse","method":"POST","count":1000})", "1", 1, 1},
        }));

    WHEN("the object API fails during the publish") {
      InjectFault(objects, fault);
      CAPTURE(fault);
      const int result = Publish(folder, objects, {"--time-limit-s", limit});

      THEN("the exit code matches the accepted revision") {
        REQUIRE(result == code);
        REQUIRE(Call(objects, http_verb::delete_, "/faults").status == 200);
        REQUIRE(ReadAcceptedManifest(objects).revision == revision);
      }
    }

    WHEN("every answer to an update is lost") {
      InjectFault(objects, R"({"action":"drop_after","method":"PUT",
                            "path":"/objects/configuration/","count":1000})");
      child_process publish(
          "ctl/anvilloomctl",
          PublishArguments(folder, objects, {"--time-limit-s", "3"}));
      REQUIRE(Eventually(
          [&] { return ReadAcceptedManifest(objects).revision == 2; },
          std::chrono::seconds(20)));
      publish.Wait();
      REQUIRE(Call(objects, http_verb::delete_, "/faults").status == 200);

      THEN("a second publish does not create another revision") {
        REQUIRE(Publish(folder, objects) == 0);
        REQUIRE(ReadAcceptedManifest(objects).revision == 2);
      }
    }

    WHEN("the object API is down") {
      system.process("objects").Kill();

      THEN("the command fails within its time limit") {
        REQUIRE(Publish(folder, objects, {"--time-limit-s", "1"}) == 1);
      }
    }
  }
}

namespace {

// An object_store that runs callbacks of a test around a publisher's updates.
class interposed_store {
 public:
  using callback = std::function<awaitable<void>()>;

  explicit interposed_store(http_object_store& store) : store_(store) {}

  // Runs `action` once, before the next update of the manifest.
  void RunBeforeUpdate(callback action) { before_update_ = std::move(action); }
  // Makes the next update of the manifest take effect, runs `action`, and
  // reports the outcome as ambiguous, as after a lost answer.
  void LoseUpdateAnswer(callback action) {
    after_lost_update_ = std::move(action);
  }

  awaitable<store_result<object_list>> List(std::string_view kind,
                                            deadline until) {
    return store_.List(kind, until);
  }
  awaitable<store_result<stored_object>> Get(std::string_view kind,
                                             std::string_view name,
                                             deadline until) {
    return store_.Get(kind, name, until);
  }
  awaitable<store_result<std::uint64_t>> Create(std::string_view kind,
                                                std::string_view name,
                                                std::string_view value,
                                                deadline until) {
    return store_.Create(kind, name, value, until);
  }
  awaitable<store_result<std::uint64_t>> Update(std::string_view kind,
                                                std::string_view name,
                                                std::uint64_t version,
                                                std::string_view value,
                                                deadline until) {
    if (kind != kManifestKind) {
      co_return co_await store_.Update(kind, name, version, value, until);
    }
    if (const callback action = std::exchange(before_update_, nullptr)) {
      co_await action();
    }
    const auto written =
        co_await store_.Update(kind, name, version, value, until);
    if (const callback action = std::exchange(after_lost_update_, nullptr)) {
      co_await action();
      co_return store_error::kAmbiguous;
    }
    co_return written;
  }
  awaitable<store_result<std::uint64_t>> Delete(std::string_view kind,
                                                std::string_view name,
                                                std::uint64_t version,
                                                deadline until) {
    return store_.Delete(kind, name, version, until);
  }
  awaitable<store_result<std::uint64_t>> Watch(std::string_view kind,
                                               std::uint64_t version,
                                               const object_event_sink& sink,
                                               deadline until) {
    return store_.Watch(kind, version, sink, until);
  }

 private:
  http_object_store& store_;
  callback before_update_;
  callback after_lost_update_;
};

publish_options MakeOptions() {
  return {deadline::After(steady_source().Now(), std::chrono::seconds(30))};
}

publish_source MakeSource(std::string_view file,
                          std::string_view text,
                          std::optional<configuration_manifest> base = {}) {
  return {{{std::string(file), std::string(text)}}, std::move(base), {}};
}

}  // namespace

SCENARIO("Another publish comes between two steps of a publish",
         "[operators]") {
  GIVEN("a publisher whose calls can be interrupted") {
    local_system system;
    const auto objects = system.Start("objects", "standins/standin_objects");
    boost::asio::io_context context(1);
    http_object_store http_store(context.get_executor(),
                                 LoopbackAddress(objects));
    publisher other_publisher(http_store, MakeOptions());
    interposed_store store(http_store);
    publisher ours(store, MakeOptions());
    REQUIRE(RunCoroutine(context, other_publisher.Run(MakeSource(
                                      "10-a.json", DomainFile("za"))))
                .has_value());

    const auto publish_other = [&]() -> awaitable<void> {
      const auto other = co_await other_publisher.Run(
          MakeSource("30-c.json", DomainFile("zc")));
      REQUIRE(other.has_value());
    };

    WHEN("it comes between the publisher's read and its update") {
      store.RunBeforeUpdate(publish_other);
      const auto accepted = RunCoroutine(
          context, ours.Run(MakeSource("20-b.json", DomainFile("zb"))));

      THEN("the publisher merges again and both are accepted") {
        REQUIRE(accepted.has_value());
        REQUIRE(accepted->revision == 3);
        REQUIRE(ReadAcceptedFileNames(objects) ==
                "10-a.json 20-b.json 30-c.json");
      }
    }

    WHEN("the answer is lost and it comes before the manifest is read back") {
      store.LoseUpdateAnswer(publish_other);
      const auto accepted = RunCoroutine(
          context, ours.Run(MakeSource("20-b.json", DomainFile("zb"))));

      THEN("the history shows that the update was accepted as revision 2") {
        REQUIRE(accepted.has_value());
        REQUIRE(accepted->changed);
        REQUIRE(accepted->revision == 2);
        REQUIRE(ReadAcceptedManifest(objects).revision == 3);
        REQUIRE(ReadAcceptedFileNames(objects) ==
                "10-a.json 20-b.json 30-c.json");
      }
    }

    WHEN("it changes the same file") {
      store.RunBeforeUpdate([&]() -> awaitable<void> {
        const auto other = co_await other_publisher.Run(
            MakeSource("20-b.json", DomainFile("other")));
        REQUIRE(other.has_value());
      });
      const auto accepted = RunCoroutine(
          context, ours.Run(MakeSource("20-b.json", DomainFile("zb"))));

      THEN("the failure names the file and the revision") {
        REQUIRE_FALSE(accepted.has_value());
        REQUIRE(accepted.error().error == publish_error::kConflict);
        REQUIRE(accepted.error().files ==
                std::vector<std::string>{"20-b.json"});
        REQUIRE(accepted.error().revision == 2);
      }
    }
  }
}

SCENARIO("The history stays bounded", "[operators]") {
  GIVEN("a publisher that keeps 3 manifests and cleans up every 2 revisions") {
    local_system system;
    const auto objects = system.Start("objects", "standins/standin_objects");
    boost::asio::io_context context(1);
    http_object_store store(context.get_executor(), LoopbackAddress(objects));
    publish_options options = MakeOptions();
    options.kept_revisions = 3;
    options.cleanup_interval = 2;
    publisher one(store, options);
    std::optional<configuration_manifest> base;

    WHEN("it publishes 12 revisions of one file") {
      for (std::uint64_t i = 1; i <= 12; ++i) {
        const publish_source source =
            MakeSource("10-a.json", DomainFile("z" + std::to_string(i)), base);
        const auto accepted = RunCoroutine(context, one.Run(source));
        REQUIRE(accepted.has_value());
        REQUIRE(accepted->revision == i);
        base = internal::MakeManifest(source.files);
        base->revision = i;
      }

      THEN("old manifests and their files are removed, and the others kept") {
        const auto history = RunCoroutine(
            context, store.List(kHistoryKind, MakeOptions().until));
        const auto files =
            RunCoroutine(context, store.List(kFileKind, MakeOptions().until));
        REQUIRE(history.has_value());
        REQUIRE(history->objects.size() == 3);
        REQUIRE(files.has_value());
        REQUIRE(files->objects.size() == 4);
      }
      AND_WHEN("the folder returns to the text of a removed revision") {
        const publish_source source =
            MakeSource("10-a.json", DomainFile("z1"), base);
        REQUIRE(RunCoroutine(context, one.Run(source)).has_value());

        THEN("its file is created again") {
          const std::string digest =
              internal::MakeManifest(source.files).files.front().digest;
          const auto stored = RunCoroutine(
              context, store.Get(kFileKind, digest, MakeOptions().until));
          REQUIRE(stored.has_value());
        }
      }
    }
  }
}

}  // namespace anvilloom
