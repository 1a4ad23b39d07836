/** @file short_grace_test.cc Planned stops with a short grace time, under load
 * that goes on until the process is gone. */
#include <doctest/doctest.h>

#include <memory>
#include <set>

#include "platform/gateway_rig.h"
#include "platform/path_requests.h"

namespace gv {
namespace {

using Milliseconds = std::chrono::milliseconds;

/** @return A call with an attempt id of its own. */
std::string Call(const std::string& path, const std::string& attempt) {
  std::string request = Request(path);
  const std::string id = "Attempt-Id: a1";
  return request.replace(request.find(id), id.size(), "Attempt-Id: " + attempt);
}

/** Asks for @p path from several callers from one second before a planned stop
 * until the process is gone.
 * @return Attempts that reached a target and have no whole answer. */
std::set<std::string> CutAttempts(const std::string& path, int grace_ms,
                                  Milliseconds work) {
  ScriptedTarget shop([work](const TargetRequest& request, TargetLine& line) {
    std::this_thread::sleep_for(work);
    line.Send(Answer(request, 200, kSigned));
  });
  GatewayRig rig(kConfiguration, nullptr,
                 ", grace_ms: " + std::to_string(grace_ms));
  rig.Register("i-1", "shop", shop.Address());
  std::atomic<bool> gone = false;
  std::mutex mutex;
  std::set<std::string> answered;
  constexpr int kCallers = 4;
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (int caller = 0; caller < kCallers; ++caller) {
    callers.emplace_back([&, caller]() {
      for (int i = 0; !gone; ++i) {
        const std::string attempt =
            "c" + std::to_string(caller) + "-" + std::to_string(i);
        const std::string answer = rig.Ask(Call(path, attempt));
        if (Begins(answer, "HTTP/1.1 200") &&
            answer.find("own bytes") != std::string::npos) {
          const std::scoped_lock lock(mutex);
          answered.insert(attempt);
        }
        std::this_thread::sleep_for(Milliseconds(20));
      }
    });
  }
  std::this_thread::sleep_for(Milliseconds(1000));
  GatewayRig::BeginStop();
  rig.AwaitStop();
  gone = true;
  for (std::thread& caller : callers) {
    caller.join();
  }
  std::set<std::string> cut;
  for (const TargetRequest& request : shop.Requests()) {
    const std::string attempt = request.Header("Gooseberryvale-Attempt-Id");
    if (!answered.contains(attempt)) {
      cut.insert(attempt);
    }
  }
  CHECK(answered.size() >= 4);
  return cut;
}

TEST_CASE("short grace: calls that may run only once are not cut") {
  // Taken late in the grace time and passed on, they were cut at its end.
  CHECK(CutAttempts("/pay/x", 3200, Milliseconds(700)).empty());
}

TEST_CASE("short grace: neither are look-ups") {
  CHECK(CutAttempts("/look/x", 3200, Milliseconds(350)).empty());
}

}  // namespace
}  // namespace gv
