/** @file keys_taken_away_test.cc Requests whose keys a configuration has taken
 * away, at each gateway that reads that configuration in its own way. */
#include <doctest/doctest.h>

#include <chrono>
#include <thread>

#include "platform/gateway_rig.h"
#include "platform/path_requests.h"
#include "transport/steady_clock.h"

namespace gv {
namespace {

constexpr Duration kPatience = 20_s;
constexpr std::chrono::milliseconds kRetry{20};

/** @return kConfiguration with another version and list of customers.
 * @param customers JSON text, or empty for a configuration without a list. */
std::string WithCustomers(int version, const std::string& customers) {
  constexpr const char* kVersion = "\"version\":3";
  constexpr const char* kCustomers =
      ",\n \"tenants\":[{\"name\":\"carvers\",\"apiKeys\":[\"k1\"]}]";
  std::string text = kConfiguration;
  const auto replace = [&text](const std::string& from, const std::string& to) {
    const size_t at = text.find(from);
    REQUIRE(at != std::string::npos);
    text.replace(at, from.size(), to);
  };
  replace(kVersion, "\"version\":" + std::to_string(version));
  replace(kCustomers, customers.empty() ? "" : ",\"tenants\":" + customers);
  return text;
}

std::string AskWithKey(const GatewayRig& gateway, const std::string& key) {
  return gateway.Ask(Request("/look/1", "", key));
}

/** Waits until @p gateway has applied @p version for the time @p count. */
void AwaitApplied(const GatewayRig& gateway, int version, int count = 1) {
  const std::string applied =
      "event=configuration-applied version=" + std::to_string(version) + " ";
  const TimePoint end = SteadyNow() + kPatience;
  while (true) {
    const std::string log = gateway.Log();
    int found = 0;
    for (size_t at = log.find(applied); at != std::string::npos;
         at = log.find(applied, at + 1)) {
      ++found;
    }
    if (found >= count) {
      return;
    }
    REQUIRE_MESSAGE(SteadyNow() < end, "version " << version << " not applied");
    std::this_thread::sleep_for(kRetry);
  }
}

/** Waits until requests with @p key are served. */
void AwaitServed(const GatewayRig& gateway, const std::string& key) {
  const TimePoint end = SteadyNow() + kPatience;
  while (!Begins(AskWithKey(gateway, key), "HTTP/1.1 200")) {
    REQUIRE_MESSAGE(SteadyNow() < end, "key " << key << " is not served");
    std::this_thread::sleep_for(kRetry);
  }
}

ScriptedTarget::Script Serves() {
  return [](const TargetRequest& request, TargetLine& line) {
    line.Send(Answer(request, 200, kSigned));
  };
}

// Guards against an empty list of customers that admits every key: at the
// gateway that accepted it, at one that was sent it, and after a restart.
TEST_CASE("keys taken away: an empty list of customers admits no key") {
  ScriptedTarget target(Serves());
  GatewayRig gateway(kConfiguration);
  GatewayRig without_disk(&gateway);
  gateway.Register("w1", "shop", target.Address());
  AwaitServed(gateway, "k1");
  AwaitServed(without_disk, "k1");
  CHECK(Begins(AskWithKey(gateway, "k2"), "HTTP/1.1 401"));

  const std::string empty = WithCustomers(11, "[]");
  REQUIRE(Begins(gateway.Control("PUT", "/v1/configuration", empty),
                 "HTTP/1.1 200"));
  AwaitApplied(gateway, 11);
  AwaitApplied(without_disk, 11);
  const size_t served = target.Requests().size();
  const auto check_denied = [&]() {
    for (const GatewayRig* each : {&gateway, &without_disk}) {
      for (const std::string key : {"k1", "k2", ""}) {
        CAPTURE(key);
        CHECK(Begins(AskWithKey(*each, key), "HTTP/1.1 401"));
      }
    }
  };
  check_denied();
  gateway.Restart();
  gateway.Register("w1", "shop", target.Address());
  AwaitApplied(gateway, 11, 2);
  check_denied();
  CHECK(target.Requests().size() == served);
  const std::string read = gateway.Control("GET", "/v1/configuration", "");
  CHECK(Begins(read, "HTTP/1.1 200"));
  CHECK(read.find(empty) != std::string::npos);
  CHECK(
      gateway.Log().find("version=11 routes=3 services=2 customers=0 keys=0") !=
      std::string::npos);

  REQUIRE(
      Begins(gateway.Control("PUT", "/v1/configuration", WithCustomers(12, "")),
             "HTTP/1.1 200"));
  AwaitServed(gateway, "k2");
}

// Guards against a list that can't be read and counts as none.
TEST_CASE("keys taken away: a list of customers that is no list is refused") {
  GatewayRig gateway(kConfiguration);
  for (const std::string no_list : {"null", "{}", "\"\"", "0"}) {
    CAPTURE(no_list);
    CHECK(Begins(
        gateway.Control("PUT", "/v1/configuration", WithCustomers(11, no_list)),
        "HTTP/1.1 400"));
  }
  CHECK(Begins(AskWithKey(gateway, "k2"), "HTTP/1.1 401"));
}

}  // namespace
}  // namespace gv
