/** @file target_health.cc Failure rates and back-off of targets. */
#include "coordination/gateway/target_health.h"

#include <algorithm>

namespace gv {
namespace {

/** Weight of the newest outcome in the failure rate, which thus depends mostly
 * on the last ten requests. */
constexpr double kNewestOutcomeWeight = 0.12;
/** Failure rate above which a target is suspected; it exceeds the share of
 * errors that a healthy service may have. */
constexpr double kSuspectRate = 0.45;
/** Up to this failure rate, good outcomes are not counted in ChangeCount(). */
constexpr double kNegligibleRate = 0.01;
/** First back-off. After a few doublings it reaches about the time in which a
 * crashed target is replaced or removed from the directory. */
constexpr Duration kFirstBackoff = 400_ms;
constexpr Duration kMaxBackoff = 3_s;
/** Two gateways that cannot reach a target within this time confirm each
 * other's report. */
constexpr Duration kConfirmationWindow = 2_s;
/** Longest pause that a target may ask for; replacements of targets are known
 * within seconds. */
constexpr Duration kMaxRequestedPause = 60_s;

}  // namespace

void TargetHealth::Suspect(TimePoint now, State& state) const {
  if (now < state.backoff_until_) {
    return;
  }
  state.backoff_ = std::clamp(state.backoff_ * 2, kFirstBackoff, kMaxBackoff);
  state.backoff_until_ = now + state.backoff_;
  state.suspected_ = true;
}

bool TargetHealth::OnOutcome(TimePoint now, const TargetId& target,
                             HealthOutcome outcome) {
  if (outcome == HealthOutcome::kFull || outcome == HealthOutcome::kUnknown) {
    return false;
  }
  State& state = states_[target];
  const bool was_suspected = state.suspected_;
  const bool good = outcome == HealthOutcome::kGood;
  changes_ +=
      !good || was_suspected || state.failure_rate_ > kNegligibleRate ? 1 : 0;
  state.failure_rate_ = state.failure_rate_ * (1 - kNewestOutcomeWeight) +
                        (good ? 0 : kNewestOutcomeWeight);
  state.consecutive_unreachable_ = outcome == HealthOutcome::kUnreachable
                                       ? state.consecutive_unreachable_ + 1
                                       : 0;
  if (state.consecutive_unreachable_ > 0 ||
      state.failure_rate_ > kSuspectRate) {
    Suspect(now, state);
  } else if (good) {
    state.suspected_ = false;
    state.backoff_ = Duration();
    state.backoff_until_ = TimePoint();
  }
  return was_suspected != state.suspected_;
}

bool TargetHealth::OnReport(TimePoint now, const NodeId& reporter,
                            const TargetId& target, HealthOutcome outcome) {
  if (outcome != HealthOutcome::kUnreachable) {
    return OnOutcome(now, target, outcome);
  }
  State& state = states_[target];
  const bool confirmed =
      state.consecutive_unreachable_ > 0 ||
      (!state.reporter_.IsNone() && state.reporter_ != reporter &&
       now - state.reported_at_ < kConfirmationWindow);
  state.reporter_ = reporter;
  state.reported_at_ = now;
  return confirmed && OnOutcome(now, target, outcome);
}

void TargetHealth::OnPause(TimePoint now, const TargetId& target,
                           Duration pause) {
  ++changes_;
  State& state = states_[target];
  state.paused_until_ =
      std::max(state.paused_until_, now + std::min(pause, kMaxRequestedPause));
}

bool TargetHealth::IsPaused(TimePoint now, const TargetId& target) const {
  const auto found = states_.find(target);
  return found != states_.end() && now < found->second.paused_until_;
}

std::vector<TargetId> TargetHealth::Suspected(TimePoint now) const {
  std::vector<TargetId> targets;
  for (const auto& [target, state] : states_) {
    if (now < state.backoff_until_ || now < state.paused_until_) {
      targets.push_back(target);
    }
  }
  return targets;
}

bool TargetHealth::IsSuspected(TimePoint now, const TargetId& target) const {
  const auto found = states_.find(target);
  return found != states_.end() && now < found->second.backoff_until_;
}

Duration TargetHealth::UntilUsable(TimePoint now,
                                   const TargetId& target) const {
  const auto found = states_.find(target);
  if (found == states_.end()) {
    return {};
  }
  const State& state = found->second;
  return std::max(Duration(),
                  std::max(state.backoff_until_, state.paused_until_) - now);
}

bool TargetHealth::IsRecovering(TimePoint now, const TargetId& target) const {
  const auto found = states_.find(target);
  return found != states_.end() && found->second.suspected_ &&
         now >= found->second.backoff_until_;
}

double TargetHealth::FailureRate(const TargetId& target) const {
  const auto found = states_.find(target);
  return found == states_.end() ? 0 : found->second.failure_rate_;
}

}  // namespace gv
