/** @file unanswered_orders_test.cc Engines that leave orders unanswered while
 * prompts need the memory of several of them, over the whole path of a gateway.
 */
#include <doctest/doctest.h>

#include <atomic>
#include <memory>

#include "platform/gateway_rig.h"
#include "platform/path_requests.h"

namespace gv {
namespace {

using Milliseconds = std::chrono::milliseconds;

constexpr size_t kEngines = 40;
constexpr size_t kCallers = 8;
constexpr int kRounds = 3;
/** More than the memory of one engine. */
constexpr const char* kLargePrompt =
    "Gooseberryvale-Token-Usage: 430000,800\r\n";

/** An engine that may leave orders unanswered. */
ScriptedTarget::Script EngineScript(const std::atomic<bool>& answers_orders) {
  return [&answers_orders](const TargetRequest& request, TargetLine& line) {
    if (request.line_.find("/v1/order") != std::string::npos) {
      if (answers_orders) {
        line.Send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
      } else {
        line.PeerClosesWithin(Milliseconds(2000));
        line.Close();
      }
      return;
    }
    line.BeginEvents(request);
    line.SendEvent(1);
    line.Send("0\r\n\r\n");
  };
}

// A callback of a late order ended other late orders, which the loop over them
// then used: the gateway crashed with all its requests.
TEST_CASE("unanswered orders: late orders of several prompts end once each") {
  std::atomic<bool> answers_orders = false;
  std::vector<std::unique_ptr<ScriptedTarget>> engines;
  std::string configuration = kConfiguration;
  const std::string objective = R"("sloMs":1500)";
  configuration.replace(configuration.find(objective), objective.size(),
                        R"("sloMs":9000)");
  GatewayRig rig(configuration);
  for (size_t i = 0; i < kEngines; ++i) {
    engines.push_back(
        std::make_unique<ScriptedTarget>(EngineScript(answers_orders)));
    rig.Register("i-" + std::to_string(i), "model", engines.back()->Address());
  }
  for (int round = 0; round < kRounds; ++round) {
    std::vector<std::thread> callers;
    std::atomic<size_t> refused = 0;
    callers.reserve(kCallers);
    for (size_t i = 0; i < kCallers; ++i) {
      callers.emplace_back([&]() {
        const std::string answer = rig.Ask(Request("/read/x", kLargePrompt));
        refused += Begins(answer, "HTTP/1.1 503") ? 1 : 0;
      });
    }
    for (std::thread& caller : callers) {
      caller.join();
    }
    // No prompt ran, as no memory was reserved; each caller is told so.
    CHECK(refused == kCallers);
  }
  answers_orders = true;
  CHECK(Begins(rig.Ask(Request("/read/x", kLargePrompt)), "HTTP/1.1 200"));
}

}  // namespace
}  // namespace gv
