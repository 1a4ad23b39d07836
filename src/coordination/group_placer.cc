/** @file group_placer.cc Reserves memory on several engines for one prompt. */
#include "coordination/group_placer.h"

#include <algorithm>
#include <utility>

namespace gv {
namespace {

constexpr Duration kFullPause(400);  ///< Before a full engine is asked again.
constexpr Duration kRetryPause(50);  ///< Between two tries of a group.
constexpr int64_t kUsablePercent = 75;  ///< Of an engine, for a group.
constexpr size_t kMostMembers = 16;     ///< Engines of one group.
constexpr size_t kMostGroups = 1024;    ///< Waiting and placed.

}  // namespace

void GroupPlacer::OnMessage(TimePoint now, const Envelope& in,
                            const std::vector<TargetInfo>& targets,
                            Outbox& out) {
  if (const auto* request = std::get_if<GroupRequest>(&in.body_)) {
    OnRequest(now, in.from_.node_, *request, targets, out);
  } else if (const auto* renew = std::get_if<GroupRenew>(&in.body_)) {
    OnRenew(now, *renew, out);
  } else if (const auto* held = std::get_if<GroupHeld>(&in.body_)) {
    OnHeld(now, *held, out);
  } else if (std::holds_alternative<Tick>(in.body_)) {
    OnTick(now, targets, out);
  }
}

void GroupPlacer::OnRequest(TimePoint now, const NodeId& entry,
                            const GroupRequest& request,
                            const std::vector<TargetInfo>& targets,
                            Outbox& out) {
  const auto known = groups_.find(request.request_);
  if (known != groups_.end()) {
    if (known->second.phase_ == Phase::kPlaced) {
      SendReply(known->second, out);
    }
    return;
  }
  Group group;
  group.request_ = request;
  group.entry_ = entry;
  group.deadline_ = now + request.time_left_;
  if (groups_.size() >= kMostGroups) {
    GiveUp(group, Reason::kOverloaded, out);
    return;
  }
  if (PickMembers(now, group, targets).empty() && TakenTargets(now).empty()) {
    GiveUp(group, Reason::kNoTarget, out);
    return;
  }
  Group& kept = groups_[request.request_];
  kept = std::move(group);
  TryPlace(now, kept, targets, out);
}

int64_t GroupPlacer::Allowance(const ModelId& model, int64_t engines) const {
  int64_t wanted = 0;
  for (const auto& [request, group] : groups_) {
    if (group.request_.model_ == model) {
      wanted +=
          std::max<int64_t>(2, static_cast<int64_t>(group.members_.size()));
    }
  }
  const int64_t least = std::max<int64_t>(2, engines * kLeastPercent / 100);
  const int64_t most = std::max<int64_t>(least, engines * kMostPercent / 100);
  return std::clamp(wanted, least, most);
}

int64_t GroupPlacer::TakenEngines(const ModelId& model) const {
  std::set<TargetId> taken;
  for (const auto& [request, group] : groups_) {
    if (group.request_.model_ == model && group.phase_ != Phase::kWaiting) {
      for (const Member& member : group.members_) {
        taken.insert(member.target_);
      }
    }
  }
  return static_cast<int64_t>(taken.size());
}

int64_t GroupPlacer::UsableMemory(const TargetInfo& target) const {
  return target.memory_tokens_ * kUsablePercent / 100;
}

std::set<TargetId> GroupPlacer::TakenTargets(TimePoint now) const {
  std::set<TargetId> taken;
  for (const auto& [request, group] : groups_) {
    if (group.phase_ == Phase::kWaiting) {
      continue;
    }
    for (const Member& member : group.members_) {
      taken.insert(member.target_);
    }
  }
  for (const auto& [target, until] : full_until_) {
    if (now < until) {
      taken.insert(target);
    }
  }
  return taken;
}

void GroupPlacer::Withdraw(TimePoint now, Group& group, Outbox& out) {
  full_until_[group.members_[group.next_member_].target_] = now + kFullPause;
  ReleaseMembers(group, out);
  group.phase_ = Phase::kWaiting;
  group.members_.clear();
  group.try_from_ = now + kRetryPause;
}

GroupPlacer::FreeEngines GroupPlacer::FindFree(
    TimePoint now, const Group& group,
    const std::vector<TargetInfo>& targets) const {
  const std::set<TargetId> taken = TakenTargets(now);
  FreeEngines found;
  std::map<DataCentreId, std::vector<const TargetInfo*>> by_centre;
  for (const TargetInfo& target : targets) {
    if (target.model_ != group.request_.model_ ||
        target.kind_ != TargetKind::kEngine ||
        target.state_ != TargetState::kServing) {
      continue;
    }
    ++found.engines_;
    if (!taken.contains(target.target_)) {
      by_centre[target.data_centre_].push_back(&target);
    }
  }
  // A group never spans data centres: KV traffic between them is too slow.
  int64_t best_memory = 0;
  for (auto& [centre, free] : by_centre) {
    int64_t memory = 0;
    for (const TargetInfo* target : free) {
      memory += UsableMemory(*target);
    }
    if (memory >= group.request_.tokens_ && memory > best_memory) {
      found.free_ = std::move(free);
      best_memory = memory;
    }
  }
  std::sort(found.free_.begin(), found.free_.end(),
            [](const TargetInfo* a, const TargetInfo* b) {
              return a->memory_tokens_ != b->memory_tokens_
                         ? a->memory_tokens_ > b->memory_tokens_
                         : a->target_ < b->target_;
            });
  return found;
}

std::vector<GroupPlacer::Member> GroupPlacer::PickMembers(
    TimePoint now, const Group& group,
    const std::vector<TargetInfo>& targets) const {
  const FreeEngines found = FindFree(now, group, targets);
  std::vector<Member> members;
  int64_t left = group.request_.tokens_;
  for (const TargetInfo* target : found.free_) {
    if (left <= 0) {
      break;
    }
    const int64_t part = std::min(left, UsableMemory(*target));
    members.push_back({target->target_, target->agent_, part, false});
    left -= part;
  }
  const auto needed = static_cast<int64_t>(members.size());
  const int64_t taken = TakenEngines(group.request_.model_);
  const int64_t allowed = Allowance(group.request_.model_, found.engines_);
  const bool fits = taken == 0 || taken + needed <= std::max(needed, allowed);
  if (left > 0 || members.size() > kMostMembers || !fits) {
    return {};
  }
  std::sort(
      members.begin(), members.end(),
      [](const Member& a, const Member& b) { return a.target_ < b.target_; });
  return members;
}

void GroupPlacer::TryPlace(TimePoint now, Group& group,
                           const std::vector<TargetInfo>& targets,
                           Outbox& out) {
  if (now < group.try_from_) {
    return;
  }
  group.members_ = PickMembers(now, group, targets);
  if (group.members_.empty()) {
    group.try_from_ = now + kRetryPause;
    return;
  }
  group.phase_ = Phase::kGathering;
  group.lease_ = LeaseId((group.request_.request_.Value() << 8) ^ next_lease_);
  ++next_lease_;
  group.next_member_ = 0;
  AskNext(now, group, out);
}

void GroupPlacer::AskNext(TimePoint now, Group& group, Outbox& out) const {
  const Member& member = group.members_[group.next_member_];
  group.asked_at_ = now;
  out.Send({member.agent_, Port::kAgent},
           GroupHold{group.request_.request_, group.lease_, member.tokens_,
                     kLease, false});
}

void GroupPlacer::OnHeld(TimePoint now, const GroupHeld& held, Outbox& out) {
  for (auto& [request, group] : groups_) {
    if (group.lease_ != held.lease_ || group.phase_ != Phase::kGathering) {
      continue;
    }
    Member& member = group.members_[group.next_member_];
    if (member.target_ != held.target_) {
      return;
    }
    if (!held.held_) {
      Withdraw(now, group, out);
      return;
    }
    member.held_ = true;
    ++group.next_member_;
    if (group.next_member_ < group.members_.size()) {
      AskNext(now, group, out);
      return;
    }
    group.phase_ = Phase::kPlaced;
    group.lease_until_ = now + kLease;
    out.Record(Event{EventId::kGroupPlaced,
                     {},
                     {},
                     request,
                     {},
                     {},
                     {},
                     std::to_string(group.members_.size()) + " engines"});
    SendReply(group, out);
    return;
  }
}

void GroupPlacer::SendReply(const Group& group, Outbox& out) const {
  GroupReply reply;
  reply.request_ = group.request_.request_;
  reply.granted_ = true;
  reply.lease_ = group.lease_;
  reply.duration_ = kLease;
  for (const Member& member : group.members_) {
    reply.targets_.push_back(member.target_);
  }
  out.Send({group.entry_, Port::kEntry}, reply);
}

void GroupPlacer::OnRenew(TimePoint now, const GroupRenew& renew, Outbox& out) {
  const auto entry = groups_.find(renew.request_);
  if (entry == groups_.end()) {
    return;
  }
  Group& group = entry->second;
  if (renew.release_) {
    ReleaseMembers(group, out);
    groups_.erase(entry);
    return;
  }
  if (group.phase_ != Phase::kPlaced || group.lease_ != renew.lease_) {
    return;
  }
  group.lease_until_ = now + kLease;
  for (const Member& member : group.members_) {
    out.Send(
        {member.agent_, Port::kAgent},
        GroupHold{renew.request_, group.lease_, member.tokens_, kLease, false});
  }
}

void GroupPlacer::OnTick(TimePoint now, const std::vector<TargetInfo>& targets,
                         Outbox& out) {
  for (auto entry = groups_.begin(); entry != groups_.end();) {
    Group& group = entry->second;
    const bool placed = group.phase_ == Phase::kPlaced;
    const TimePoint end = placed ? group.lease_until_ : group.deadline_;
    if (now >= end) {
      ReleaseMembers(group, out);
      if (!placed) {
        GiveUp(group, Reason::kDeadline, out);
      }
      entry = groups_.erase(entry);
      continue;
    }
    const bool silent = now - group.asked_at_ >= kHoldTimeout;
    if (group.phase_ == Phase::kWaiting) {
      TryPlace(now, group, targets, out);
    } else if (group.phase_ == Phase::kGathering && silent) {
      // A silent member counts as a refusal; nobody waits while holding.
      Withdraw(now, group, out);
    }
    ++entry;
  }
}

void GroupPlacer::ReleaseMembers(const Group& group, Outbox& out) const {
  if (group.phase_ == Phase::kWaiting) {
    return;
  }
  for (const Member& member : group.members_) {
    out.Send(
        {member.agent_, Port::kAgent},
        GroupHold{group.request_.request_, group.lease_, 0, Duration(0), true});
  }
  out.Record(Event{EventId::kGroupReleased,
                   {},
                   {},
                   group.request_.request_,
                   {},
                   {},
                   {},
                   ""});
}

void GroupPlacer::GiveUp(const Group& group, Reason reason, Outbox& out) const {
  GroupReply reply;
  reply.request_ = group.request_.request_;
  reply.verdict_ = NotRun(reason, "no group of engines for the prompt");
  out.Send({group.entry_, Port::kEntry}, reply);
}

}  // namespace gv
