/** @file gateway_trouble_test.cc Targets that leave, refuse, hang or answer
 * nonsense, and stops under load, over the whole path of a gateway. */
#include <doctest/doctest.h>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "platform/gateway_rig.h"
#include "platform/path_requests.h"
#include "platform/platform_codec.h"
#include "transport/http_chunk.h"
#include "transport/steady_clock.h"

namespace gv {
namespace {

using Milliseconds = std::chrono::milliseconds;

constexpr const char* kNotRunHeader = "Gooseberryvale-Not-Executed: 1\r\n";
constexpr const char* kPrompt = "Gooseberryvale-Token-Usage: 4000,400\r\n";

/** @return A request with another id than that of Request(), so that it goes
 * over the same connection. */
std::string SecondRequest(const std::string& path) {
  std::string second = Request(path);
  return second.replace(second.find("Id: a1"), 6, "Id: a2");
}

/** Sends @p unit until the peer closes. @return Bytes sent. */
size_t SendWithoutEnd(TargetLine& line, const std::string& unit) {
  constexpr size_t kMost = 1UL << 30;
  size_t sent = 0;
  while (sent < kMost && line.Send(unit)) {
    sent += unit.size();
  }
  return sent;
}

TEST_CASE("gateway trouble: a target that says that it leaves gets no more") {
  ScriptedTarget shop([](const TargetRequest& request, TargetLine& line) {
    line.Send(
        Answer(request, 200, std::string(kSigned) + "Server-Leaving: 1\r\n"));
  });
  GatewayRig rig(kConfiguration);
  rig.Register("i-1", "shop", shop.Address());
  CHECK(Begins(rig.Ask(Request("/look/x")), "HTTP/1.1 200"));
  CHECK(Begins(rig.Ask(Request("/look/x")), "HTTP/1.1 503"));
  // Neither does a later registration of the same start bring it back.
  rig.Register("i-1", "shop", shop.Address());
  CHECK(Begins(rig.Ask(Request("/pay/x")), "HTTP/1.1 503"));
  CHECK(shop.Requests().size() == 1);
}

TEST_CASE("gateway trouble: a refusing target gets its pause") {
  ScriptedTarget full([](const TargetRequest& request, TargetLine& line) {
    line.Send(Answer(request, 503,
                     std::string(kNotRunHeader) + "Retry-After: 1.5\r\n"));
  });
  GatewayRig rig(kConfiguration);
  rig.Register("i-1", "shop", full.Address());
  for (int i = 0; i < 5; ++i) {
    CHECK(Begins(rig.Ask(Request("/look/x")), "HTTP/1.1 503"));
  }
  CHECK(full.Requests().size() == 1);
  std::this_thread::sleep_for(Milliseconds(1600));
  CHECK(Begins(rig.Ask(Request("/look/x")), "HTTP/1.1 503"));
  CHECK(full.Requests().size() == 2);
  CHECK(rig.Log().find("pause_ms=1500") != std::string::npos);
}

TEST_CASE("gateway trouble: bytes without end are cut") {
  struct Case {
    const char* name_;
    std::string head_;
    std::string unit_;
  };
  const std::string ok =
      "HTTP/1.1 200 OK\r\nGooseberryvale-Attempt-Id: a1\r\n" +
      std::string(kSigned);
  const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string text(4096, 'x');
  // Bytes in flight that neither end holds in its memory of the answer.
  constexpr size_t kSocketBytes = 16UL << 20;
  constexpr size_t kAnswerBytes = 8UL << 20;
  for (const Case& one : {
           Case{"noise", "", text},
           Case{"header lines", ok, "X-More: " + text + "\r\n"},
           Case{"one header line", ok + "X-More: ", text},
           Case{"interim heads", "", "HTTP/1.1 102 Processing\r\n\r\n"},
           Case{"chunk extension", chunked + "5;", text},
           Case{"trailers", chunked + "0\r\nX-More: ", text},
           Case{"body", ok + "\r\n", text},
           Case{"chunks", chunked, HttpChunk(text)},
           Case{"body beyond its length", ok + "Content-Length: 5\r\n\r\n",
                text},
       }) {
    CAPTURE(one.name_);
    std::atomic<size_t> sent = 0;
    ScriptedTarget shop(
        [&one, &sent](const TargetRequest& /*request*/, TargetLine& line) {
          line.Send(one.head_);
          sent = SendWithoutEnd(line, one.unit_);
          line.Reset();
        });
    GatewayRig rig(kConfiguration);
    rig.Register("i-1", "shop", shop.Address());
    const std::string answer = rig.Ask(Request("/pay/x"));
    // A whole answer counts, whatever comes after it.
    const bool whole = std::string(one.name_) == "body beyond its length";
    CHECK(Begins(answer, whole ? "HTTP/1.1 200" : "HTTP/1.1 502"));
    CHECK(sent < kAnswerBytes + kSocketBytes);
  }
}

TEST_CASE("gateway trouble: an event without end is cut and goes elsewhere") {
  std::atomic<int> asked = 0;
  std::atomic<size_t> sent = 0;
  const auto script = [&](const TargetRequest& request, TargetLine& line) {
    line.BeginEvents(request);
    if (++asked == 1) {
      sent = SendWithoutEnd(line, HttpChunk(std::string(4096, 'x')));
      line.Reset();
      return;
    }
    line.SendEvent(1);
    line.Send("0\r\n\r\n");
  };
  ScriptedTarget one(script);
  ScriptedTarget two(script);
  GatewayRig rig(kConfiguration);
  rig.Register("i-1", "model", one.Address());
  rig.Register("i-2", "model", two.Address());
  const std::string answer = rig.Ask(Request("/read/x", kPrompt));
  CHECK(Begins(answer, "HTTP/1.1 200"));
  CHECK(answer.find("data: e1") != std::string::npos);
  constexpr size_t kEventAndSocketBytes = 17UL << 20;
  CHECK(sent < kEventAndSocketBytes);
}

TEST_CASE("gateway trouble: a late second answer reaches no other caller") {
  // The second request on the connection meets a second answer to the first,
  // which names no request.
  std::atomic<int> asked = 0;
  ScriptedTarget shop([&asked](const TargetRequest& request, TargetLine& line) {
    if (++asked == 1) {
      line.Send(Answer(request, 200, kSigned));
      return;
    }
    line.Send("HTTP/1.1 200 OK\r\n" + std::string(kSigned) +
              "Content-Length: 5\r\n\r\nstale");
    line.Send(Answer(request, 200, kSigned));
  });
  GatewayRig rig(kConfiguration);
  rig.Register("i-1", "shop", shop.Address());
  CHECK(Begins(rig.Ask(Request("/look/x")), "HTTP/1.1 200"));
  const std::string answer = rig.Ask(SecondRequest("/look/x"));
  CHECK(answer.find("stale") == std::string::npos);
  CHECK(Begins(answer, "HTTP/1.1 502"));
}

TEST_CASE("gateway trouble: a late refusal is not taken for this request's") {
  // It would be told as not run, and sent elsewhere while it runs.
  std::atomic<int> asked = 0;
  ScriptedTarget shop([&asked](const TargetRequest& request, TargetLine& line) {
    if (++asked == 1) {
      line.Send(Answer(request, 200, kSigned));
      return;
    }
    line.Send("HTTP/1.1 503 Full\r\n" + std::string(kNotRunHeader) +
              "Content-Length: 0\r\n\r\n");
  });
  GatewayRig rig(kConfiguration);
  rig.Register("i-1", "shop", shop.Address());
  CHECK(Begins(rig.Ask(Request("/pay/x")), "HTTP/1.1 200"));
  CHECK(Begins(rig.Ask(SecondRequest("/pay/x")), "HTTP/1.1 502"));
}

TEST_CASE("gateway trouble: an earlier refusal that comes once more") {
  // With the id of the request that it belongs to, while another one runs.
  std::atomic<int> asked = 0;
  std::string refusal;
  const auto script = [&](const TargetRequest& request, TargetLine& line) {
    if (++asked == 1) {
      refusal = Answer(request, 503, kNotRunHeader);
      line.Send(refusal);
      return;
    }
    line.Send(refusal);
    std::this_thread::sleep_for(Milliseconds(100));
    line.Send(Answer(request, 200, kSigned));
  };
  ScriptedTarget shop(script);
  GatewayRig rig(kConfiguration);
  rig.Register("i-1", "shop", shop.Address());
  CHECK(Begins(rig.Ask(Request("/pay/x")), "HTTP/1.1 503"));
  CHECK(Begins(rig.Ask(SecondRequest("/pay/x")), "HTTP/1.1 502"));
  CHECK(shop.Requests().size() == 2);
}

TEST_CASE("gateway trouble: odd entries among the targets change nothing") {
  ScriptedTarget shop([](const TargetRequest& request, TargetLine& line) {
    line.Send(Answer(request, 200, kSigned));
  });
  GatewayRig rig(kConfiguration);
  rig.Register("i-1", "shop", shop.Address());
  const std::string entry =
      R"({"service":"shop","zone":"d1","slots":16,"state":"ready","sequence":9,)";
  for (const std::string& body :
       {entry + R"("address":"127.0.0.1:70000"})",
        entry + R"("address":")" + shop.Address() +
            R"(","born":18446744073709551615})",
        entry + R"("address":"127.0.0.1:80","x":)" + std::string(50000, '['),
        std::string("\xff\xfe{"), std::string()}) {
    CHECK(
        Begins(rig.Control("PUT", "/v1/instances/odd", body), "HTTP/1.1 400"));
    CHECK(Begins(rig.Ask(Request("/look/x")), "HTTP/1.1 200"));
  }
  CHECK(rig.Log().find("internal-error") == std::string::npos);
}

