/** @file registry_targets.cc Registrations of targets and how they spread: a
 * member passes on what reaches it first, and every change. */
#include "coordination/gateway/registry_core.h"

namespace gv {

void RegistryCore::Announce(TimePoint now, const TargetRegistration& target,
                            Outbox& out) {
  switch (targets_.Merge(now, target)) {
    case TargetDirectory::Change::kNone:
      return;
    case TargetDirectory::Change::kRefreshed:
      refreshed_.insert(target.id_);
      return;
    case TargetDirectory::Change::kChanged: {
      Event event;
      event.id_ = target.state_ == RegistrationState::kReady
                      ? EventId::kTargetAdmitted
                      : EventId::kTargetDraining;
      event.target_ = target.id_;
      event.detail_ = "service=" + target.service_ +
                      " address=" + target.address_ +
                      " start=" + std::to_string(target.start_ms_) +
                      " sequence=" + std::to_string(target.sequence_);
      out.Record(std::move(event));
      Spread(now, {target.id_}, settings_.self_, out);
      return;
    }
  }
}

void RegistryCore::Depart(TimePoint now, const TargetId& id, Outbox& out) {
  if (targets_.Depart(now, id) == nullptr) {
    return;
  }
  Event event;
  event.id_ = EventId::kTargetGone;
  event.target_ = id;
  event.detail_ = "it said so";
  out.Record(std::move(event));
  Spread(now, {id}, settings_.self_, out);
}

TargetGossip RegistryCore::GossipOf(TimePoint now,
                                    const std::set<TargetId>& ids) const {
  TargetGossip gossip;
  for (const TargetId& id : ids) {
    if (targets_.Find(id) != nullptr) {
      gossip.targets_.push_back(targets_.Row(now, id));
    }
  }
  return gossip;
}

void RegistryCore::Spread(TimePoint now, const std::set<TargetId>& ids,
                          const NodeId& except, Outbox& out) {
  const TargetGossip gossip = GossipOf(now, ids);
  const bool member = IsMember(settings_.self_);
  const std::vector<NodeId> receivers = member ? OtherNodes() : MemberIds();
  for (const NodeId& node : receivers) {
    if (node != except && node != settings_.self_) {
      out.Send(To(node), gossip);
    }
  }
}

void RegistryCore::FlushRefreshed(TimePoint now, Outbox& out) {
  if (refreshed_.empty()) {
    return;
  }
  if (IsMember(settings_.self_)) {
    Spread(now, refreshed_, settings_.self_, out);
  } else if (!leader_.IsNone()) {
    out.Send(To(leader_), GossipOf(now, refreshed_));
  }
  refreshed_.clear();
}

void RegistryCore::OnGossip(TimePoint now, const NodeId& from,
                            const TargetGossip& gossip, Outbox& out) {
  std::set<TargetId> changed;
  const bool forward = IsMember(settings_.self_);
  const bool first = forward && !IsMember(from);
  for (const TargetRegistration& target : gossip.targets_) {
    const TargetDirectory::Change change = targets_.Merge(now, target);
    if (change == TargetDirectory::Change::kChanged) {
      changed.insert(target.id_);
    } else if (change == TargetDirectory::Change::kRefreshed && first) {
      refreshed_.insert(target.id_);
    }
  }
  if (forward && !changed.empty()) {
    Spread(now, changed, from, out);
  }
  if (gossip.wants_reply_) {
    out.Send(To(from), TargetGossip{targets_.Rows(now), true, false});
  }
}

}  // namespace gv
