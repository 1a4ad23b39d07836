/** @file target_driver.h Talks HTTP to the target beside an agent. */
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "protocol/message.h"
#include "state/clock_type.h"

namespace gv {

/** How to reach a target. */
struct TargetDriverSettings {
  std::string address_;                    ///< "IP:port".
  TargetKind kind_ = TargetKind::kEngine;  ///< Engine or plain service.
  Duration probe_timeout_ = 1_s;           ///< For probes and orders.
};

/**
 * Carries out the agent's messages to Port::kTarget by HTTP and posts what the
 * target answers. The interface is described in docs/INTERFACES.md.
 */
class TargetDriver {
 public:
  /**
   * @param io Runs the driver's work; must outlive the driver.
   * @param deliver Gets TargetChunk, TargetEnd, TargetStatus and
   * TargetReserved; called on a thread of @p io, never two at a time.
   */
  TargetDriver(boost::asio::io_context& io, TargetDriverSettings settings,
               std::function<void(Message)> deliver);
  /** Breaks all connections; no delivery starts afterwards. */
  ~TargetDriver();
  TargetDriver(const TargetDriver&) = delete;
  TargetDriver& operator=(const TargetDriver&) = delete;

  /** Takes TargetCall, TargetControl, TargetProbe, TargetRelease or
   * TargetReserve; ignores others. Thread safety: any thread. */
  void Submit(Message message);

 private:
  class Calls;
  std::shared_ptr<Calls> calls_;  ///< Shared with handlers in flight.
};

}  // namespace gv
