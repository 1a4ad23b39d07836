/** @file fence_guard.h Decides whether an agent owns its target and may pass
 * work to it. */
#pragma once

#include <string>
#include <vector>

#include "protocol/target_messages.h"
#include "state/verdict_type.h"

namespace gv {

/** How far an agent is on its way to serve its target. */
enum class Ownership : uint8_t {
  kUnknown,      ///< No token yet.
  kWaiting,      ///< An earlier owner may still be at work.
  kReconciling,  ///< The target may hold what this agent does not own.
  kOwner,        ///< Work may pass.
  kFenced,       ///< A newer owner exists.
};

/**
 * Fencing for targets that do not check tokens themselves. An agent passes work
 * only in Ownership::kOwner: it has a token for its incarnation, an earlier
 * owner can no longer be at work, and the target holds nothing foreign. Thread
 * safety: owned by the control thread.
 */
class FenceGuard {
 public:
  /** @param target_checks True if the target refuses older tokens itself. */
  FenceGuard(TargetId target, Incarnation incarnation, bool target_checks);

  /**
   * Learns of an owner of the target.
   * @return True if this agent has just been fenced.
   */
  bool OnAdmit(TimePoint now, const TargetAdmit& admit);

  /** Ends the wait for an earlier owner when its time is over. */
  void OnTick(TimePoint now);

  /** The target answered and holds nothing foreign. */
  void OnReconciled();

  /** The target died, restarted or fell silent: reconcile again. */
  void OnTargetLost();

  /** @return Nothing if an order for @p incarnation may pass, or the reason why
   * not. */
  Result<void> Check(const TargetId& target, Incarnation incarnation) const;

  Ownership State() const { return state_; }
  FencingToken Token() const { return token_; }
  /** @return True if a token issued after the takeover wait is still wanted. */
  bool WantsNewToken() const { return wants_new_token_; }
  /**
   * @return The oldest token for which the agent knows that no earlier owner
   * acted on a newer one, or none while it can't know.
   */
  FencingToken ExclusiveSince() const { return exclusive_since_; }

 private:
  TargetId target_;                        ///< The target.
  Incarnation incarnation_;                ///< Of this agent.
  bool target_checks_ = false;             ///< The target checks tokens.
  Ownership state_ = Ownership::kUnknown;  ///< Now.
  FencingToken token_;                     ///< Of this incarnation.
  FencingToken newest_;                    ///< Newest token seen.
  FencingToken exclusive_since_;           ///< See ExclusiveSince().
  TimePoint wait_until_;                   ///< End of the takeover wait.
  bool wants_new_token_ = false;           ///< See WantsNewToken().
};

}  // namespace gv
