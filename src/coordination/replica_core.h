/** @file replica_core.h One replica of the control log: election, replication
 * and repair. */
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "coordination/replica_disk.h"
#include "coordination/replica_log.h"
#include "coordination/replica_membership.h"
#include "coordination/replica_type.h"
#include "protocol/outbox.h"
#include "state/verdict_type.h"

namespace gv {

/**
 * A member of a group that agrees on one log by majority. It acknowledges an
 * entry or a vote only after its disk has synced it.
 * Thread safety: control thread only.
 */
class ReplicaCore {
 public:
  /**
   * @param settings Members of the first start, timeouts and bounds.
   * @param persisted What the disk holds; empty for a first start.
   */
  ReplicaCore(ReplicaSettings settings, PersistedReplica persisted);

  /** Takes in Tick, the messages of control_messages.h and disk results; others
   * are ignored. */
  void OnMessage(TimePoint now, const Envelope& in, Outbox& out);

  /**
   * Appends an entry and starts to replicate it.
   * @return Its index; it is accepted once TakeCommitted() gives an entry of
   * this index and the same term. Reason::kNotLeader, kStorage or kOverloaded
   * if it was not appended.
   */
  Result<LogIndex> Propose(TimePoint now, EntryKind kind, std::string payload,
                           Outbox& out);

  /**
   * Starts one membership change; the next needs the commit of this one.
   * @return Index of its entry, Reason::kConflict while another is in progress
   * or a learner has not caught up, and the failures of Propose().
   */
  Result<LogIndex> ProposeMembership(TimePoint now,
                                     const MembershipChange& change,
                                     Outbox& out);

  /** @return True if this replica leads its term, as far as it knows. */
  bool IsLeader() const { return role_ == ReplicaRole::kLeader; }
  /** @return True if no other replica can lead at @p now, so that committed
   * state may be read here. Needs HasCommittedInTerm() too. */
  bool HasLeaderLease(TimePoint now) const;
  /** @return The leader of the current term, or none if unknown. */
  const NodeId& Leader() const { return leader_; }
  Term CurrentTerm() const { return term_; }
  ReplicaRole Role() const { return role_; }
  /** @return True if this leader has committed an entry of its own term, so
   * that it knows all committed entries. */
  bool HasCommittedInTerm() const;
  LogIndex CommitIndex() const { return commit_; }
  LogIndex LastIndex() const { return log_.LastIndex(); }
  /** @return True after the disk has failed; the replica is out of service. */
  bool HasDiskFailed() const { return disk_.HasFailed(); }

  /** @return Entries committed since the last call; each once, in order. A
   * snapshot of TakeInstalledSnapshot() comes before them. */
  std::vector<LogEntry> TakeCommitted();

  /** @return Applied state that replaces all earlier one, if a snapshot was
   * loaded or installed since the last call. */
  std::optional<std::string> TakeInstalledSnapshot();

  /** @return True if enough was applied since the last snapshot. */
  bool WantsSnapshot() const;

  /**
   * Saves a snapshot and cuts the log.
   * @param applied_index Last entry that @p data contains.
   * @pre applied_index was returned by TakeCommitted().
   */
  void SaveSnapshot(TimePoint now, LogIndex applied_index, std::string data,
                    Outbox& out);

  /** @return The newest members, committed or not. */
  const std::vector<ReplicaMember>& Members() const {
    return Membership().All();
  }
  /** @return How far each member has got. Empty if this replica does not lead.
   */
  std::vector<ReplicaProgress> Progress(TimePoint now) const;

 private:
  /** What the leader knows about one other member. */
  struct Peer {
    LogIndex match_;                ///< Last index known to be durable there.
    LogIndex next_;                 ///< Next index to send.
    Incarnation disk_;              ///< Disk that match_ is about.
    bool probing_ = true;           ///< True until the logs are known to match.
    bool snapshot_ = false;         ///< True while it gets a snapshot.
    LogIndex snapshot_index_;       ///< Which snapshot.
    uint64_t snapshot_offset_ = 0;  ///< Bytes confirmed.
    uint64_t acked_round_ = 0;      ///< Last heartbeat round answered.
    TimePoint heard_;               ///< Last answer.
  };
  /** A snapshot that arrives in chunks. */
  struct Incoming {
    LogIndex index_;    ///< Last index that it covers.
    Term term_;         ///< Term of that entry.
    std::string data_;  ///< Bytes received without a gap.
  };

  // replica_core.cc: dispatch, roles, commit.
  void Start(TimePoint now);
  void Dispatch(TimePoint now, const Envelope& in, Outbox& out);
  void OnTick(TimePoint now, Outbox& out);
  void OnDiskSynced(TimePoint now, const DiskSynced& synced, Outbox& out);
  void OnDiskFailed(const DiskFailed& failed, Outbox& out);
  void BecomeFollower(TimePoint now, Term term, Outbox& out);
  void Commit(LogIndex index, Outbox& out);
  void OnMembershipCommitted(Outbox& out);
  LogIndex AppendOwn(EntryKind kind, std::string payload, Outbox& out);
  const ReplicaMembership& Membership() const {
    return memberships_.back().second;
  }
  void PushMembership(const LogEntry& entry, Outbox& out);
  ReplicaMembership MembershipAt(LogIndex index) const;
  bool IsVoter() const {
    return Membership().IsVoter(settings_.self_, DiskIdentity());
  }
  Incarnation DiskIdentity() const {
    return bootstrap_ && ready_ ? kBootstrapDisk : disk_identity_;
  }
  void Record(EventId id, std::string detail, Outbox& out) const;
  Endpoint To(const NodeId& node) const {
    return Endpoint{node, Port::kControl};
  }

