/** @file broken_stream_test.cc Streams that break off, over the whole path of a
 * gateway: what the caller gets, and what it must not get. */
#include <doctest/doctest.h>

#include "platform/gateway_rig.h"
#include "platform/path_requests.h"

namespace gv {
namespace {

constexpr const char* kPrompt = "Gooseberryvale-Token-Usage: 4000,400\r\n";
constexpr const char* kEndOfChunks = "0\r\n\r\n";

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

/** Sends the header of an event stream that ends with its connection. */
void BeginUnframedEvents(const TargetRequest& request, TargetLine& line) {
  line.Send(
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
      "Gooseberryvale-Attempt-Id: " +
      request.Header("Gooseberryvale-Attempt-Id") + "\r\n" + kSigned +
      "Connection: close\r\n\r\n");
}

TEST_CASE("broken stream: an error of the next target stays out of it") {
  // The caller found the error's whole head in the middle of its stream.
  struct Case {
    int status_;
    std::string more_;
  };
  for (const Case& one :
       {Case{400, ""}, Case{404, kSigned}, Case{429, kSigned}, Case{500, ""},
        Case{503, kSigned}, Case{302, "Location: /x\r\n"},
        // A whole answer is no part of the stream either.
        Case{200, kSigned}, Case{204, kSigned}}) {
    CAPTURE(one.status_);
    std::atomic<int> asked = 0;
    const auto script = [&](const TargetRequest& request, TargetLine& line) {
      if (++asked == 1) {
        line.BeginEvents(request);
        line.SendEvent(1);
        line.SendEvent(2);
        line.Reset();
        return;
      }
      line.Send(Answer(request, one.status_, one.more_));
    };
    ScriptedTarget first(script);
    ScriptedTarget second(script);
    GatewayRig rig(kConfiguration);
    rig.Register("i-1", "model", first.Address());
    rig.Register("i-2", "model", second.Address());
    const std::string answer = rig.Ask(Request("/read/x", kPrompt));
    CHECK(asked >= 2);
    CHECK(Contains(answer, "data: e2"));
    CHECK(answer.rfind("HTTP/1.1") == 0);
    CHECK_FALSE(Contains(answer, "own bytes"));
    CHECK_FALSE(Contains(answer, kEndOfChunks));
  }
}

TEST_CASE("broken stream: one without a length ends with its connection") {
  ScriptedTarget engine([](const TargetRequest& request, TargetLine& line) {
    BeginUnframedEvents(request, line);
    line.Send("id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n");
    line.Close();
  });
  GatewayRig rig(kConfiguration);
  rig.Register("i-1", "model", engine.Address());
  const std::string answer = rig.Ask(Request("/read/x", kPrompt));
  CHECK(Contains(answer, "data: e2"));
  CHECK(Contains(answer, kEndOfChunks));
  CHECK(engine.Requests().size() == 1);
}

TEST_CASE("broken stream: one without a length that ends in mid event") {
  std::atomic<int> asked = 0;
  const auto script = [&asked](const TargetRequest& request, TargetLine& line) {
    BeginUnframedEvents(request, line);
    if (++asked == 1) {
      line.Send("id: 1\ndata: e1\n\nid: 2\nda");
    } else {
      line.Send("id: 2\ndata: e2\n\n");
    }
    line.Close();
  };
  ScriptedTarget first(script);
  ScriptedTarget second(script);
  GatewayRig rig(kConfiguration);
  rig.Register("i-1", "model", first.Address());
  rig.Register("i-2", "model", second.Address());
  const std::string answer = rig.Ask(Request("/read/x", kPrompt));
  CHECK(asked == 2);
  CHECK(Contains(answer, "id: 1\ndata: e1\n\n"));
  CHECK(Contains(answer, "id: 2\ndata: e2\n\n"));
  CHECK(Contains(answer, kEndOfChunks));
}

TEST_CASE("broken stream: one without any event is not complete") {
  // An engine that crashes as it begins to write may close its connection
  // after the header.
  std::atomic<int> asked = 0;
  const auto script = [&asked](const TargetRequest& request, TargetLine& line) {
    BeginUnframedEvents(request, line);
    if (++asked > 1) {
      line.Send("id: 1\ndata: e1\n\n");
    }
    line.Close();
  };
  ScriptedTarget first(script);
  ScriptedTarget second(script);
  GatewayRig rig(kConfiguration);
  rig.Register("i-1", "model", first.Address());
  rig.Register("i-2", "model", second.Address());
  const std::string answer = rig.Ask(Request("/read/x", kPrompt));
  CHECK(asked == 2);
  CHECK(Contains(answer, "data: e1"));
}

TEST_CASE("broken stream: a whole answer without a length that is reset") {
  std::atomic<bool> resets = true;
  ScriptedTarget shop(
      [&resets](const TargetRequest& request, TargetLine& line) {
        line.Send("HTTP/1.1 200 OK\r\nGooseberryvale-Attempt-Id: " +
                  request.Header("Gooseberryvale-Attempt-Id") + "\r\n" +
                  kSigned + "Connection: close\r\n\r\nhalf of it");
        if (resets) {
          line.Reset();
        } else {
          line.Close();
        }
      });
  GatewayRig rig(kConfiguration);
  rig.Register("i-1", "shop", shop.Address());
  CHECK(Begins(rig.Ask(Request("/pay/x")), "HTTP/1.1 502"));
  resets = false;
  const std::string answer = rig.Ask(Request("/pay/x"));
  CHECK(Begins(answer, "HTTP/1.1 200"));
  CHECK(Contains(answer, "half of it"));
}

}  // namespace
}  // namespace gv
