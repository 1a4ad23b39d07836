/** @file gateway_rig.h One real gateway on loopback with scripted targets and
 * plain callers, on the protocol of the users' platform. */
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <filesystem>
#include <memory>
#include <string>
#include <thread>

#include "platform/scripted_target.h"
#include "transport/gateway/gateway.h"

namespace gv {

/** A gateway of its own cluster. Thread safety: one test thread. */
class GatewayRig {
 public:
  /** Starts the gateway and installs @p configuration. @param codec Outlives
   * the rig; that of the platform if it is null.
   * @param more Further settings of the section "gateway", each after a comma.
   */
  explicit GatewayRig(const std::string& configuration,
                      const WireCodec* codec = nullptr,
                      const std::string& more = "");
  /** Starts a gateway without a disk in the cluster of @p member. */
  explicit GatewayRig(const GatewayRig* member);
  ~GatewayRig();
  GatewayRig(const GatewayRig&) = delete;
  GatewayRig& operator=(const GatewayRig&) = delete;

  /** Stops the gateway at once and starts it on what its disk holds. */
  void Restart();
  /** Registers a target. @param state "ready" or "draining". */
  void Register(const std::string& id, const std::string& service,
                const std::string& address, const std::string& state = "ready");
  /** @return The whole answer of the callers' address, until it closes. */
  std::string Ask(const std::string& request) const;
  /** @return The whole answer of the control address. */
  std::string Control(const std::string& method, const std::string& path,
                      const std::string& body) const;
  /** @return An open connection to the callers' address. */
  boost::asio::ip::tcp::socket Connect(boost::asio::io_context& io) const {
    return ConnectTo(1, io);
  }
  /** @return An open connection to the readiness address. */
  boost::asio::ip::tcp::socket ConnectReadiness(
      boost::asio::io_context& io) const {
    return ConnectTo(2, io);
  }
  /** @return An open connection to the control address. */
  boost::asio::ip::tcp::socket ConnectControl(
      boost::asio::io_context& io) const {
    return ConnectTo(3, io);
  }
  /** @return All log lines so far. */
  std::string Log() const;
  Gateway& Get() { return *gateway_; }
  /** Begins a planned stop of all gateways of this process. */
  static void BeginStop();
  /** Waits for the end of a planned stop and closes all that is left. */
  void AwaitStop();

 private:
  /** Creates the folder and starts the gateway. @param more Its control and
   * gateway settings. */
  void Start(const std::string& more, const WireCodec& codec);
  /** Starts the gateway in its folder. */
  void Run();
  /** Stops the gateway at once. */
  void Halt();
  /** Waits until the gateway has a configuration and a lease. */
  void AwaitReady() const;
  /** @return An open connection to one of the four ports. */
  boost::asio::ip::tcp::socket ConnectTo(int index,
                                         boost::asio::io_context& io) const;
  /** @return "IP:port" of one of the four ports, quoted. */
  std::string At(int index) const;

  std::string ip_;                    ///< On loopback.
  uint16_t first_port_;               ///< Of four, the same in a cluster.
  std::filesystem::path folder_;      ///< Key, data and log.
  ProcessSettings settings_;          ///< Of the gateway.
  const WireCodec* codec_ = nullptr;  ///< Of the gateway.
  std::unique_ptr<Gateway> gateway_;  ///< Under test.
  std::thread runner_;                ///< Runs it.
  uint64_t sequence_ = 0;             ///< Of registrations.
};

}  // namespace gv
