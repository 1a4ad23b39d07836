/** @file registry_targets.cc Registrations of targets and how they spread: what
 * routing depends on goes to all gateways, that a target still registers only
 * to the leader, which tells all who has fallen silent. */
#include <algorithm>

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
      Spread(target.id_);
      return;
    }
  }
}

void RegistryCore::NoteLeaving(const TargetId& id, Outbox& out) {
  if (!targets_.Leave(id)) {
    return;
  }
  Event event;
  event.id_ = EventId::kTargetDraining;
  event.target_ = id;
  event.detail_ = "said in an answer";
  out.Record(std::move(event));
  Spread(id);
}

void RegistryCore::RecordGone(const TargetId& id, std::string detail,
                              Outbox& out) const {
  Event event;
  event.id_ = EventId::kTargetGone;
  event.target_ = id;
  event.detail_ = std::move(detail);
  out.Record(std::move(event));
}

void RegistryCore::Depart(TimePoint now, const TargetId& id, Outbox& out) {
  if (targets_.Depart(now, id) == nullptr) {
    return;
  }
  RecordGone(id, "it said so", out);
  Spread(id);
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

void RegistryCore::Spread(const TargetId& id) { changed_.insert(id); }

void RegistryCore::FlushChanged(TimePoint now, Outbox& out) {
  if (changed_.empty()) {
    return;
  }
  next_spread_ = now + kSpreadPeriodPerNode * static_cast<int64_t>(NodeCount());
  const std::vector<NodeId> nodes =
      IsMember(settings_.self_) ? OtherNodes() : MemberIds();
  std::vector<Endpoint> receivers;
  for (const NodeId& node : nodes) {
    if (node != settings_.self_) {
      receivers.push_back(To(node));
    }
  }
  out.SendToAll(std::move(receivers), GossipOf(now, changed_));
  changed_.clear();
}

void RegistryCore::FlushRefreshed(Outbox& out) {
  if (leader_.IsNone() || leader_ == settings_.self_) {
    refreshed_.clear();
    return;
  }
  TargetsHeard heard;
  for (const TargetId& id : refreshed_) {
    const DirectoryEntry* entry = targets_.Find(id);
    if (entry != nullptr) {
      heard.targets_.push_back(
          TargetHeard{id, entry->target_.start_ms_, entry->target_.sequence_});
    }
  }
  refreshed_.clear();
  if (!heard.targets_.empty()) {
    out.Send(To(leader_), std::move(heard));
  }
}

void RegistryCore::OnTargetsHeard(TimePoint now, const TargetsHeard& heard) {
  for (const TargetHeard& row : heard.targets_) {
    targets_.Refresh(now, row.target_, row.start_ms_, row.sequence_);
  }
}

void RegistryCore::JudgeSilence(TimePoint now, Outbox& out) {
  targets_.ExpireDeparted(now, kDepartedMemory);
  if (!MayLead(now)) {
    return;
  }
  TargetsSilent told;
  for (const TargetId& id :
       targets_.Expire(now, kRegistrationSilence, kDepartedMemory)) {
    RecordGone(id, "no registration for too long", out);
    told.dropped_.push_back(id);
  }
  told.silent_ = targets_.Silent(kMissedRegistrations);
  targets_.SetSilent(told.silent_);
  const bool repeat = !told.silent_.empty() && now >= next_silent_;
  if (told.silent_ == silent_ && told.dropped_.empty() && !repeat) {
    return;
  }
  next_silent_ = now + kSilentRepeat;
  silent_ = told.silent_;
  std::vector<Endpoint> receivers;
  for (const NodeId& node : OtherNodes()) {
    receivers.push_back(To(node));
  }
  out.SendToAll(std::move(receivers), std::move(told));
}

void RegistryCore::OnTargetsSilent(const NodeId& from,
                                   const TargetsSilent& silent, Outbox& out) {
  if (from != leader_) {
    return;
  }
  silent_ = silent.silent_;
  targets_.SetSilent(silent_);
  for (const TargetId& id : silent.dropped_) {
    // One that registers here is not lost.
    if (refreshed_.contains(id) || targets_.Find(id) == nullptr) {
      continue;
    }
    targets_.Drop(id);
    RecordGone(id, "the leader has had no registration for too long", out);
  }
}

void RegistryCore::CompareTables(const NodeId& from,
                                 const RegistryStatus& status, Outbox& out) {
  // Where a leader is known, its table counts.
  if (!status.grant_ && !leader_.IsNone() && from != leader_) {
    return;
  }
  if (!IsMember(from)) {
    return;
  }
  if (status.targets_digest_ == targets_.Digest()) {
    different_polls_ = 0;
    return;
  }
  if (++different_polls_ < kDifferentPolls) {
    return;
  }
  different_polls_ = 0;
  const auto& digests = targets_.PartDigests();
  out.Send(To(from), TargetQuery{{digests.begin(), digests.end()}});
}

void RegistryCore::OnTargetQuery(TimePoint now, const NodeId& from,
                                 const TargetQuery& query, Outbox& out) {
  const auto& own = targets_.PartDigests();
  TargetGossip reply;
  for (size_t part = 0; part < own.size() && part < query.digests_.size();
       ++part) {
    if (own[part] != query.digests_[part]) {
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
    out.Send(To(from), std::move(reply));
  }
}

void RegistryCore::SettleParts(TimePoint now, const NodeId& from,
                               const TargetGossip& gossip, Outbox& out) {
  std::map<TargetId, const TargetRegistration*> theirs;
  for (const TargetRegistration& row : gossip.targets_) {
    theirs[row.id_] = &row;
  }
  std::set<TargetId> newer;
  std::vector<TargetId> lost;
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
               now - entry.heard_ < kMissedRegistrations) {
      newer.insert(id);
    } else {
      lost.push_back(id);
    }
  }
  for (const TargetId& id : lost) {
    targets_.Drop(id);
    RecordGone(id, "unknown to the leader", out);
  }
  if (!newer.empty()) {
    out.Send(To(from), GossipOf(now, newer));
  }
}

void RegistryCore::OnGossip(TimePoint now, const NodeId& from,
                            const TargetGossip& gossip, Outbox& out) {
  const bool passes_on = IsMember(settings_.self_) && gossip.parts_.empty();
  // The leader passes changes on; other members only while it is missed.
  const bool is_first =
      leader_ == settings_.self_ || now - leader_heard_ > kLeaderMissed;
  for (const TargetRegistration& target : gossip.targets_) {
    const TargetDirectory::Change change = targets_.Merge(now, target);
    if (passes_on && is_first && change == TargetDirectory::Change::kChanged) {
      Spread(target.id_);
    }
  }
  if (!gossip.parts_.empty()) {
    SettleParts(now, from, gossip, out);
  }
}

}  // namespace gv
