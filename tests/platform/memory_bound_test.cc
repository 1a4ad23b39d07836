/** @file memory_bound_test.cc Targets and callers that send without end, many
 * at once, over the whole path of a gateway. */
#include <doctest/doctest.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <memory>

#include "platform/gateway_rig.h"
#include "platform/path_requests.h"
#include "transport/http_chunk.h"
#include "transport/steady_clock.h"

namespace gv {
namespace {

namespace asio = boost::asio;
using Milliseconds = std::chrono::milliseconds;

/** A fifth of it may be held. */
constexpr const char* kSmallMemory = ", memory_mb: 5";
constexpr size_t kLimit = 1UL << 20;
/** Reads of one round of the event loop, and buffers that grow by doubling. */
constexpr size_t kSlack = 1UL << 20;
constexpr size_t kCallers = 40;
constexpr const char* kPrompt = "Gooseberryvale-Token-Usage: 4000,400\r\n";

/** Sends @p unit up to @p bytes, then a byte of it now and then. */
void SendAndDrip(TargetLine& line, const std::string& unit, size_t bytes) {
  for (size_t sent = 0; sent < bytes; sent += unit.size()) {
    if (!line.Send(unit)) {
      return;
    }
  }
  for (size_t i = 0; !line.PeerClosesWithin(Milliseconds(100)); ++i) {
    line.Send(unit.substr(i % unit.size(), 1));
  }
}

/** @return The largest value of a field in the lines of an event. */
size_t LargestIn(const std::string& log, const std::string& event,
                 const std::string& field) {
  size_t largest = 0;
  for (size_t at = log.find(event); at != std::string::npos;
       at = log.find(event, at + 1)) {
    const size_t value = log.find(field, at);
    largest = std::max<size_t>(
        largest, std::stoul(log.substr(value + field.size(), 20)));
  }
  return largest;
}

/** Sends the same bytes on kCallers connections. @return The connections, which
 * stay open. */
std::vector<asio::ip::tcp::socket> SendToAll(
    const std::string& bytes,
    const std::function<asio::ip::tcp::socket()>& connect) {
  std::vector<asio::ip::tcp::socket> sockets;
  sockets.reserve(kCallers);
  for (size_t i = 0; i < kCallers; ++i) {
    sockets.push_back(connect());
    boost::system::error_code ignored;
    asio::write(sockets.back(), asio::buffer(bytes), ignored);
  }
  return sockets;
}

/** Sends requests at the same time. @return Their answers. */
std::vector<std::string> AskAtOnce(const GatewayRig& rig,
                                   const std::string& request, size_t callers) {
  std::vector<std::string> answers(callers);
  std::vector<std::thread> threads;
  threads.reserve(callers);
  for (std::string& answer : answers) {
    threads.emplace_back(
        [&rig, &request, &answer]() { answer = rig.Ask(request); });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  return answers;
}

// Each answer was bounded, their sum was not: a target that sent without end
// took all memory of the gateway, and the requests of all callers with it.
TEST_CASE("memory bound: answers without end, many at once") {
  struct Case {
    const char* name_;
    std::string path_;
    std::string head_;
    std::string unit_;
    size_t bytes_;
  };
  const std::string ok =
      "HTTP/1.1 200 OK\r\nGooseberryvale-Attempt-Id: a1\r\n" +
      std::string(kSigned);
  const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string events =
      ok +
      "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string text(4096, 'x');
  constexpr size_t kHeadBytes = 60UL << 10;
  constexpr size_t kBodyBytes = 900UL << 10;
  for (const Case& one : {
           Case{"header lines", "/pay/x", ok, "X-More: " + text + "\r\n",
                kHeadBytes},
           Case{"one header line", "/pay/x", ok + "X-More: ", text, kHeadBytes},
           Case{"chunk extension", "/pay/x", chunked + "5;", text, kHeadBytes},
           Case{"trailers", "/pay/x", chunked + "0\r\nX-More: ", text,
                kHeadBytes},
           Case{"body", "/pay/x", ok + "\r\n", text, kBodyBytes},
           Case{"chunks", "/pay/x", chunked, HttpChunk(text), kBodyBytes},
           Case{"event", "/read/x", events, HttpChunk(text), kBodyBytes},
       }) {
    CAPTURE(one.name_);
    const auto script = [&one](const TargetRequest& /*request*/,
                               TargetLine& line) {
      line.Send(one.head_);
      SendAndDrip(line, one.unit_, one.bytes_);
      line.Reset();
    };
    ScriptedTarget shop(script);
    ScriptedTarget engine(script);
    GatewayRig rig(kConfiguration, nullptr, kSmallMemory);
    rig.Register("i-1", "shop", shop.Address());
    rig.Register("i-2", "model", engine.Address());
    for (const std::string& answer :
         AskAtOnce(rig, Request(one.path_, kPrompt), kCallers)) {
      // Nobody is told that it has not run, unless it was never sent.
      CHECK_FALSE(Begins(answer, "HTTP/1.1 200"));
    }
    const std::string log = rig.Log();
    CHECK(log.find("event=memory-exceeded") != std::string::npos);
    CHECK(LargestIn(log, "event=memory-exceeded", "all_bytes=") <=
          kLimit + kSlack);
  }
}

TEST_CASE("memory bound: sound calls are served beside answers without end") {
  const std::string ok =
      "HTTP/1.1 200 OK\r\nGooseberryvale-Attempt-Id: a1\r\n" +
      std::string(kSigned) + "\r\n";
  std::atomic<int> at_bad = 0;
  ScriptedTarget bad([&](const TargetRequest& /*request*/, TargetLine& line) {
    ++at_bad;
    line.Send(ok);
    SendAndDrip(line, std::string(4096, 'x'), 900UL << 10);
    line.Reset();
  });
  const auto sound = [](const TargetRequest& request, TargetLine& line) {
    std::this_thread::sleep_for(Milliseconds(5));
    line.Send(Answer(request, 200, kSigned));
  };
  ScriptedTarget one(sound);
  ScriptedTarget two(sound);
  GatewayRig rig(kConfiguration, nullptr, kSmallMemory);
  rig.Register("i-1", "shop", bad.Address());
  rig.Register("i-2", "shop", one.Address());
  rig.Register("i-3", "shop", two.Address());
  const std::string request = Request("/pay/x");
  std::atomic<int> served = 0;
  std::atomic<int> failed = 0;
  std::vector<std::thread> callers;
  const TimePoint end = SteadyNow() + 6_s;
  callers.reserve(kCallers);
  for (size_t i = 0; i < kCallers; ++i) {
    callers.emplace_back([&]() {
      while (SteadyNow() < end) {
        const std::string answer = rig.Ask(request);
        ++(Begins(answer, "HTTP/1.1 200") ? served : failed);
        std::this_thread::sleep_for(Milliseconds(20));
      }
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  // The faulty one of three would get a third of them.
  CHECK(at_bad * 10 < served);
  CHECK(failed <= at_bad);
}

// The failure of a first target, kept for the caller while a second one is
// tried, was not counted.
TEST_CASE("memory bound: failures that are kept count, and are delivered") {
  constexpr size_t kFailureBytes = 400UL << 10;
  constexpr size_t kHolders = 6;
  std::atomic<size_t> asked = 0;
  const auto script = [&asked](const TargetRequest& request, TargetLine& line) {
    // The first attempt of each request fails, the second one hangs.
    if (asked++ % 2 == 1) {
      line.PeerClosesWithin(Milliseconds(4000));
      return;
    }
    line.Send("HTTP/1.1 500 Failed\r\nGooseberryvale-Attempt-Id: " +
              request.Header("Gooseberryvale-Attempt-Id") + "\r\n" + kSigned +
              "Content-Length: " + std::to_string(kFailureBytes) + "\r\n\r\n" +
              std::string(kFailureBytes, 'x'));
  };
  ScriptedTarget one(script);
  ScriptedTarget two(script);
  GatewayRig rig(kConfiguration, nullptr, kSmallMemory);
  rig.Register("i-1", "shop", one.Address());
  rig.Register("i-2", "shop", two.Address());
  std::vector<std::string> answers(kHolders);
  std::vector<std::thread> threads;
  threads.reserve(kHolders);
  for (std::string& answer : answers) {
    threads.emplace_back(
        [&rig, &answer]() { answer = rig.Ask(Request("/look/x")); });
    // One after the other, so that each one's attempts are in order.
    std::this_thread::sleep_for(Milliseconds(150));
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  for (const std::string& answer : answers) {
    CHECK(Begins(answer, "HTTP/1.1 500"));
  }
  const std::string log = rig.Log();
  CHECK(log.find("event=memory-exceeded holder=request") != std::string::npos);
  CHECK(LargestIn(log, "event=memory-exceeded", "all_bytes=") <=
        kLimit + kSlack);
}

TEST_CASE("memory bound: bodies of callers that never end") {
  ScriptedTarget shop([](const TargetRequest& request, TargetLine& line) {
    line.Send(Answer(request, 200, kSigned));
  });
  GatewayRig rig(kConfiguration, nullptr, kSmallMemory);
  rig.Register("i-1", "shop", shop.Address());
  // The largest body that the configuration allows, but for its last byte.
  const std::string body(65535, 'x');
  const std::string request =
      "POST /pay/x HTTP/1.1\r\nHost: a.example\r\n"
      "Gooseberryvale-Attempt-Id: a2\r\nX-Api-Key: k1\r\n"
      "Content-Length: 65536\r\n\r\n" +
      body;
  asio::io_context io;
  std::vector<asio::ip::tcp::socket> callers =
      SendToAll(request, [&rig, &io]() { return rig.Connect(io); });
  CHECK(Begins(rig.Ask(Request("/pay/x")), "HTTP/1.1 200"));
  const std::string log = rig.Log();
  CHECK(log.find("event=memory-exceeded holder=caller") != std::string::npos);
  CHECK(LargestIn(log, "event=memory-exceeded", "all_bytes=") <=
        kLimit + kSlack);
  // The first ones that were ended know that they were not run.
  size_t refused = 0;
  for (asio::ip::tcp::socket& caller : callers) {
    if (caller.available() > 0) {
      std::string answer(12, ' ');
      boost::system::error_code ignored;
      asio::read(caller, asio::buffer(answer), ignored);
      refused += answer == "HTTP/1.1 503" ? 1 : 0;
    }
  }
  CHECK(refused > 0);
}

TEST_CASE("memory bound: configurations that never end") {
  ScriptedTarget shop([](const TargetRequest& request, TargetLine& line) {
    line.Send(Answer(request, 200, kSigned));
  });
  GatewayRig rig(kConfiguration, nullptr, kSmallMemory);
  rig.Register("i-1", "shop", shop.Address());
  const std::string request =
      "PUT /v1/configuration HTTP/1.1\r\nHost: x\r\n"
      "Content-Length: 300000\r\n\r\n" +
      std::string(200000, 'x');
  asio::io_context io;
  const std::vector<asio::ip::tcp::socket> operators =
      SendToAll(request, [&rig, &io]() { return rig.ConnectControl(io); });
  CHECK(Begins(rig.Control("GET", "/v1/configuration", ""), "HTTP/1.1 200"));
  CHECK(Begins(rig.Ask(Request("/pay/x")), "HTTP/1.1 200"));
  const std::string log = rig.Log();
  CHECK(log.find("event=memory-exceeded holder=control-request") !=
        std::string::npos);
  CHECK(LargestIn(log, "event=memory-exceeded", "all_bytes=") <=
        kLimit + kSlack);
}

}  // namespace
}  // namespace gv