TEST_CASE("gateway trouble: a stream that drips bytes goes on elsewhere") {
  std::atomic<int> asked = 0;
  const auto script = [&asked](const TargetRequest& request, TargetLine& line) {
    line.BeginEvents(request);
    if (++asked == 1) {
      line.SendEvent(1);
      line.Send(HttpChunk("id: 2\n"));
      for (int i = 0; i < 40; ++i) {
        // Half of an event, and comments, are no progress.
        if (!line.Send(HttpChunk(i % 2 == 0 ? ":\n" : ": alive\n"))) {
          return;
        }
        std::this_thread::sleep_for(Milliseconds(200));
      }
      line.Reset();
      return;
    }
    line.SendEvent(2);
    line.Send("0\r\n\r\n");
  };
  ScriptedTarget one(script);
  ScriptedTarget two(script);
  GatewayRig rig(kConfiguration);
  rig.Register("i-1", "model", one.Address());
  rig.Register("i-2", "model", two.Address());
  const TimePoint start = SteadyNow();
  const std::string answer = rig.Ask(Request("/read/x", kPrompt));
  // Five pauses that still count as on time, of 600 ms.
  CHECK(SteadyNow() - start < 5_s);
  CHECK(asked == 2);
  CHECK(answer.find("data: e2") != std::string::npos);
  CHECK(answer.find("0\r\n\r\n") != std::string::npos);
}

