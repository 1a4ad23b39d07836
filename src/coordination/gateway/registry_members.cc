/** @file registry_members.cc Polls, leases, the list of gateways and the
 * membership of the registry. */
#include <xxhash.h>

#include <algorithm>

#include "coordination/gateway/registry_core.h"

namespace gv {
namespace {

uint64_t DigestOf(const std::set<NodeId>& nodes) {
  uint64_t digest = 0;
  for (const NodeId& node : nodes) {
    digest ^= XXH3_64bits(node.Value().data(), node.Value().size());
  }
  return digest;
}

}  // namespace

std::vector<NodeId> RegistryCore::MemberIds() const {
  if (!replica_) {
    return members_;
  }
  std::vector<NodeId> ids;
  for (const ReplicaMember& member : replica_->Members()) {
    ids.push_back(member.node_);
  }
  return ids.empty() ? members_ : ids;
}

bool RegistryCore::IsMember(const NodeId& node) const {
  const std::vector<NodeId> ids = MemberIds();
  return std::find(ids.begin(), ids.end(), node) != ids.end();
}

bool RegistryCore::InTouch(TimePoint now) const {
  constexpr Duration kMostSilence = 1500_ms;
  const std::vector<NodeId> ids = MemberIds();
  const bool alone = ids.size() == 1 && ids.front() == settings_.self_;
  return alone || now - status_heard_ < kMostSilence;
}

std::vector<NodeId> RegistryCore::OtherNodes() const {
  std::vector<NodeId> others;
  for (const NodeId& node : nodes_) {
    if (node != settings_.self_) {
      others.push_back(node);
    }
  }
  return others;
}

std::vector<NodeId> RegistryCore::PollTargets(TimePoint now) const {
  std::set<NodeId> targets;
  for (const NodeId& member : MemberIds()) {
    targets.insert(member);
  }
  // Members also greet the seeds now and then: after a restart of everything a
  // seed without a disk knows nobody, and others may know only that seed.
  const bool greet = replica_.has_value() && poll_ % kGreetingPolls == 0;
  if (targets.empty() || greet || now - leader_heard_ > kPollTimeout) {
    targets.insert(settings_.seeds_.begin(), settings_.seeds_.end());
    targets.insert(nodes_.begin(), nodes_.end());
  }
  targets.erase(settings_.self_);
  return {targets.begin(), targets.end()};
}

void RegistryCore::Poll(TimePoint now, Outbox& out) {
  next_poll_ = now + (HasLease(now) ? kPollPeriod : kEagerPollPeriod);
  RefreshNodes(now);
  if (MayLead(now)) {
    leader_heard_ = now;
    ExtendLease(now, now, accepted_.Version(), out);
  }
  ++poll_;
  polls_[poll_] = now;
  while (!polls_.empty() && now - polls_.begin()->second > kPollTimeout) {
    polls_.erase(polls_.begin());
  }
  RegistryPoll poll;
  poll.poll_ = poll_;
  poll.version_ = served_.Version();
  poll.nodes_digest_ = nodes_digest_;
  poll.targets_digest_ = targets_.Digest();
  poll.has_disk_ = replica_.has_value();
  for (const NodeId& node : PollTargets(now)) {
    out.Send(To(node), poll);
  }
}

void RegistryCore::RefreshNodes(TimePoint now) {
  if (!replica_ || !IsMember(settings_.self_)) {
    return;
  }
  std::erase_if(pollers_, [now](const auto& item) {
    return now - item.second.heard_ > kNodeSilence;
  });
  nodes_.clear();
  nodes_.insert(settings_.self_);
  for (const auto& [node, poller] : pollers_) {
    nodes_.insert(node);
  }
  nodes_digest_ = DigestOf(nodes_);
}

void RegistryCore::OnPoll(TimePoint now, const NodeId& from,
                          const RegistryPoll& poll, Outbox& out) {
  if (now - leader_heard_ > kPollTimeout) {
    nodes_.insert(from);
  }
  Poller& poller = pollers_[from];
  const bool was_behind =
      poller.version_ < accepted_.Version() && poller.version_ == poll.version_;
  poller.heard_ = now;
  poller.has_disk_ = poll.has_disk_;
  poller.version_ = poll.version_;
  RegistryStatus status;
  status.poll_ = poll.poll_;
  status.leader_ = leader_;
  status.grant_ = MayLead(now);
  status.version_ = accepted_.Version();
  status.nodes_digest_ = nodes_digest_;
  status.targets_digest_ = targets_.Digest();
  status.members_ = MemberIds();
  if (status.grant_ && poll.nodes_digest_ != nodes_digest_) {
    status.nodes_.assign(nodes_.begin(), nodes_.end());
  }
  out.Send(To(from), std::move(status));
  const bool behind = poll.version_ < accepted_.Version();
  if (behind && (was_behind || MayLead(now))) {
    out.Send(To(from),
             ConfigurationPush{accepted_.Version(), accepted_.Text()});
    poller.version_ = accepted_.Version();
  }
}

void RegistryCore::OnStatus(TimePoint now, const NodeId& from,
                            const RegistryStatus& status, Outbox& out) {
  const auto sent = polls_.find(status.poll_);
  if (sent == polls_.end()) {
    return;
  }
  status_heard_ = std::max(status_heard_, sent->second);
  if (!replica_ || replica_->Members().empty()) {
    if (!status.members_.empty()) {
      members_ = status.members_;
    }
    if (!status.leader_.IsNone() && (status.grant_ || !HasLease(now))) {
      leader_ = status.leader_;
    }
  }
  if (status.grant_) {
    if (leader_ != from) {
      Record(EventId::kLeaderFollowed, "leader=" + from.Value(), out);
    }
    leader_ = from;
    leader_heard_ = now;
    ExtendLease(now, sent->second, status.version_, out);
    if (!status.nodes_.empty() && !(replica_ && IsMember(settings_.self_))) {
      nodes_ = {status.nodes_.begin(), status.nodes_.end()};
      nodes_.insert(settings_.self_);
      nodes_digest_ = DigestOf(nodes_);
    }
  }
  CompareTables(from, status, out);
}

void RegistryCore::ExtendLease(TimePoint now, TimePoint sent, uint64_t version,
                               Outbox& out) {
  if (served_.Version() < version) {
    return;
  }
  const bool had = HasLease(now);
  const Duration length = settings_.revocation_ - kLeaseMargin;
  lease_until_ = std::max(lease_until_, sent + length);
  if (!had && HasLease(now)) {
    Record(EventId::kLeaseGranted,
           "version=" + std::to_string(version) + " leader=" + leader_.Value(),
           out);
  }
}

void RegistryCore::OnPush(const ConfigurationPush& push, Outbox& out) {
  if (push.version_ > served_.Version()) {
    Serve(push.version_, push.text_, out);
  }
}

void RegistryCore::Serve(uint64_t version, const std::string& text,
                         Outbox& out) {
  served_.Put(version, text);
  Event event;
  event.id_ = EventId::kSettingsApplied;
  event.revision_ = Revision(version);
  event.detail_ = "bytes=" + std::to_string(text.size());
  out.Record(std::move(event));
}

void RegistryCore::PushToPollers(Outbox& out) {
  std::vector<Endpoint> behind;
  for (auto& [node, poller] : pollers_) {
    if (poller.version_ < accepted_.Version()) {
      behind.push_back(To(node));
      poller.version_ = accepted_.Version();
    }
  }
  out.SendToAll(std::move(behind),
                ConfigurationPush{accepted_.Version(), accepted_.Text()});
}

void RegistryCore::SteerMembership(TimePoint now, Outbox& out) {
  if (!MayLead(now) || now - led_since_ < kPollTimeout) {
    return;
  }
  const auto change = NextMembershipChange(now);
  if (!change) {
    return;
  }
  const Result<LogIndex> index = replica_->ProposeMembership(now, *change, out);
  if (index.has_value()) {
    Record(EventId::kMembershipProposed,
           "node=" + change->node_.Value() + " action=" +
               std::string(NameOf(kMembershipActionNames, change->action_)),
           out);
  }
}

std::optional<MembershipChange> RegistryCore::NextMembershipChange(
    TimePoint now) const {
  const std::vector<ReplicaProgress> rows = replica_->Progress(now);
  int64_t active_voters = 0;
  for (const ReplicaProgress& row : rows) {
    active_voters += row.voter_ && row.active_ && !row.disk_lost_ ? 1 : 0;
    if (row.voter_ && row.disk_lost_) {
      return MembershipChange{MembershipAction::kAddLearner, row.node_};
    }
    if (!row.voter_ && row.active_ && row.caught_up_) {
      return MembershipChange{MembershipAction::kPromote, row.node_};
    }
  }
  for (const auto& [node, poller] : pollers_) {
    if (poller.has_disk_ && !IsMember(node)) {
      return MembershipChange{MembershipAction::kAddLearner, node};
    }
  }
  const bool enough = active_voters >= 2 * settings_.tolerated_losses_ + 1;
  for (const ReplicaProgress& row : rows) {
    const auto poller = pollers_.find(row.node_);
    const bool silent = !row.active_ && poller == pollers_.end() &&
                        now - led_since_ > kVoterSilence &&
                        row.node_ != settings_.self_;
    if (silent && (enough || !row.voter_)) {
      return MembershipChange{MembershipAction::kRemove, row.node_};
    }
  }
  return std::nullopt;
}

}  // namespace gv
