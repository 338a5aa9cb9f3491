// Guards against accepting a faulty configuration, and against messages that
// omit the file, the key or the expected value.

#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>

#include "contracts/configuration_check.h"
#include "wire/configuration_json.h"

namespace anvilloom {

namespace {

namespace leaf = boost::leaf;

// The result of decoding: faults, or an accepted configuration with warnings.
struct decode_report {
  bool accepted = false;
  std::vector<configuration_fault> faults;
  std::vector<configuration_fault> warnings;
  configuration value;
};

decode_report Decode(std::span<const configuration_file> files) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<decode_report> {
        BOOST_LEAF_AUTO(decoded, DecodeConfigurationWithWarnings(files, 7));
        return decode_report{true, {}, decoded.warnings, decoded.value};
      },
      [](const configuration_faults& found) {
        return decode_report{false, found.faults, {}, {}};
      },
      [] { return decode_report{}; });
}

constexpr std::string_view kValid = R"({
  // A comment.
  "failure_domains": {"za": {"region": "r1"}},
  "workspaces": {"w1": {"credential_sha256":
    "4eb641cb2599e6652e96a588bca24e9d2ec91765479935d63d6c25674231e380"}},
  "services": {
    "plan": {"kind": "model", "model": "m", "answer_limit_ms": 30000},
    "pay": {"kind": "plain", "repeatable": false}},
  "upstreams": {
    "e1": {"address": "127.0.0.1:9101", "failure_domain": "za",
           "services": ["plan"]},
    "s1": {"address": "[::1]:9101", "failure_domain": "za",
           "services": ["pay"]}}
})";

std::vector<configuration_file> ValidWith(std::string_view patch) {
  return {{"10-valid.json", std::string(kValid)},
          {"20-patch.json", std::string(patch)}};
}

}  // namespace

