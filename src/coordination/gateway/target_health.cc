/** @file target_health.cc Failure rates and pauses of targets. */
#include "coordination/gateway/target_health.h"

#include <algorithm>

namespace gv {
namespace {

/** Weight of the newest outcome; about ten requests decide. */
constexpr double kNewestWeight = 0.12;
/** Above the share of errors that a sound service may have. */
constexpr double kSuspectRate = 0.45;
/** A failure rate below this makes no difference. */
constexpr double kSoundRate = 0.01;
/** First pause; about the time in which a crashed target is replaced or
 * drops out of the directory is reached after a few doublings. */
constexpr Duration kFirstPause = 400_ms;
constexpr Duration kLongestPause = 3_s;
/** Two gateways that miss a target within this time confirm each other. */
constexpr Duration kConfirmed = 2_s;
/** Longest pause that a target may ask for; replaced targets are known within
 * seconds. */
constexpr Duration kLongestAskedPause = 60_s;

}  // namespace

void TargetHealth::Suspect(TimePoint now, State& state) const {
  if (now < state.until_) {
    return;
  }
  state.pause_ = std::clamp(state.pause_ * 2, kFirstPause, kLongestPause);
  state.until_ = now + state.pause_;
  state.suspected_ = true;
}

bool TargetHealth::OnOutcome(TimePoint now, const TargetId& target,
                             HealthOutcome outcome) {
  if (outcome == HealthOutcome::kFull || outcome == HealthOutcome::kUnknown) {
    return false;
  }
  State& state = states_[target];
  const bool before = state.suspected_;
  const bool good = outcome == HealthOutcome::kGood;
  changes_ += !good || before || state.failure_rate_ > kSoundRate ? 1 : 0;
  state.failure_rate_ =
      state.failure_rate_ * (1 - kNewestWeight) + (good ? 0 : kNewestWeight);
  state.unreachable_ =
      outcome == HealthOutcome::kUnreachable ? state.unreachable_ + 1 : 0;
  if (state.unreachable_ > 0 || state.failure_rate_ > kSuspectRate) {
    Suspect(now, state);
  } else if (good) {
    state.suspected_ = false;
    state.pause_ = Duration();
    state.until_ = TimePoint();
  }
  return before != state.suspected_;
}

bool TargetHealth::OnReport(TimePoint now, const NodeId& reporter,
                            const TargetId& target, HealthOutcome outcome) {
  if (outcome != HealthOutcome::kUnreachable) {
    return OnOutcome(now, target, outcome);
  }
  State& state = states_[target];
  const bool confirmed =
      state.unreachable_ > 0 ||
      (!state.reporter_.IsNone() && state.reporter_ != reporter &&
       now - state.reported_ < kConfirmed);
  state.reporter_ = reporter;
  state.reported_ = now;
  return confirmed && OnOutcome(now, target, outcome);
}

void TargetHealth::OnPause(TimePoint now, const TargetId& target,
                           Duration pause) {
  ++changes_;
  State& state = states_[target];
  state.paused_until_ =
      std::max(state.paused_until_, now + std::min(pause, kLongestAskedPause));
}

bool TargetHealth::IsPaused(TimePoint now, const TargetId& target) const {
  const auto found = states_.find(target);
  return found != states_.end() && now < found->second.paused_until_;
}

std::vector<TargetId> TargetHealth::Suspected(TimePoint now) const {
  std::vector<TargetId> targets;
  for (const auto& [target, state] : states_) {
    if (now < state.until_ || now < state.paused_until_) {
      targets.push_back(target);
    }
  }
  return targets;
}

bool TargetHealth::IsSuspected(TimePoint now, const TargetId& target) const {
  const auto found = states_.find(target);
  return found != states_.end() && now < found->second.until_;
}

bool TargetHealth::IsOnTrial(TimePoint now, const TargetId& target) const {
  const auto found = states_.find(target);
  return found != states_.end() && found->second.suspected_ &&
         now >= found->second.until_;
}

double TargetHealth::FailureRate(const TargetId& target) const {
  const auto found = states_.find(target);
  return found == states_.end() ? 0 : found->second.failure_rate_;
}

}  // namespace gv
