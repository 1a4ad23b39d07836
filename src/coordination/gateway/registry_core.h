/** @file registry_core.h The part of a gateway that knows the configuration in
 * force, the other gateways and all targets. */
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coordination/gateway/configuration_store.h"
#include "coordination/gateway/registry_type.h"
#include "coordination/gateway/target_directory.h"
#include "coordination/replica_core.h"
#include "protocol/outbox.h"

namespace gv {

/**
 * Gateways with a disk hold replicas of a log with the configuration; all
 * gateways poll them for a lease, the newest configuration and the targets.
 * Pure: time and messages in, messages and events out.
 * Thread safety: owned by one thread.
 */
class RegistryCore {
 public:
  /** @param settings Fixed. */
  explicit RegistryCore(RegistrySettings settings);

  /** Starts to take part with a replica, or goes on with a reopened one. */
  void AttachReplica(ReplicaCore replica);
  /** Stops taking part after a failure of the disk. */
  void DetachReplica() { replica_.reset(); }

  /** Handles Tick, messages of other gateways and results of the disk. */
  void OnMessage(TimePoint now, const Envelope& in, Outbox& out);

  /** Sends a checked change to the leader. Its end comes by TakeEnds(). */
  OperationId SubmitChange(TimePoint now, uint64_t version, std::string text,
                           Outbox& out);
  /** Asks the leader for the newest version. Its end comes by TakeEnds(). */
  OperationId ConfirmVersion(TimePoint now, Outbox& out);
  /** @return Operations that have ended since the last call. */
  std::vector<OperationEnd> TakeEnds();

  /** Takes in a registration that a target sent here, and passes it on. */
  void Announce(TimePoint now, const TargetRegistration& target, Outbox& out);
  /** A target said in an answer that it is leaving. */
  void NoteLeaving(const TargetId& id, Outbox& out);
  /** A target left without a word before. */
  void Depart(TimePoint now, const TargetId& id, Outbox& out);

  /** @return True while no newer configuration than the one served here can
   * have been in force for longer than the revocation bound. */
  bool HasLease(TimePoint now) const { return now < lease_until_; }
  /** @return True if the leader answered lately, so that what this gateway
   * acknowledges is passed on. */
  bool InTouch(TimePoint now) const;
  /** @return The configuration to serve. Never reverts while the process
   * runs; empty until a leader has confirmed it. */
  const ConfigurationStore& Served() const { return served_; }
  const TargetDirectory& Targets() const { return targets_; }
  /** @return Gateways that polled lately, this one included. At least 1. */
  size_t NodeCount() const { return nodes_.empty() ? 1 : nodes_.size(); }
  /** @return All gateways known, without this one. */
  std::vector<NodeId> OtherNodes() const;
  const NodeId& Leader() const { return leader_; }
  /** @return When the leader last granted a lease. */
  TimePoint LeaderHeard() const { return leader_heard_; }
  const ReplicaCore* Replica() const { return replica_ ? &*replica_ : nullptr; }

 private:
  /** What a member knows of a gateway that polls it. */
  struct Poller {
    TimePoint heard_;        ///< Last poll.
    bool has_disk_ = false;  ///< Could become a member.
    uint64_t version_ = 0;   ///< Configuration that it served then.
  };
  /** An operation that waits for the leader. */
  struct Waiting {
    TimePoint until_;       ///< When it ends as unknown.
    bool is_read_ = false;  ///< ReadForward, or else ChangeForward.
    uint64_t version_ = 0;  ///< Version of the change.
    std::string text_;      ///< The change.
    bool sent_ = false;     ///< Sent to a leader.
  };
  /** A change that waits for its commit at the leader. */
  struct Proposed {
    LogIndex index_;         ///< Of its entry.
    Term term_;              ///< Of its entry.
    Endpoint origin_;        ///< Who asked.
    OperationId operation_;  ///< What for.
  };

  // registry_core.cc: dispatch, operations, committed entries.
  void OnTick(TimePoint now, Outbox& out);
  void Dispatch(TimePoint now, const Envelope& in, Outbox& out);
  bool MayLead(TimePoint now) const;
  void StepReplica(TimePoint now, const Envelope& in, Outbox& out);
  void ApplyCommitted(TimePoint now, Outbox& out);
  void SettleProposals(Outbox& out);
  void SaveSnapshotIfWanted(TimePoint now, Outbox& out);
  void OnChange(TimePoint now, const Endpoint& from,
                const ChangeForward& change, Outbox& out);
  void OnRead(TimePoint now, const Endpoint& from, const ReadForward& read,
              Outbox& out);
  OperationId BeginOperation(TimePoint now, Waiting waiting, Outbox& out);
  void SendWaiting(OperationId id, Waiting& waiting, Outbox& out);
  void OnOutcome(OperationId id, bool good, OperationState state,
                 uint64_t version);
  void ExpireWaiting(TimePoint now, Outbox& out);
  Endpoint To(const NodeId& node) const {
    return Endpoint{node, Port::kControl};
  }
  void Record(EventId id, std::string detail, Outbox& out) const;