SCENARIO("A fault is reported with its file, key and expected value",
         "[configuration]") {
  GIVEN("a valid configuration and a file that overrides a part of it") {
    using kind = configuration_fault_kind;
    // The patch, the kind and key of its only fault, and a part of the expected
    // value.
    const auto [patch, wanted, key,
                expected] = GENERATE(table<const char*, kind, const char*,
                                           const char*>({
        {"[]", kind::kNotJson, "", "be a JSON object"},
        {"{", kind::kNotJson, "", "be a JSON object"},
        {"\"\xff\"", kind::kNotJson, "", "be a JSON object"},
        {R"({"limit": {}})", kind::kUnknownKey, "limit", "sections"},
        {R"({"limits": 3})", kind::kWrongType, "limits", "an object"},
        {R"({"services": {"plan": 3}})", kind::kWrongType, "services/plan",
         "an object"},
        {R"({"services": {"plan": {"first_token_s": 1}}})", kind::kUnknownKey,
         "services/plan/first_token_s", "first_token_ms"},
        {R"({"services": {"plan": {"first_token_ms": "650"}}})",
         kind::kWrongType, "services/plan/first_token_ms", "milliseconds"},
        {R"({"services": {"plan": {"first_token_ms": 0}}})", kind::kOutOfRange,
         "services/plan/first_token_ms", "from 1 to 600000"},
        {R"({"services": {"plan": {"first_token_ms": -1}}})", kind::kOutOfRange,
         "services/plan/first_token_ms", "from 1 to 600000"},
        {R"({"services": {"plan": {"first_token_ms": 1.5}}})",
         kind::kOutOfRange, "services/plan/first_token_ms", "whole number"},
        {R"({"services": {"plan": {"answer_limit_ms": 60000000}}})",
         kind::kOutOfRange, "services/plan/answer_limit_ms",
         "from 1 to 7200000"},
        {R"({"services": {"plan": {"priority": "urgent"}}})",
         kind::kUnsupportedValue, "services/plan/priority", "interactive"},
        {R"({"services": {"plan": {"kind": null}}})", kind::kMissingKey,
         "services/plan/kind", "model"},
        {R"({"services": {"pay": {"repeatable": "no"}}})", kind::kWrongType,
         "services/pay/repeatable", "true or false"},
        {R"({"services": {"pay": {"identity_fields": ["a", 3]}}})",
         kind::kWrongType, "services/pay/identity_fields", "list"},
        {R"({"workspaces": {"w1": {"credential_sha256": "ABC"}}})",
         kind::kOutOfRange, "workspaces/w1/credential_sha256", "64 lower-case"},
        {R"({"workspaces": {"w1": {"weight": 0}}})", kind::kOutOfRange,
         "workspaces/w1/weight", "from 1 to 1000"},
        {R"({"upstreams": {"e1": {"slots": 99999999999}}})", kind::kOutOfRange,
         "upstreams/e1/slots", "from 1 to 65536"},
        {R"({"upstreams": {"e1": {"address": null}}})", kind::kMissingKey,
         "upstreams/e1/address", "IP address"},
        {R"({"limits": {"retry_permille": 1001}})", kind::kOutOfRange,
         "limits/retry_permille", "thousandths"},
        {R"({"upstreams": {"e1": {"address": "engine:80"}}})",
         kind::kInconsistent, "upstreams/e1/address", "IP address"},
        {R"({"upstreams": {"e1": {"address": "127.0.0.1:0"}}})",
         kind::kInconsistent, "upstreams/e1/address", "IP address"},
        {R"({"upstreams": {"e1": {"address": "[::1]:9101"}}})",
         kind::kInconsistent, "upstreams/s1/address", "\"e1\""},
        {R"({"upstreams": {"e1": {"failure_domain": "zb"}}})",
         kind::kInconsistent, "upstreams/e1/failure_domain", "\"zb\""},
        {R"({"failure_domains": {"za": null},
                 "upstreams": {"s1": null}})",
         kind::kInconsistent, "upstreams/e1/failure_domain", "\"za\""},
        {R"({"upstreams": {"e1": {"services": ["plan", "gone"]}}})",
         kind::kInconsistent, "upstreams/e1/services", "\"gone\""},
        {R"({"upstreams": {"e1": {"services": ["plan", "plan"]}}})",
         kind::kInconsistent, "upstreams/e1/services", "twice"},
        {R"({"upstreams": {"e1": {"services": ["plan", "pay"]}}})",
         kind::kInconsistent, "upstreams/e1/services", "one protocol"},
        {R"({"services": {"plan": {"repeatable": false}}})",
         kind::kInconsistent, "services/plan/repeatable", "true"},
        {R"({"services": {"plan": {"model": null}}})", kind::kInconsistent,
         "services/plan/model", "model"},
        {R"({"services": {"pay": {"model": "m"}}})", kind::kInconsistent,
         "services/pay/model", "plain"},
        {R"({"services": {"plan": {"token_interval_ms": 30001}}})",
         kind::kInconsistent, "services/plan/token_interval_ms",
         "answer_limit_ms"},
        {R"({"services": {"plan": {"first_token_ms": 30001}}})",
         kind::kInconsistent, "services/plan/first_token_ms",
         "answer_limit_ms"},
        {R"({"workspaces": {"w2": {"credential_sha256":
    "4eb641cb2599e6652e96a588bca24e9d2ec91765479935d63d6c25674231e380"}}})",
         kind::kInconsistent, "workspaces/w2/credential_sha256", "\"w1\""},
        {R"({"services": {"a/b": {"kind": "plain"}}})", kind::kInconsistent,
         "services/a/b", "letters"},
    }));

    WHEN("it is decoded") {
      CAPTURE(patch);
      const decode_report report = Decode(ValidWith(patch));

      THEN("it is rejected with exactly this fault") {
        REQUIRE_FALSE(report.accepted);
        REQUIRE(report.faults.size() == 1);
        const configuration_fault& fault = report.faults.front();
        CAPTURE(ErrorMessage(fault));
        REQUIRE(fault.kind == wanted);
        REQUIRE(fault.key == key);
        REQUIRE(fault.expected.find(expected) != std::string::npos);
        REQUIRE(ErrorMessage(fault).find("The file ") == 0);
        REQUIRE(ErrorMessage(fault).ends_with("."));
      }
    }
  }
}

