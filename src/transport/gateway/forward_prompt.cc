/** @file forward_prompt.cc A prompt waits for its turn at the leader. */
#include <algorithm>
#include <utility>

#include "coordination/gateway/engine_model.h"
#include "transport/gateway/forward.h"
#include "transport/gateway/gateway.h"

namespace gv {
namespace {

constexpr unsigned kUnavailable = 503;
/** Callers follow at most a third of the time that they have left. */
constexpr Duration kLeastRetry = 2500_ms;
constexpr Duration kMostRetry = 4_s;
/** A leader that has not answered so long after the latest time is given up.
 */
constexpr Duration kLeaderMargin = 300_ms;
/** The same for short prompts, if it has not answered anything since. */
constexpr Duration kShortAnswer = 100_ms;
/** Callers of short streams leave two seconds after they asked; a first event
 * is made within this time, or the prompt is refused. */
constexpr Duration kShortLatest = 1400_ms;
/** Part of its objective that a long prompt waits for an election. */
constexpr int64_t kLeaderWait = 3;
/** Objectives that the first event of a returned long prompt may take. */
constexpr int64_t kLongReturned = 3;

}  // namespace

bool Forward::AskLeader(const PlacementRequest& wanted) {
  if (asked_leader_ || !IsPrompt()) {
    return false;
  }
  const bool is_long = gateway_.GetPlacer().IsLong(wanted);
  if (!gateway_.CanAskLeader()) {
    // Long prompts that are placed without the leader would all be read at
    // once, each of them late.
    if (leader_by_ == TimePoint()) {
      leader_by_ = gateway_.Now() + route_.objective_ / kLeaderWait;
    }
    waits_for_leader_ = is_long && gateway_.Now() < leader_by_;
    return waits_for_leader_;
  }
  asked_leader_ = true;
  leader_by_ = TimePoint();
  if (is_long) {
    gateway_.Ledger().NoteLongDemand(
        gateway_.Now(), PrefillMs(*service_.engine_, wanted.prompt_tokens_));
  }
  const TimePoint now = gateway_.Now();
  const Duration spent = now - arrived_;
  PromptAsk ask;
  ask.service_ = service_.name_;
  ask.prompt_tokens_ = wanted.prompt_tokens_;
  ask.answer_tokens_ = wanted.answer_tokens_;
  ask.tried_ = tried_;
  for (TargetId& target : gateway_.Suspected()) {
    ask.tried_.push_back(std::move(target));
  }
  ask.objective_ = route_.objective_ - spent;
  const Duration left = limit_ - now;
  ask.latest_ = sent_ > 0 ? left : std::min(LatestStart(is_long) - spent, left);
  leader_asked_ = now;
  leader_answer_by_ =
      now + (is_long ? ask.latest_ + kLeaderMargin : kShortAnswer);
  const auto self = shared_from_this();
  ask_ = gateway_.AskForEngines(std::move(ask), [self](const Message& answer) {
    self->OnLeaderAnswer(answer);
  });
  return true;
}

Duration Forward::LatestStart(bool is_long) const {
  // A caller that was refused before is late already, and gets longer. A short
  // prompt is rather served late than refused, as it would be later still when
  // it comes back.
  if (!is_long) {
    return std::max(route_.objective_, kShortLatest);
  }
  return HasReturned() ? route_.objective_ * kLongReturned : route_.objective_;
}

void Forward::OnLeaderAnswer(const Message& answer) {
  if (ended_ || attempt_) {
    return;
  }
  leader_answer_by_ = TimePoint();
  if (const auto* refused = std::get_if<PromptRefused>(&answer)) {
    ask_.reset();
    if (sent_ > 0) {
      // It may have run, and its answer may have begun: no refusal is true.
      TryTarget();
      return;
    }
    Refuse(
        kUnavailable,
        "overloaded by=leader wait_ms=" + std::to_string(refused->wait_.Ms()),
        std::clamp(refused->wait_, kLeastRetry, kMostRetry));
    return;
  }
  const auto* placed = std::get_if<PromptPlaced>(&answer);
  if (placed == nullptr) {
    return;
  }
  Placement placement;
  placement.target_ = placed->target_;
  placement.helpers_ = placed->helpers_;
  placement.reservations_ = placed->reservations_;
  placement.wait_ms_ = static_cast<double>(placed->wait_ms_);
  PlacementRequest asked;
  asked.service_ = &service_;
  asked.prompt_tokens_ = facts_.prompt_tokens_;
  placement.work_.is_short_ = !gateway_.GetPlacer().IsLong(asked);
  placement.work_.granted_by_ = gateway_.AskedLeader(*ask_);
  placement.work_.wait_ms_ = placement.wait_ms_;
  const auto part_ms = static_cast<double>(placed->part_ms_);
  placement.work_.parts_.push_back(PrefillPart{
      placed->target_, part_ms, facts_.prompt_tokens_ + facts_.answer_tokens_});
  for (const TargetId& helper : placed->helpers_) {
    placement.work_.parts_.push_back(PrefillPart{helper, part_ms, 0});
  }
  if (placement.reservations_.empty()) {
    SendTo(placement);
  } else {
    Reserve(placement);
  }
}

void Forward::CheckLeader(TimePoint now) {
  if (waits_for_leader_ && (gateway_.CanAskLeader() || now >= leader_by_)) {
    waits_for_leader_ = false;
    TryTarget();
    return;
  }
  if (leader_answer_by_ == TimePoint()) {
    return;
  }
  const NodeId& leader = gateway_.Registry().Leader();
  if (ask_ && !leader.IsNone() && gateway_.AskedLeader(*ask_) != leader) {
    // The one that was asked leads no more and may never answer.
    leader_answer_by_ = TimePoint();
    LeaveLeader();
    asked_leader_ = false;
    TryTarget();
    return;
  }
  if (now < leader_answer_by_) {
    return;
  }
  const bool is_long = leader_answer_by_ - leader_asked_ > kShortAnswer;
  if (!is_long && gateway_.LeaderAnswered() >= leader_asked_) {
    // It waits for a slot there.
    leader_asked_ = now;
    leader_answer_by_ = now + kShortAnswer;
    return;
  }
  leader_answer_by_ = TimePoint();
  gateway_.OnLeaderSilent(leader_asked_);
  LeaveLeader();
  TryTarget();
}

void Forward::LeaveLeader() {
  if (ask_) {
    // Each outcome is reported once.
    gateway_.StepPrompt(*ask_, true, last_target_,
                        std::exchange(outcome_, HealthOutcome::kUnknown));
    ask_.reset();
  }
}

}  // namespace gv