  // registry_members.cc: polls, leases, gateways, membership.
  void Poll(TimePoint now, Outbox& out);
  std::vector<NodeId> PollTargets(TimePoint now) const;
  void OnPoll(TimePoint now, const NodeId& from, const RegistryPoll& poll,
              Outbox& out);
  void OnStatus(TimePoint now, const NodeId& from, const RegistryStatus& status,
                Outbox& out);
  void ExtendLease(TimePoint now, TimePoint sent, uint64_t version,
                   Outbox& out);
  void OnPush(const ConfigurationPush& push, Outbox& out);
  void Serve(uint64_t version, const std::string& text, Outbox& out);
  void PushToPollers(Outbox& out);
  void RefreshNodes(TimePoint now);
  std::vector<NodeId> MemberIds() const;
  void SteerMembership(TimePoint now, Outbox& out);
  std::optional<MembershipChange> NextMembershipChange(TimePoint now) const;

  // registry_targets.cc: registrations and their spread.
  void OnGossip(TimePoint now, const NodeId& from, const TargetGossip& gossip,
                Outbox& out);
  void OnTargetQuery(TimePoint now, const NodeId& from,
                     const TargetQuery& query, Outbox& out);
  void OnTargetsHeard(TimePoint now, const TargetsHeard& heard);
  void OnTargetsSilent(const NodeId& from, const TargetsSilent& silent,
                       Outbox& out);
  void SettleParts(TimePoint now, const NodeId& from,
                   const TargetGossip& gossip, Outbox& out);
  void CompareTables(const NodeId& from, const RegistryStatus& status,
                     Outbox& out);
  TargetGossip GossipOf(TimePoint now, const std::set<TargetId>& ids) const;
  void Spread(const TargetId& id);
  void FlushChanged(TimePoint now, Outbox& out);
  void FlushRefreshed(Outbox& out);
  void JudgeSilence(TimePoint now, Outbox& out);
  void RecordGone(const TargetId& id, std::string detail, Outbox& out) const;
  bool IsMember(const NodeId& node) const;

  RegistrySettings settings_;               ///< Fixed.
  std::optional<ReplicaCore> replica_;      ///< While the disk works.
  ConfigurationStore accepted_;             ///< State of the log.
  ConfigurationStore served_;               ///< What this gateway serves.
  LogIndex applied_;                        ///< Last entry in accepted_.
  size_t log_bytes_ = 0;                    ///< Since the last snapshot.
  std::vector<Proposed> proposed_;          ///< At the leader.
  std::map<OperationId, Waiting> waiting_;  ///< Of this gateway.
  std::vector<OperationEnd> ends_;          ///< For TakeEnds().
  OperationId last_operation_;              ///< For ids.

  NodeId leader_;                ///< As last heard.
  TimePoint leader_heard_;       ///< Last grant.
  TimePoint lease_until_;        ///< End of the lease.
  std::vector<NodeId> members_;  ///< As last heard, or of the own replica.
  uint64_t poll_ = 0;            ///< Number of the last poll.
  std::map<uint64_t, TimePoint> polls_;  ///< Send times of open polls.
  TimePoint next_poll_;                  ///< When to poll again.
  TimePoint status_heard_;               ///< Last answer of any member.
  std::map<NodeId, Poller> pollers_;     ///< At a member.
  std::set<NodeId> nodes_;               ///< All gateways, this one included.
  uint64_t nodes_digest_ = 0;            ///< Of nodes_.
  TimePoint next_membership_;            ///< When to look at the members again.
  TimePoint led_since_;                  ///< When this replica began to lead.
  bool pushed_ = true;                   ///< Pollers have the accepted version.

  TargetDirectory targets_;       ///< All targets.
  std::set<TargetId> refreshed_;  ///< To be passed on in the next batch.
  std::set<TargetId> changed_;    ///< To be passed on to all.
  TimePoint next_spread_;         ///< When.
  std::vector<TargetId> silent_;  ///< As told to all others.
  TimePoint next_silent_;         ///< When to tell again.
  int different_polls_ = 0;       ///< In a row, of the table of targets.
  TimePoint next_gossip_;         ///< When.
};

}  // namespace gv
