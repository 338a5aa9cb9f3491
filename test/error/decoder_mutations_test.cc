// Guards against input that makes a decoder crash or accept a value that its
// readers can't handle. Valid inputs are mutated by seeded generators, decoded,
// and what was accepted is given to the code that uses it.

#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <span>
#include <string>
#include <type_traits>
#include <variant>
#include <vector>

#include "contracts/distributed_rate_limiter.h"
#include "entry/announced_upstreams.h"
#include "entry/settings.h"
#include "entry/suspect_record.h"
#include "instances/lease.h"
#include "instances/membership.h"
#include "instances/peer_report.h"
#include "links/crash_suspects.h"
#include "platform/platform.h"
#include "test/support/local_system.h"
#include "test/support/mutators.h"
#include "wire/chat_codec.h"
#include "wire/claim_json.h"
#include "wire/configuration_json.h"
#include "wire/endpoint.h"
#include "wire/engine_orders.h"
#include "wire/json_text.h"
#include "wire/kv_codec.h"
#include "wire/lease_json.h"
#include "wire/line_splitter.h"
#include "wire/load_codec.h"
#include "wire/peer_codec.h"
#include "wire/report_codec.h"

namespace anvilloom {

namespace {

namespace leaf = boost::leaf;

constexpr std::uint64_t kSeed = 20'261'204;
constexpr int kMutantsPerDecoder = 8000;

enum class input_format { kText, kJson, kProtobuf };

// A decoder and a valid input for it. `decode` returns whether the input was
// accepted.
struct decoder_case {
  std::string name;
  std::string valid;
  std::function<bool(std::string_view)> decode;
  input_format format = input_format::kJson;
};

void Expect(bool holds, const char* fault) {
  if (!holds) {
    throw std::logic_error(fault);
  }
}

bool DecodeChat(std::string_view text) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<bool> {
        BOOST_LEAF_AUTO(request, DecodeChatRequest(text));
        // An accepted request must also be encodable for an engine.
        EncodeEngineRequest(request, "m", "r", priority::kNormal, {});
        return ParseJson(request.messages).has_value();
      },
      [] { return false; });
}

bool DecodeFiles(std::string_view text) {
  const std::vector<configuration_file> files = {
      {"10-a.json", std::string(text)}};
  return leaf::try_handle_all(
      [&]() -> leaf::result<bool> {
        BOOST_LEAF_AUTO(decoded, DecodeConfiguration(files, 1));
        for (const upstream_declaration& target : decoded.upstreams) {
          Expect(target.slots > 0 && !target.address.empty(),
                 "An upstream with an out-of-range value was accepted.");
        }
        return true;
      },
      [](const configuration_faults& found) {
        Expect(!found.faults.empty(),
               "A rejected configuration lists no faults.");
        for (const configuration_fault& fault : found.faults) {
          ErrorMessage(fault);
        }
        return false;
      },
      [] { return false; });
}

bool DecodeSettings(std::string_view text) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<bool> {
        BOOST_LEAF_AUTO(settings, ParseSettings(text, "a.json"));
        return settings.threads > 0;
      },
      [] { return false; });
}

bool DecodeLines(std::string_view text) {
  line_splitter lines;
  bool found_json = false;
  // With 7-byte pieces, line ends occur at every offset within a piece.
  for (std::size_t at = 0; at < text.size(); at += 7) {
    lines.Append(text.substr(at, 7));
    while (const auto line = lines.NextLine()) {
      found_json = ParseJson(*line).has_value() || found_json;
    }
  }
  return found_json;
}

constexpr std::int64_t kWallUs = 1'000'000'000;

std::vector<suspect_report> ExampleSuspects() {
  suspect_report suspect;
  suspect.parts = {7, 8};
  suspect.tried_age = std::chrono::seconds(1);
  suspect.crashes = {{1, 2, std::chrono::seconds(9)},
                     {3, 4, std::chrono::seconds(8)}};
  return {suspect};
}

