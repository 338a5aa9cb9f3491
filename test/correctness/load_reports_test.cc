// Guards the load reports of engines against an engine with no owner or several
// owners, an old report that overwrites a newer one, and traffic above the
// limit per node.

#include <algorithm>
#include <catch2/catch.hpp>
#include <iostream>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "common/hash.h"
#include "links/link.h"
#include "links/load_owner.h"
#include "links/load_report_sequencer.h"
#include "wire/load_codec.h"
#include "wire/peer.pb.h"
#include "wire/peer_codec.h"

namespace anvilloom {

namespace {

constexpr time_point kNow{std::chrono::seconds(100)};

// The failure domains "a", "b" and "c" of region "r1", and "z" of "r2".
const std::vector<failure_domain>& Domains() {
  static const std::vector<failure_domain> kDomains = {
      {"a", "r1"}, {"b", "r1"}, {"c", "r1"}, {"z", "r2"}};
  return kDomains;
}

live_member Member(std::string_view name, std::string_view domain) {
  live_member member;
  member.profile.name = name;
  member.profile.domain = domain;
  return member;
}

// `count` members spread over the domains of "r1".
std::vector<live_member> Members(std::size_t count) {
  std::vector<live_member> members;
  for (std::size_t i = 0; i < count; ++i) {
    members.push_back(
        Member("entry-" + std::to_string(i), Domains()[i % 3].name()));
  }
  return members;
}

std::uint64_t EngineHash(std::size_t number) {
  return Hash64("engine-" + std::to_string(number));
}

// The owner of each of `engines` engines, spread over the domains of "r1".
std::vector<std::string> OwnersOf(const std::vector<live_member>& members,
                                  std::size_t engines) {
  const load_owners owners(members, Domains(), "r1");
  std::vector<std::string> names;
  for (std::size_t i = 0; i < engines; ++i) {
    const live_member* owner =
        owners.OwnerOf(EngineHash(i), Domains()[i % 3].name());
    names.push_back(owner == nullptr ? "" : owner->profile.name);
  }
  return names;
}

}  // namespace

SCENARIO("Each engine has one owner", "[load_reports]") {
  constexpr std::size_t kEngines = 60;

  GIVEN("nine members in three failure domains of a region") {
    std::vector<live_member> members = Members(9);
    const std::vector<std::string> before = OwnersOf(members, kEngines);

    THEN("every engine has an owner in its failure domain") {
      const load_owners owners(members, Domains(), "r1");
      for (std::size_t i = 0; i < kEngines; ++i) {
        const std::string_view domain = Domains()[i % 3].name();
        const live_member* owner = owners.OwnerOf(EngineHash(i), domain);
        REQUIRE(owner != nullptr);
        REQUIRE(owner->profile.domain == domain);
      }
    }

    THEN("the order in which the members are listed does not matter") {
      std::ranges::reverse(members);
      REQUIRE(OwnersOf(members, kEngines) == before);
    }

    WHEN("a member is removed") {
      const std::string gone = members[4].profile.name;
      members.erase(members.begin() + 4);
      const std::vector<std::string> after = OwnersOf(members, kEngines);

      THEN("its engines get other owners, and all others keep theirs") {
        REQUIRE(std::ranges::count(before, gone) > 0);
        for (std::size_t i = 0; i < kEngines; ++i) {
          if (before[i] == gone) {
            REQUIRE(after[i] != gone);
            REQUIRE_FALSE(after[i].empty());
          } else {
            REQUIRE(after[i] == before[i]);
          }
        }
      }
    }

    WHEN("a member is leaving") {
      members[4].profile.leaving = true;

      THEN("it owns no engine, and still receives the reports") {
        const auto after = OwnersOf(members, kEngines);
        REQUIRE(std::ranges::count(after, members[4].profile.name) == 0);
        REQUIRE(load_owners(members, Domains(), "r1").members().size() == 9);
      }
    }

    WHEN("all members are leaving") {
      for (live_member& each : members) {
        each.profile.leaving = true;
      }

      THEN("the engines keep their owners") {
        REQUIRE(OwnersOf(members, kEngines) == before);
      }
    }

    WHEN("all members of a failure domain are removed") {
      std::erase_if(members, [](const live_member& each) {
        return each.profile.domain == "b";
      });

      THEN("members of the other domains own its engines") {
        const auto after = OwnersOf(members, kEngines);
        REQUIRE(std::ranges::count(after, "") == 0);
      }
    }

    WHEN("members of another region and of an undeclared domain are known") {
      members.push_back(Member("entry-far", "z"));
      members.push_back(Member("entry-lost", "undeclared"));

      THEN("they own no engine of the region and receive no report") {
        REQUIRE(OwnersOf(members, kEngines) == before);
        REQUIRE(load_owners(members, Domains(), "r1").members().size() == 9);
      }
    }
  }

  GIVEN("a region without a member") {
    THEN("its engines have no owner") {
      const std::vector<live_member> far = {Member("entry-far", "z")};
      REQUIRE(OwnersOf(far, 1) == std::vector<std::string>{""});
    }
  }
}

SCENARIO("Late, duplicate or reordered reports are ignored", "[load_reports]") {
  constexpr std::uint64_t kEngine = 7;
  load_report_sequencer sequencer;

  GIVEN("a report of the second term") {
    REQUIRE(sequencer.AcceptPeerReport(kEngine, {2, 40}, kNow));

    THEN("only a newer round or a later term is accepted") {
      const auto [term, round, accepted] =
          GENERATE(table<std::uint32_t, std::uint32_t, bool>({
              {2, 41, true},
              {2, 40, false},
              {2, 39, false},
              {1, 99, false},
              {3, 1, true},
          }));
      REQUIRE(sequencer.AcceptPeerReport(kEngine, {term, round}, kNow) ==
              accepted);
    }
    THEN("another engine's reports are compared separately") {
      REQUIRE(sequencer.AcceptPeerReport(kEngine + 1, {1, 1}, kNow));
    }
    THEN("reports of a restarted owner are accepted after the lifetime") {
      const time_point later = kNow + load_report_sequencer::kReportLifetime;
      REQUIRE_FALSE(sequencer.AcceptPeerReport(
          kEngine, {1, 1}, later - std::chrono::milliseconds(1)));
      REQUIRE(sequencer.AcceptPeerReport(kEngine, {1, 2}, later));
      REQUIRE(sequencer.AcceptPeerReport(kEngine, {1, 3}, later));
    }

    WHEN("this instance takes the engine over") {
      const report_stamp first = sequencer.StampLocalReport(kEngine, 5, kNow);

      THEN("its reports are newer than those of the previous owner") {
        REQUIRE(first == report_stamp{3, 5});
        REQUIRE_FALSE(sequencer.AcceptPeerReport(kEngine, {2, 41}, kNow));
        REQUIRE(sequencer.StampLocalReport(kEngine, 6, kNow) ==
                report_stamp{3, 6});
      }

      AND_WHEN("the previous owner takes it back and loses it again") {
        REQUIRE(sequencer.AcceptPeerReport(kEngine, {4, 60}, kNow));

        THEN("the next local report starts a new term") {
          REQUIRE(sequencer.StampLocalReport(kEngine, 7, kNow) ==
                  report_stamp{5, 7});
        }
      }
    }
  }

  GIVEN("an owner that was paused while another one took over") {
    load_report_sequencer paused;
    load_report_sequencer successor;
    load_report_sequencer observer;
    std::uint32_t round = 1;
    const report_stamp first_stamp =
        paused.StampLocalReport(kEngine, round, kNow);
    REQUIRE(successor.AcceptPeerReport(kEngine, first_stamp, kNow));
    REQUIRE(observer.AcceptPeerReport(kEngine, first_stamp, kNow));
    const report_stamp late = paused.StampLocalReport(kEngine, ++round, kNow);
    const report_stamp next = successor.StampLocalReport(kEngine, 1, kNow);
    REQUIRE(observer.AcceptPeerReport(kEngine, next, kNow));

    WHEN("it resumes") {
      THEN("the report that it had not sent yet is rejected") {
        REQUIRE_FALSE(observer.AcceptPeerReport(kEngine, late, kNow));
      }
      THEN("its reports are accepted once it has received the successor's") {
        REQUIRE(paused.AcceptPeerReport(kEngine, next, kNow));
        const report_stamp again =
            paused.StampLocalReport(kEngine, ++round, kNow);
        REQUIRE(observer.AcceptPeerReport(kEngine, again, kNow));
        REQUIRE(successor.AcceptPeerReport(kEngine, again, kNow));
      }
    }
  }
}

SCENARIO("A late report does not revert a version change", "[load_reports]") {
  GIVEN("a link that has seen the version change") {
    link path("engine");
    path.ObserveVersion(1, kNow);
    path.ObserveVersion(2, kNow + std::chrono::seconds(1));
    REQUIRE(path.health().version_changes == 1);

    THEN("an earlier observation of the old version is ignored") {
      path.ObserveVersion(1, kNow + std::chrono::milliseconds(900));
      REQUIRE(path.version() == 2);
      REQUIRE(path.health().version_changes == 1);
    }
    THEN("a later one is a change") {
      path.ObserveVersion(1, kNow + std::chrono::seconds(2));
      REQUIRE(path.health().version_changes == 2);
    }
  }
}

SCENARIO("Load reports are decoded or rejected", "[load_reports]") {
  GIVEN("the answer of an engine") {
    const auto [text, valid] = GENERATE(table<std::string, bool>({
        {R"({"running":3,"waiting":1,"cache_permille":250,"version":"v1"})",
         true},
        {R"({"running":3,"waiting":1,"cache_permille":250})", true},
        {R"({"running":3,"waiting":1})", false},
        {R"({"running":-3,"waiting":1,"cache_permille":250})", false},
        {R"({"running":3,"waiting":1,"cache_permille":1001})", false},
        {R"({"running":99999999999,"waiting":1,"cache_permille":0})", false},
        {R"([3,1,250])", false},
        {"", false},
    }));
    CAPTURE(text);

    THEN("only a complete report in range is accepted") {
      REQUIRE(DecodeLoad(text).has_value() == valid);
    }
  }

  GIVEN("a summary of two engines") {
    load_summary summary;
    summary.round = 300;
    summary.age = std::chrono::milliseconds(25);
    summary.engines = {{0x89abcdef, 4, {200, 3, 470}, Hash64("v1")},
                       {7, 1, {0, 0, 0}, 0}};
    const std::string bytes = EncodePeerMessage({"127.0.0.1:9", 0, summary});

    THEN("it arrives as it was sent") {
      const auto message = DecodePeerMessage(bytes);
      REQUIRE(message);
      const auto& received = std::get<load_summary>(message->body);
      REQUIRE(received.round == 300);
      REQUIRE(received.age == summary.age);
      REQUIRE(received.engines.size() == 2);
      REQUIRE(received.engines[0].upstream == 0x89abcdef);
      REQUIRE(received.engines[0].term == 4);
      REQUIRE(received.engines[0].report.running == 200);
      REQUIRE(received.engines[0].report.waiting == 3);
      REQUIRE(received.engines[0].report.cache_permille == 470);
      REQUIRE(received.engines[0].version == Hash64("v1"));
      REQUIRE(received.engines[1].version == 0);
    }

    WHEN("a list lacks an engine or a value is out of range") {
      using corruption = void (*)(peer::LoadSummary&);
      const auto corrupt = GENERATE(values<corruption>({
          [](peer::LoadSummary& sent) {
            sent.mutable_upstreams()->Truncate(1);
          },
          [](peer::LoadSummary& sent) { sent.mutable_terms()->Truncate(1); },
          [](peer::LoadSummary& sent) { sent.mutable_running()->Truncate(1); },
          [](peer::LoadSummary& sent) { sent.mutable_waiting()->Truncate(1); },
          [](peer::LoadSummary& sent) {
            sent.mutable_cache_percent()->Truncate(1);
          },
          [](peer::LoadSummary& sent) { sent.mutable_versions()->Truncate(1); },
          [](peer::LoadSummary& sent) { sent.set_running(0, 1'000'001); },
          [](peer::LoadSummary& sent) { sent.set_waiting(1, 1'000'001); },
          [](peer::LoadSummary& sent) { sent.set_cache_percent(0, 101); },
          [](peer::LoadSummary& sent) { sent.set_age_ms(3'600'001); },
      }));
      peer::Envelope envelope;
      REQUIRE(envelope.ParseFromString(bytes));
      corrupt(*envelope.mutable_load_summary());

      THEN("the summary is rejected") {
        REQUIRE_FALSE(DecodePeerMessage(envelope.SerializeAsString()));
      }
    }
    THEN("no truncated message is accepted") {
      for (std::size_t size = 0; size < bytes.size(); ++size) {
        CAPTURE(size);
        REQUIRE_FALSE(
            DecodePeerMessage(std::string_view(bytes).substr(0, size)));
      }
    }
  }
}

SCENARIO("Load reports fit in the traffic limit of a node", "[load_reports]") {
  // Limit on the control traffic of a node in bytes per second, less 0.9 KB/s
  // of membership and 1.6 KB/s of configuration. See docs/CAPACITY.md.
  constexpr double kBytesPerSecondLimit = 13'000 - 900 - 1'600;
  // As in entry/load_poller, every fourth round includes the versions.
  constexpr double kRoundsPerVersion = 4;
  const auto [nodes, engines] =
      GENERATE(table<std::size_t, std::size_t>({{7, 9}, {29, 129}, {57, 257}}));

  GIVEN(std::to_string(nodes) + " nodes and " + std::to_string(engines) +
        " engines in a region") {
    std::map<std::string, load_summary> sent;
    for (const live_member& each : Members(nodes)) {
      sent[each.profile.name];
    }
    std::size_t engine = 0;
    for (const std::string& owner : OwnersOf(Members(nodes), engines)) {
      load_summary& summary = sent[owner];
      summary.round = 2'000'000;
      summary.age = std::chrono::milliseconds(20);
      summary.engines.push_back(
          {ShortUpstreamId(EngineHash(engine)), 9, {150, 20, 900}, 0});
      ++engine;
    }

    THEN("each node stays below the limit with one report per second") {
      double total = 0;
      double largest = 0;
      for (auto& [name, summary] : sent) {
        if (summary.engines.empty()) {
          continue;
        }
        const peer_message plain{"10.100.100.100:10000", 0, summary};
        for (engine_load& each : summary.engines) {
          each.version = Hash64("v1");
        }
        const peer_message full{"10.100.100.100:10000", 0, summary};
        const double mean =
            (static_cast<double>(EncodePeerMessage(plain).size()) *
                 (kRoundsPerVersion - 1) +
             static_cast<double>(EncodePeerMessage(full).size())) /
            kRoundsPerVersion;
        const double bytes = mean * static_cast<double>(nodes - 1);
        total += bytes;
        largest = std::max(largest, bytes);
      }
      std::cout << "nodes=" << nodes << " engines=" << engines
                << " mean_bytes_per_s=" << total / static_cast<double>(nodes)
                << " most_bytes_per_s=" << largest << '\n';
      REQUIRE(largest < kBytesPerSecondLimit);
    }
  }
}

}  // namespace anvilloom
