/** @file cut_head_test.cc Targets that stop in the middle of an answer and
 * close. */
#include <doctest/doctest.h>

#include "platform/gateway_rig.h"
#include "platform/path_requests.h"

namespace gv {
namespace {

TEST_CASE("cut head: an answer that ends early never looks whole") {
  std::atomic<size_t> length = 0;
  std::atomic<size_t> whole = 0;
  std::atomic<bool> resets = false;
  ScriptedTarget target([&](const TargetRequest& request, TargetLine& line) {
    const std::string answer = Answer(request, 200, kSigned);
    whole = answer.size();
    line.Send(answer.substr(0, length));
    if (resets) {
      line.Reset();
    } else {
      line.Close();
    }
  });
  GatewayRig rig(kConfiguration);
  rig.Register("i-1", "shop", target.Address());
  for (const char* path : {"/pay/x", "/look/x"}) {
    for (const bool reset : {false, true}) {
      resets = reset;
      length = 1;
      do {
        CAPTURE(length.load());
        CHECK_FALSE(Begins(rig.Ask(Request(path)), "HTTP/1.1 200"));
        // Every place in the status line, then a few in each header.
        length = length + (length < 40 ? 1 : 7);
      } while (length < whole);
    }
  }
}

TEST_CASE("cut head: nor does a stream") {
  std::atomic<size_t> length = 0;
  const std::string head =
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
      "Gooseberryvale-Attempt-Id: a1\r\n"
      "Gooseberryvale-Response-Signature: s1\r\n"
      "Transfer-Encoding: chunked\r\n\r\n";
  ScriptedTarget target(
      [&](const TargetRequest& /*request*/, TargetLine& line) {
        line.Send(head.substr(0, length));
        line.Close();
      });
  GatewayRig rig(kConfiguration);
  rig.Register("i-1", "model", target.Address());
  const std::string prompt = "Gooseberryvale-Token-Usage: 400,400\r\n";
  for (length = 1; length <= head.size(); length = length + 9) {
    CAPTURE(length.load());
    CHECK_FALSE(Begins(rig.Ask(Request("/read/x", prompt)), "HTTP/1.1 200"));
  }
}

}  // namespace
}  // namespace gv
