/** @file forward_limit.cc Permits for sending a request to a target that names
 * a limit. */
#include <algorithm>
#include <utility>

#include "transport/gateway/forward.h"
#include "transport/gateway/gateway.h"

namespace gv {

bool Forward::AskForLimitedTarget(const PlacementRequest& to_place,
                                  bool has_other) {
  const TimePoint now = gateway_.Now();
  if (limit_asked_ || !gateway_.IsLeaderAvailable() ||
      (has_other && now < gateway_.NextLimitAsk(service_.name_))) {
    return false;
  }
  const std::vector<TargetId> targets =
      gateway_.GetPlacer().LimitedTargets(now, to_place);
  if (targets.empty()) {
    return false;
  }
  limit_asked_ = true;
  AskForLimitPermit(
      targets, has_other
                   ? Duration()
                   : std::max(Duration(),
                              LatestFirstEvent(TimeLeft(), PredictedWork())));
  return true;
}

void Forward::AskForLimitPermit(const std::vector<TargetId>& targets,
                                Duration longest_wait) {
  const TimePoint asked = gateway_.Now();
  limit_ask_ = gateway_.AskForLimitPermit(
      targets, longest_wait,
      [self = shared_from_this(), asked](const LimitReply& reply) {
        self->OnLimitReply(asked, reply);
      });
}

bool Forward::HasLimitPermit(const Placement& placement) {
  const TargetId& target = placement.target_;
  if (!gateway_.IsLimited(target)) {
    return true;
  }
  const TimePoint now = gateway_.Now();
  if (placement.IsPermitted(target) && now < placement.permitted_until_) {
    return true;
  }
  if (!gateway_.IsLeaderAvailable()) {
    PlaceElsewhere(target, kTargetLimit);
    return false;
  }
  unpermitted_ = placement;
  AskForLimitPermit({target}, Duration());
  return false;
}

void Forward::OnLimitReply(TimePoint asked, const LimitReply& reply) {
  if (ended_) {
    return;
  }
  limit_ask_.reset();
  const TimePoint now = gateway_.Now();
  if (reply.granted_) {
    limit_permit_ = LimitPermit{reply.target_, now + reply.wait_,
                                asked + reply.wait_ + kLimitPermitLifetime};
    UseLimitPermit(now);
    return;
  }
  limit_wait_ = reply.wait_;
  gateway_.SetNextLimitAsk(service_.name_, now + reply.wait_);
  if (unpermitted_) {
    PlaceElsewhere(std::exchange(unpermitted_, std::nullopt)->target_,
                   kTargetLimit);
  } else {
    StartAttempt();
  }
}

void Forward::UseLimitPermit(TimePoint now) {
  if (!limit_permit_ || now < limit_permit_->from_) {
    return;
  }
  const LimitPermit permit = *std::exchange(limit_permit_, std::nullopt);
  std::optional<Placement> placement =
      std::exchange(unpermitted_, std::nullopt);
  if (!placement) {
    PlacementRequest to_place = ToPlace();
    to_place.permitted_ = permit.target_;
    placement = gateway_.GetPlacer().Place(now, to_place);
  }
  if (!placement || now >= permit.until_) {
    PlaceElsewhere(permit.target_, kTargetLimit);
    return;
  }
  placement->permitted_ = {permit.target_};
  placement->permitted_until_ = permit.until_;
  SendTo(*placement);
}

}  // namespace gv
