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
   * @param id Those whose latest request had this id are not used either.
   */
  std::shared_ptr<TargetConnection> Acquire(
      TimePoint now, const std::string& address, Duration most_idle,
      const std::optional<std::string>& id = std::nullopt);
  /**
   * The same for a request with an id. A second copy of an answer on the same
   * connection is told apart by its id only, so a connection whose latest
   * request had the same one is not used, and none for a request without an id.
   * @param most_idle Nothing to open a connection in any case.
   */
  std::shared_ptr<TargetConnection> AcquireFor(
      const std::string& id, TimePoint now, const std::string& address,
      std::optional<Duration> most_idle);
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

  std::shared_ptr<TargetConnection> Open(TimePoint now,
                                         const std::string& address);
  void OnClosed(TargetConnection& connection);
  std::vector<std::shared_ptr<TargetConnection>> OpenOnes() const;

  boost::asio::io_context& io_;  ///< Runs all connections.
  std::unordered_map<std::string, std::vector<Idle>> idle_;  ///< By address.
  std::unordered_map<TargetConnection*, std::weak_ptr<TargetConnection>>
      open_;             ///< All that are not closed.
  uint64_t opened_ = 0;  ///< Counts openings.
};

}  // namespace gv
