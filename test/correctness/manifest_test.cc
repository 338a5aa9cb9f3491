// Guards against calls that reach a service, or are charged to a workspace,
// that the manifest does not allow.

#include "contracts/manifest.h"

#include <catch2/catch.hpp>

namespace anvilloom {

namespace {

manifest_route Route(std::string_view host,
                     std::string_view prefix,
                     std::string_view service) {
  manifest_route route;
  route.host = host;
  route.path_prefix = prefix;
  route.targets = {{std::string(service), 1}};
  return route;
}

}  // namespace

SCENARIO("A manifest finds the route and the workspace of a call",
         "[manifest]") {
  GIVEN("two hosts, nested prefixes and two workspaces") {
    manifest source;
    source.routes = {Route("a.example", "/x/", "short"),
                     Route("a.example", "/x/y/", "long"),
                     Route("b.example", "/x/", "other")};
    manifest_workspace one;
    one.name = "one";
    one.keys = {"k1", "k2"};
    manifest_workspace two;
    two.name = "two";
    two.keys = {"k3"};
    source.workspaces = {one, two};
    const manifest_index index(source);

    THEN("the longest prefix of the path wins") {
      REQUIRE(index.FindRoute("a.example", "/x/y/z")->targets[0].service ==
              "long");
      REQUIRE(index.FindRoute("a.example", "/x/z")->targets[0].service ==
              "short");
    }

    THEN("the host decides before the path, in any case and with a port") {
      REQUIRE(index.FindRoute("B.Example:8080", "/x/y/")->targets[0].service ==
              "other");
      REQUIRE(index.FindRoute("c.example", "/x/") == nullptr);
    }

    THEN("a path beside all prefixes has no route") {
      REQUIRE(index.FindRoute("a.example", "/") == nullptr);
      REQUIRE(index.FindRoute("a.example", "/x") == nullptr);
    }

    THEN("each key names its workspace, and no other does") {
      REQUIRE(index.FindWorkspace("k2")->name == "one");
      REQUIRE(index.FindWorkspace("k3")->name == "two");
      REQUIRE(index.FindWorkspace("k") == nullptr);
      REQUIRE(index.FindWorkspace("") == nullptr);
    }
  }
}

SCENARIO("A split route gives each service its weight", "[manifest]") {
  const std::vector<route_target> targets = {{"a", 90}, {"b", 10}, {"c", 0}};

  THEN("the draw decides, and a weight of zero gets nothing") {
    REQUIRE(ChooseTarget(targets, 0.0)->service == "a");
    REQUIRE(ChooseTarget(targets, 0.89)->service == "a");
    REQUIRE(ChooseTarget(targets, 0.91)->service == "b");
    REQUIRE(ChooseTarget(targets, 0.999)->service == "b");
  }

  THEN("no targets give none") {
    REQUIRE(ChooseTarget({}, 0.5) == nullptr);
  }
}

}  // namespace anvilloom