TEST_CASE("gateway trouble: a slow but sound stream is not cut") {
  ScriptedTarget one([](const TargetRequest& request, TargetLine& line) {
    line.BeginEvents(request);
    for (int id = 1; id <= 3; ++id) {
      line.SendEvent(id);
      std::this_thread::sleep_for(Milliseconds(1400));
    }
    line.Send("0\r\n\r\n");
  });
  ScriptedTarget other(
      [](const TargetRequest& /*request*/, TargetLine& line) { line.Reset(); });
  GatewayRig rig(kConfiguration);
  rig.Register("i-1", "model", one.Address());
  const std::string answer = rig.Ask(Request("/read/x", kPrompt));
  CHECK(one.Requests().size() == 1);
  CHECK(answer.find("data: e3") != std::string::npos);
  CHECK(answer.find("0\r\n\r\n") != std::string::npos);
}

CallerFacts Fail(const HttpFields& /*fields*/) {
  throw std::runtime_error("unexpected");
}

TEST_CASE("gateway trouble: an unexpected error does not end the process") {
  WireCodec codec = platform::Codec();
  codec.read_caller_ = &Fail;
  GatewayRig rig(kConfiguration, &codec);
  {
    boost::asio::io_context io;
    auto caller = rig.Connect(io);
    boost::asio::write(caller, boost::asio::buffer(Request("/look/x")));
    CHECK(rig.Log().find("internal-error") != std::string::npos);
  }
  CHECK(Begins(rig.Control("GET", "/v1/configuration", ""), "HTTP/1.1 200"));
}

TEST_CASE("gateway trouble: a planned stop waits for a slow reader") {
  constexpr size_t kBytes = 7UL << 20;
  ScriptedTarget shop([](const TargetRequest& request, TargetLine& line) {
    line.Send("HTTP/1.1 200 OK\r\nGooseberryvale-Attempt-Id: " +
              request.Header("Gooseberryvale-Attempt-Id") + "\r\n" + kSigned +
              "Content-Length: " + std::to_string(kBytes) + "\r\n\r\n" +
              std::string(kBytes, 'x'));
  });
  GatewayRig rig(kConfiguration);
  rig.Register("i-1", "shop", shop.Address());
  boost::asio::io_context io;
  auto caller = rig.Connect(io);
  caller.set_option(boost::asio::socket_base::receive_buffer_size(65536));
  boost::asio::write(caller, boost::asio::buffer(Request("/look/x")));
  std::this_thread::sleep_for(Milliseconds(300));
  GatewayRig::BeginStop();
  // The balancer is told for four seconds; the caller reads on after that.
  std::this_thread::sleep_for(Milliseconds(4500));
  std::string answer;
  boost::system::error_code end;
  std::thread reader([&]() {
    boost::asio::read(caller, boost::asio::dynamic_buffer(answer), end);
  });
  rig.AwaitStop();
  reader.join();
  const size_t head = answer.find("\r\n\r\n");
  REQUIRE(head != std::string::npos);
  CHECK(answer.size() - head - 4 == kBytes);
}

}  // namespace
}  // namespace gv
