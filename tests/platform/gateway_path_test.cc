/** @file gateway_path_test.cc The whole path of a gateway over real sockets:
 * callers, targets and operators as the users' platform speaks to it. */
#include <doctest/doctest.h>

#include <boost/asio/write.hpp>

#include "platform/gateway_rig.h"
#include "platform/path_requests.h"

namespace gv {
namespace {

using Milliseconds = std::chrono::milliseconds;

size_t CountOf(const std::string& text, const std::string& part) {
  size_t count = 0;
  for (size_t at = text.find(part); at != std::string::npos;
       at = text.find(part, at + 1)) {
    ++count;
  }
  return count;
}

TEST_CASE("gateway path: a call reaches its target unchanged and back") {
  ScriptedTarget shop([](const TargetRequest& request, TargetLine& line) {
    line.Send(Answer(request, 200, kSigned));
  });
  GatewayRig rig(kConfiguration);
  rig.Register("i-1", "shop", shop.Address());
  const std::string answer = rig.Ask(Request(
      "/pay/x?y=1", "X-Other: kept\r\nGooseberryvale-Tenant: other\r\n"));
  CHECK(Begins(answer, "HTTP/1.1 200"));
  CHECK(answer.find("Gooseberryvale-Response-Signature: s1") !=
        std::string::npos);
  CHECK(answer.find("\r\n\r\nown bytes") != std::string::npos);
  const auto requests = shop.Requests();
  REQUIRE(requests.size() == 1);
  CHECK(requests[0].line_ == "POST /pay/x?y=1 HTTP/1.1");
  CHECK(requests[0].body_ == "text of the request");
  CHECK(requests[0].Header("X-Other") == "kept");
  CHECK(requests[0].Header("Gooseberryvale-Tenant") == "carvers");
  CHECK(requests[0].Header("Gooseberryvale-Expect-Instance") == "i-1");
  CHECK(requests[0].Header("X-Api-Key").empty());
  CHECK(std::stol(requests[0].Header("Gooseberryvale-Deadline-Ms")) <= 3000);
  CHECK(Begins(rig.Ask(Request("/pay/x", "", "unknown")), "HTTP/1.1 401"));
  CHECK(Begins(rig.Ask(Request("/none/")), "HTTP/1.1 404"));
  CHECK(shop.Requests().size() == 1);
  // Neither keys nor bodies are logged.
  CHECK(rig.Log().find("unknown-key") != std::string::npos);
  CHECK(rig.Log().find("k1") == std::string::npos);
  CHECK(rig.Log().find("text of the request") == std::string::npos);
}

TEST_CASE("gateway path: what may have run is not sent again if unsafe") {
  const auto reset = [](const TargetRequest& /*request*/, TargetLine& line) {
    line.Reset();
  };
  ScriptedTarget shop(reset);
  ScriptedTarget other(reset);
  GatewayRig rig(kConfiguration);
  rig.Register("i-1", "shop", shop.Address());
  rig.Register("i-2", "shop", other.Address());
  CHECK(Begins(rig.Ask(Request("/pay/x")), "HTTP/1.1 502"));
  CHECK(shop.Requests().size() + other.Requests().size() == 1);
  CHECK(Begins(rig.Ask(Request("/look/x")), "HTTP/1.1 502"));
  CHECK(shop.Requests().size() + other.Requests().size() == 3);
}

TEST_CASE("gateway path: what did not run goes elsewhere or is refused") {
  std::atomic<int> taken = 0;
  ScriptedTarget full([](const TargetRequest& request, TargetLine& line) {
    line.Send(Answer(request, 503, "Gooseberryvale-Not-Executed: 1\r\n"));
  });
  ScriptedTarget good([&taken](const TargetRequest& request, TargetLine& line) {
    ++taken;
    line.Send(Answer(request, 200, kSigned));
  });
  GatewayRig rig(kConfiguration);
  rig.Register("i-1", "shop", full.Address());
  const std::string refused = rig.Ask(Request("/pay/x"));
  CHECK(Begins(refused, "HTTP/1.1 503"));
  CHECK(refused.find("\r\nRetry-After: ") != std::string::npos);
  rig.Register("i-2", "shop", good.Address());
  for (int i = 0; i < 6; ++i) {
    CHECK(Begins(rig.Ask(Request("/pay/x")), "HTTP/1.1 200"));
  }
  CHECK(taken == 6);
}

TEST_CASE("gateway path: a target's own failure is passed on") {
  ScriptedTarget shop([](const TargetRequest& request, TargetLine& line) {
    line.Send(Answer(request, 500, kSigned));
  });
  GatewayRig rig(kConfiguration);
  rig.Register("i-1", "shop", shop.Address());
  const std::string answer = rig.Ask(Request("/look/x"));
  CHECK(Begins(answer, "HTTP/1.1 500"));
  CHECK(answer.find("\r\n\r\nown bytes") != std::string::npos);
  CHECK(shop.Requests().size() == 1);
}

TEST_CASE("gateway path: a leaving target gets nothing new") {
  ScriptedTarget shop([](const TargetRequest& request, TargetLine& line) {
    line.Send(Answer(request, 200, kSigned));
  });
  GatewayRig rig(kConfiguration);
  rig.Register("i-1", "shop", shop.Address());
  CHECK(Begins(rig.Ask(Request("/look/x")), "HTTP/1.1 200"));
  rig.Register("i-1", "shop", shop.Address(), "draining");
  CHECK(Begins(rig.Ask(Request("/look/x")), "HTTP/1.1 503"));
  CHECK(shop.Requests().size() == 1);
}

TEST_CASE("gateway path: work stops when the caller has gone") {
  std::atomic<bool> stopped = false;
  ScriptedTarget model(
      [&stopped](const TargetRequest& request, TargetLine& line) {
        line.BeginEvents(request);
        line.SendEvent(1);
        stopped = line.PeerClosesWithin(Milliseconds(2000));
        line.Reset();
      });
  GatewayRig rig(kConfiguration);
  rig.Register("i-1", "model", model.Address());
  boost::asio::io_context io;
  auto socket = rig.Connect(io);
  boost::asio::write(
      socket, boost::asio::buffer(Request(
                  "/read/x", "Gooseberryvale-Token-Usage: 1000,800\r\n")));
  std::array<char, 512> bytes{};
  std::string answer;
  while (answer.find("data: e1") == std::string::npos) {
    answer.append(bytes.data(), socket.read_some(boost::asio::buffer(bytes)));
  }
  socket.close();
  const auto begin = std::chrono::steady_clock::now();
  while (!stopped &&
         std::chrono::steady_clock::now() - begin < Milliseconds(2500)) {
    std::this_thread::sleep_for(Milliseconds(5));
  }
  CHECK(stopped);
  CHECK(std::chrono::steady_clock::now() - begin < Milliseconds(500));
}

/** @return kConfiguration with @p was replaced by @p now in the route of
 * prompts. */
std::string PromptRouteWith(const std::string& was, const std::string& now) {
  std::string text = kConfiguration;
  text.replace(text.find(was), was.size(), now);
  return text;
}

TEST_CASE("gateway path: a long prompt is served if its caller has the time") {
  // 150,000 tokens take 2.9 s on one engine, and the caller waits for 9 s.
  // Guards against a refusal by the objective of the route, which was doubled
  // for callers whose deadline was well below the timeout of the route.
  const auto script = [](const TargetRequest& request, TargetLine& line) {
    line.BeginEvents(request);
    line.SendEvent(1);
    line.Send("0\r\n\r\n");
  };
  for (const std::string& configuration :
       {std::string(kConfiguration),
        PromptRouteWith("\"timeoutMs\":10000", "\"timeoutMs\":30000"),
        PromptRouteWith("\"sloMs\":1500", "\"sloMs\":50"),
        PromptRouteWith("\"sloMs\":1500", "\"sloMs\":9000")}) {
    ScriptedTarget model(script);
    GatewayRig rig(configuration);
    rig.Register("i-1", "model", model.Address());
    const std::string answer = rig.Ask(
        Request("/read/x", "Gooseberryvale-Token-Usage: 150000,800\r\n"));
    CHECK_MESSAGE(Begins(answer, "HTTP/1.1 200"), answer, configuration,
                  rig.Log());
    // 250,000 tokens take 7.2 s, and their answer 1.5 s.
    const std::string refusal = rig.Ask(
        Request("/read/x", "Gooseberryvale-Token-Usage: 250000,8000\r\n"));
    CHECK_MESSAGE(Begins(refusal, "HTTP/1.1 503"), refusal, rig.Log());
  }
}

TEST_CASE("gateway path: engines are told the priority of their prompts") {
  // The customer's priority goes before the route's; calls have none.
  const auto script = [](const TargetRequest& request, TargetLine& line) {
    if (request.line_.find("/read/") == std::string::npos) {
      line.Send(Answer(request, 200, kSigned));
      return;
    }
    line.BeginEvents(request);
    line.SendEvent(1);
    line.Send("0\r\n\r\n");
  };
  const auto urgency_of = [&](const std::string& configuration,
                              const std::string& path) {
    ScriptedTarget model(script);
    ScriptedTarget shop(script);
    GatewayRig rig(configuration);
    rig.Register("i-1", "model", model.Address());
    rig.Register("i-2", "shop", shop.Address());
    rig.Ask(Request(path, "Gooseberryvale-Token-Usage: 1000,800\r\n"));
    std::vector<TargetRequest> requests = model.Requests();
    for (const TargetRequest& request : shop.Requests()) {
      requests.push_back(request);
    }
    REQUIRE(requests.size() == 1);
    return requests.front().Header("Gooseberryvale-Request-Urgency");
  };
  const std::string ranked =
      PromptRouteWith("\"sloMs\":1500", "\"priority\":3");
  CHECK(urgency_of(ranked, "/read/x") == "3");
  std::string customer = ranked;
  const std::string keys = "\"apiKeys\":[\"k1\"]";
  customer.replace(customer.find(keys), keys.size(), keys + ",\"priority\":70");
  CHECK(urgency_of(customer, "/read/x") == "9");
  CHECK(urgency_of(ranked, "/look/x").empty());
}

TEST_CASE("gateway path: a stream that broke goes on within its answer") {
  // The first target breaks off after the objective, so that the leader refuses
  // to place the prompt anew; on the users' bench (Tilecarvers scale-1, request
  // 66e30c9a06277a2b) that refusal was written into the answer.
  const auto script = [](const TargetRequest& request, TargetLine& line) {
    line.BeginEvents(request);
    const std::string last = request.Header("Last-Event-Id");
    if (last.empty()) {
      line.SendEvent(1);
      line.SendEvent(2);
      std::this_thread::sleep_for(Milliseconds(1700));
      line.Reset();
      return;
    }
    for (int id = std::stoi(last) + 1; id <= 4; ++id) {
      line.SendEvent(id);
    }
    line.Send("0\r\n\r\n");
  };
  std::vector<std::unique_ptr<ScriptedTarget>> engines;
  GatewayRig rig(kConfiguration);
  for (const char* id : {"i-1", "i-2", "i-3", "i-4"}) {
    engines.push_back(std::make_unique<ScriptedTarget>(script));
    rig.Register(id, "model", engines.back()->Address());
  }
  const std::string answer =
      rig.Ask(Request("/read/x", "Gooseberryvale-Token-Usage: 45000,800\r\n"));
  CHECK_MESSAGE(Begins(answer, "HTTP/1.1 200"), answer, rig.Log());
  CHECK(CountOf(answer, "HTTP/1.1") == 1);
  for (const char* event :
       {"data: e1\n", "data: e2\n", "data: e3\n", "data: e4\n"}) {
    CHECK(CountOf(answer, event) == 1);
  }
  CHECK(answer.find("0\r\n\r\n") != std::string::npos);
  size_t requests = 0;
  for (const auto& engine : engines) {
    requests += engine->Requests().size();
  }
  CHECK(requests == 2);
}

}  // namespace
}  // namespace gv