SCENARIO("All faults are reported at once", "[configuration]") {
  GIVEN("faults in several files, one of them overriding another") {
    const std::vector<configuration_file> files = {
        {"10-valid.json", std::string(kValid)},
        {"30-late.json", R"({"upstreams": {"e1": {"slots": -1}}})"},
        {"20-early.json",
         R"({"upstreams": {"e1": {"slots": 0}}, "typo": 1,
             "services": {"pay": {"weight": 1}, "plan": {"repeatable": false}}})"},
    };

    WHEN("they are decoded") {
      const decode_report report = Decode(files);

      THEN("each is reported once, for the file that set the key last") {
        REQUIRE(report.faults.size() == 4);
        for (const configuration_fault& fault : report.faults) {
          CAPTURE(ErrorMessage(fault));
          REQUIRE(fault.file == (fault.key == "upstreams/e1/slots"
                                     ? "30-late.json"
                                     : "20-early.json"));
        }
      }
    }
  }

  GIVEN("a file that is not JSON beside one with a dangling reference") {
    const std::vector<configuration_file> files = {
        {"10-valid.json", "{"},
        {"20-more.json",
         R"({"upstreams": {"e1": {"address": "127.0.0.1:1",
             "failure_domain": "za", "slots": 0}}})"},
    };

    WHEN("they are decoded") {
      const decode_report report = Decode(files);

      THEN("the dangling reference is not reported as a fault") {
        REQUIRE(report.faults.size() == 2);
        REQUIRE(report.faults[0].kind == configuration_fault_kind::kNotJson);
        REQUIRE(report.faults[1].key == "upstreams/e1/slots");
      }
    }
  }
}

SCENARIO("A valid configuration is accepted", "[configuration]") {
  GIVEN("a service without an upstream") {
    const decode_report report =
        Decode(ValidWith(R"({"services": {"later": {"kind": "plain"}}})"));

    THEN("it is accepted with a warning") {
      REQUIRE(report.accepted);
      REQUIRE(report.value.revision == 7);
      REQUIRE(report.value.services.size() == 3);
      REQUIRE(report.warnings.size() == 1);
      REQUIRE(report.warnings.front().key == "services/later");
    }
  }

  GIVEN("a file that removes an upstream and changes one") {
    const decode_report report =
        Decode(ValidWith(R"({"upstreams": {"s1": null, "e1": {"slots": 4}}})"));

    THEN("the files are merged as RFC 7396 defines") {
      REQUIRE(report.accepted);
      REQUIRE(report.value.upstreams.size() == 1);
      REQUIRE(report.value.upstreams.front().slots == 4);
      REQUIRE(report.value.upstreams.front().address == "127.0.0.1:9101");
    }
  }

  GIVEN("no files at all") {
    THEN("the empty configuration is accepted") {
      REQUIRE(Decode({}).accepted);
    }
  }
}

SCENARIO("Only addresses with an IP address and a port are valid",
         "[configuration]") {
  const auto [text, valid] = GENERATE(table<const char*, bool>({
      {"127.0.0.1:80", true},
      {"[::1]:80", true},
      {"[2001:db8::7]:65535", true},
      {"127.0.0.1", false},
      {"127.0.0.1:", false},
      {"127.0.0.1:0", false},
      {"127.0.0.1:65536", false},
      {"127.0.0.1:80x", false},
      {"::1:80", false},
      {"[127.0.0.1]:80", false},
      {"localhost:80", false},
      {"", false},
      {":80", false},
  }));
  THEN("the text is classified correctly") {
    REQUIRE(IsAddress(text) == valid);
  }
}

}  // namespace anvilloom
