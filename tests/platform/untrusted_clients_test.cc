/** @file untrusted_clients_test.cc Crowds of clients that follow no rule,
 * against a gateway in a process of its own. */
#include <doctest/doctest.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <filesystem>
#include <fstream>
#include <thread>
#include <utility>

#include "platform/path_requests.h"
#include "support/own_address.h"
#include "transport/steady_clock.h"

namespace gv {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

/** Stated to the process; the bounds below follow from both. */
constexpr int kMemoryMb = 64;
constexpr int kMaxDescriptors = 300;
constexpr long kMostResidentKb = kMemoryMb * 1024L;
/** The part of the memory that requests, answers and connections may hold, as
 * the setting's description says. */
constexpr long kMostGrowthKb = kMostResidentKb / 5;
/** More than the share of any listener, and than all sockets together. */
constexpr size_t kCrowd = 320;
/** Each takes in more than its share of the memory if nothing stops it. */
constexpr size_t kPipeliners = 10;
constexpr size_t kRequestsPerWrite = 40;
constexpr size_t kBytesPerPipeliner = 768UL << 10;
/** Small, so that answers pile up in the gateway and not in the system. */
constexpr int kReceiveBufferBytes = 4096;
/** Between writes of requests, so that they are answered as they come. */
constexpr std::chrono::milliseconds kBetweenWrites{12};
/** Of one pipelining client. */
constexpr size_t kMostConnects = 10;
constexpr int kIdleWritePollMs = 1000;
constexpr Duration kAnswerPatience = 30_s;
constexpr uint16_t kPorts = 5;
/** The shadow memory and quarantine of a sanitizer count in VmHWM, so that it
 * says nothing of the product there. */
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr bool kMeasuresMemory = false;
#else
constexpr bool kMeasuresMemory = true;
#endif

/** Listeners of a gateway, by their place after the first port. */
enum class Listener : uint8_t {
  kPeers,
  kCallers,
  kReadiness,
  kControl,
  kMetrics
};
constexpr std::array kListeners{Listener::kPeers, Listener::kCallers,
                                Listener::kReadiness, Listener::kControl,
                                Listener::kMetrics};

/** @return The first of the ports of the next gateway. */
uint16_t NextPorts() {
  static uint16_t next = 27000;
  return std::exchange(next, static_cast<uint16_t>(next + kPorts));
}

/** A gateway in a process of its own. Thread safety: one test thread; const
 * methods any. */
class GatewayProcess {
 public:
  GatewayProcess();
  ~GatewayProcess();
  GatewayProcess(const GatewayProcess&) = delete;
  GatewayProcess& operator=(const GatewayProcess&) = delete;

  tcp::endpoint At(Listener listener) const {
    return {asio::ip::make_address(OwnAddress()),
            static_cast<uint16_t>(first_port_ + static_cast<int>(listener))};
  }
  /** @return The answer up to its end or the time limit. */
  std::string Exchange(Listener listener, const std::string& request) const;
  /** Checks what must hold after each crowd. */
  void CheckSound() const;
  /** @return A number of /proc/PID/status, in kB. */
  long StatusKb(const std::string& field) const;
  size_t OpenDescriptors() const;
  bool IsAlive() const { return waitpid(pid_, nullptr, WNOHANG) == 0; }

 private:
  void WriteSettings() const;
  /** @return True once an exchange got an answer that begins like this. */
  bool Await(Listener listener, const std::string& request,
             const std::string& begin) const;

  uint16_t first_port_ = NextPorts();
  std::filesystem::path folder_ = std::filesystem::temp_directory_path() /
                                  ("gv_untrusted_" + std::to_string(getpid()) +
                                   "_" + std::to_string(first_port_));
  pid_t pid_ = -1;
  long resident_before_kb_ = 0;  ///< VmHWM before any crowd.
  ScriptedTarget shop_{[](const TargetRequest& request, TargetLine& line) {
    line.Send(gv::Answer(request, 200, kSigned));
  }};
};

std::string Put(const std::string& path, const std::string& body) {
  return "PUT " + path +
         " HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

GatewayProcess::GatewayProcess() {
  std::filesystem::remove_all(folder_);
  std::filesystem::create_directories(folder_);
  WriteSettings();
  const std::string settings =
      "--settings=" + (folder_ / "gateway.yaml").string();
  const std::string log = (folder_ / "log").string();
  pid_ = fork();
  if (pid_ == 0) {
    const int out = open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0600);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    // Sockets of this test would count as descriptors of the gateway.
    constexpr int kMostInherited = 1024;
    for (int i = STDERR_FILENO + 1; i < kMostInherited; ++i) {
      close(i);
    }
    execl(GV_BINARY, GV_BINARY, "run", settings.c_str(), nullptr);
    _exit(127);
  }
  REQUIRE(Await(Listener::kControl, Put("/v1/configuration", kConfiguration),
                "HTTP/1.1 200"));
  REQUIRE(Await(
      Listener::kControl,
      Put("/v1/instances/i-1",
          R"({"service":"shop","address":")" + shop_.Address() +
              R"(","zone":"d1","version":"v1","slots":16,"state":"ready",)"
              R"("remainingMs":0,"born":1,"sequence":1})"),
      "HTTP/1.1 200"));
  REQUIRE(Await(Listener::kCallers, Request("/pay/x"), "HTTP/1.1 200"));
  resident_before_kb_ = StatusKb("VmHWM");
}