peer_report SuspectReport() {
  peer_report report;
  report.name = "g1";
  report.content = report_content::kSuspects;
  report.suspects = ExampleSuspects();
  return report;
}

// The time at which what was decoded is used.
constexpr time_point kNow(std::chrono::hours(1000));

// Returns whether there was a suspect that the table accepted.
bool ApplySuspects(std::span<const suspect_report> suspects) {
  crash_suspects known;
  for (const suspect_report& each : suspects) {
    known.Merge(each, kNow);
  }
  known.TakeView(0);
  known.TakeReports(kNow);
  return known.size() > 0;
}

bool ApplyEvidence(const suspect_evidence& evidence) {
  crash_suspects known;
  known.Restore(evidence, kNow);
  known.TakeView(0);
  known.Evidence(kNow);
  return known.size() > 0;
}

peer_report WholeReport() {
  peer_report report;
  report.name = "g2";
  report.epoch = 1'700'000'000'000'000;
  report.sequence = 7;
  report.address = "10.0.0.2:90";
  report.duty_fencing = 3;
  report.wall_us = report.epoch + 60'000'000;
  report.manifest_version = 5;
  report.upstream_digest = 99;
  report.verified = true;
  report.watching = true;
  report.granted = {{"w1", 100}, {"w2", 200}};
  report.begun = {{17, "w1", 4}, {18, "w2", 5}};
  report.sent = {{1, 2, 3000, 7, 8'000}, {4, 5, 6000}};
  engine_profile profile;
  profile.observations = 200;
  profile.fixed_us = 900;
  profile.prefill_us_per_token = 40;
  profile.mean_us_per_token = 45;
  report.read = {{"s", 1000, profile}};
  return report;
}

peer_report ChangesReport() {
  peer_report report = WholeReport();
  report.content = report_content::kChanges;
  upstream_change announced{
      8, false, {"e1", 1'700'000'000'000, "s", "10.0.0.3:80", "za", 8}};
  upstream_change removed;
  removed.version = 9;
  removed.removed = true;
  removed.announced.id = "e2";
  report.changes = {announced, removed};
  return report;
}

void ApplyGrants(const peer_report& report, peer_report_table& table) {
  constexpr rate_limit kLimit{100, 200};
  distributed_rate_limiter limiter;
  const auto charge = [&](const peer_report_table::new_grants& grants) {
    limiter.Charge(grants.units, kLimit, kNow);
    limiter.ChargePastGrants(grants.units, kLimit, kNow);
  };
  table.Take(report, kNow, {charge, [](duration) {}});
  limiter.Admit(1, kLimit, kNow);
  limiter.NextGrantAt(kLimit, kNow);
}

void ApplyChanges(std::span<const upstream_change> changes) {
  serving_view_builder builder;
  announced_upstreams upstreams(builder, [] {});
  for (const upstream_change& each : changes) {
    const auto endpoint = ParseEndpoint(each.announced.address);
    Expect(each.removed || (endpoint && endpoint->port() != 0),
           "An upstream that can't be called was announced.");
    upstreams.ApplyChange(each, kNow);
  }
  builder.Build();
}

bool ApplyReport(std::string_view bytes) {
  const auto report = DecodePeerReport(bytes);
  if (!report) {
    return false;
  }
  peer_report_table table("g1");
  table.Expect("g2", "10.0.0.2:90", kNow);
  ApplyGrants(*report, table);
  table.TakeAssumedGrants(kNow);
  table.MedianWallOffset(0, kNow);
  table.PeerUpstreamLoad(kNow);
  table.KeepCounts(16, 18);
  table.Sweep(kNow);
  ApplyChanges(report->changes);
  return true;
}

member_update Update(std::string_view name, member_state state) {
  member_update update;
  update.profile = {
      std::string(name), "10.0.0.2:90", "10.0.0.2:80", "za", "1", false};
  update.state = state;
  update.incarnation = 4;
  return update;
}

peer_message MembershipMessage() {
  membership_message message;
  message.kind = membership_message_kind::kProbe;
  message.sequence = 6;
  message.target_address = "10.0.0.4:90";
  message.revision = 3;
  message.page = "";
  message.updates = {Update("g2", member_state::kAlive),
                     Update("g1", member_state::kSuspect),
                     Update("g3", member_state::kFailed)};
  return {"10.0.0.2:90", 0, message};
}

peer_message HandoverMessage() {
  stream_handover message;
  message.stream = "s1";
  message.request_id = "r1";
  message.workspace = "w";
  message.service = "s";
  message.messages = "[]";
  message.max_tokens = 20;
  message.first_token_remaining = std::chrono::seconds(1);
  message.answer_remaining = std::chrono::seconds(20);
  message.text = "ab";
  message.ends = {1, 2};
  message.transfer = 2;
  return {"10.0.0.2:90", 5, message};
}

peer_message SummaryMessage() {
  load_summary message;
  message.round = 4;
  message.age = std::chrono::milliseconds(300);
  message.engines = {{1, 2, {3, 4, 500}, 6}, {7, 8, {9, 10, 110}, 12}};
  return {"10.0.0.2:90", 0, message};
}

void Apply(const membership_message& message) {
  member_profile self;
  self.name = "g1";
  self.peer_address = "10.0.0.1:90";
  membership members(self, {}, kNow);
  membership_effects effects;
  members.Receive(message, kNow, 1, effects);
  members.Tick(kNow + std::chrono::milliseconds(100), 2, effects);
  members.Tick(kNow + std::chrono::minutes(1), 3, effects);
  Expect(members.incarnation() > 0,
         "An instance can no longer refute that it has failed.");
}

void Apply(const stream_handover& message) {
  Expect(message.first_token_remaining >= duration(0) &&
             message.answer_remaining >= duration(0),
         "A stream with a negative remaining time was accepted.");
  deadline::After(kNow, message.first_token_remaining);
  deadline::After(kNow, message.answer_remaining);
  for (const std::uint32_t end : message.ends) {
    Expect(end <= message.text.size(), "A token ends behind the text.");
  }
}

void Apply(const load_summary& message) {
  Expect(kNow - message.age <= kNow, "A load from the future was accepted.");
}

template <typename Body>
bool ApplyMessage(std::string_view bytes) {
  const auto message = DecodePeerMessage(bytes);
  if (message && std::holds_alternative<Body>(message->body)) {
    Apply(std::get<Body>(message->body));
  }
  return message.has_value();
}

claim_record ExampleClaim() {
  claim_record record;
  record.state = claim_state::kDone;
  record.attempt = "a1";
  record.owner = "g1/7";
  record.request_digest = "00ff";
  record.lease = std::chrono::seconds(30);
  record.written_at_s = 1'700'000'000;
  record.answer = {200, "text/plain", "the answer", false};
  return record;
}

bool ApplyClaim(std::string_view text) {
  const auto record = DecodeClaim(text);
  if (!record) {
    return false;
  }
  Expect(deadline::After(kNow, record->lease).at() >= kNow,
         "A claim with a negative lease was accepted.");
  Expect(record->written_at_s >= 0, "A claim from before 1970 was accepted.");
  const unsigned status = record->answer.status;
  Expect(record->state != claim_state::kDone || (status >= 200 && status < 600),
         "An answer without a status of HTTP was accepted.");
  return true;
}

bool ApplyLease(std::string_view text) {
  const auto record = DecodeLease(text);
  if (!record) {
    return false;
  }
  lease_observer observer;
  observer.Observe(1, *record, kNow);
  observer.Expired(kNow + std::chrono::hours(2));
  Expect(TakeOver(record, "g2", {}).fencing > record->fencing,
         "The next holder of the lease has no larger fencing number.");
  return true;
}

constexpr std::string_view kPlatformManifest =
    R"({"version":3,"routes":[{"name":"r","hostname":"h","pathPrefix":"/",
    "routeType":"streaming","trafficSplit":[{"service":"s","weight":3},
    {"service":"t","weight":1}],"timeoutMs":9000,"targetLatencyMs":400,
    "maxAttempts":3,"priority":2}],"services":[{"name":"s","engine":{
    "batchSlots":8,"kvCapacity":9000,"linkMbps":100},"autoscaling":{
    "minReplicas":1,"maxReplicas":4,"bootTimeS":2.5,"zonePrices":{"a":1}}}],
    "tenants":[{"name":"t","apiKeys":["k"],"priority":1,"ratePerS":10,
    "burst":20}],"limits":{"maxHeaderBytes":8000,"maxBodyBytes":90000,
    "headerTimeoutMs":2000,"idleTimeoutMs":5000}})";

