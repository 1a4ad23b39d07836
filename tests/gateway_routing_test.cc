/** @file gateway_routing_test.cc Tests of the routing table: look-up of routes
 * and customers, and validation of configurations. */
#include <doctest/doctest.h>

#include "coordination/gateway/routing_table.h"

namespace gv {
namespace {

Route MakeRoute(const std::string& name, const std::string& prefix) {
  Route route;
  route.name_ = name;
  route.host_ = "a.example";
  route.prefix_ = prefix;
  route.timeout_ = 1_s;
  route.services_ = {{"s1", 1}};
  return route;
}

RoutingConfiguration SampleConfiguration() {
  RoutingConfiguration configuration;
  configuration.version_ = 3;
  configuration.services_ = {Service{"s1", 0, {}}, Service{"s2", 0, {}}};
  configuration.routes_ = {MakeRoute("r1", "/a/"), MakeRoute("r2", "/a/b/")};
  configuration.customers_.emplace({Customer{"c1", {"k1", "k2"}, {}}});
  return configuration;
}

TEST_CASE(
    "routing table: the route with the longest matching prefix is found") {
  const RoutingTable table = RoutingTable::Build(SampleConfiguration()).value();
  CHECK(table.FindRoute("a.example", "/a/x")->name_ == "r1");
  CHECK(table.FindRoute("A.Example:80", "/a/b/c/d?q=/z/")->name_ == "r2");
  CHECK(table.FindRoute("a.example", "/a/b")->name_ == "r1");
  CHECK(table.FindRoute("a.example", "/a") == nullptr);
  CHECK(table.FindRoute("a.example", "/") == nullptr);
  CHECK(table.FindRoute("b.example", "/a/x") == nullptr);
  CHECK(table.FindCustomer("k2")->name_ == "c1");
  CHECK(table.FindCustomer("k3") == nullptr);
}

TEST_CASE(
    "routing table: a list without customers leaves no valid key, and no list "
    "needs none") {
  const auto access = [](std::optional<std::vector<Customer>> customers,
                         bool anonymous, const std::string& key) {
    RoutingConfiguration configuration = SampleConfiguration();
    configuration.customers_ = std::move(customers);
    configuration.routes_[0].anonymous_ = anonymous;
    const RoutingTable table =
        RoutingTable::Build(std::move(configuration)).value();
    return table.AccessOf(*table.FindRoute("a.example", "/a/x"), key).access_;
  };
  const std::vector<Customer> none;
  const std::vector<Customer> without_keys{Customer{"c1", {}, {}}};
  const std::vector<Customer> one{Customer{"c1", {"k1"}, {}}};
  for (const std::string key : {"", "k1", "k2"}) {
    CAPTURE(key);
    const bool held = key == "k1";
    for (const auto& customers : {none, without_keys}) {
      CHECK(access(customers, false, key) == Access::kDenied);
      CHECK(access(customers, true, key) == Access::kAnonymous);
    }
    CHECK(access(one, false, key) == (held ? Access::kKey : Access::kDenied));
    CHECK(access(one, true, key) == (held ? Access::kKey : Access::kAnonymous));
    CHECK(access(std::nullopt, false, key) == Access::kOpen);
  }
}

// Guards against requests without a key that count as a customer's.
TEST_CASE("routing table: an empty text in a list of keys is nobody's key") {
  RoutingConfiguration configuration = SampleConfiguration();
  configuration.customers_ = {{Customer{"c1", {"", "k1"}, {}}}};
  const RoutingTable table =
      RoutingTable::Build(std::move(configuration)).value();
  const Route& route = *table.FindRoute("a.example", "/a/x");
  CHECK(table.AccessOf(route, "").access_ == Access::kDenied);
  CHECK(table.AccessOf(route, "k1").access_ == Access::kKey);
}

/** @return A stream route of "s1". */
Route MakeStream(const std::string& prefix, int64_t rank, Duration pause) {
  Route route = MakeRoute(prefix, prefix);
  route.kind_ = RouteKind::kStream;
  route.priority_ = rank;
  route.pause_objective_ = pause;
  return route;
}

TEST_CASE("routing table: a service knows the ranks of its streams") {
  RoutingConfiguration configuration = SampleConfiguration();
  configuration.routes_ = {
      MakeStream("/a/", 0, 200_ms), MakeStream("/b/", 1, 800_ms),
      MakeStream("/c/", 1, 500_ms), MakeStream("/d/", 2, Duration()),
      MakeRoute("call", "/e/")};
  const auto ranks = [](const RoutingConfiguration& given) {
    return RoutingTable::Build(given).value().FindService("s1")->ranks_;
  };
  const std::vector<RankPause> of_routes{
      {0, 200_ms}, {1, 500_ms}, {2, Duration()}};
  CHECK(ranks(configuration) == of_routes);
  CHECK_FALSE(
      RoutingTable::Build(configuration).value().FindService("s2")->HasRanks());
  configuration.routes_.resize(1);
  CHECK_FALSE(
      RoutingTable::Build(configuration).value().FindService("s1")->HasRanks());
}

TEST_CASE("routing table: services are chosen in proportion to their weights") {
  Route route = MakeRoute("r", "/a/");
  route.services_ = {{"s1", 90}, {"s2", 10}};
  int second = 0;
  for (uint64_t hash = 0; hash < 1000; ++hash) {
    second += RoutingTable::ChooseService(route, hash) == "s2" ? 1 : 0;
  }
  CHECK(second == 100);
}

TEST_CASE("routing table: invalid configurations are refused") {
  const auto refuses = [](auto change) {
    RoutingConfiguration configuration = SampleConfiguration();
    change(configuration);
    return !RoutingTable::Build(std::move(configuration)).has_value();
  };
  CHECK_FALSE(refuses([](RoutingConfiguration&) {}));
  // Version 0 would be acknowledged as not above the one that gateways begin
  // with, and never be in force.
  CHECK(refuses([](auto& c) { c.version_ = 0; }));
  CHECK(refuses([](auto& c) { c.routes_[0].services_ = {{"none", 1}}; }));
  CHECK(refuses([](auto& c) { c.routes_[1].prefix_ = "/a/"; }));
  CHECK(refuses([](auto& c) { c.routes_[0].services_ = {{"s1", 0}}; }));
  CHECK(refuses([](auto& c) { c.routes_[0].services_[0].weight_ = -1; }));
  CHECK(refuses([](auto& c) { c.routes_[0].timeout_ = Duration(); }));
  CHECK(refuses([](auto& c) { c.routes_[0].prefix_ = "/a"; }));
  CHECK(refuses([](auto& c) {
    c.customers_->push_back(Customer{"c2", {"k1"}, {}});
  }));
}

}  // namespace
}  // namespace gv
