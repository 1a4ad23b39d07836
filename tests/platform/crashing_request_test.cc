/** @file crashing_request_test.cc Calls that crash each target that begins to
 * run them, over the whole path of a gateway. */
#include <doctest/doctest.h>

#include <memory>

#include "platform/gateway_rig.h"
#include "platform/path_requests.h"

namespace gv {
namespace {

using Milliseconds = std::chrono::milliseconds;

/** @return A request with a body and an attempt id of its own. */
std::string Call(const std::string& path, const std::string& body) {
  static int asked = 0;
  return "POST " + path +
         " HTTP/1.1\r\nHost: a.example\r\n"
         "Gooseberryvale-Attempt-Id: a" +
         std::to_string(++asked) +
         "\r\nGooseberryvale-Deadline-Ms: 2000\r\nX-Api-Key: k1\r\n"
         "Connection: close\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

/** Targets of the shop that crash on the body "bad", and take a while for the
 * body "slow". */
class CrashingTargets {
 public:
  CrashingTargets(GatewayRig& rig, int targets) {
    for (int i = 0; i < targets; ++i) {
      targets_.push_back(std::make_unique<ScriptedTarget>(
          [this, i](const TargetRequest& request, TargetLine& line) {
            Serve(*targets_[static_cast<size_t>(i)], request, line);
          }));
    }
    for (int i = 0; i < targets; ++i) {
      rig.Register("i-" + std::to_string(i), "shop",
                   targets_[static_cast<size_t>(i)]->Address());
    }
  }
  int BadRequests() const { return bad_requests_; }

 private:
  void Serve(ScriptedTarget& target, const TargetRequest& request,
             TargetLine& line) {
    if (request.body_ == "bad") {
      ++bad_requests_;
      std::this_thread::sleep_for(Milliseconds(20));
      target.Crash();
      return;
    }
    if (request.body_ == "slow") {
      std::this_thread::sleep_for(Milliseconds(60));
    }
    line.Send(Answer(request, 200, kSigned));
  }

  std::atomic<int> bad_requests_ = 0;
  std::vector<std::unique_ptr<ScriptedTarget>> targets_;
};

bool IsServed(const std::string& answer) {
  return Begins(answer, "HTTP/1.1 200");
}

/** Three crashes, and three requests more. */
constexpr int kMostBadRequests = 6;
constexpr int kTargets = 20;
constexpr int kTimes = 20;
constexpr Milliseconds kPeriod{150};

void CheckCalls(const std::string& path) {
  GatewayRig rig(kConfiguration);
  CrashingTargets targets(rig, kTargets);
  for (int i = 0; i < kTimes; ++i) {
    rig.Ask(Call(path, "bad"));
    // The same caller on the same path with another body.
    CHECK(IsServed(rig.Ask(Call(path, "good"))));
    std::this_thread::sleep_for(kPeriod);
  }
  CHECK(targets.BadRequests() <= kMostBadRequests);
  CHECK(Begins(rig.Ask(Call(path, "bad")), "HTTP/1.1 503"));
  CHECK(rig.Log().find("request-crashes-targets") != std::string::npos);
}

TEST_CASE("crashing request: a look-up is refused after a few crashes") {
  CheckCalls("/look/x");
}

TEST_CASE("crashing request: so is a call that may run only once") {
  CheckCalls("/pay/x");
}

TEST_CASE("crashing request: what ran beside it is not blamed") {
  GatewayRig rig(kConfiguration);
  CrashingTargets targets(rig, kTargets);
  for (int i = 0; i < 3; ++i) {
    // Identical sound requests run at all targets when one of them crashes.
    std::vector<std::thread> callers;
    callers.reserve(kTargets);
    for (int j = 0; j < kTargets; ++j) {
      callers.emplace_back(
          [&rig, call = Call("/look/x", "slow")]() { rig.Ask(call); });
    }
    rig.Ask(Call("/look/x", "bad"));
    for (std::thread& caller : callers) {
      caller.join();
    }
    CHECK(IsServed(rig.Ask(Call("/look/x", "slow"))));
  }
}

}  // namespace
}  // namespace gv
