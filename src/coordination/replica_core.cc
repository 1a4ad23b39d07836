/** @file replica_core.cc Dispatch of messages, roles, commit and membership of
 * a replica. */
#include "coordination/replica_core.h"

#include <algorithm>
#include <boost/outcome/try.hpp>
#include <type_traits>

namespace gv {

ReplicaCore::ReplicaCore(ReplicaSettings settings, PersistedReplica persisted)
    : settings_(std::move(settings)),
      disk_identity_(persisted.disk_),
      bootstrap_(persisted.bootstrap_),
      ready_(persisted.ready_),
      disk_(persisted.entries_.empty() ? persisted.snapshot_index_
                                       : persisted.entries_.back().index_),
      term_(persisted.term_),
      voted_for_(std::move(persisted.voted_for_)),
      commit_(persisted.snapshot_index_),
      taken_(persisted.snapshot_index_),
      reported_(persisted.snapshot_index_),
      snapshot_index_(persisted.snapshot_index_),
      snapshot_term_(persisted.snapshot_term_),
      snapshot_(std::move(persisted.snapshot_)),
      random_(settings_.seed_) {
  log_.Reset(snapshot_index_, snapshot_term_);
  ReplicaMembership first;
  if (persisted.bootstrap_) {
    first = ReplicaMembership::Bootstrap(settings_.initial_members_);
  }
  if (!snapshot_index_.IsNone()) {
    Result<ReplicaSnapshot> snapshot = DecodeSnapshot(snapshot_);
    if (snapshot.has_value()) {
      first = std::move(snapshot.value().members_);
      installed_ = std::move(snapshot.value().data_);
    }
  }
  memberships_.emplace_back(snapshot_index_, std::move(first));
  Outbox ignored(To(settings_.self_));
  for (LogEntry& entry : persisted.entries_) {
    PushMembership(entry, ignored);
    log_.Append(std::move(entry));
  }
  term_ = std::max(term_, log_.LastTerm());
}

void ReplicaCore::OnMessage(TimePoint now, const Envelope& in, Outbox& out) {
  if (!started_) {
    Start(now);
  }
  if (!disk_.HasFailed()) {
    Dispatch(now, in, out);
  }
}

void ReplicaCore::Start(TimePoint now) {
  started_ = true;
  leader_heard_ = now;
  ResetElectionTimer(now);
  if ((IsVoter() || IsFirstStart()) && Membership().VoterCount() == 1) {
    leader_heard_ = now - settings_.election_min_;
    election_deadline_ = now;
  }
}

void ReplicaCore::Dispatch(TimePoint now, const Envelope& in, Outbox& out) {
  const NodeId& from = in.from_.node_;
  std::visit(
      [&](const auto& body) {
        using T = std::decay_t<decltype(body)>;
        if constexpr (std::is_same_v<T, Tick>) {
          OnTick(now, out);
        } else if constexpr (std::is_same_v<T, VoteRequest>) {
          OnVoteRequest(now, from, body, out);
        } else if constexpr (std::is_same_v<T, VoteReply>) {
          OnVoteReply(now, from, body, out);
        } else if constexpr (std::is_same_v<T, AppendRequest>) {
          OnAppendRequest(now, from, body, out);
        } else if constexpr (std::is_same_v<T, AppendReply>) {
          OnAppendReply(now, from, body, out);
        } else if constexpr (std::is_same_v<T, SnapshotChunk>) {
          OnSnapshotChunk(now, from, body, out);
        } else if constexpr (std::is_same_v<T, SnapshotReply>) {
          OnSnapshotReply(now, from, body, out);
        } else if constexpr (std::is_same_v<T, DiskSynced>) {
          OnDiskSynced(now, body, out);
        } else if constexpr (std::is_same_v<T, DiskFailed>) {
          OnDiskFailed(body, out);
        }
      },
      in.body_);
}

void ReplicaCore::OnTick(TimePoint now, Outbox& out) {
  if (!IsLeader()) {
    if (now >= election_deadline_ && IsFirstStart()) {
      ProbeFirstStart(now, out);
    } else if (now >= election_deadline_ && IsVoter()) {
      StartPreVote(now, out);
    }
    return;
  }
  const std::optional<TimePoint> confirmed = RoundSentAt(QuorumRound());
  if (confirmed.has_value() && now - *confirmed > settings_.election_max_) {
    BecomeFollower(now, term_, out);
    return;
  }
  if (now >= next_heartbeat_) {
    StartRound(now, out);
  }
}

void ReplicaCore::OnDiskSynced(TimePoint now, const DiskSynced& synced,
                               Outbox& out) {
  const bool vote_was_synced = disk_.VoteSynced();
  disk_.OnSynced(synced, term_, out);
  if (!vote_was_synced && disk_.VoteSynced() &&
      role_ == ReplicaRole::kCandidate) {
    RequestVotes(false, out);
    CountVote(now, settings_.self_, out);
  }
  if (IsLeader()) {
    AdvanceCommit(out);
  }
}

void ReplicaCore::OnDiskFailed(const DiskFailed& failed, Outbox& out) {
  Record(EventId::kDiskFailed, failed.detail_, out);
  if (IsLeader()) {
    Record(EventId::kLeaderLost, "the disk failed", out);
  }
  disk_.Fail();
  role_ = ReplicaRole::kFollower;
  leader_ = NodeId();
  peers_.clear();
}

void ReplicaCore::BecomeFollower(TimePoint now, Term term, Outbox& out) {
  if (IsLeader()) {
    Record(EventId::kLeaderLost, "term " + std::to_string(term_.Value()), out);
    leader_ = NodeId();
    peers_.clear();
    rounds_.clear();
    ResetElectionTimer(now);
  }
  role_ = ReplicaRole::kFollower;
  if (term > term_) {
    term_ = term;
    voted_for_ = NodeId();
    leader_ = NodeId();
    disk_.SaveVote(term_, voted_for_, ready_, out);
  }
}

Result<LogIndex> ReplicaCore::Propose(TimePoint /*now*/, EntryKind kind,
                                      std::string payload, Outbox& out) {
  if (disk_.HasFailed()) {
    return NotRun(Reason::kStorage, "the disk of this replica has failed");
  }
  if (!IsLeader()) {
    return NotRun(Reason::kNotLeader, "this replica does not lead");
  }
  const uint64_t open = log_.LastIndex().Value() - commit_.Value();
  if (open >= settings_.uncommitted_entries_) {
    return NotRun(Reason::kOverloaded,
                  std::to_string(open) + " proposals are not committed yet");
  }
  return AppendOwn(kind, std::move(payload), out);
}

LogIndex ReplicaCore::AppendOwn(EntryKind kind, std::string payload,
                                Outbox& out) {
  LogEntry entry{log_.LastIndex().Next(), term_, kind, std::move(payload)};
  const LogIndex index = entry.index_;
  PushMembership(entry, out);
  disk_.Append(LogIndex(), {entry}, out);
  log_.Append(std::move(entry));
  for (auto& [node, peer] : peers_) {
    SendEntries(node, peer, out);
  }
  return index;
}

Result<LogIndex> ReplicaCore::ProposeMembership(TimePoint now,
                                                const MembershipChange& change,
                                                Outbox& out) {
  if (!IsLeader()) {
    return Propose(now, EntryKind::kMembership, std::string(), out);
  }
  if (memberships_.back().first > commit_ || !HasCommittedInTerm()) {
    return NotRun(Reason::kConflict,
                  "another membership change is in progress");
  }
  const auto peer = peers_.find(change.node_);
  Incarnation disk;
  if (change.action_ == MembershipAction::kPromote) {
    if (peer == peers_.end() || !IsCaughtUp(peer->second)) {
      return NotRun(Reason::kConflict, "replica \"" + change.node_.Value() +
                                           "\" has not caught up");
    }
    disk = peer->second.disk_;
  }
  BOOST_OUTCOME_TRY(const ReplicaMembership next,
                    Membership().Apply(change, disk));
  BOOST_OUTCOME_TRY(const LogIndex index,
                    Propose(now, EntryKind::kMembership, next.Encode(), out));
  SyncPeers(now - settings_.election_max_);
  return index;
}

void ReplicaCore::PushMembership(const LogEntry& entry, Outbox& out) {
  if (entry.kind_ != EntryKind::kMembership) {
    return;
  }
  Result<ReplicaMembership> decoded = ReplicaMembership::Decode(entry.payload_);
  if (!decoded.has_value()) {
    Record(EventId::kBadInput, decoded.error().detail_, out);
    return;
  }
  memberships_.emplace_back(entry.index_, std::move(decoded.value()));
}

ReplicaMembership ReplicaCore::MembershipAt(LogIndex index) const {
  auto best = memberships_.begin();
  for (auto it = memberships_.begin(); it != memberships_.end(); ++it) {
    if (it->first <= index) {
      best = it;
    }
  }
  return best->second;
}

void ReplicaCore::Commit(LogIndex index, Outbox& out) {
  if (index <= commit_) {
    return;
  }
  commit_ = index;
  OnMembershipCommitted(out);
}

void ReplicaCore::OnMembershipCommitted(Outbox& out) {
  for (size_t i = 1; i < memberships_.size(); ++i) {
    const auto& [index, members] = memberships_[i];
    if (index <= reported_ || index > commit_) {
      continue;
    }
    reported_ = index;
    const ReplicaMembership& before = memberships_[i - 1].second;
    for (const ReplicaMember& member : members.All()) {
      if (before.Find(member.node_) == nullptr ||
          *before.Find(member.node_) != member) {
        Record(EventId::kReplicaAdded,
               member.node_.Value() + (member.voter_ ? " votes" : " learns"),
               out);
      }
    }
    for (const ReplicaMember& member : before.All()) {
      if (members.Find(member.node_) == nullptr) {
        Record(EventId::kReplicaRemoved, member.node_.Value(), out);
      }
    }
  }
}

bool ReplicaCore::HasCommittedInTerm() const {
  return IsLeader() && commit_ >= term_start_;
}

std::vector<LogEntry> ReplicaCore::TakeCommitted() {
  std::vector<LogEntry> entries;
  while (taken_ < commit_) {
    taken_ = taken_.Next();
    entries.push_back(log_.At(taken_));
  }
  return entries;
}

std::optional<std::string> ReplicaCore::TakeInstalledSnapshot() {
  return std::exchange(installed_, std::nullopt);
}

void ReplicaCore::Record(EventId id, std::string detail, Outbox& out) const {
  Event event;
  event.id_ = id;
  event.detail_ = std::move(detail);
  out.Record(std::move(event));
}

}  // namespace gv
