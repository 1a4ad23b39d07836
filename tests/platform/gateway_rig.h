/** @file gateway_rig.h One real gateway on loopback with scripted targets and
 * plain callers, on the protocol of the users' platform. */
#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <filesystem>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "transport/gateway/gateway.h"

namespace gv {

/** What a scripted target got. */
struct TargetRequest {
  std::string line_;  ///< First line.
  std::string head_;  ///< Headers as they came.
  std::string body_;  ///< All of it.
  /** @return The value of a header, or empty. */
  std::string Header(const std::string& name) const;
};

/** A connection at a target. Blocks; used on the thread of its request. */
class TargetLine {
 public:
  explicit TargetLine(boost::asio::ip::tcp::socket& socket) : socket_(socket) {}
  /** Sends bytes as they are. */
  void Send(const std::string& bytes);
  /** Begins an event stream without a length. */
  void BeginEvents(const TargetRequest& request);
  /** Sends one event with an id. */
  void SendEvent(int id);
  /** @return True if the peer closes within the time. */
  bool PeerClosesWithin(std::chrono::milliseconds time);
  /** Breaks the connection. */
  void Reset();

 private:
  boost::asio::ip::tcp::socket& socket_;  ///< The connection.
};

/** A target whose answers a test writes. Thread safety: the script runs on one
 * thread for each connection. */
class ScriptedTarget {
 public:
  using Script = std::function<void(const TargetRequest&, TargetLine&)>;
  explicit ScriptedTarget(Script script);
  ~ScriptedTarget();
  ScriptedTarget(const ScriptedTarget&) = delete;
  ScriptedTarget& operator=(const ScriptedTarget&) = delete;
  /** @return "127.0.0.1:PORT". */
  std::string Address() const;
  /** @return Requests so far. */
  std::vector<TargetRequest> Requests();

 private:
  void Serve(boost::asio::ip::tcp::socket socket);

  Script script_;                            ///< Answers.
  boost::asio::io_context io_;               ///< For blocking calls.
  boost::asio::ip::tcp::acceptor acceptor_;  ///< Listens.
  std::mutex mutex_;                         ///< Guards requests_, threads_.
  std::vector<TargetRequest> requests_;      ///< Everything that came.
  std::vector<std::thread> threads_;         ///< One for each connection.
  std::atomic<bool> stopping_ = false;       ///< The test is over.
  std::thread accepting_;                    ///< Runs the acceptor.
};

/** A gateway of its own cluster. Thread safety: one test thread. */
class GatewayRig {
 public:
  /** Starts the gateway and installs @p configuration. */
  explicit GatewayRig(const std::string& configuration);
  ~GatewayRig();
  GatewayRig(const GatewayRig&) = delete;
  GatewayRig& operator=(const GatewayRig&) = delete;

  /** Registers a target. @param state "ready" or "draining". */
  void Register(const std::string& id, const std::string& service,
                const std::string& address, const std::string& state = "ready");
  /** @return The whole answer of the callers' address, until it closes. */
  std::string Ask(const std::string& request) const;
  /** @return The whole answer of the control address. */
  std::string Control(const std::string& method, const std::string& path,
                      const std::string& body) const;
  /** @return An open connection to the callers' address. */
  boost::asio::ip::tcp::socket Connect(boost::asio::io_context& io) const;
  /** @return All log lines so far. */
  std::string Log() const;
  Gateway& Get() { return *gateway_; }

 private:
  std::filesystem::path folder_;      ///< Key, data and log.
  uint16_t first_port_;               ///< Of four.
  std::unique_ptr<Gateway> gateway_;  ///< Under test.
  std::thread runner_;                ///< Runs it.
  uint64_t sequence_ = 0;             ///< Of registrations.
};

}  // namespace gv
