// Guards against calls that are sent to the wrong service or charged to the
// wrong workspace.

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

    THEN("the longest prefix of the path is chosen") {
      REQUIRE(index.FindRoute("a.example", "/x/y/z")->targets[0].service ==
              "long");
      REQUIRE(index.FindRoute("a.example", "/x/z")->targets[0].service ==
              "short");
    }

    THEN("the host is matched first, ignoring its case and port") {
      REQUIRE(index.FindRoute("B.Example:8080", "/x/y/")->targets[0].service ==
              "other");
      REQUIRE(index.FindRoute("c.example", "/x/") == nullptr);
    }

    THEN("a path that matches no prefix has no route") {
      REQUIRE(index.FindRoute("a.example", "/") == nullptr);
      REQUIRE(index.FindRoute("a.example", "/x") == nullptr);
    }

    THEN("each key finds its workspace, and unknown keys find none") {
      REQUIRE(index.FindWorkspace("k2")->name == "one");
      REQUIRE(index.FindWorkspace("k3")->name == "two");
      REQUIRE(index.FindWorkspace("k") == nullptr);
      REQUIRE(index.FindWorkspace("") == nullptr);
    }
  }
}

SCENARIO("A split route chooses services by their weights", "[manifest]") {
  const std::vector<route_target> targets = {{"a", 90}, {"b", 10}, {"c", 0}};

  THEN("the random number selects the target, and never one of weight zero") {
    REQUIRE(ChooseTarget(targets, 0.0)->service == "a");
    REQUIRE(ChooseTarget(targets, 0.89)->service == "a");
    REQUIRE(ChooseTarget(targets, 0.91)->service == "b");
    REQUIRE(ChooseTarget(targets, 0.999)->service == "b");
  }

  THEN("a route without targets has no choice") {
    REQUIRE(ChooseTarget({}, 0.5) == nullptr);
  }
}

}  // namespace anvilloom
