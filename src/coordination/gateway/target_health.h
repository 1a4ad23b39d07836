/** @file target_health.h Health of targets, derived from the outcomes of
 * requests only; targets are not asked for their own health. */
#pragma once

#include <unordered_map>
#include <vector>

#include "protocol/registry_messages.h"
#include "state/clock_type.h"
#include "state/ids_type.h"

namespace gv {

/**
 * Keeps a failure rate for each target. A target that cannot be reached is
 * suspected at once, one that answers with errors when its failure rate exceeds
 * 0.45. A suspected target gets no requests while it is backing off; the
 * back-off grows with each failure that follows it. Thread safety: owned by one
 * thread.
 */
class TargetHealth {
 public:
  /** Records the outcome of a request of this gateway. Refusals of full targets
   * and unknown outcomes are ignored. @return True if the target changed
   * between suspected and healthy. */
  bool OnOutcome(TimePoint now, const TargetId& target, HealthOutcome outcome);
  /**
   * Records an outcome that another gateway reported. A target that @p reporter
   * could not reach is suspected only if a second gateway could not reach it
   * either, as the network path of one gateway may be broken. @return True if
   * the target changed between suspected and healthy.
   */
  bool OnReport(TimePoint now, const NodeId& reporter, const TargetId& target,
                HealthOutcome outcome);
  /** Records that a target refused a request and asked for no further ones for
   * @p pause. The pause is limited to 60 s; the target would never be used
   * again after an excessive value. */
  void OnPause(TimePoint now, const TargetId& target, Duration pause);
  /** @return True until the pause that a target asked for has ended. */
  bool IsPaused(TimePoint now, const TargetId& target) const;
  /** @return Targets that should get no requests now: those that are backing
   * off and those that asked for a pause. */
  std::vector<TargetId> Suspected(TimePoint now) const;
  /** @return True while a suspected target is backing off and should get no
   * requests. */
  bool IsSuspected(TimePoint now, const TargetId& target) const;
  /** @return Time until the back-off or pause of a target ends; zero if it has
   * none. */
  Duration UntilUsable(TimePoint now, const TargetId& target) const;
  /** @return True if the back-off of a suspected target has ended. It may get
   * one request at a time until one of them succeeds. */
  bool IsRecovering(TimePoint now, const TargetId& target) const;
  /** @return Moving average of the share of failed requests, from 0 to 1; 0 for
   * an unknown target. */
  double FailureRate(const TargetId& target) const;
  /** @return A counter that grows when an outcome or a requested pause may
   * change an answer of this class; it does not grow when a back-off or a pause
   * ends. */
  uint64_t ChangeCount() const { return changes_; }
  /** Removes all state of a target. */
  void Forget(const TargetId& target) { states_.erase(target); }

 private:
  /** Health of one target. */
  struct State {
    double failure_rate_ = 0;              ///< Moving average, from 0 to 1.
    int64_t consecutive_unreachable_ = 0;  ///< Failed attempts to reach it.
    bool suspected_ = false;   ///< Suspected since the last good outcome.
    TimePoint backoff_until_;  ///< End of the current back-off.
    Duration backoff_;         ///< Length of the last back-off.
    NodeId reporter_;          ///< Last other gateway that could not reach it.
    TimePoint reported_at_;    ///< Time of that gateway's report.
    TimePoint paused_until_;   ///< End of the pause that the target asked for.
  };

  /** Marks a target as suspected and doubles its back-off; no effect during a
   * back-off. */
  void Suspect(TimePoint now, State& state) const;

  std::unordered_map<TargetId, State> states_;
  uint64_t changes_ = 0;
};

}  // namespace gv
