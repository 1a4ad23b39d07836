/** @file forward_prompt.cc Requests the placement of prompts from the leader.
 */
#include <algorithm>
#include <utility>

#include "coordination/gateway/engine_model.h"
#include "coordination/gateway/lease_wait.h"
#include "coordination/gateway/registry_type.h"
#include "transport/gateway/forward.h"
#include "transport/gateway/gateway.h"

namespace gv {
namespace {

constexpr unsigned kUnavailable = 503;
/** Time after which a placement request times out if the leader has not replied
 * to any request since. */
constexpr Duration kReplyTimeout = 100_ms;
/** Period at which the placement request of a queued prompt is repeated, as its
 * reply is lost if the connection breaks. */
constexpr Duration kRepeatPeriod = 2_s;

}  // namespace

bool Forward::RequestPlacement(const PlacementRequest& to_place) {
  if (skip_leader_ || !IsPrompt()) {
    return false;
  }
  const bool is_long = gateway_.GetPlacer().IsLong(to_place);
  if (!gateway_.IsLeaderAvailable()) {
    // Without the leader all long prompts would be prefilled at the same time,
    // and each would take many times as long.
    if (leader_wait_deadline_ == TimePoint()) {
      const TimePoint now = gateway_.Now();
      leader_wait_deadline_ =
          now + WaitForLeader(answer_deadline_ - now, PredictedWork(),
                              kUsualElection);
    }
    waiting_for_leader_ = is_long && gateway_.Now() < leader_wait_deadline_;
    return waiting_for_leader_;
  }
  skip_leader_ = true;
  leader_wait_deadline_ = TimePoint();
  if (is_long) {
    gateway_.Ledger().AddLongDemand(
        gateway_.Now(), PrefillMs(*service_.engine_, to_place.prompt_tokens_));
  }
  const TimePoint now = gateway_.Now();
  leader_asked_at_ = now;
  leader_reply_deadline_ = now + kReplyTimeout;
  const auto self = shared_from_this();
  leader_operation_ = gateway_.SendPlacementRequest(
      MakePromptAsk(),
      [self](const Message& answer) { self->OnPlacementReply(answer); });
  return true;
}

PromptAsk Forward::MakePromptAsk() const {
  PromptAsk request;
  request.service_ = service_.name_;
  request.prompt_tokens_ = facts_.prompt_tokens_;
  request.answer_tokens_ = facts_.answer_tokens_;
  request.tried_ = tried_;
  for (TargetId& target : gateway_.Suspected()) {
    request.tried_.push_back(std::move(target));
  }
  const CallerTime time = TimeOfCaller();
  request.time_left_ = time.left_;
  // What was sent before may have begun its answer, and is not refused.
  request.latest_ = sent_ > 0 ? time.left_ : time.ForFirstEvent();
  request.order_ = request.latest_;
  request.rank_ = priority_;
  request.route_rank_ = route_.priority_;
  return request;
}

void Forward::OnPlacementReply(const Message& answer) {
  if (ended_ || attempt_) {
    return;
  }
  leader_reply_deadline_ = TimePoint();
  if (const auto* refused = std::get_if<PromptRefused>(&answer)) {
    leader_operation_.reset();
    if (sent_ > 0) {
      // An earlier attempt may have run and its answer may have begun, so that
      // refusing the request as not run would be wrong.
      StartAttempt();
      return;
    }
    Refuse(
        kUnavailable,
        "overloaded by=leader wait_ms=" + std::to_string(refused->wait_.Ms()) +
            " left_ms=" + std::to_string(TimeLeft().Ms()),
        ReturnTime(refused->wait_, TimeLeft()));
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
  PlacementRequest placed_request;
  placed_request.service_ = &service_;
  placed_request.prompt_tokens_ = facts_.prompt_tokens_;
  placed_request.route_rank_ = route_.priority_;
  placement.work_.is_short_ = !gateway_.GetPlacer().IsLong(placed_request);
  placement.permitted_ = placed->permitted_;
  placement.permitted_until_ = gateway_.Now() + kLimitPermitLifetime;
  placement.work_.placed_by_ = gateway_.LeaderOfRequest(*leader_operation_);
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

void Forward::CheckLeaderTimeouts(TimePoint now) {
  const bool waits = waiting_for_leader_ ||
                     leader_reply_deadline_ != TimePoint() || limit_permit_;
  if (waits && !attempt_ && RefuseEvacuated()) {
    return;
  }
  if (waiting_for_leader_ &&
      (gateway_.IsLeaderAvailable() || now >= leader_wait_deadline_)) {
    waiting_for_leader_ = false;
    StartAttempt();
    return;
  }
  if (leader_reply_deadline_ == TimePoint()) {
    return;
  }
  const NodeId& leader = gateway_.Registry().Leader();
  if (leader_operation_ && !leader.IsNone() &&
      gateway_.LeaderOfRequest(*leader_operation_) != leader) {
    // The gateway that got the request is no longer the leader and may never
    // reply.
    leader_reply_deadline_ = TimePoint();
    EndLeaderRequest();
    skip_leader_ = false;
    StartAttempt();
    return;
  }
  const bool is_queued =
      leader_operation_ && gateway_.IsQueuedAtLeader(*leader_operation_);
  if (now < leader_reply_deadline_ &&
      (!is_queued || gateway_.IsLeaderAvailable())) {
    return;
  }
  if (is_queued && gateway_.IsLeaderAvailable()) {
    if (now - leader_asked_at_ >= kRepeatPeriod) {
      gateway_.RepeatPlacementRequest(*leader_operation_, MakePromptAsk());
    }
    leader_reply_deadline_ = now + kRepeatPeriod;
    return;
  }
  if (!is_queued && gateway_.LastLeaderReply() >= leader_asked_at_) {
    // The leader replies to others, so its reply is on its way.
    leader_asked_at_ = now;
    leader_reply_deadline_ = now + kReplyTimeout;
    return;
  }
  leader_reply_deadline_ = TimePoint();
  gateway_.OnLeaderTimeout(leader_asked_at_);
  EndLeaderRequest();
  StartAttempt();
}

void Forward::EndLeaderRequest() {
  if (leader_operation_) {
    // The exchange makes sure that each outcome is reported only once.
    gateway_.ReportPromptProgress(
        *leader_operation_, true, last_target_,
        std::exchange(last_outcome_, HealthOutcome::kUnknown));
    leader_operation_.reset();
  }
}

}  // namespace gv
