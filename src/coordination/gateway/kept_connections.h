/** @file kept_connections.h Connections to engines that gateways have left
 * open, as the leader can tell from what it placed. */
#pragma once

#include <unordered_map>
#include <vector>

#include "state/clock_type.h"
#include "state/ids_type.h"

namespace gv {

/**
 * Counts idle connections by gateway and engine. A prompt over one of them
 * saves its caller the time of a new connection, and its engine the work.
 * Thread safety: owned by one thread.
 */
class KeptConnections {
 public:
  /** A prompt of @p gateway was placed at @p target; it takes a connection. */
  void OnPlaced(const NodeId& gateway, const TargetId& target);
  /** The answer of such a prompt has ended well. */
  void OnEnded(TimePoint now, const NodeId& gateway, const TargetId& target);
  /** @return Engines to which @p gateway has an idle connection. */
  std::vector<TargetId> Of(TimePoint now, const NodeId& gateway);

 private:
  /** Connections of one gateway to one engine. */
  struct Idle {
    int64_t count_ = 0;  ///< Idle ones.
    TimePoint until_;    ///< When the newest is closed.
  };
  using ByTarget = std::unordered_map<TargetId, Idle>;

  std::unordered_map<NodeId, ByTarget> gateways_;  ///< All that are idle.
};

}  // namespace gv
