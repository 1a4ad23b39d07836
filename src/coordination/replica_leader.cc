/** @file replica_leader.cc Replication rounds, lease and commit of a leader. */
#include <algorithm>
#include <functional>

#include "coordination/replica_core.h"

namespace gv {
namespace {

/** Part of the lease that the leader uses, so that clocks may drift. */
constexpr int64_t kLeaseNumerator = 9;
constexpr int64_t kLeaseDenominator = 10;
/** Entries that a learner may lack when it is promoted. */
constexpr uint64_t kMaxPromotionLag = 64;

}  // namespace

void ReplicaCore::SyncPeers(TimePoint heard) {
  for (const ReplicaMember& member : Membership().All()) {
    if (member.node_ == settings_.self_ || peers_.contains(member.node_)) {
      continue;
    }
    Peer peer;
    peer.next_ = log_.LastIndex().Next();
    peer.heard_ = heard;
    peers_.emplace(member.node_, peer);
  }
  std::erase_if(peers_, [this](const auto& item) {
    return Membership().Find(item.first) == nullptr;
  });
}

void ReplicaCore::StartRound(TimePoint now, Outbox& out) {
  ++round_;
  rounds_.emplace_back(round_, now);
  const uint64_t confirmed = QuorumRound();
  while (rounds_.size() > 1 && rounds_[1].first <= confirmed) {
    rounds_.pop_front();
  }
  next_heartbeat_ = now + settings_.heartbeat_;
  for (auto& [node, peer] : peers_) {
    SendHeartbeat(node, peer, out);
  }
}

void ReplicaCore::SendHeartbeat(const NodeId& node, Peer& peer, Outbox& out) {
  const LogIndex previous = peer.next_.Previous();
  peer.snapshot_ = peer.snapshot_ || previous < log_.BaseIndex();
  if (peer.snapshot_) {
    SendAppend(node, log_.BaseIndex(), {}, out);
    SendSnapshotChunk(node, peer, out);
  } else {
    SendAppend(node, previous, {}, out);
  }
}

void ReplicaCore::SendEntries(const NodeId& node, Peer& peer, Outbox& out) {
  if (peer.probing_ || peer.snapshot_) {
    return;
  }
  while (peer.next_ <= log_.LastIndex() &&
         log_.Bytes(peer.match_.Next(), peer.next_) < settings_.window_bytes_) {
    std::vector<LogEntry> entries =
        log_.Slice(peer.next_, settings_.batch_bytes_);
    const LogIndex previous = peer.next_.Previous();
    peer.next_ = entries.back().index_.Next();
    SendAppend(node, previous, std::move(entries), out);
  }
}

void ReplicaCore::SendAppend(const NodeId& node, LogIndex previous,
                             std::vector<LogEntry> entries, Outbox& out) {
  AppendRequest request;
  request.term_ = term_;
  request.previous_index_ = previous;
  request.previous_term_ = log_.TermAt(previous).value_or(Term());
  request.commit_index_ = commit_;
  request.round_ = round_;
  request.entries_ = std::move(entries);
  out.Send(To(node), std::move(request));
}

void ReplicaCore::NoteDisk(Peer& peer, Incarnation disk) const {
  if (peer.disk_ == disk) {
    return;
  }
  const LogIndex next = peer.next_;
  peer = Peer();
  peer.next_ = next;
  peer.disk_ = disk;
}

void ReplicaCore::OnAppendReply(TimePoint now, const NodeId& from,
                                const AppendReply& reply, Outbox& out) {
  if (reply.term_ > term_) {
    BecomeFollower(now, reply.term_, out);
    return;
  }
  const auto found = peers_.find(from);
  if (!IsLeader() || reply.term_ != term_ || found == peers_.end()) {
    return;
  }
  Peer& peer = found->second;
  NoteDisk(peer, reply.disk_);
  peer.heard_ = now;
  peer.acked_round_ = std::max(peer.acked_round_, reply.round_);
  if (reply.success_) {
    peer.match_ = std::max(peer.match_, reply.match_index_);
    peer.next_ = std::max(peer.next_, peer.match_.Next());
    peer.probing_ = false;
    peer.snapshot_ = peer.snapshot_ && peer.match_ < peer.snapshot_index_;
  } else if (!peer.snapshot_) {
    ProbeFrom(from, peer, reply.match_index_, out);
  }
  AdvanceCommit(out);
  if (!IsLeader()) {
    return;
  }
  if (!peer.snapshot_ && peer.next_ <= log_.BaseIndex()) {
    peer.snapshot_ = true;
    peer.snapshot_index_ = LogIndex();
    SendSnapshotChunk(from, peer, out);
    return;
  }
  SendEntries(from, peer, out);
}

void ReplicaCore::ProbeFrom(const NodeId& node, Peer& peer, LogIndex hint,
                            Outbox& out) {
  const LogIndex retry = std::min(hint, log_.LastIndex());
  const LogIndex next = std::max(retry, peer.match_).Next();
  if (peer.probing_ && next == peer.next_) {
    return;
  }
  peer.probing_ = true;
  peer.next_ = next;
  if (next > log_.BaseIndex()) {
    SendAppend(node, next.Previous(), log_.Slice(next, settings_.batch_bytes_),
               out);
  }
}

bool ReplicaCore::CountsForQuorum(const NodeId& node, const Peer& peer) const {
  return Membership().IsVoter(node, peer.disk_);
}

void ReplicaCore::AdvanceCommit(Outbox& out) {
  std::vector<LogIndex> matches;
  if (IsVoter()) {
    matches.push_back(disk_.Durable());
  }
  for (const auto& [node, peer] : peers_) {
    if (CountsForQuorum(node, peer)) {
      matches.push_back(peer.match_);
    }
  }
  const size_t quorum = Membership().Quorum();
  if (matches.size() < quorum) {
    return;
  }
  std::sort(matches.begin(), matches.end(), std::greater<>());
  const LogIndex index = std::min(matches[quorum - 1], log_.LastIndex());
  if (index <= commit_ || log_.TermAt(index) != term_) {
    return;
  }
  Commit(index, out);
  const bool removed = Membership().Find(settings_.self_) == nullptr;
  if (removed && memberships_.back().first <= commit_) {
    for (auto& [node, peer] : peers_) {
      SendHeartbeat(node, peer, out);
    }
    Record(EventId::kLeaderLost, "this replica was removed", out);
    role_ = ReplicaRole::kFollower;
    leader_ = NodeId();
    peers_.clear();
  }
}

uint64_t ReplicaCore::QuorumRound() const {
  std::vector<uint64_t> acked;
  if (IsVoter()) {
    acked.push_back(round_);
  }
  for (const auto& [node, peer] : peers_) {
    if (CountsForQuorum(node, peer)) {
      acked.push_back(peer.acked_round_);
    }
  }
  const size_t quorum = Membership().Quorum();
  if (acked.size() < quorum) {
    return 0;
  }
  std::sort(acked.begin(), acked.end(), std::greater<>());
  return acked[quorum - 1];
}

std::optional<TimePoint> ReplicaCore::RoundSentAt(uint64_t round) const {
  std::optional<TimePoint> sent;
  for (const auto& [number, at] : rounds_) {
    if (number <= round || !sent.has_value()) {
      sent = at;
    }
  }
  return sent;
}

bool ReplicaCore::HasLeaderLease(TimePoint now) const {
  if (!IsLeader()) {
    return false;
  }
  const uint64_t round = QuorumRound();
  if (rounds_.empty() || round < rounds_.front().first) {
    return false;
  }
  const Duration usable =
      settings_.lease_ * kLeaseNumerator / kLeaseDenominator;
  if (Membership().VoterCount() == 1) {
    return true;
  }
  return now < *RoundSentAt(round) + usable;
}

bool ReplicaCore::IsCaughtUp(const Peer& peer) const {
  return !peer.snapshot_ && !peer.probing_ && peer.match_ >= commit_ &&
         peer.match_.Value() + kMaxPromotionLag >= log_.LastIndex().Value();
}

std::vector<ReplicaProgress> ReplicaCore::Progress(TimePoint now) const {
  std::vector<ReplicaProgress> rows;
  if (!IsLeader()) {
    return rows;
  }
  for (const ReplicaMember& member : Membership().All()) {
    ReplicaProgress row;
    row.node_ = member.node_;
    row.voter_ = member.voter_;
    if (member.node_ == settings_.self_) {
      row.match_ = disk_.Durable();
      row.caught_up_ = true;
      row.active_ = true;
      row.heard_ = now;
    } else if (const auto found = peers_.find(member.node_);
               found != peers_.end()) {
      const Peer& peer = found->second;
      row.match_ = peer.match_;
      row.caught_up_ = IsCaughtUp(peer);
      row.heard_ = peer.heard_;
      row.active_ = now - peer.heard_ < settings_.election_max_;
      row.disk_lost_ =
          member.voter_ && !peer.disk_.IsNone() && peer.disk_ != member.disk_;
    }
    row.lag_ = log_.LastIndex().Value() -
               std::min(row.match_, log_.LastIndex()).Value();
    rows.push_back(std::move(row));
  }
  return rows;
}

}  // namespace gv
