/** @file registry_targets.cc Replication of target registrations. Changes that
 * routing depends on go to all gateways. Heartbeats without such a change go to
 * the leader only, which sends all gateways the list of unreachable targets. */
#include <algorithm>

#include "coordination/gateway/registry_core.h"

namespace gv {

std::optional<OperationId> RegistryCore::RegisterTarget(
    TimePoint now, const TargetRegistration& target, Outbox& out) {
  const TargetDirectory::Change change =
      MergeTarget(now, WithWarmUp(now, target));
  if (change == TargetDirectory::Change::kRefreshed) {
    refreshed_.insert(target.id_);
  } else if (change == TargetDirectory::Change::kWarmUp) {
    QueueChange(target.id_);
  } else if (change == TargetDirectory::Change::kChanged) {
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
    QueueChange(target.id_);
  }
  const bool is_leaving = target.state_ != RegistrationState::kReady &&
                          targets_.Find(target.id_) != nullptr;
  return is_leaving ? std::optional(ConfirmLeaving(now, now, target.id_, out))
                    : std::nullopt;
}

void RegistryCore::MarkLeaving(const TargetId& id, uint64_t start_ms,
                               Outbox& out) {
  if (!targets_.MarkDraining(id, start_ms)) {
    return;
  }
  Event event;
  event.id_ = EventId::kTargetDraining;
  event.target_ = id;
  event.detail_ = "the target announced in an answer that it is leaving";
  out.Record(std::move(event));
  QueueChange(id);
}

void RegistryCore::RecordGone(const TargetId& id, std::string detail,
                              Outbox& out) const {
  Event event;
  event.id_ = EventId::kTargetGone;
  event.target_ = id;
  event.detail_ = std::move(detail);
  out.Record(std::move(event));
}

OperationId RegistryCore::Depart(TimePoint now, TimePoint issued,
                                 const TargetId& id, uint64_t wall_ms,
                                 Outbox& out) {
  if (now - issued >= kOperationTimeout) {
    Event event;
    event.id_ = EventId::kDepartureOutdated;
    event.target_ = id;
    event.detail_ = "age_ms=" + std::to_string((now - issued).Ms());
    out.Record(std::move(event));
    last_operation_ = last_operation_.Next();
    completed_.push_back(
        OperationResult{last_operation_, OperationState::kUnknown, 0});
    return last_operation_;
  }
  if (targets_.Depart(now, id, wall_ms) != nullptr) {
    RecordGone(id, "the target announced its departure", out);
    QueueChange(id);
  }
  return ConfirmLeaving(now, issued, id, out);
}

TargetGossip RegistryCore::MakeGossip(TimePoint now,
                                      const std::set<TargetId>& ids) const {
  TargetGossip gossip;
  for (const TargetId& id : ids) {
    if (targets_.Find(id) != nullptr) {
      gossip.targets_.push_back(targets_.Row(now, id));
    }
  }
  return gossip;
}

void RegistryCore::QueueChange(const TargetId& id) { changed_.insert(id); }

void RegistryCore::SendChangedTargets(TimePoint now, Outbox& out) {
  if (changed_.empty()) {
    return;
  }
  next_change_batch_ =
      now + kChangeBatchPeriodPerNode * static_cast<int64_t>(NodeCount());
  const std::vector<NodeId> nodes =
      IsMember(settings_.self_) ? OtherNodes() : MemberIds();
  std::vector<Endpoint> receivers;
  for (const NodeId& node : nodes) {
    if (node != settings_.self_) {
      receivers.push_back(ControlEndpoint(node));
    }
  }
  out.SendToAll(std::move(receivers), MakeGossip(now, changed_));
  changed_.clear();
}

void RegistryCore::SendRefreshedTargets(Outbox& out) {
  if (leader_.IsNone() || leader_ == settings_.self_) {
    refreshed_.clear();
    return;
  }
  TargetsHeard refreshed;
  for (const TargetId& id : refreshed_) {
    const DirectoryEntry* entry = targets_.Find(id);
    if (entry != nullptr) {
      refreshed.targets_.push_back(
          TargetHeard{id, entry->target_.start_ms_, entry->target_.sequence_});
    }
  }
  refreshed_.clear();
  if (!refreshed.targets_.empty()) {
    out.Send(ControlEndpoint(leader_), std::move(refreshed));
  }
}

void RegistryCore::OnTargetsHeard(TimePoint now,
                                  const TargetsHeard& refreshed) {
  for (const TargetHeard& row : refreshed.targets_) {
    targets_.Refresh(now, row.target_, row.start_ms_, row.sequence_);
  }
}

void RegistryCore::UpdateUnreachableTargets(TimePoint now, Outbox& out) {
  targets_.ExpireDeparted(now, kDepartedRetention);
  if (!IsActiveLeader(now)) {
    return;
  }
  TargetsSilent report;
  for (const TargetId& id :
       targets_.Expire(now, kTargetDropTimeout, kDepartedRetention)) {
    RecordGone(id, "no registration within the drop timeout", out);
    report.dropped_.push_back(id);
  }
  report.silent_ = targets_.Unreachable(kUnreachableTimeout);
  targets_.SetUnreachable(report.silent_);
  const bool repeat =
      !report.silent_.empty() && now >= next_unreachable_repeat_;
  if (report.silent_ == unreachable_ && report.dropped_.empty() && !repeat) {
    return;
  }
  next_unreachable_repeat_ = now + kUnreachableRepeatPeriod;
  unreachable_ = report.silent_;
  out.SendToAll(OtherEndpoints(), std::move(report));
}

void RegistryCore::OnTargetsSilent(const NodeId& from,
                                   const TargetsSilent& report, Outbox& out) {
  if (from != leader_) {
    return;
  }
  unreachable_ = report.silent_;
  targets_.SetUnreachable(unreachable_);
  for (const TargetId& id : report.dropped_) {
    // A target that still registers at this gateway is kept.
    if (refreshed_.contains(id) || targets_.Find(id) == nullptr) {
      continue;
    }
    targets_.Drop(id);
    RecordGone(id,
               "dropped by the leader: no registration within the drop timeout",
               out);
  }
}

void RegistryCore::CompareTargetTables(const NodeId& from,
                                       const RegistryStatus& status,
                                       Outbox& out) {
  // If a leader is known, only its table is compared.
  if (!status.grant_ && !leader_.IsNone() && from != leader_) {
    return;
  }
  if (!IsMember(from)) {
    return;
  }
  if (status.targets_digest_ == targets_.Digest()) {
    mismatched_polls_ = 0;
    return;
  }
  if (++mismatched_polls_ < kMismatchedPollLimit) {
    return;
  }
  mismatched_polls_ = 0;
  const auto& digests = targets_.PartDigests();
  out.Send(ControlEndpoint(from),
           TargetQuery{{digests.begin(), digests.end()}});
}

void RegistryCore::OnTargetQuery(TimePoint now, const NodeId& from,
                                 const TargetQuery& query, Outbox& out) {
  const auto& own_digests = targets_.PartDigests();
  TargetGossip reply;
  for (size_t part = 0;
       part < own_digests.size() && part < query.digests_.size(); ++part) {
    if (own_digests[part] != query.digests_[part]) {
      reply.parts_.push_back(part);
    }
  }
  for (const auto& [id, entry] : targets_.All()) {
    if (std::find(reply.parts_.begin(), reply.parts_.end(),
                  TargetDirectory::PartOf(entry)) != reply.parts_.end()) {
      reply.targets_.push_back(targets_.Row(now, id));
    }
  }
  if (!reply.parts_.empty()) {
    out.Send(ControlEndpoint(from), std::move(reply));
  }
}

void RegistryCore::ReconcileParts(TimePoint now, const NodeId& from,
                                  const TargetGossip& gossip, Outbox& out) {
  std::map<TargetId, const TargetRegistration*> theirs;
  for (const TargetRegistration& row : gossip.targets_) {
    theirs[row.id_] = &row;
  }
  std::set<TargetId> newer;
  std::vector<TargetId> missing;
  for (const auto& [id, entry] : targets_.All()) {
    if (std::find(gossip.parts_.begin(), gossip.parts_.end(),
                  TargetDirectory::PartOf(entry)) == gossip.parts_.end()) {
      continue;
    }
    const auto found = theirs.find(id);
    if (found != theirs.end()) {
      if (IsNewer(entry.target_, *found->second)) {
        newer.insert(id);
      }
    } else if (entry.target_.state_ == RegistrationState::kGone ||
               now - entry.last_heartbeat_ < kUnreachableTimeout) {
      newer.insert(id);
    } else {
      missing.push_back(id);
    }
  }
  for (const TargetId& id : missing) {
    targets_.Drop(id);
    RecordGone(id, "not in the table of the member that was asked", out);
  }
  if (!newer.empty()) {
    out.Send(ControlEndpoint(from), MakeGossip(now, newer));
  }
}

void RegistryCore::OnGossip(TimePoint now, const NodeId& from,
                            const TargetGossip& gossip, Outbox& out) {
  const bool forwards = gossip.parts_.empty() && ForwardsChanges(now);
  for (const TargetRegistration& target : gossip.targets_) {
    const TargetDirectory::Change change = MergeTarget(now, target);
    if (forwards && TargetDirectory::IsPassedOn(change)) {
      QueueChange(target.id_);
    }
  }
  if (!gossip.parts_.empty()) {
    ReconcileParts(now, from, gossip, out);
  }
}

}  // namespace gv
