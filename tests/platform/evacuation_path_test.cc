/** @file evacuation_path_test.cc Orders to evacuate a data centre over real
 * sockets: the calls of operators, and what callers get. */
#include <doctest/doctest.h>

#include <chrono>

#include "cli/commands.h"
#include "cli/exit_code.h"
#include "platform/gateway_rig.h"
#include "platform/path_requests.h"
#include "platform/platform_codec.h"

namespace gv {
namespace {

using Clock = std::chrono::steady_clock;

/** Far below the deadline of the requests, which may not wait for it. */
constexpr std::chrono::milliseconds kAtOnce(1000);

TEST_CASE("evacuation path: orders, withdrawals and the list") {
  GatewayRig rig(kConfiguration, nullptr, ", data_centres: [d1, d2]");
  const std::string path = "/v1/evacuations";
  const auto list = [&]() { return rig.Control("GET", path, ""); };
  CHECK(list().find(R"({"evacuated":[]})") != std::string::npos);
  for (int i = 0; i < 2; ++i) {
    CHECK(Begins(rig.Control("POST", path + "/d2", ""), "HTTP/1.1 200"));
    CHECK(list().find(R"({"evacuated":["d2"]})") != std::string::npos);
  }
  CHECK(Begins(rig.Control("POST", path + "/d1", ""), "HTTP/1.1 200"));
  CHECK(list().find(R"({"evacuated":["d1","d2"]})") != std::string::npos);
  for (int i = 0; i < 2; ++i) {
    CHECK(Begins(rig.Control("DELETE", path + "/d2", ""), "HTTP/1.1 200"));
    CHECK(list().find(R"({"evacuated":["d1"]})") != std::string::npos);
  }
  for (const char* method : {"POST", "DELETE"}) {
    for (const std::string& name :
         {std::string(), std::string("a%20b"), std::string("a/b"),
          std::string("a,b"), std::string(65, 'a')}) {
      CAPTURE(name);
      const std::string answer =
          rig.Control(method, std::string(path).append("/").append(name), "");
      CHECK(Begins(answer, "HTTP/1.1 400"));
    }
    const std::string unknown = rig.Control(method, path + "/d9", "");
    CHECK(Begins(unknown, "HTTP/1.1 404"));
    CHECK(unknown.find("d9 is not known") != std::string::npos);
  }
  CHECK(list().find(R"({"evacuated":["d1"]})") != std::string::npos);
  const std::string log = rig.Log();
  for (const char* event : {"evacuation-accepted", "evacuation-ended",
                            "evacuations-in-force", "evacuation-refused"}) {
    CHECK_MESSAGE(log.find(event) != std::string::npos, event);
  }
}

// The commands and the gateway must agree on the calls.
TEST_CASE("evacuation path: the commands of operators") {
  GatewayRig rig(kConfiguration, nullptr, ", data_centres: [d1, d2]");
  SetWireCodec(&platform::Codec());
  boost::asio::io_context io;
  const auto control = rig.ConnectControl(io).remote_endpoint();
  const std::string at = "--at=" + control.address().to_string() + ":" +
                         std::to_string(control.port());
  const auto run = [&](std::vector<std::string> args) {
    args.insert(args.begin(), "gooseberryvale");
    args.push_back(at);
    args.emplace_back("--timeout_ms=3000");
    std::vector<char*> argv;
    argv.reserve(args.size());
    for (std::string& arg : args) {
      argv.push_back(arg.data());
    }
    return RunCommandLine(static_cast<int>(argv.size()), argv.data());
  };
  const auto list = [&]() { return rig.Control("GET", "/v1/evacuations", ""); };
  CHECK(run({"evacuate", "d2", "--end=false"}) == kExitDone);
  CHECK(list().find(R"({"evacuated":["d2"]})") != std::string::npos);
  CHECK(run({"evacuations"}) == kExitDone);
  CHECK(run({"evacuate", "d9", "--end=false"}) == kExitRefused);
  CHECK(run({"evacuate", "d2", "--end"}) == kExitDone);
  CHECK(list().find(R"({"evacuated":[]})") != std::string::npos);
}

TEST_CASE("evacuation path: a service without other targets refuses at once") {
  const auto script = [](const TargetRequest& request, TargetLine& line) {
    if (request.line_.find("/read/") == std::string::npos) {
      line.Send(Answer(request, 200, kSigned));
      return;
    }
    line.BeginEvents(request);
    line.SendEvent(1);
    line.Send("0\r\n\r\n");
  };
  ScriptedTarget shop(script);
  ScriptedTarget model(script);
  GatewayRig rig(kConfiguration);
  rig.Register("i-1", "shop", shop.Address());
  rig.Register("i-2", "model", model.Address());
  const std::string short_prompt = "Gooseberryvale-Token-Usage: 1000,800\r\n";
  const std::string long_prompt = "Gooseberryvale-Token-Usage: 90000,800\r\n";
  CHECK(Begins(rig.Ask(Request("/pay/x")), "HTTP/1.1 200"));
  CHECK(Begins(rig.Ask(Request("/read/x", short_prompt)), "HTTP/1.1 200"));
  const size_t calls = shop.Requests().size();
  const size_t prompts = model.Requests().size();
  REQUIRE(
      Begins(rig.Control("POST", "/v1/evacuations/d1", ""), "HTTP/1.1 200"));
  // Heartbeats of the targets continue and change nothing.
  rig.Register("i-1", "shop", shop.Address());
  for (const std::string& request :
       {Request("/pay/x"), Request("/look/x"), Request("/read/x", short_prompt),
        Request("/read/x", long_prompt)}) {
    const auto begin = Clock::now();
    const std::string answer = rig.Ask(request);
    CHECK_MESSAGE(Begins(answer, "HTTP/1.1 503"), answer);
    CHECK(answer.find("\r\nRetry-After: ") != std::string::npos);
    CHECK(Clock::now() - begin < kAtOnce);
  }
  CHECK(shop.Requests().size() == calls);
  CHECK(model.Requests().size() == prompts);
  REQUIRE(
      Begins(rig.Control("DELETE", "/v1/evacuations/d1", ""), "HTTP/1.1 200"));
  CHECK(Begins(rig.Ask(Request("/pay/x")), "HTTP/1.1 200"));
  CHECK(Begins(rig.Ask(Request("/read/x", short_prompt)), "HTTP/1.1 200"));
}

}  // namespace
}  // namespace gv
