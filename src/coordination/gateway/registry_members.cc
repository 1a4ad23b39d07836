/** @file registry_members.cc Polls, leases, the list of gateways and membership
 * changes of the registry. */
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

bool RegistryCore::HasRecentStatus(TimePoint now) const {
  constexpr Duration kStatusTimeout = 1500_ms;
  const std::vector<NodeId> ids = MemberIds();
  const bool only_member = ids.size() == 1 && ids.front() == settings_.self_;
  return only_member || now - last_answered_poll_ < kStatusTimeout;
}

LeaseOutlook RegistryCore::OutlookOfLease(TimePoint now) const {
  LeaseOutlook outlook;
  outlook.usual_election_ = kUsualElection;
  outlook.running_ = now - started_.value_or(now);
  const std::vector<NodeId> ids = MemberIds();
  if (ids.size() == 1 && ids.front() == settings_.self_) {
    outlook.has_contact_ = true;
    outlook.in_contact_ = outlook.running_;
    return outlook;
  }
  outlook.has_contact_ = contact_since_.has_value();
  if (outlook.has_contact_) {
    outlook.member_silence_ = now - last_status_;
    outlook.in_contact_ = now - *contact_since_;
    outlook.leader_is_named_ = status_names_leader_;
  } else {
    outlook.member_silence_ = outlook.running_;
  }
  return outlook;
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

std::vector<NodeId> RegistryCore::PollRecipients(TimePoint now) const {
  std::set<NodeId> recipients;
  for (const NodeId& member : MemberIds()) {
    recipients.insert(member);
  }
  // Members also poll the seeds regularly: after a restart of all gateways a
  // seed without a disk knows no other gateway, and some gateways may know only
  // that seed.
  const bool poll_seeds =
      replica_.has_value() && poll_number_ % kPollsPerSeedPoll == 0;
  if (recipients.empty() || poll_seeds ||
      now - last_leader_grant_ > kPollTimeout) {
    recipients.insert(settings_.seeds_.begin(), settings_.seeds_.end());
    recipients.insert(nodes_.begin(), nodes_.end());
  }
  recipients.erase(settings_.self_);
  return {recipients.begin(), recipients.end()};
}

void RegistryCore::SendPolls(TimePoint now, Outbox& out) {
  next_poll_ = now + (HasLease(now) ? kPollPeriod : kPollPeriodWithoutLease);
  RefreshNodes(now);
  if (IsActiveLeader(now)) {
    last_leader_grant_ = now;
    ExtendLease(now, now, committed_.Version(),
                committed_evacuations_.Revision(), out);
  }
  ++poll_number_;
  open_polls_[poll_number_] = now;
  while (!open_polls_.empty() &&
         now - open_polls_.begin()->second > kPollTimeout) {
    open_polls_.erase(open_polls_.begin());
  }
  RegistryPoll poll;
  poll.poll_ = poll_number_;
  poll.version_ = served_.Version();
  poll.nodes_digest_ = nodes_digest_;
  poll.targets_digest_ = targets_.Digest();
  poll.has_disk_ = replica_.has_value() && !is_stopping_;
  poll.evacuations_revision_ = evacuations_.Revision();
  for (const NodeId& node : PollRecipients(now)) {
    out.Send(ControlEndpoint(node), poll);
  }
}

void RegistryCore::RefreshNodes(TimePoint now) {
  if (!replica_ || !IsMember(settings_.self_)) {
    return;
  }
  std::erase_if(pollers_, [now](const auto& item) {
    return now - item.second.last_poll_ > kGatewayTimeout;
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
  if (now - last_leader_grant_ > kPollTimeout) {
    nodes_.insert(from);
  }
  const bool is_new = !pollers_.contains(from);
  Poller& poller = pollers_[from];
  const bool was_behind = poller.version_ < committed_.Version() &&
                          poller.version_ == poll.version_;
  poller.last_poll_ = now;
  if (is_new) {
    // Its lease may come with the answer; changes from now on are for it too.
    RefreshNodes(now);
  }
  poller.has_disk_ = poll.has_disk_;
  poller.version_ = poll.version_;
  RegistryStatus status;
  status.poll_ = poll.poll_;
  status.leader_ = leader_;
  status.grant_ = IsActiveLeader(now);
  status.version_ = committed_.Version();
  status.nodes_digest_ = nodes_digest_;
  status.targets_digest_ = targets_.Digest();
  status.members_ = MemberIds();
  status.parts_digest_ = parts_.Digest();
  status.evacuations_revision_ = committed_evacuations_.Revision();
  if (status.grant_ && poll.nodes_digest_ != nodes_digest_) {
    status.nodes_.assign(nodes_.begin(), nodes_.end());
  }
  out.Send(ControlEndpoint(from), std::move(status));
  if (poll.evacuations_revision_ < committed_evacuations_.Revision()) {
    out.Send(ControlEndpoint(from), MakeEvacuationPush());
  }
  const bool behind = poll.version_ < committed_.Version();
  if (behind && (was_behind || IsActiveLeader(now))) {
    out.Send(ControlEndpoint(from),
             ConfigurationPush{committed_.Version(), committed_.Text()});
    poller.version_ = committed_.Version();
  }
}

void RegistryCore::OnStatus(TimePoint now, const NodeId& from,
                            const RegistryStatus& status, Outbox& out) {
  const auto sent = open_polls_.find(status.poll_);
  if (sent == open_polls_.end()) {
    return;
  }
  last_answered_poll_ = std::max(last_answered_poll_, sent->second);
  if (!contact_since_ || now - last_status_ > kPollTimeout) {
    contact_since_ = now;
  }
  last_status_ = now;
  status_names_leader_ = !status.leader_.IsNone();
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
    last_leader_grant_ = now;
    ExtendLease(now, sent->second, status.version_,
                status.evacuations_revision_, out);
    if (!status.nodes_.empty() && !(replica_ && IsMember(settings_.self_))) {
      nodes_ = {status.nodes_.begin(), status.nodes_.end()};
      nodes_.insert(settings_.self_);
      nodes_digest_ = DigestOf(nodes_);
    }
  }
  CompareTargetTables(from, status, out);
  ComparePartTables(now, from, status, out);
}

void RegistryCore::ExtendLease(TimePoint now, TimePoint sent, uint64_t version,
                               uint64_t evacuations, Outbox& out) {
  if (served_.Version() < version || evacuations_.Revision() < evacuations) {
    return;
  }
  const bool had_lease = HasLease(now);
  const Duration length = settings_.revocation_bound_ - kLeaseMargin;
  lease_until_ = std::max(lease_until_, sent + length);
  if (!had_lease && HasLease(now)) {
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
    if (poller.version_ < committed_.Version()) {
      behind.push_back(ControlEndpoint(node));
      poller.version_ = committed_.Version();
    }
  }
  out.SendToAll(std::move(behind),
                ConfigurationPush{committed_.Version(), committed_.Text()});
}

void RegistryCore::UpdateMembership(TimePoint now, Outbox& out) {
  if (!IsActiveLeader(now) || now - leader_since_ < kLeaderSettle) {
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
               std::string(NameOf(kMembershipActionNames, change->action_)) +
               DescribeMembers(now),
           out);
  }
}

Duration RegistryCore::SilenceOf(TimePoint now,
                                 const ReplicaProgress& replica) const {
  // Answers tell of the time since this leader was elected, polls of the time
  // before. A poll alone does not prove that the member gets what is sent.
  const auto poller = pollers_.find(replica.node_);
  const TimePoint polled = poller != pollers_.end() ? poller->second.last_poll_
                                                    : started_.value_or(now);
  return now - std::max(replica.heard_, std::min(polled, leader_since_));
}

bool RegistryCore::IsLeaving(const NodeId& node) const {
  if (node == settings_.self_) {
    return is_stopping_;
  }
  const auto poller = pollers_.find(node);
  return poller != pollers_.end() && !poller->second.has_disk_;
}

std::string RegistryCore::DescribeMembers(TimePoint now) const {
  std::string text;
  for (const ReplicaProgress& replica : replica_->Progress(now)) {
    text += " " + replica.node_.Value() + "=";
    text += replica.voter_ ? "voter" : "learner";
    if (!replica.active_) {
      text += ",silent_ms=" + std::to_string(SilenceOf(now, replica).Ms());
    }
    text += IsLeaving(replica.node_) ? ",leaving" : "";
    text += replica.disk_lost_ ? ",disk-lost" : "";
  }
  return text;
}

std::optional<MembershipChange> RegistryCore::NextMembershipChange(
    TimePoint now) const {
  const std::vector<ReplicaProgress> replicas = replica_->Progress(now);
  int64_t voters = 0;
  int64_t lasting_voters = 0;
  const ReplicaProgress* ready_learner = nullptr;
  for (const ReplicaProgress& replica : replicas) {
    const bool lasts = replica.active_ && !IsLeaving(replica.node_);
    if (replica.voter_ && replica.disk_lost_) {
      return MembershipChange{MembershipAction::kAddLearner, replica.node_};
    }
    voters += replica.voter_ ? 1 : 0;
    lasting_voters += replica.voter_ && lasts ? 1 : 0;
    if (!replica.voter_ && lasts && replica.caught_up_) {
      ready_learner = &replica;
    }
  }
  // A voter more raises the quorum of an odd group. While a voter is missing it
  // leaves first, as otherwise the group would need all others.
  const bool may_promote = voters % 2 == 0 || lasting_voters == voters;
  if (ready_learner != nullptr && may_promote) {
    return MembershipChange{MembershipAction::kPromote, ready_learner->node_};
  }
  const bool has_spare = ready_learner != nullptr ||
                         lasting_voters >= 2 * settings_.tolerated_losses_ + 1;
  for (const ReplicaProgress& replica : replicas) {
    const bool is_gone =
        IsLeaving(replica.node_) || SilenceOf(now, replica) > kMemberTimeout;
    if (is_gone && (has_spare || !replica.voter_)) {
      return MembershipChange{MembershipAction::kRemove, replica.node_};
    }
  }
  for (const auto& [node, poller] : pollers_) {
    const bool polls = now - poller.last_poll_ < kMemberTimeout;
    if (polls && poller.has_disk_ && !IsMember(node)) {
      return MembershipChange{MembershipAction::kAddLearner, node};
    }
  }
  return std::nullopt;
}

}  // namespace gv
