/** @file target_pool.h Connections to targets that are kept for later requests.
 */
#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "state/clock_type.h"
#include "transport/gateway/target_connection.h"

namespace gv {

/**
 * Keeps idle connections by address. Thread safety: owned by one thread.
 */
class TargetPool {
 public:
  explicit TargetPool(boost::asio::io_context& io) : io_(io) {}

  /**
   * Gives out a connection, opened if there is no idle one.
   * @param most_idle Connections that were idle for longer are not used.
   */
  std::shared_ptr<TargetConnection> Acquire(TimePoint now,
                                            const std::string& address,
                                            Duration most_idle);
  /** @return A connection that carried nothing before. */
  std::shared_ptr<TargetConnection> Open(TimePoint now,
                                         const std::string& address);
  /** Takes a connection back. @param keep_alive How long the target keeps it,
   * if it said so. */
  void Release(TimePoint now,
               const std::shared_ptr<TargetConnection>& connection,
               std::optional<Duration> keep_alive);
  /** Closes what has been idle or connecting for too long. */
  void OnTick(TimePoint now);
  /** Closes everything. */
  void Close();
  /** @return Connections opened so far. */
  uint64_t Opened() const { return opened_; }
  size_t OpenCount() const { return open_.size(); }

 private:
  /** A connection without a request. */
  struct Idle {
    std::shared_ptr<TargetConnection> connection_;  ///< The connection.
    TimePoint since_;                               ///< When it became idle.
    TimePoint until_;                               ///< When it is closed.
  };

  void OnClosed(TargetConnection& connection);
  std::vector<std::shared_ptr<TargetConnection>> OpenOnes() const;

  boost::asio::io_context& io_;  ///< Runs all connections.
  std::unordered_map<std::string, std::vector<Idle>> idle_;  ///< By address.
  std::unordered_map<TargetConnection*, std::weak_ptr<TargetConnection>>
      open_;             ///< All that are not closed.
  uint64_t opened_ = 0;  ///< Counts openings.
};

}  // namespace gv
