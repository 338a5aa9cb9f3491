// Guards against an instance that does not start because the platform renders
// a number of its settings in another form than the code expects.

#include "entry/gateway_settings.h"

#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>
#include <fstream>
#include <iterator>
#include <map>
#include <optional>
#include <string>

namespace anvilloom {

namespace {

namespace leaf = boost::leaf;

// Values that the platform renders for the placeholders of the template.
using rendered_values = std::map<std::string, std::string>;

const rendered_values kValues = {{"nodeName", "edge-a-1"},
                                 {"zone", "a"},
                                 {"listen.frontend", "10.1.0.16:8360"},
                                 {"listen.ready", "10.1.0.16:8365"},
                                 {"ip", "10.1.0.16"},
                                 {"internalPortRange.0", "7500"},
                                 {"internalPortRange.1", "7515"},
                                 {"platform.address", "10.200.1.7:8361"},
                                 {"cloudApi.address", "10.200.0.114:8361"},
                                 {"limits.cpuCores", "1"},
                                 {"limits.maxFds", "4100"},
                                 {"limits.memoryMb", "260"},
                                 {"bounds.graceS", "8"},
                                 {"bounds.leaseMs", "3000"},
                                 {"bounds.usageWindowS", "5"},
                                 {"bounds.usageDelayS", "10"},
                                 {"bounds.retryBudgetRatio", "0.2"},
                                 {"bounds.retryMinExtra", "52"},
                                 {"bounds.retryWindowS", "10"},
                                 {"bounds.configApplyMs", "4000"},
                                 {"bounds.drainMs", "3000"}};

// Renders the sections of a template: {{#name}}text{{/name}} stands for its
// text if the name has a value.
std::string RenderSections(std::string text, const rendered_values& values) {
  for (std::size_t at = text.find("{{#"); at != std::string::npos;
       at = text.find("{{#", at)) {
    const std::size_t name_at = at + 3;
    const std::string name =
        text.substr(name_at, text.find("}}", name_at) - name_at);
    const std::size_t body_at = name_at + name.size() + 2;
    const std::string close = "{{/" + name + "}}";
    const std::size_t close_at = text.find(close, body_at);
    REQUIRE(close_at != std::string::npos);
    const std::string body =
        values.contains(name) ? text.substr(body_at, close_at - body_at) : "";
    text.replace(at, close_at + close.size() - at, body);
  }
  return text;
}

std::string Render(const rendered_values& values) {
  std::ifstream file(ANVILLOOM_SOURCE_FOLDER "/deploy/settings.json.tmpl");
  std::string text = RenderSections(
      std::string(std::istreambuf_iterator<char>(file), {}), values);
  for (const auto& [name, value] : values) {
    const std::string placeholder = "{{" + name + "}}";
    for (std::size_t at = text.find(placeholder); at != std::string::npos;
         at = text.find(placeholder)) {
      text.replace(at, placeholder.size(), value);
    }
  }
  return text;
}

std::optional<gateway_settings> Load(const std::string& text) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::optional<gateway_settings>> {
        BOOST_LEAF_AUTO(settings, ParseGatewaySettings(text, "settings"));
        return std::optional(settings);
      },
      [](const settings_fault& fault) -> std::optional<gateway_settings> {
        UNSCOPED_INFO("refused key: " << fault.key);
        return std::nullopt;
      },
      []() -> std::optional<gateway_settings> { return std::nullopt; });
}

}  // namespace

SCENARIO("An instance starts with every form of a number that is rendered",
         "[gateway_settings]") {
  GIVEN("the template with whole numbers") {
    const std::string text = Render(kValues);
    REQUIRE(text.find("{{") == std::string::npos);

    THEN("it is read") {
      const auto settings = Load(text);
      REQUIRE(settings);
      REQUIRE(settings->retry_extra == 52);
      REQUIRE(settings->threads == 1);
      REQUIRE(settings->process.memory_bytes == 260'000'000);
      REQUIRE(settings->manifest_apply == std::chrono::seconds(4));
      REQUIRE(settings->upstream_drain == std::chrono::seconds(3));
    }
  }

  GIVEN("a deployment that states no bound for changes") {
    rendered_values values = kValues;
    values.erase("bounds.configApplyMs");
    values.erase("bounds.drainMs");

    THEN("the instance starts with the default") {
      const auto settings = Load(Render(values));
      REQUIRE(settings);
      REQUIRE(settings->manifest_apply == gateway_settings{}.manifest_apply);
      REQUIRE(settings->upstream_drain == gateway_settings{}.upstream_drain);
    }
  }

  // Bounds are stated as whole numbers or as fractions.
  for (const char* name :
       {"bounds.graceS", "bounds.leaseMs", "bounds.usageWindowS",
        "bounds.usageDelayS", "bounds.retryMinExtra", "bounds.retryWindowS",
        "bounds.configApplyMs", "bounds.drainMs", "limits.memoryMb"}) {
    GIVEN(std::string("a fraction for ") + name) {
      rendered_values values = kValues;
      values[name] += ".4375";

      THEN("the instance starts") {
        REQUIRE(Load(Render(values)));
      }
    }
  }

  GIVEN("a deployment with bounds of rollouts") {
    rendered_values values = kValues;
    values["bounds.exposureFraction"] = "0.1";
    values["bounds.exposureTolerance"] = "50";
    values["bounds.rollbackMs"] = "4000";
    values["bounds.outerMs"] = "6000.5";
    THEN("they are read, also the one that has no effect") {
      const auto settings = Load(Render(values));
      REQUIRE(settings);
      REQUIRE(settings->rollout_share == 0.1);
      REQUIRE(settings->rollout_extra_calls == 50);
      REQUIRE(settings->rollout_revert == std::chrono::seconds(4));
    }
    THEN("one that no deployment can have is refused") {
      values["bounds.outerMs"] = "-1";
      REQUIRE(!Load(Render(values)));
    }
  }

  GIVEN("a retry budget with a fraction") {
    rendered_values values = kValues;
    values["bounds.retryMinExtra"] = "13.5";
    THEN("the fraction is kept") {
      const auto settings = Load(Render(values));
      REQUIRE(settings);
      REQUIRE(settings->retry_extra == 13.5);
    }
  }

  GIVEN("a machine with a part of a core") {
    rendered_values values = kValues;
    values["limits.cpuCores"] = "1.5";
    THEN("it gets a thread for the part, too") {
      const auto settings = Load(Render(values));
      REQUIRE(settings);
      REQUIRE(settings->threads == 2);
    }
  }

  GIVEN("numbers that no machine can have") {
    for (const char* value : {"-1", "1e300", "\"many\"", "null"}) {
      rendered_values values = kValues;
      values["bounds.retryMinExtra"] = value;
      THEN(std::string("the instance refuses a budget of ") + value) {
        REQUIRE(!Load(Render(values)));
      }
    }
  }
}

}  // namespace anvilloom
