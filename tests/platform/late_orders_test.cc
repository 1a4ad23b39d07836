/** @file late_orders_test.cc Orders that a stopped gateway reads only after
 * their senders have given them up, over real sockets. */
#include <doctest/doctest.h>
#include <fcntl.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

#include "platform/gateway_rig.h"
#include "platform/path_requests.h"
#include "support/own_address.h"
#include "transport/steady_clock.h"

namespace gv {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;
using Milliseconds = std::chrono::milliseconds;

constexpr Duration kPatience = 20_s;
constexpr Milliseconds kRetry{20};
/** Ports of a gateway; its address belongs to this test process alone. */
constexpr uint16_t kPeerPort = 23000;
constexpr uint16_t kReadinessPort = 23002;
constexpr uint16_t kControlPort = 23003;

std::string Call(const std::string& method, const std::string& path,
                 const std::string& body = "") {
  return method + " " + path +
         " HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

/** A gateway that runs as a process of its own. */
class GatewayProcess {
 public:
  /** @param member The only member of its cluster; null for itself. */
  explicit GatewayProcess(const GatewayProcess* member = nullptr)
      : ip_(OwnAddress(member == nullptr ? 0 : 1)) {
    const std::string seed = member == nullptr ? ip_ : member->ip_;
    folder_ = std::filesystem::temp_directory_path() / ("gv_late_" + ip_);
    std::filesystem::remove_all(folder_);
    std::filesystem::create_directories(folder_);
    std::ofstream(folder_ / "key") << "a-key-of-enough-bytes\n";
    const std::string folder = folder_.string();
    const auto at = [this](int index) {
      return "\"" + ip_ + ":" + std::to_string(kPeerPort + index) + "\"";
    };
    std::ofstream(folder_ / "gateway.yaml")
        << "node: g" << ip_ << "\nvm: g" << ip_
        << "\ndata_centre: d1\ncluster: c\nkey_file: " << folder
        << "/key\nroles: [gateway]\nlisten: {peers: " << at(0)
        << ", callers: " << at(1) << ", readiness: " << at(2)
        << ", control: " << at(3) << "}\ncontrol: {bootstrap: true"
        << (member == nullptr ? ", data_folder: " + folder + "/data" : "")
        << "}\ngateway: {seeds: [\"" << seed << ":" << kPeerPort
        << "\"], tolerated_losses: 0, data_centres: [d1, d2]}\n";
    Start("--settings=" + folder + "/gateway.yaml", folder + "/log");
    if (member == nullptr) {
      Await(kControlPort, Call("PUT", "/v1/configuration", kConfiguration));
    }
    Await(kReadinessPort, Call("GET", "/v1/readyz"));
  }
  ~GatewayProcess() {
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    std::filesystem::remove_all(folder_);
  }
  GatewayProcess(const GatewayProcess&) = delete;
  GatewayProcess& operator=(const GatewayProcess&) = delete;

  void Signal(int number) const { kill(pid_, number); }
  /** @return A connection to the control address; it has got @p request. */
  tcp::socket Send(asio::io_context& io, const std::string& request,
                   uint16_t port = kControlPort) const {
    tcp::socket socket(io);
    error_code error;
    socket.connect({asio::ip::make_address(ip_), port}, error);
    asio::write(socket, asio::buffer(request), error);
    return socket;
  }
  /** @return The whole answer to a request that closes its connection. */
  std::string Ask(const std::string& request,
                  uint16_t port = kControlPort) const {
    asio::io_context io;
    tcp::socket socket = Send(io, request, port);
    return ReadAll(socket);
  }
  static std::string ReadAll(tcp::socket& socket) {
    error_code ignored;
    std::string answer;
    asio::read(socket, asio::dynamic_buffer(answer), ignored);
    return answer;
  }
  std::string Evacuated() const { return Ask(Call("GET", "/v1/evacuations")); }
  std::string Log() const {
    std::ifstream file(folder_ / "log");
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
  }

 private:
  void Start(const std::string& settings, const std::string& log) {
    pid_ = fork();
    if (pid_ == 0) {
      const int out = open(log.c_str(), O_CREAT | O_WRONLY, 0600);
      dup2(out, STDOUT_FILENO);
      execl(GV_BINARY, GV_BINARY, "run", settings.c_str(), nullptr);
      _exit(127);
    }
  }
  void Await(uint16_t port, const std::string& request) const {
    const TimePoint end = SteadyNow() + kPatience;
    while (!Begins(Ask(request, port), "HTTP/1.1 200")) {
      REQUIRE_MESSAGE(SteadyNow() < end, "the gateway does not answer");
      std::this_thread::sleep_for(kRetry);
    }
  }

  std::string ip_;
  std::filesystem::path folder_;
  pid_t pid_ = -1;
};

// A withdrawal waited in the socket of a frozen gateway. When the gateway woke,
// it ended an evacuation that was acknowledged after the operator had given the
// withdrawal up.
TEST_CASE("late orders: a gateway that wakes does not carry out old orders") {
  GatewayProcess leader;
  GatewayProcess gateway(&leader);
  asio::io_context io;
  REQUIRE(
      Begins(leader.Ask(Call("POST", "/v1/evacuations/d2")), "HTTP/1.1 200"));
  gateway.Signal(SIGSTOP);
  tcp::socket late = gateway.Send(io, Call("DELETE", "/v1/evacuations/d2"));
  // The time for which an operator waits for an answer, and more. Its
  // connection stays open, as if its end were still on its way.
  std::this_thread::sleep_for(Milliseconds(1500));
  gateway.Signal(SIGCONT);
  CHECK(Begins(GatewayProcess::ReadAll(late), "HTTP/1.1 503"));
  CHECK(leader.Evacuated().find(R"(["d2"])") != std::string::npos);
}

TEST_CASE("late orders: an order of a closed connection is not carried out") {
  GatewayProcess gateway;
  asio::io_context io;
  REQUIRE(
      Begins(gateway.Ask(Call("POST", "/v1/evacuations/d2")), "HTTP/1.1 200"));
  gateway.Signal(SIGSTOP);
  gateway.Send(io, Call("DELETE", "/v1/evacuations/d2")).close();
  // Too short to count as a pause.
  std::this_thread::sleep_for(Milliseconds(200));
  gateway.Signal(SIGCONT);
  std::this_thread::sleep_for(Milliseconds(200));
  CHECK(gateway.Evacuated().find(R"(["d2"])") != std::string::npos);
  CHECK(gateway.Log().find("evacuation-outdated") != std::string::npos);
}

TEST_CASE("late orders: an order on a kept connection is carried out") {
  GatewayRig rig(kConfiguration, nullptr, ", data_centres: [d1, d2]");
  asio::io_context io;
  tcp::socket socket = rig.ConnectControl(io);
  const auto send = [&socket](const std::string& line) {
    asio::write(socket, asio::buffer(line + " HTTP/1.1\r\nHost: x\r\n"
                                            "Content-Length: 0\r\n\r\n"));
    std::string answer(4096, '\0');
    answer.resize(socket.read_some(asio::buffer(answer)));
    return answer;
  };
  CHECK(Begins(send("GET /v1/evacuations"), "HTTP/1.1 200"));
  std::this_thread::sleep_for(Milliseconds(1500));
  CHECK(Begins(send("POST /v1/evacuations/d2"), "HTTP/1.1 200"));
  std::this_thread::sleep_for(Milliseconds(1500));
  CHECK(Begins(send("DELETE /v1/evacuations/d2"), "HTTP/1.1 200"));
}

}  // namespace
}  // namespace gv