bool ApplyManifest(std::string_view text) {
  auto decoded = platform::DecodeManifest(text);
  if (!decoded) {
    return false;
  }
  const manifest_index index(std::move(*decoded));
  index.FindRoute("H:80", "/a/b");
  index.FindWorkspace("k");
  for (const manifest_route& route : index.source().routes) {
    deadline::After(kNow, route.answer_limit);
    deadline::After(kNow, route.latency_target);
    ChooseTarget(route.targets, 0.999);
  }
  for (const manifest_workspace& workspace : index.source().workspaces) {
    distributed_rate_limiter limiter;
    const rate_limit limit = RateLimitOf(workspace);
    limiter.Admit(1, limit, kNow);
    limiter.Charge(5, limit, kNow);
    limiter.NextGrantAt(limit, kNow);
  }
  return true;
}

bool DecodeAnnouncement(std::string_view text) {
  const auto announced = platform::DecodeUpstream("e1", text);
  if (announced) {
    const upstream_change change{1, false, *announced};
    ApplyChanges({&change, 1});
  }
  return announced.has_value();
}

std::vector<decoder_case> StoredDecoders() {
  return {
      {"configuration", TestConfiguration({9101, 9102}, {9201}), DecodeFiles},
      {"settings",
       R"({"name":"a","failure_domain":"za","object_api":"127.0.0.1:9000",
           "threads":3,"limits":{"body_bytes":4096,"idle_limit_ms":100}})",
       DecodeSettings},
      {"manifest",
       R"({"revision":7,"attempt":"x","files":[{"name":"a","digest":"b"}]})",
       [](std::string_view text) { return DecodeManifest(text).has_value(); }},
      {"claims", EncodeClaim(ExampleClaim()), ApplyClaim},
      {"leases", EncodeLease({"g1", 7, 9, std::chrono::seconds(15)}),
       ApplyLease},
      {"blocked parts",
       EncodeEvidence({ExampleSuspects(), {{5, std::chrono::seconds(2)}}},
                      kWallUs),
       [](std::string_view text) {
         const auto evidence = DecodeEvidence(text, kWallUs);
         return evidence && ApplyEvidence(*evidence);
       }},
      {"the platform's manifest", std::string(kPlatformManifest),
       ApplyManifest},
      {"the platform's announcements",
       R"({"service":"s","address":"10.0.0.1:80","zone":"a","state":"ready",)"
       R"("batchSlots":8,"born":1700000000000,"preemptible":true})",
       DecodeAnnouncement},
  };
}

