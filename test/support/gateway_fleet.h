// Defines gateway_fleet, a number of gateways on the users' platform that share
// one store.
#ifndef TEST_SUPPORT_GATEWAY_FLEET_H_
#define TEST_SUPPORT_GATEWAY_FLEET_H_

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "common/hash.h"
#include "instances/watch_duty.h"
#include "test/support/platform_system.h"

namespace anvilloom {

// All of them are ready, and a few watch the store for the others.
class gateway_fleet {
 public:
  explicit gateway_fleet(std::size_t size, std::string_view settings = {}) {
    system_.PutManifest();
    for (std::size_t i = 0; i < size; ++i) {
      names_.push_back("gateway-" + std::to_string(i));
    }
    for (const std::string& name : names_) {
      system_.StartGateway(name, 0, settings);
    }
    for (const std::string& name : names_) {
      REQUIRE(system_.AwaitReady(name));
    }
    // All of them watch the store until they know each other.
    REQUIRE(Eventually([&] { return Watching() <= watch_duty::kWatcherCount; },
                       std::chrono::seconds(20)));
  }

  platform_system& system() { return system_; }
  const std::vector<std::string>& names() const { return names_; }

  // Announces upstreams at which nothing listens.
  void AnnounceUpstreams(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      system_.Announce(UpstreamName(i), "model", kUnusedPort);
    }
  }
  void DrainUpstream(std::size_t number) {
    system_.Announce(UpstreamName(number), "model", kUnusedPort, "draining");
  }
  void AnnounceUpstream(std::size_t number) {
    system_.Announce(UpstreamName(number), "model", kUnusedPort);
  }
  void WithdrawUpstream(std::size_t number) {
    system_.Withdraw(UpstreamName(number));
  }
  static std::string UpstreamName(std::size_t number) {
    return "upstream-" + std::to_string(number);
  }

  unsigned CallWithKey(std::string_view name, std::string_view key) {
    return system_.CallOnce(system_.port(name), "/stream/1", key).status;
  }

  // Names of the gateways that end a call with the key with 401.
  std::vector<std::string> Denying(std::string_view key) {
    std::vector<std::string> denying;
    for (const std::string& name : names_) {
      if (CallWithKey(name, key) == 401) {
        denying.push_back(name);
      }
    }
    return denying;
  }

  // Names of the gateways that would send calls to an upstream.
  std::vector<std::string> Using(std::size_t upstream) {
    return Using(upstream, names_);
  }
  // The ones of `gateways` that would.
  std::vector<std::string> Using(std::size_t upstream,
                                 const std::vector<std::string>& gateways) {
    const std::string id = "\"" + UpstreamName(upstream) + "\"";
    std::vector<std::string> users;
    for (const std::string& name : gateways) {
      const std::string dump = Call(system_.port(name + "/admin"),
                                    boost::beast::http::verb::get, "/dump")
                                   .body;
      if (dump.find(id) != dump.npos) {
        users.push_back(name);
      }
    }
    return users;
  }

  // The gateways in the order in which they take on the watch of the store.
  std::vector<std::string> ByRank() const {
    std::vector<std::string> ranked = names_;
    std::ranges::sort(ranked, {},
                      [](const std::string& name) { return Hash64(name); });
    return ranked;
  }

 private:
  static constexpr std::uint16_t kUnusedPort = 9;

  // Number of gateways that have not left the watch of the upstreams to others.
  std::size_t Watching() {
    return static_cast<std::size_t>(
        std::ranges::count_if(names_, [&](const std::string& name) {
          const std::string output = system_.process(name).Output();
          return output.find("watch_delegated kind=servers") == output.npos;
        }));
  }

  platform_system system_;
  std::vector<std::string> names_;
};

}  // namespace anvilloom

#endif  // TEST_SUPPORT_GATEWAY_FLEET_H_
