/** @file fence_guard.cc Ownership of a target by its agent. */
#include "coordination/fence_guard.h"

#include <utility>

namespace gv {

FenceGuard::FenceGuard(TargetId target, Incarnation incarnation,
                       bool target_checks)
    : target_(std::move(target)),
      incarnation_(incarnation),
      target_checks_(target_checks) {}

bool FenceGuard::OnAdmit(TimePoint now, const TargetAdmit& admit) {
  if (admit.target_ != target_ || admit.token_ <= newest_) {
    return false;
  }
  newest_ = admit.token_;
  if (admit.incarnation_ != incarnation_) {
    const bool was_fenced = state_ == Ownership::kFenced;
    state_ = Ownership::kFenced;
    exclusive_since_ = FencingToken();
    return !was_fenced;
  }
  const bool renewed = wants_new_token_ && state_ != Ownership::kFenced;
  token_ = admit.token_;
  if (renewed) {
    wants_new_token_ = false;
    exclusive_since_ = token_;
    return false;
  }
  const bool must_wait = admit.wait_ > Duration();
  exclusive_since_ = must_wait ? FencingToken() : token_;
  wait_until_ = now + admit.wait_;
  state_ = must_wait && !target_checks_ ? Ownership::kWaiting
                                        : Ownership::kReconciling;
  return false;
}

void FenceGuard::OnTick(TimePoint now) {
  const bool admitted =
      state_ != Ownership::kUnknown && state_ != Ownership::kFenced;
  if (!admitted || now < wait_until_) {
    return;
  }
  if (state_ == Ownership::kWaiting) {
    state_ = Ownership::kReconciling;
  }
  wants_new_token_ = exclusive_since_.IsNone();
}

void FenceGuard::OnReconciled() {
  if (state_ == Ownership::kReconciling) {
    state_ = Ownership::kOwner;
  }
}

void FenceGuard::OnTargetLost() {
  if (state_ == Ownership::kOwner) {
    state_ = Ownership::kReconciling;
  }
}

Result<void> FenceGuard::Check(const TargetId& target,
                               Incarnation incarnation) const {
  // The work may be a resend of what an earlier incarnation began.
  if (target != target_) {
    return MayHaveRun(Reason::kNoTarget,
                      "target " + target.Value() + " is not beside this agent");
  }
  if (incarnation != incarnation_) {
    return MayHaveRun(Reason::kFenced, "target " + target.Value() +
                                           ": another owner was chosen");
  }
  if (state_ == Ownership::kFenced) {
    return NotRun(Reason::kFenced,
                  "target " + target.Value() + ": a newer owner has it");
  }
  if (state_ != Ownership::kOwner) {
    return NotRun(Reason::kNoTarget,
                  "target " + target.Value() + " is not ready");
  }
  return boost::outcome_v2::success();
}

}  // namespace gv
