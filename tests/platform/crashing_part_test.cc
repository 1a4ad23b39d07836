/** @file crashing_part_test.cc Prompts with a part that crashes each engine
 * that begins to answer them, over the whole path of a gateway. */
#include <doctest/doctest.h>

#include <memory>

#include "platform/gateway_rig.h"
#include "platform/path_requests.h"

namespace gv {
namespace {

/** Engines that crash on prompts with the part "bad". */
class CrashingEngines {
 public:
  CrashingEngines(GatewayRig& rig, int engines) {
    for (int i = 0; i < engines; ++i) {
      engines_.push_back(std::make_unique<ScriptedTarget>(
          [this, i](const TargetRequest& request, TargetLine& line) {
            Serve(*engines_[static_cast<size_t>(i)], request, line);
          }));
    }
    for (int i = 0; i < engines; ++i) {
      rig.Register("i-" + std::to_string(i), "model",
                   engines_[static_cast<size_t>(i)]->Address());
    }
  }
  int BadRequests() const { return bad_requests_; }
  ScriptedTarget& At(size_t index) { return *engines_[index]; }

 private:
  void Serve(ScriptedTarget& engine, const TargetRequest& request,
             TargetLine& line) {
    const std::string parts = request.Header("Gooseberryvale-Prompt-Prefix");
    if (parts.find("bad:") != std::string::npos) {
      ++bad_requests_;
      line.Send("HTTP/1.1 200 OK\r\n");
      engine.Crash();
      return;
    }
    line.BeginEvents(request);
    line.SendEvent(1);
    line.Send("0\r\n\r\n");
  }

  std::atomic<int> bad_requests_ = 0;
  std::vector<std::unique_ptr<ScriptedTarget>> engines_;
};

std::string Prompt(const std::string& parts) {
  return Request("/read/x",
                 "Gooseberryvale-Token-Usage: 4000,400\r\n"
                 "Gooseberryvale-Prompt-Prefix: " +
                     parts + "\r\n");
}

bool IsServed(const std::string& answer) {
  return Begins(answer, "HTTP/1.1 200") &&
         answer.find("data: e1") != std::string::npos &&
         answer.find("0\r\n\r\n") != std::string::npos;
}

TEST_CASE("crashing part: prompts with it are refused after a few crashes") {
  constexpr int kEngines = 20;
  // Five crashes, and three requests more.
  constexpr int kMostBadRequests = 8;
  constexpr std::chrono::milliseconds kPeriod{200};
  GatewayRig rig(kConfiguration);
  CrashingEngines engines(rig, kEngines);
  for (int i = 0; i < kEngines; ++i) {
    // No two alike; what they share with others is sound.
    const std::string first = i % 2 == 0 ? "a:40," : "b:40,";
    rig.Ask(Prompt(first + "bad:60,own" + std::to_string(i) + ":3900"));
    CHECK(IsServed(rig.Ask(Prompt("a:40,own:3960"))));
    CHECK(IsServed(rig.Ask(Prompt("b:40,own:3960"))));
    std::this_thread::sleep_for(kPeriod);
  }
  CHECK(engines.BadRequests() <= kMostBadRequests);
}

TEST_CASE("crashing part: engines that are lost together blame no part") {
  std::atomic<int> waiting = 0;
  const auto wait = [&waiting](const TargetRequest& /*request*/,
                               TargetLine& line) {
    ++waiting;
    line.PeerClosesWithin(std::chrono::seconds(3));
  };
  GatewayRig rig(kConfiguration);
  constexpr int kEngines = 8;
  std::vector<std::unique_ptr<ScriptedTarget>> lost;
  for (int i = 0; i < kEngines; ++i) {
    lost.push_back(std::make_unique<ScriptedTarget>(wait));
    rig.Register("l-" + std::to_string(i), "model", lost.back()->Address());
  }
  std::vector<std::thread> callers;
  callers.reserve(kEngines);
  for (int i = 0; i < kEngines; ++i) {
    callers.emplace_back([&rig]() { rig.Ask(Prompt("a:40,b:60,own:3900")); });
  }
  while (waiting < kEngines) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  for (const auto& engine : lost) {
    engine->Crash();
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  CrashingEngines engines(rig, 1);
  CHECK(IsServed(rig.Ask(Prompt("a:40,b:60,own:3900"))));
}

}  // namespace
}  // namespace gv
