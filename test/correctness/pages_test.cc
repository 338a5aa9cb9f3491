// Guards against documentation that does not match the programs: compares log
// events with docs/logs.md and known keys with docs/settings.md.

#include <catch2/catch.hpp>
#include <fstream>
#include <iterator>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "common/log.h"
#include "entry/gateway_settings.h"
#include "entry/settings.h"
#include "wire/configuration_json.h"

namespace anvilloom {

namespace {

constexpr unsigned kFirstEvent = 100;
constexpr unsigned kLastEvent = 999;

std::string ReadPage(const std::string& name) {
  std::ifstream file(ANVILLOOM_SOURCE_FOLDER "/docs/" + name);
  return {std::istreambuf_iterator<char>(file), {}};
}

// Returns the backquoted first cell of each table row in the text.
std::set<std::string> TableKeys(std::string_view text) {
  constexpr std::string_view kRow = "\n| `";
  std::set<std::string> keys;
  for (std::size_t at = text.find(kRow); at != text.npos;
       at = text.find(kRow, at + 1)) {
    const std::size_t begin = at + kRow.size();
    keys.emplace(text.substr(begin, text.find('`', begin) - begin));
  }
  return keys;
}

// Returns the documented name of an event, or an empty view if it has no row.
std::string_view DocumentedName(std::string_view page, unsigned number) {
  std::string label = "| E";
  label += std::to_string(number);
  label += " | `";
  const std::size_t at = page.find(label);
  if (at == page.npos) {
    return {};
  }
  const std::size_t begin = at + label.size();
  return page.substr(begin, page.find('`', begin) - begin);
}

std::set<std::string> ConfigurationKeys() {
  std::set<std::string> keys;
  for (const configuration_key& known : KnownConfigurationKeys()) {
    std::string key(known.section);
    key += known.section == "limits" ? "/" : "/<name>/";
    key += known.name;
    keys.insert(std::move(key));
  }
  return keys;
}

}  // namespace

SCENARIO("The documentation lists all events and keys of the programs",
         "[pages]") {
  GIVEN("the page of log events") {
    const std::string page = ReadPage("logs.md");
    REQUIRE_FALSE(page.empty());

    THEN("each event has a row with its name, and each row an event") {
      for (unsigned number = kFirstEvent; number <= kLastEvent; ++number) {
        const std::string_view name = Name(static_cast<log_event>(number));
        CAPTURE(number, name);
        CHECK(DocumentedName(page, number) == (name == "unknown" ? "" : name));
      }
    }
  }

  GIVEN("the page of settings") {
    const std::string page = ReadPage("settings.md");
    const std::size_t gateway_section = page.find("## Settings of a gateway");
    const std::size_t configuration_section =
        page.find("## Configuration files");
    REQUIRE(gateway_section != std::string::npos);
    REQUIRE(configuration_section != std::string::npos);
    REQUIRE(gateway_section < configuration_section);

    THEN("the tables before the gateway section list the settings keys") {
      const auto known = KnownSettingsKeys();
      REQUIRE(TableKeys(std::string_view(page).substr(0, gateway_section)) ==
              std::set<std::string>(known.begin(), known.end()));
    }

    THEN("the table of the gateway lists its settings keys") {
      const auto known = KnownGatewaySettingsKeys();
      REQUIRE(TableKeys(std::string_view(page).substr(
                  gateway_section, configuration_section - gateway_section)) ==
              std::set<std::string>(known.begin(), known.end()));
    }

    THEN(
        "the tables of the configuration section list the configuration keys") {
      REQUIRE(TableKeys(std::string_view(page).substr(configuration_section)) ==
              ConfigurationKeys());
    }
  }
}

}  // namespace anvilloom