GatewayProcess::~GatewayProcess() {
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

void GatewayProcess::WriteSettings() const {
  const auto at = [this](Listener listener) {
    return "\"" + OwnAddress() + ":" + std::to_string(At(listener).port()) +
           "\"";
  };
  const std::string folder = folder_.string();
  std::ofstream(folder_ / "key") << "a-key-of-enough-bytes\n";
  std::ofstream(folder_ / "gateway.yaml")
      << "node: g1\nvm: g1\ndata_centre: d1\ncluster: c\nkey_file: " << folder
      << "/key\nroles: [gateway]\nlisten: {peers: " << at(Listener::kPeers)
      << ", callers: " << at(Listener::kCallers)
      << ", readiness: " << at(Listener::kReadiness)
      << ", control: " << at(Listener::kControl)
      << ", metrics: " << at(Listener::kMetrics)
      << "}\ncontrol: {bootstrap: true, data_folder: " << folder
      << "/data}\ngateway: {seeds: [" << at(Listener::kPeers)
      << "], tolerated_losses: 0, memory_mb: " << kMemoryMb
      << ", max_descriptors: " << kMaxDescriptors << "}\n";
}

std::string GatewayProcess::Exchange(Listener listener,
                                     const std::string& request) const {
  asio::io_context io;
  tcp::socket socket(io);
  error_code error;
  socket.connect(At(listener), error);
  if (error) {
    return "";
  }
  asio::write(socket, asio::buffer(request), error);
  std::string answer;
  asio::async_read(socket, asio::dynamic_buffer(answer),
                   [](error_code, size_t) {});
  io.run_for(std::chrono::seconds(5));
  return answer;
}

bool GatewayProcess::Await(Listener listener, const std::string& request,
                           const std::string& begin) const {
  const TimePoint end = SteadyNow() + kAnswerPatience;
  while (SteadyNow() < end && IsAlive()) {
    if (Begins(Exchange(listener, request), begin)) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  return false;
}

long GatewayProcess::StatusKb(const std::string& field) const {
  std::ifstream file("/proc/" + std::to_string(pid_) + "/status");
  for (std::string line; std::getline(file, line);) {
    if (Begins(line, field + ":")) {
      return std::stol(line.substr(field.size() + 1));
    }
  }
  return 0;
}

size_t GatewayProcess::OpenDescriptors() const {
  size_t open = 0;
  std::error_code error;
  for (std::filesystem::directory_iterator at(
           "/proc/" + std::to_string(pid_) + "/fd", error);
       !error && at != std::filesystem::directory_iterator();
       at.increment(error)) {
    ++open;
  }
  return open;
}

void GatewayProcess::CheckSound() const {
  REQUIRE(IsAlive());
  CHECK(OpenDescriptors() <= kMaxDescriptors);
  CHECK(Await(Listener::kCallers, Request("/pay/x"), "HTTP/1.1 200"));
  REQUIRE(IsAlive());
  const long most = StatusKb("VmHWM");
  MESSAGE("VmHWM in kB: " << most << ", before: " << resident_before_kb_);
  CHECK(most > 0);
  if (kMeasuresMemory) {
    CHECK(most <= kMostResidentKb);
    CHECK(most - resident_before_kb_ <= kMostGrowthKb);
  }
}

/** Writes @p unit again and again and reads nothing, until @p bytes are sent,
 * the other end closes or takes nothing for a while. @param pause After each
 * unit. @return Bytes that were sent. */
size_t Flood(tcp::socket& socket, const std::string& unit, size_t bytes,
             std::chrono::milliseconds pause = {}) {
  error_code error;
  socket.non_blocking(true, error);
  size_t sent = 0;
  while (sent < bytes && !error) {
    const size_t at = sent % unit.size();
    sent += socket.write_some(asio::buffer(unit.data() + at, unit.size() - at),
                              error);
    if (error == asio::error::would_block) {
      pollfd wait{socket.native_handle(), POLLOUT, 0};
      if (poll(&wait, 1, kIdleWritePollMs) == 1) {
        error = {};
      }
    }
    if (sent % unit.size() == 0) {
      std::this_thread::sleep_for(pause);
    }
  }
  return sent;
}

/** @return Connections to a listener; those that it refuses are left out. */
std::vector<tcp::socket> Connect(const GatewayProcess& gateway,
                                 Listener listener, asio::io_context& io,
                                 size_t count) {
  std::vector<tcp::socket> sockets;
  for (size_t i = 0; i < count; ++i) {
    tcp::socket socket(io, tcp::v4());
    error_code error;
    socket.set_option(
        asio::socket_base::receive_buffer_size(kReceiveBufferBytes), error);
    socket.connect(gateway.At(listener), error);
    if (!error) {
      sockets.push_back(std::move(socket));
    }
  }
  return sockets;
}

/** Sends to a listener from many connections that stay open. */
std::vector<tcp::socket> SendFromCrowd(const GatewayProcess& gateway,
                                       Listener listener, asio::io_context& io,
                                       const std::string& unit, size_t bytes) {
  std::vector<tcp::socket> crowd = Connect(gateway, listener, io, kCrowd);
  constexpr size_t kThreads = 8;
  std::vector<std::thread> threads;
  for (size_t first = 0; first < kThreads; ++first) {
    threads.emplace_back([&crowd, &unit, bytes, first]() {
      for (size_t i = first; i < crowd.size(); i += kThreads) {
        Flood(crowd[i], unit, bytes);
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  return crowd;
}

/** @return Requests that are answered without a target, many in one text. */
std::string ManyRequests(const std::string& path) {
  std::string text;
  for (size_t i = 0; i < kRequestsPerWrite; ++i) {
    text += "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n";
  }
  return text;
}

// Answers that nobody read piled up in memory, as further requests of the same
// connection were read and answered all the while.
TEST_CASE("untrusted clients: requests in a row, no answer read") {
  for (const auto& item : {std::pair{Listener::kCallers, "/"},
                           std::pair{Listener::kControl, "/v1/configuration"},
                           std::pair{Listener::kMetrics, "/metrics"},
                           std::pair{Listener::kReadiness, "/v1/readyz"}}) {
    const Listener listener = item.first;
    const std::string path = item.second;
    CAPTURE(path);
    const GatewayProcess gateway;
    const std::string unit = ManyRequests(path);
    std::vector<std::thread> clients;
    for (size_t i = 0; i < kPipeliners; ++i) {
      clients.emplace_back([&gateway, &unit, at = listener]() {
        asio::io_context io;
        // Anew after each refusal, as such clients do.
        size_t sent = 0;
        for (size_t i = 0; i < kMostConnects && sent < kBytesPerPipeliner;
             ++i) {
          for (tcp::socket& socket : Connect(gateway, at, io, 1)) {
            sent +=
                Flood(socket, unit, kBytesPerPipeliner - sent, kBetweenWrites);
          }
        }
      });
    }
    for (std::thread& client : clients) {
      client.join();
    }
    gateway.CheckSound();
  }
}

// Heads were read on to their bound on every connection at once, and an error
// of one input must not end the process.
TEST_CASE("untrusted clients: heads, fields and empty lines without end") {
  struct Case {
    const char* name_;
    std::string unit_;
    size_t bytes_;
  };
  std::string head = "GET /pay/x HTTP/1.1\r\nHost: a.example\r\n";
  while (head.size() < (1UL << 20)) {
    head += "X-More: 0123456789abcdef0123456789abcdef\r\n";
  }
  std::string field = "GET /pay/x HTTP/1.1\r\nHost: a.example\r\nX-More: ";
  field.append((1UL << 20) - field.size(), 'x');
  const std::string just_below = head.substr(0, 16000);
  for (const Case& one :
       {Case{"heads over the limit", head, head.size()},
        Case{"a field without end", field, field.size()},
        Case{"heads that stop below the limit", just_below, just_below.size()},
        Case{"empty lines", "\r\n\r\n\r\n\r\n", 256UL << 10},
        Case{"bare line feeds", "\n\n\n\n", 256UL << 10},
        Case{"frames of the largest length", std::string(1024, '\x7f'),
             256UL << 10}}) {
    CAPTURE(std::string(one.name_));
    const GatewayProcess gateway;
    for (const Listener listener : kListeners) {
      CAPTURE(static_cast<int>(listener));
      asio::io_context io;
      const auto crowd =
          SendFromCrowd(gateway, listener, io, one.unit_, one.bytes_);
      gateway.CheckSound();
    }
  }
}

// Connections without a request held descriptors until none was left for
// callers and targets.
TEST_CASE("untrusted clients: idle and half-open connections") {
  for (const char* text : {"", "GET /pay/x HTTP/1.1\r\nHo"}) {
    CAPTURE(std::string(text));
    const GatewayProcess gateway;
    asio::io_context io;
    std::vector<std::vector<tcp::socket>> crowds;
    for (const Listener listener : kListeners) {
      CAPTURE(static_cast<int>(listener));
      crowds.push_back(Connect(gateway, listener, io, kCrowd / 2));
      for (tcp::socket& socket : crowds.back()) {
        error_code ignored;
        asio::write(socket, asio::buffer(std::string(text)), ignored);
      }
      gateway.CheckSound();
    }
  }
}

}  // namespace
}  // namespace gv
