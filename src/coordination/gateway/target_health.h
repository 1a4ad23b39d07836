/** @file target_health.h Judges targets by the outcomes of requests; what a
 * target says of its own health is not asked. */
#pragma once

#include <unordered_map>
#include <vector>

#include "protocol/registry_messages.h"
#include "state/clock_type.h"
#include "state/ids_type.h"

namespace gv {

/**
 * Keeps a failure rate for each target. A target that cannot be reached is
 * suspected at once, one that answers with errors once the rate is well above
 * that of its peers; a suspected one is tried again after a growing delay.
 * Thread safety: owned by one thread.
 */
class TargetHealth {
 public:
  /** Takes in an outcome. @return True if the target became suspected or
   * trusted by it. */
  bool OnOutcome(TimePoint now, const TargetId& target, HealthOutcome outcome);
  /**
   * Takes in an outcome that another gateway saw. A target is only suspected
   * for it if a second gateway could not reach it either, as the path of one
   * gateway may be broken. @return True if the target became suspected or
   * trusted by it.
   */
  bool OnReport(TimePoint now, const NodeId& reporter, const TargetId& target,
                HealthOutcome outcome);
  /** A target refused a request and wants no other one for @p pause, which is
   * bounded, as a target that is gone would never be asked again. */
  void OnPause(TimePoint now, const TargetId& target, Duration pause);
  /** @return True while a target wants no request from this gateway. */
  bool IsPaused(TimePoint now, const TargetId& target) const;
  /** @return Targets that requests should not go to now. */
  std::vector<TargetId> Suspected(TimePoint now) const;
  /** @return True if requests should go elsewhere. */
  bool IsSuspected(TimePoint now, const TargetId& target) const;
  /** @return True if a suspected target may be tried again, with one request
   * at a time until one of them succeeds. */
  bool IsOnTrial(TimePoint now, const TargetId& target) const;
  /** @return Part of the requests that fail lately, from 0 to 1. */
  double FailureRate(const TargetId& target) const;
  /** @return A number that grows when an outcome changes what is said here;
   * pauses end without it. */
  uint64_t Changes() const { return changes_; }
  /** Forgets a target. */
  void Forget(const TargetId& target) { states_.erase(target); }

 private:
  /** What is known of one target. */
  struct State {
    double failure_rate_ = 0;  ///< Moving average.
    int64_t unreachable_ = 0;  ///< In a row.
    bool suspected_ = false;   ///< Since the last good outcome.
    TimePoint until_;          ///< No requests before this time.
    Duration pause_;           ///< Length of the last pause.
    NodeId reporter_;          ///< Newest other gateway that missed it.
    TimePoint reported_;       ///< When that gateway said so.
    TimePoint paused_until_;   ///< It wants no request before this time.
  };

  void Suspect(TimePoint now, State& state) const;

  std::unordered_map<TargetId, State> states_;  ///< By target.
  uint64_t changes_ = 0;                        ///< For Changes().
};

}  // namespace gv
