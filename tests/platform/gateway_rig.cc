/** @file gateway_rig.cc Starts a gateway and talks to it. */
#include "platform/gateway_rig.h"

#include <doctest/doctest.h>
#include <fcntl.h>
#include <unistd.h>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <csignal>
#include <fstream>
#include <sstream>

#include "platform/platform_codec.h"
#include "support/own_address.h"
#include "transport/process_settings_file.h"
#include "transport/steady_clock.h"

namespace gv {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

constexpr Duration kPatience = 20_s;
constexpr std::chrono::milliseconds kRetry{20};
constexpr std::chrono::milliseconds kTwoTicks{120};
constexpr uint16_t kPorts = 4;

/** @return The first of four ports that this process has not used lately. */
uint16_t NextPorts() {
  // Below those that the system gives to outgoing connections.
  constexpr uint16_t kFirst = 24000;
  constexpr uint16_t kLast = 27000;
  static uint16_t next = kFirst;
  const uint16_t found = next;
  next = static_cast<uint16_t>(next + kPorts < kLast ? next + kPorts : kFirst);
  return found;
}

std::filesystem::path FolderOf(const std::string& ip, uint16_t first_port) {
  return std::filesystem::temp_directory_path() /
         ("gv_gateway_" + std::to_string(getpid()) + "_" + ip + "_" +
          std::to_string(first_port));
}

std::string Exchange(const std::string& ip, uint16_t port,
                     const std::string& request) {
  asio::io_context io;
  tcp::socket socket(io);
  error_code error;
  socket.connect({asio::ip::make_address(ip), port}, error);
  if (error) {
    return "";
  }
  asio::write(socket, asio::buffer(request), error);
  std::string answer;
  asio::read(socket, asio::dynamic_buffer(answer), error);
  return answer;
}

}  // namespace

std::string GatewayRig::At(int index) const {
  return "\"" + ip_ + ":" + std::to_string(first_port_ + index) + "\"";
}

void GatewayRig::Start(const std::string& more, const WireCodec& codec) {
  std::filesystem::remove_all(folder_);
  std::filesystem::create_directories(folder_);
  std::ofstream(folder_ / "key") << "a-key-of-enough-bytes\n";
  const std::string folder = folder_.string();
  const std::string name = "g" + ip_;
  const auto settings = ParseProcessSettings(
      "gateway.yaml", "node: " + name + "\nvm: " + name +
                          "\ndata_centre: d1\ncluster: c\nkey_file: " + folder +
                          "/key\nroles: [gateway]\nlisten: {peers: " + At(0) +
                          ", callers: " + At(1) + ", readiness: " + At(2) +
                          ", control: " + At(3) + "}\n" + more);
  REQUIRE_MESSAGE(settings.has_value(),
                  (settings ? "" : settings.error().detail_));
  settings_ = settings.value();
  codec_ = &codec;
  Run();
}

void GatewayRig::Run() {
  const int log =
      open((folder_ / "log").c_str(), O_CREAT | O_WRONLY | O_APPEND, 0600);
  gateway_ = std::make_unique<Gateway>(settings_, "gateway.yaml", *codec_, log);
  const auto opened = gateway_->Open();
  REQUIRE_MESSAGE(opened.has_value(), (opened ? "" : opened.error().detail_));
  runner_ = std::thread([this]() { gateway_->Run(); });
}

void GatewayRig::AwaitReady() const {
  const TimePoint end = SteadyNow() + kPatience;
  while (Exchange(ip_, static_cast<uint16_t>(first_port_ + 2),
                  "GET /v1/readyz HTTP/1.1\r\nHost: x\r\n"
                  "Connection: close\r\n\r\n")
             .rfind("HTTP/1.1 200", 0) != 0) {
    REQUIRE_MESSAGE(SteadyNow() < end, "the gateway is not ready");
    std::this_thread::sleep_for(kRetry);
  }
}

GatewayRig::GatewayRig(const std::string& configuration, const WireCodec* codec,
                       const std::string& more)
    : ip_(OwnAddress()),
      first_port_(NextPorts()),
      folder_(FolderOf(ip_, first_port_)) {
  Start("control: {bootstrap: true, data_folder: " + folder_.string() +
            "/data}\ngateway: {seeds: [" + At(0) + "], tolerated_losses: 0" +
            more + "}\n",
        codec != nullptr ? *codec : platform::Codec());
  const TimePoint end = SteadyNow() + kPatience;
  while (Control("PUT", "/v1/configuration", configuration)
             .rfind("HTTP/1.1 200", 0) != 0) {
    REQUIRE_MESSAGE(SteadyNow() < end, "the configuration is not accepted");
    std::this_thread::sleep_for(kRetry);
  }
  AwaitReady();
}

GatewayRig::GatewayRig(const GatewayRig* member)
    : ip_(OwnAddress(1)),
      first_port_(member->first_port_),
      folder_(FolderOf(ip_, first_port_)) {
  // Gateways of a cluster have the same ports at different addresses.
  Start("control: {bootstrap: true}\ngateway: {seeds: [" + member->At(0) +
            "], tolerated_losses: 0}\n",
        platform::Codec());
  AwaitReady();
}

void GatewayRig::Halt() {
  if (gateway_) {
    gateway_->Halt();
    runner_.join();
    gateway_.reset();
  }
}

void GatewayRig::Restart() {
  Halt();
  Run();
  AwaitReady();
}

GatewayRig::~GatewayRig() {
  Halt();
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

void GatewayRig::BeginStop() { static_cast<void>(std::raise(SIGTERM)); }

void GatewayRig::AwaitStop() {
  runner_.join();
  gateway_.reset();
}

void GatewayRig::Register(const std::string& id, const std::string& service,
                          const std::string& address,
                          const std::string& state) {
  const std::string answer =
      Control("PUT", "/v1/instances/" + id,
              R"({"service":")" + service + R"(","address":")" + address +
                  R"(","zone":"d1","version":"v1","slots":16,"state":")" +
                  state + R"(","remainingMs":0,"born":1,"sequence":)" +
                  std::to_string(++sequence_) + "}");
  CHECK(answer.rfind("HTTP/1.1 200", 0) == 0);
}

std::string GatewayRig::Ask(const std::string& request) const {
  return Exchange(ip_, static_cast<uint16_t>(first_port_ + 1), request);
}

std::string GatewayRig::Control(const std::string& method,
                                const std::string& path,
                                const std::string& body) const {
  return Exchange(ip_, static_cast<uint16_t>(first_port_ + 3),
                  method + " " + path +
                      " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
                      "Content-Length: " +
                      std::to_string(body.size()) + "\r\n\r\n" + body);
}

tcp::socket GatewayRig::ConnectTo(int index, asio::io_context& io) const {
  tcp::socket socket(io);
  socket.connect({asio::ip::make_address(ip_),
                  static_cast<uint16_t>(first_port_ + index)});
  return socket;
}

std::string GatewayRig::Log() const {
  // Lines are handed on with each tick.
  std::this_thread::sleep_for(kTwoTicks);
  std::ifstream file(folder_ / "log");
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace gv
