/** @file registry_leaving.cc Makes sure that a target's leaving is known to
 * more than the gateway that acknowledges it. */
#include <algorithm>

#include "coordination/gateway/registry_core.h"
#include "state/container_func.h"

namespace gv {
namespace {

/** Period at which a notice is sent again to members that have not answered. */
constexpr Duration kNoticePeriod = 200_ms;

}  // namespace

OperationId RegistryCore::ConfirmLeaving(TimePoint now, TimePoint issued,
                                         const TargetId& id, Outbox& out) {
  last_operation_ = last_operation_.Next();
  PendingLeaving& leaving = pending_leavings_[last_operation_];
  leaving.target_ = id;
  leaving.issued_ = issued;
  leaving.known_by_ = {settings_.self_};
  if (IsLeavingKnown(now, leaving)) {
    FinishLeaving(now, last_operation_, OperationState::kAccepted, out);
  } else {
    SendLeaving(now, last_operation_, leaving, out);
  }
  return last_operation_;
}

void RegistryCore::SendLeaving(TimePoint now, OperationId id,
                               PendingLeaving& leaving, Outbox& out) {
  leaving.next_send_ = now + kNoticePeriod;
  if (targets_.Find(leaving.target_) == nullptr) {
    return;
  }
  const TargetRegistration row = targets_.Row(now, leaving.target_);
  for (const NodeId& member : MemberIds()) {
    if (!leaving.known_by_.contains(member)) {
      out.Send(ControlEndpoint(member), LeavingNotice{id, row});
    }
  }
}

bool RegistryCore::HeardLeader(TimePoint now) const {
  return !leader_.IsNone() && now - last_leader_grant_ <= kLeaderTimeout;
}

bool RegistryCore::ForwardsChanges(TimePoint now) const {
  // The leader forwards changes; other members do so only while the leader is
  // unreachable.
  return IsMember(settings_.self_) &&
         (leader_ == settings_.self_ || !HeardLeader(now));
}

void RegistryCore::OnLeavingNotice(TimePoint now, const Endpoint& from,
                                   const LeavingNotice& notice, Outbox& out) {
  const TargetDirectory::Change change = MergeTarget(now, notice.target_);
  if (TargetDirectory::IsPassedOn(change) && ForwardsChanges(now)) {
    QueueChange(notice.target_.id_);
  }
  out.Send(from, LeavingNoted{notice.operation_});
}

void RegistryCore::OnLeavingNoted(TimePoint now, const NodeId& from,
                                  const LeavingNoted& noted, Outbox& out) {
  const auto found = pending_leavings_.find(noted.operation_);
  if (found == pending_leavings_.end()) {
    return;
  }
  found->second.known_by_.insert(from);
  if (IsLeavingKnown(now, found->second)) {
    FinishLeaving(now, noted.operation_, OperationState::kAccepted, out);
  }
}

bool RegistryCore::IsLeavingKnown(TimePoint now,
                                  const PendingLeaving& leaving) const {
  const std::vector<NodeId> members = MemberIds();
  const auto known = std::count_if(members.begin(), members.end(),
                                   [&leaving](const NodeId& member) {
                                     return leaving.known_by_.contains(member);
                                   });
  // The leader tells all others. Without one, each member that knows does.
  return 2 * static_cast<size_t>(known) > members.size() &&
         (!HeardLeader(now) || leaving.known_by_.contains(leader_));
}

void RegistryCore::TickLeaving(TimePoint now, Outbox& out) {
  for (const OperationId id : KeysOf(pending_leavings_)) {
    PendingLeaving& leaving = pending_leavings_.at(id);
    if (IsLeavingKnown(now, leaving)) {
      FinishLeaving(now, id, OperationState::kAccepted, out);
    } else if (now - leaving.issued_ >= kOperationTimeout) {
      FinishLeaving(now, id, OperationState::kUnknown, out);
    } else if (now >= leaving.next_send_) {
      SendLeaving(now, id, leaving, out);
    }
  }
}

void RegistryCore::FinishLeaving(TimePoint now, OperationId id,
                                 OperationState state, Outbox& out) {
  const auto found = pending_leavings_.find(id);
  Event event;
  event.id_ = state == OperationState::kAccepted
                  ? EventId::kLeavingAcknowledged
                  : EventId::kLeavingNotConfirmed;
  event.target_ = found->second.target_;
  event.detail_ =
      "leader=" + leader_.Value() +
      " leader_age_ms=" + std::to_string((now - last_leader_grant_).Ms()) +
      " members=" + std::to_string(MemberIds().size()) +
      " known_by=" + std::to_string(found->second.known_by_.size()) +
      " waited_ms=" + std::to_string((now - found->second.issued_).Ms());
  out.Record(std::move(event));
  pending_leavings_.erase(found);
  completed_.push_back(OperationResult{id, state, 0});
}

}  // namespace gv
