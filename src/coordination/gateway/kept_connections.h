/** @file kept_connections.h The leader's estimate of the idle connections that
 * gateways keep open to engines, derived from the prompts that it placed. */
#pragma once

#include <unordered_map>
#include <vector>

#include "state/clock_type.h"
#include "state/ids_type.h"

namespace gv {

/**
 * Counts idle connections for each gateway and engine. A prompt that is sent
 * over an idle connection saves its caller the time of a new connection, and
 * the engine the work of accepting it. Thread safety: owned by one thread.
 */
class IdleConnections {
 public:
  /** Records that a prompt of @p gateway was placed on @p target, which uses
   * one idle connection if there is one. */
  void OnPlaced(const NodeId& gateway, const TargetId& target);
  /** Records that the answer of such a prompt was completed successfully, which
   * leaves one more idle connection. */
  void OnEnded(TimePoint now, const NodeId& gateway, const TargetId& target);
  /** @return Engines to which @p gateway has an idle connection at @p now. */
  std::vector<TargetId> TargetsOf(TimePoint now, const NodeId& gateway);

 private:
  /** Idle connections of one gateway to one engine. */
  struct Idle {
    int64_t count_ = 0;  ///< Number of idle connections.
    TimePoint until_;    ///< Time at which the newest of them is closed.
  };
  using ByTarget = std::unordered_map<TargetId, Idle>;

  std::unordered_map<NodeId, ByTarget> gateways_;
};

}  // namespace gv
