// Guards against pages that no longer match the programs: log events against
// docs/logs.md, known keys against docs/settings.md.

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

// The first cell of each table row of the text, between backquotes.
std::set<std::string> KeysOf(std::string_view text) {
  constexpr std::string_view kRow = "\n| `";
  std::set<std::string> keys;
  for (std::size_t at = text.find(kRow); at != text.npos;
       at = text.find(kRow, at + 1)) {
    const std::size_t begin = at + kRow.size();
    keys.emplace(text.substr(begin, text.find('`', begin) - begin));
  }
  return keys;
}

// The name in the row of an event, or an empty text without such a row.
std::string_view NameInPage(std::string_view page, unsigned number) {
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

SCENARIO("The pages list what the programs know", "[pages]") {
  GIVEN("the page of log events") {
    const std::string page = ReadPage("logs.md");
    REQUIRE_FALSE(page.empty());

    THEN("each event has a row with its name, and each row an event") {
      for (unsigned number = kFirstEvent; number <= kLastEvent; ++number) {
        const std::string_view name = Name(static_cast<log_event>(number));
        CAPTURE(number, name);
        CHECK(NameInPage(page, number) == (name == "unknown" ? "" : name));
      }
    }
  }

  GIVEN("the page of settings") {
    const std::string page = ReadPage("settings.md");
    const std::size_t gateway = page.find("## Settings of a gateway");
    const std::size_t split = page.find("## Configuration files");
    REQUIRE(gateway != std::string::npos);
    REQUIRE(split != std::string::npos);
    REQUIRE(gateway < split);

    THEN("the first table lists the settings keys") {
      const auto known = KnownSettingsKeys();
      REQUIRE(KeysOf(std::string_view(page).substr(0, gateway)) ==
              std::set<std::string>(known.begin(), known.end()));
    }

    THEN("the table of the gateway lists its settings keys") {
      const auto known = KnownGatewaySettingsKeys();
      REQUIRE(KeysOf(std::string_view(page).substr(gateway, split - gateway)) ==
              std::set<std::string>(known.begin(), known.end()));
    }

    THEN("the second table lists the configuration keys") {
      REQUIRE(KeysOf(std::string_view(page).substr(split)) ==
              ConfigurationKeys());
    }
  }
}

}  // namespace anvilloom
