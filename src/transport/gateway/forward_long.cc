/** @file forward_long.cc A long prompt waits for its turn at the leader. */
#include <algorithm>

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
constexpr int64_t kThird = 3;

}  // namespace

bool Forward::AskLeader(const PlacementRequest& wanted) {
  if (asked_leader_ || !gateway_.CanAskLeader() ||
      !gateway_.GetPlacer().IsLong(wanted)) {
    return false;
  }
  asked_leader_ = true;
  gateway_.Ledger().NoteLongDemand(
      gateway_.Now(), PrefillMs(*service_.engine_, wanted.prompt_tokens_));
  const TimePoint now = gateway_.Now();
  const Duration spent = now - arrived_;
  LongPromptAsk ask;
  ask.service_ = service_.name_;
  ask.prompt_tokens_ = wanted.prompt_tokens_;
  ask.answer_tokens_ = wanted.answer_tokens_;
  ask.tried_ = tried_;
  ask.objective_ = route_.objective_ - spent;
  // A caller that was refused before is late already: it gets longer, but
  // stands in the queue like others that come now. A prompt that a target has
  // failed gets all the time that is left.
  const Duration objective =
      HasReturned() ? route_.objective_ * kThird : route_.objective_;
  const Duration left = limit_ - now;
  ask.latest_ = sent_ > 0 ? left : std::min(objective - spent, left);
  leader_answer_by_ = now + ask.latest_ + kLeaderMargin;
  const auto self = shared_from_this();
  ask_ = gateway_.AskLong(std::move(ask), [self](const Message& answer) {
    self->OnLeaderAnswer(answer);
  });
  return true;
}

void Forward::OnLeaderAnswer(const Message& answer) {
  if (ended_ || attempt_) {
    return;
  }
  leader_answer_by_ = TimePoint();
  if (const auto* refused = std::get_if<LongPromptRefused>(&answer)) {
    ask_.reset();
    if (sent_ > 0) {
      // It may have run, and its answer may have begun: no refusal is true.
      TryTarget();
      return;
    }
    Refuse(kUnavailable,
           "overloaded wait_ms=" + std::to_string(refused->wait_.Ms()),
           std::clamp(refused->wait_, kLeastRetry, kMostRetry));
    return;
  }
  const auto* placed = std::get_if<LongPromptPlaced>(&answer);
  if (placed == nullptr) {
    return;
  }
  Placement placement;
  placement.target_ = placed->target_;
  placement.helpers_ = placed->helpers_;
  placement.reservations_ = placed->reservations_;
  placement.wait_ms_ = static_cast<double>(placed->wait_ms_);
  placement.work_.is_short_ = false;
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
  if (leader_answer_by_ == TimePoint() || now < leader_answer_by_) {
    return;
  }
  leader_answer_by_ = TimePoint();
  LeaveLeader();
  TryTarget();
}

void Forward::LeaveLeader() {
  if (ask_) {
    gateway_.StepLong(*ask_, true);
    ask_.reset();
  }
}

}  // namespace gv