std::vector<decoder_case> EngineDecoders() {
  return {
      {"chat", ChatBody("a plan", 20, true), DecodeChat},
      {"watch lines",
       "{\"type\":\"put\",\"version\":4,\"object\":{\"name\":\"a\","
       "\"version\":4,\"value\":{}}}\n{\"type\":\"bookmark\",\"version\":4}\n",
       DecodeLines, input_format::kText},
      {"engine chunk",
       R"({"id":"r1","system_fingerprint":"v1","token_index":3,"choices":[{)"
       R"("delta":{"content":"x"},"finish_reason":null}]})",
       [](std::string_view text) {
         chunk_decoder decoder;
         return decoder.Decode(text).has_value();
       }},
      {"engine loads",
       R"({"running":3,"waiting":1,"cache_permille":250,"version":"v1"})",
       [](std::string_view text) { return DecodeLoad(text).has_value(); }},
      {"engine versions", R"({"version":"v1"})",
       [](std::string_view text) {
         return DecodeEngineVersion(text).has_value();
       }},
      {"cache handles", R"({"handle":"h1"})",
       [](std::string_view text) { return DecodeKvHandle(text).has_value(); }},
      {"model reports", R"({"model":"m","loading":true})",
       [](std::string_view text) {
         return DecodeModelReport(text).has_value();
       }},
      {"addresses", "127.0.0.1:9000",
       [](std::string_view text) { return ParseEndpoint(text).has_value(); },
       input_format::kText},
  };
}