  // replica_election.cc: votes and terms.
  void ResetElectionTimer(TimePoint now);
  void StartPreVote(TimePoint now, Outbox& out);
  void StartElection(TimePoint now, Outbox& out);
  void RequestVotes(bool pre_vote, Outbox& out);
  void OnVoteRequest(TimePoint now, const NodeId& from,
                     const VoteRequest& request, Outbox& out);
  void OnVoteReply(TimePoint now, const NodeId& from, const VoteReply& reply,
                   Outbox& out);
  void CountVote(TimePoint now, const NodeId& voter, Outbox& out);
  void BecomeLeader(TimePoint now, Outbox& out);
  bool MayVoteFor(TimePoint now, const VoteRequest& request) const;
  bool HeardLeader(TimePoint now) const;

  // replica_bootstrap.cc: the first start of a cluster.
  bool IsFresh() const;
  bool IsFirstStart() const;
  void ProbeFirstStart(TimePoint now, Outbox& out);
  void OnFirstStartReply(TimePoint now, const NodeId& from,
                         const VoteReply& reply, Outbox& out);

  // replica_leader.cc: sending entries, rounds, lease, commit of the leader.
  /** @param heard Last answer to assume of members without a peer yet. */
  void SyncPeers(TimePoint heard);
  void StartRound(TimePoint now, Outbox& out);
  void SendHeartbeat(const NodeId& node, Peer& peer, Outbox& out);
  void SendEntries(const NodeId& node, Peer& peer, Outbox& out);
  void SendAppend(const NodeId& node, LogIndex previous,
                  std::vector<LogEntry> entries, Outbox& out);
  void OnAppendReply(TimePoint now, const NodeId& from,
                     const AppendReply& reply, Outbox& out);
  void ProbeFrom(const NodeId& node, Peer& peer, LogIndex hint, Outbox& out);
  void NoteDisk(Peer& peer, Incarnation disk) const;
  void AdvanceCommit(Outbox& out);
  uint64_t QuorumRound() const;
  std::optional<TimePoint> RoundSentAt(uint64_t round) const;
  bool CountsForQuorum(const NodeId& node, const Peer& peer) const;
  bool IsCaughtUp(const Peer& peer) const;

  // replica_follower.cc: receiving entries.
  void OnAppendRequest(TimePoint now, const NodeId& from,
                       const AppendRequest& request, Outbox& out);
  bool FollowLeader(TimePoint now, const NodeId& from, Term term, Outbox& out);
  LogIndex ConflictHint(const AppendRequest& request) const;
  bool StoreEntries(const AppendRequest& request, Outbox& out);
  void TruncateFrom(LogIndex index);

  // replica_snapshot.cc: taking, sending and installing snapshots.
  void SendSnapshotChunk(const NodeId& node, Peer& peer, Outbox& out);
  void OnSnapshotChunk(TimePoint now, const NodeId& from,
                       const SnapshotChunk& chunk, Outbox& out);
  void OnSnapshotReply(TimePoint now, const NodeId& from,
                       const SnapshotReply& reply, Outbox& out);
  bool InstallSnapshot(Outbox& out);
  void ForgetMembershipsBefore(LogIndex index);

  ReplicaSettings settings_;   ///< Fixed.
  Incarnation disk_identity_;  ///< Own identity of the local disk.
  bool bootstrap_;             ///< May take part in the first start.
  bool ready_;                 ///< Takes part in the first start.
  ReplicaDisk disk_;           ///< Operations in progress.
  ReplicaLog log_;             ///< Entries in memory.
  std::vector<std::pair<LogIndex, ReplicaMembership>>
      memberships_;  ///< By index; the last one counts. Never empty.

  ReplicaRole role_ = ReplicaRole::kFollower;  ///< What it is doing.
  Term term_;                                  ///< Current term.
  NodeId voted_for_;                           ///< Vote in this term.
  NodeId leader_;                              ///< Leader of this term.
  LogIndex commit_;                            ///< Last committed index.
  LogIndex taken_;           ///< Last index given out by TakeCommitted().
  LogIndex reported_;        ///< Last membership whose events are recorded.
  LogIndex snapshot_index_;  ///< Last index of the newest snapshot.
  Term snapshot_term_;       ///< Term of that entry.
  std::string snapshot_;     ///< Encoded.
  std::optional<std::string> installed_;  ///< For TakeInstalledSnapshot().
  Incoming incoming_;                     ///< A snapshot on its way.

  bool started_ = false;          ///< True after the first message.
  uint64_t random_ = 0;           ///< State of the generator of timeouts.
  TimePoint election_deadline_;   ///< When to start a pre-vote.
  TimePoint leader_heard_;        ///< Last message of a leader, or the start.
  std::set<NodeId> votes_;        ///< Votes or pre-votes received.
  std::set<NodeId> fresh_peers_;  ///< Members that said they are empty.
  std::set<NodeId> ready_peers_;  ///< Members that are ready to start.

  std::map<NodeId, Peer> peers_;  ///< Other members, while leading.
  uint64_t round_ = 0;            ///< Last heartbeat round.
  std::deque<std::pair<uint64_t, TimePoint>>
      rounds_;                ///< Rounds that are not yet answered.
  TimePoint next_heartbeat_;  ///< When the next round starts.
  LogIndex term_start_;       ///< First entry of this leader's term.
};

}  // namespace gv