std::vector<decoder_case> PeerDecoders() {
  return {
      {"whole reports", EncodePeerReport(WholeReport()), ApplyReport,
       input_format::kProtobuf},
      {"reports of changes", EncodePeerReport(ChangesReport()), ApplyReport,
       input_format::kProtobuf},
      {"reports of suspects", EncodePeerReport(SuspectReport()),
       [](std::string_view text) {
         const auto report = DecodePeerReport(text);
         return report && ApplySuspects(report->suspects);
       },
       input_format::kProtobuf},
      {"membership messages", EncodePeerMessage(MembershipMessage()),
       ApplyMessage<membership_message>, input_format::kProtobuf},
      {"offered streams", EncodePeerMessage(HandoverMessage()),
       ApplyMessage<stream_handover>, input_format::kProtobuf},
      {"load summaries", EncodePeerMessage(SummaryMessage()),
       ApplyMessage<load_summary>, input_format::kProtobuf},
  };
}

// Decodes mutants of the valid input and returns how many were rejected.
template <input_mutator Mutator>
int CountRejected(const decoder_case& test_case) {
  Mutator mutator(kSeed);
  int rejected = 0;
  for (int i = 0; i < kMutantsPerDecoder; ++i) {
    const std::string mutant = mutator.Mutate(test_case.valid);
    CAPTURE(i);
    bool accepted = false;
    REQUIRE_NOTHROW(accepted = test_case.decode(mutant));
    rejected += accepted ? 0 : 1;
  }
  return rejected;
}

int CountRejectedWithSoundFormat(const decoder_case& test_case) {
  switch (test_case.format) {
    case input_format::kJson:
      return CountRejected<json_mutator>(test_case);
    case input_format::kProtobuf:
      return CountRejected<wire_mutator>(test_case);
    case input_format::kText:
      break;
  }
  return CountRejected<text_mutator>(test_case);
}

void RejectsMutants(std::span<const decoder_case> decoders) {
  for (const decoder_case& test_case : decoders) {
    GIVEN("the decoder of " + test_case.name) {
      REQUIRE(test_case.decode(test_case.valid));

      WHEN("bytes of valid input are changed") {
        const int rejected = CountRejected<text_mutator>(test_case);
        THEN("some mutants are rejected, and the process survives") {
          REQUIRE(rejected > 0);
        }
      }
      WHEN("values of valid input are changed, and its format stays sound") {
        const int rejected = CountRejectedWithSoundFormat(test_case);
        THEN("what is accepted can be used") {
          REQUIRE(rejected < kMutantsPerDecoder);
        }
      }
    }
  }
}

}  // namespace

SCENARIO("Mutants of stored objects are rejected or can be used",
         "[mutations]") {
  RejectsMutants(StoredDecoders());
}

SCENARIO("Mutants of what callers and engines send are rejected or can be used",
         "[mutations]") {
  RejectsMutants(EngineDecoders());
}

SCENARIO(
    "Mutants of what instances send each other are rejected or can be used",
    "[mutations]") {
  RejectsMutants(PeerDecoders());
}

}  // namespace anvilloom
