/** @file registry_core.h Registry of a gateway: the configuration in force, the
 * other gateways and all targets. */
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coordination/gateway/configuration_store.h"
#include "coordination/gateway/evacuation_set.h"
#include "coordination/gateway/lease_wait.h"
#include "coordination/gateway/part_quarantine.h"
#include "coordination/gateway/registry_type.h"
#include "coordination/gateway/retry_reserve.h"
#include "coordination/gateway/target_directory.h"
#include "coordination/gateway/target_limits.h"
#include "coordination/replica_core.h"
#include "protocol/outbox.h"

namespace gv {

/**
 * Registry of one gateway. Gateways with a disk (members) hold replicas of a
 * log with the configuration; all gateways poll the members for a lease, the
 * newest configuration and the targets. Performs no I/O: takes the time and
 * messages as input and puts messages and events into an Outbox.
 * Thread safety: owned by one thread.
 */
class RegistryCore {
 public:
  explicit RegistryCore(RegistrySettings settings);

  /** Makes this gateway a member with @p replica, which is either new or was
   * loaded from the disk. */
  void AttachReplica(ReplicaCore replica);
  /** Removes the replica after a failure of the disk. */
  void DetachReplica() { replica_.reset(); }
  /** The process is about to stop. As a member it leaves the group, if enough
   * others stay. */
  void BeginStop() { is_stopping_ = true; }

  /** Handles Tick, messages of other gateways and results of the disk. */
  void OnMessage(TimePoint now, const Envelope& in, Outbox& out);

  /** Sends a validated change to the leader. Its result is returned by
   * TakeCompletedOperations(). */
  OperationId SubmitChange(TimePoint now, uint64_t version, std::string text,
                           Outbox& out);
  /** Sends an order about a data centre to the leader. Its result is returned
   * by TakeCompletedOperations(): kAccepted once it cannot be lost. A repeated
   * order is accepted again. An order whose operator may not wait any more is
   * not sent, and completes as kUnknown.
   * @param issued The operator sent it then or later. */
  OperationId SubmitEvacuation(TimePoint now, TimePoint issued,
                               EvacuationOrder order, Outbox& out);
  /** Asks the leader for the newest version. Its result is returned by
   * TakeCompletedOperations(). */
  OperationId ConfirmVersion(TimePoint now, Outbox& out);
  /** @return Operations that have completed since the last call. */
  std::vector<OperationResult> TakeCompletedOperations();

  /** Merges a registration that a target sent to this gateway, and queues it
   * for the other gateways.
   * @return For a target that leaves, the operation whose result tells whether
   * the target may be told; see Depart(). Otherwise nothing. */
  std::optional<OperationId> RegisterTarget(TimePoint now,
                                            const TargetRegistration& target,
                                            Outbox& out);
  /** Marks a target as draining after it announced in an answer that it is
   * leaving. @param start_ms The start of the target that answered. */
  void MarkLeaving(const TargetId& id, uint64_t start_ms, Outbox& out);
  /**
   * Marks a target as gone after it deregistered, and makes sure that the other
   * gateways get to know, also if this one stops. A departure whose target may
   * not wait any more completes as kUnknown and changes nothing: the target may
   * have started again since.
   * @param issued The target sent it then or later.
   * @param wall_ms Wall time in milliseconds since 1970.
   * @return The operation whose result is returned by
   * TakeCompletedOperations(): kAccepted once the leader, if it is in touch,
   * and a majority of the members know; only then may the target be told.
   */
  OperationId Depart(TimePoint now, TimePoint issued, const TargetId& id,
                     uint64_t wall_ms, Outbox& out);

  /** Tells all gateways of an engine that crashed while prompts of this gateway
   * had no answer yet. */
  void ReportCrash(TimePoint now, EngineCrash crash, Outbox& out);
  /** An answer to a prompt with @p parts has begun. */
  void OnAnswerBegun(TimePoint now, const std::string& service,
                     const std::vector<PromptPartId>& parts, Outbox& out);
  /** @return Parts of prompts that crash engines. */
  PartQuarantine& Parts() { return parts_; }
  const PartQuarantine& Parts() const { return parts_; }

  /** Takes in what an answer of a target says of its limit.
   * @param per_second The limit, or nothing if it names none.
   * @param sent When the request was sent. */
  void OnAnswerLimit(TimePoint now, const TargetId& target,
                     std::optional<double> per_second, TimePoint sent,
                     Outbox& out);
  /** @return Limits that targets named. */
  TargetLimits& Limits() { return limits_; }
  const TargetLimits& Limits() const { return limits_; }
  /** Sets the services whose targets can be cold, by name. */
  void SetColdServices(TimePoint now,
                       std::map<std::string, ColdBounds> services);
  /** Makes sure that Limits() gives out permits only while this gateway leads.
   * Call before permits are taken from it. */
  void SyncLimits(TimePoint now);

  /** @return True while no newer configuration than the one served here can
   * have been in force for longer than the revocation bound. */
  bool HasLease(TimePoint now) const { return now < lease_until_; }
  /** @return What is known of the return of the lease.
   * @pre OnMessage() was called before. */
  LeaseOutlook OutlookOfLease(TimePoint now) const;
  /** @return True if a member answered a poll that was sent within the last
   * 1.5 s, or if this gateway is the only member. Registrations accepted
   * meanwhile reach the other gateways. */
  bool HasRecentStatus(TimePoint now) const;
  /** @return The configuration to serve. Never reverts while the process
   * runs; empty until a leader has confirmed it. */
  const ConfigurationStore& ServedConfiguration() const { return served_; }
  /** @return The evacuated data centres. While HasLease(), no newer set can
   * have been acknowledged for longer than the revocation bound. */
  const EvacuationSet& Evacuations() const { return evacuations_; }
  const TargetDirectory& Targets() const { return targets_; }
  /** @return The limit of retries at each service. */
  const RetryBounds& RetryBudget() const { return settings_.retries_; }
  /** @return Number of gateways in the list, this one included. At least 1. */
  size_t NodeCount() const { return nodes_.empty() ? 1 : nodes_.size(); }
  /** @return All known gateways except this one. */
  std::vector<NodeId> OtherNodes() const;
  /** @return The last known leader; none before the first. */
  const NodeId& Leader() const { return leader_; }
  /** @return When the leader last granted a lease. */
  TimePoint LastLeaderGrant() const { return last_leader_grant_; }
  /** @return The replica of a member, otherwise nullptr. */
  const ReplicaCore* Replica() const { return replica_ ? &*replica_ : nullptr; }

 private:
  /** State that a member keeps for each gateway that polls it. */
  struct Poller {
    TimePoint last_poll_;    ///< When its last poll arrived.
    bool has_disk_ = false;  ///< It may become a member.
    uint64_t version_ = 0;   ///< Version that it serves or was last sent.
  };
  /** An operation without an answer of the leader. */
  struct PendingOperation {
    TimePoint issued_;      ///< The operator sent it then or later.
    bool is_read_ = false;  ///< True for ReadForward, false for ChangeForward.
    uint64_t version_ = 0;  ///< Version of the change; unused for reads.
    std::string text_;      ///< Text of the change; unused for reads.
    bool sent_ = false;     ///< Sent to a leader that has not rejected it.
    std::optional<EvacuationOrder> evacuation_ =
        std::nullopt;  ///< Set for an order about a data centre.
  };
  /** A target that leaves, until enough members know. */
  struct PendingLeaving {
    TargetId target_;            ///< The target.
    TimePoint issued_;           ///< When it sent its notice, or earlier.
    TimePoint next_send_;        ///< When the notice is sent again.
    std::set<NodeId> known_by_;  ///< Members that have answered.
  };
  /** A change that the leader has proposed and that is not committed yet. */
  struct PendingProposal {
    LogIndex index_;         ///< Index of the log entry.
    Term term_;              ///< Term of the log entry.
    Endpoint origin_;        ///< Sender of the request, to be answered.
    OperationId operation_;  ///< Id of the request, copied to the answer.
  };

  /** A gateway that asked for a permit. */
  struct RetryAsker {
    Endpoint from_;          ///< Who asked.
    OperationId operation_;  ///< Copied to the reply.
  };
  /** Retries at one service that the slack pays for. */
  struct ServiceRetries {
    explicit ServiceRetries(const RetryBounds& bounds) : reserve_(bounds) {}
    RetryReserve reserve_;              ///< Permits of committed entries.
    std::vector<RetryAsker> waiting_;   ///< For the next entry.
    std::vector<RetryAsker> proposed_;  ///< In the entry at index_.
    LogIndex index_;                    ///< Of the proposed entry.
    Term term_;                         ///< Of the proposed entry.
  };

  // registry_core.cc: dispatch, operations, committed entries.
  void OnTick(TimePoint now, Outbox& out);
  void Dispatch(TimePoint now, const Envelope& in, Outbox& out);
  bool IsActiveLeader(TimePoint now) const;
  void StepReplica(TimePoint now, const Envelope& in, Outbox& out);
  void ApplyCommitted(TimePoint now, Outbox& out);
  /** Takes the state of a snapshot of the leader or of the disk. */
  void InstallSnapshot(std::string_view snapshot, Outbox& out);
  void RejectSkippedProposals(Outbox& out);
  void SaveSnapshotIfNeeded(TimePoint now, Outbox& out);
  void OnChange(TimePoint now, const Endpoint& from,
                const ChangeForward& change, Outbox& out);
  void OnRead(TimePoint now, const Endpoint& from, const ReadForward& read,
              Outbox& out);
  OperationId BeginOperation(TimePoint now, PendingOperation operation,
                             Outbox& out);
  void SendOperation(TimePoint now, OperationId id, PendingOperation& operation,
                     Outbox& out);
  void OnOutcome(OperationId id, bool succeeded, OperationState state,
                 uint64_t version);
  void ExpireOperations(TimePoint now, Outbox& out);
  Endpoint ControlEndpoint(const NodeId& node) const {
    return Endpoint{node, Port::kControl};
  }
  void Record(EventId id, std::string detail, Outbox& out) const;

  // registry_members.cc: polls, leases, gateways, membership.
  void SendPolls(TimePoint now, Outbox& out);
  std::vector<NodeId> PollRecipients(TimePoint now) const;
  void OnPoll(TimePoint now, const NodeId& from, const RegistryPoll& poll,
              Outbox& out);
  void OnStatus(TimePoint now, const NodeId& from, const RegistryStatus& status,
                Outbox& out);
  /** Extends the lease if the state in force here is as new as the leader's.
   * @param evacuations Revision of the leader's evacuations. */
  void ExtendLease(TimePoint now, TimePoint sent, uint64_t version,
                   uint64_t evacuations, Outbox& out);
  void OnPush(const ConfigurationPush& push, Outbox& out);
  void Serve(uint64_t version, const std::string& text, Outbox& out);
  void PushToPollers(Outbox& out);
  void RefreshNodes(TimePoint now);
  std::vector<NodeId> MemberIds() const;
  void UpdateMembership(TimePoint now, Outbox& out);
  /** @return Time since the last sign of life of a member. */
  Duration SilenceOf(TimePoint now, const ReplicaProgress& replica) const;
  /** @return True if a member runs but will not stay one: it stops, or has no
   * working disk. */
  bool IsLeaving(const NodeId& node) const;
  /** @return The members for log lines. @pre This replica leads. */
  std::string DescribeMembers(TimePoint now) const;
  std::optional<MembershipChange> NextMembershipChange(TimePoint now) const;

  // registry_retries.cc: permits of retries.
  ServiceRetries& RetriesOf(const std::string& service);
  void OnRetryAsk(TimePoint now, const Endpoint& from, const RetryAsk& ask,
                  Outbox& out);
  void ProposeRetries(TimePoint now, const std::string& service,
                      ServiceRetries& retries, Outbox& out);
  void OnRetryEntry(TimePoint now, const LogEntry& entry,
                    const std::string& service, size_t permits, Outbox& out);
  void RefuseRetries(const std::string& service, ServiceRetries& retries,
                     Outbox& out);
  void TickRetries(TimePoint now, Outbox& out);
  void AnswerRetry(const std::string& service, const RetryAsker& asker,
                   bool granted, const std::string& detail, Outbox& out) const;

  // registry_evacuations.cc: orders to evacuate a data centre.
  void OnEvacuationForward(TimePoint now, const Endpoint& from,
                           const EvacuationForward& forward, Outbox& out);
  void SendEvacuation(TimePoint now, OperationId id,
                      const PendingOperation& operation, Outbox& out) const;
  void OnEvacuationEntry(const LogEntry& entry, const EvacuationOrder& order,
                         Outbox& out);
  void OnEvacuationPush(const EvacuationPush& push, Outbox& out);
  /** Makes @p newest the set in force here, if it is newer. */
  void ServeEvacuations(const EvacuationSet& newest, Outbox& out);
  EvacuationPush MakeEvacuationPush() const;

  // registry_parts.cc: parts of prompts that crash engines.
  std::vector<Endpoint> OtherEndpoints() const;
  void TickParts(TimePoint now, Outbox& out);
  void ComparePartTables(TimePoint now, const NodeId& from,
                         const RegistryStatus& status, Outbox& out);
  void OnPartTable(TimePoint now, const Endpoint& from, const PartTable& table,
                   Outbox& out);
  void RecordParts(EventId id, const std::string& service,
                   const std::vector<PromptPartId>& parts, Outbox& out) const;

  // registry_limits.cc: limits that targets name.
  void OnLimitReport(TimePoint now, const NodeId& from,
                     const LimitReport& report, Outbox& out);
  void OnLimitAsk(TimePoint now, const Endpoint& from, const LimitAsk& ask,
                  Outbox& out);
  void AnswerLimitAsk(const Endpoint& from, const LimitAsk& ask,
                      const std::string& detail, LimitReply reply,
                      Outbox& out) const;
  void TickLimits(TimePoint now, Outbox& out);
  void RecordLimit(const std::string& source, const TargetLimitRow& row,
                   Outbox& out) const;

  // registry_cold.cc: targets that are cold.
  TargetDirectory::Change MergeTarget(TimePoint now,
                                      const TargetRegistration& target);
  void UpdateCold(TimePoint now, const DirectoryEntry& entry);
  TargetRegistration WithWarmUp(TimePoint now, TargetRegistration target) const;
  void TickCold(TimePoint now, Outbox& out);

  // registry_targets.cc: registrations and their replication.
  void OnGossip(TimePoint now, const NodeId& from, const TargetGossip& gossip,
                Outbox& out);
  void OnTargetQuery(TimePoint now, const NodeId& from,
                     const TargetQuery& query, Outbox& out);
  void OnTargetsHeard(TimePoint now, const TargetsHeard& refreshed);
  void OnTargetsSilent(const NodeId& from, const TargetsSilent& report,
                       Outbox& out);
  void ReconcileParts(TimePoint now, const NodeId& from,
                      const TargetGossip& gossip, Outbox& out);
  void CompareTargetTables(const NodeId& from, const RegistryStatus& status,
                           Outbox& out);
  TargetGossip MakeGossip(TimePoint now, const std::set<TargetId>& ids) const;
  void QueueChange(const TargetId& id);
  void SendChangedTargets(TimePoint now, Outbox& out);
  void SendRefreshedTargets(Outbox& out);
  void UpdateUnreachableTargets(TimePoint now, Outbox& out);
  void RecordGone(const TargetId& id, std::string detail, Outbox& out) const;

  // registry_leaving.cc: targets whose leaving is acknowledged.
  /** @param issued When the target sent its notice, or earlier. */
  OperationId ConfirmLeaving(TimePoint now, TimePoint issued,
                             const TargetId& id, Outbox& out);
  void SendLeaving(TimePoint now, OperationId id, PendingLeaving& leaving,
                   Outbox& out);
  void OnLeavingNotice(TimePoint now, const Endpoint& from,
                       const LeavingNotice& notice, Outbox& out);
  void OnLeavingNoted(TimePoint now, const NodeId& from,
                      const LeavingNoted& noted, Outbox& out);
  void TickLeaving(TimePoint now, Outbox& out);
  bool IsLeavingKnown(TimePoint now, const PendingLeaving& leaving) const;
  void FinishLeaving(TimePoint now, OperationId id, OperationState state,
                     Outbox& out);
  bool HeardLeader(TimePoint now) const;
  bool ForwardsChanges(TimePoint now) const;
  bool IsMember(const NodeId& node) const;

  RegistrySettings settings_;
  std::map<std::string, ColdBounds> cold_services_;  ///< By name.
  std::optional<ReplicaCore> replica_;  ///< Empty without a working disk.
  ConfigurationStore committed_;  ///< State of the log up to last_applied_.
  ConfigurationStore served_;     ///< Configuration served here.
  EvacuationSet committed_evacuations_;  ///< As committed_.
  EvacuationSet evacuations_;            ///< In force here.
  /** Index of the newest order about a data centre that is known here, or a
   * higher one. */
  uint64_t newest_order_ = 0;
  LogIndex last_applied_;  ///< Last entry applied to committed_.
  size_t log_bytes_ = 0;   ///< Bytes of entries since the last snapshot.
  std::vector<PendingProposal> pending_proposals_;  ///< Made here as leader.
  /** Operations started at this gateway. */
  std::map<OperationId, PendingOperation> pending_operations_;
  std::vector<OperationResult>
      completed_;               ///< Not yet taken by TakeCompletedOperations().
  OperationId last_operation_;  ///< Id of the newest operation.

  NodeId leader_;                ///< Last known leader; none before the first.
  TimePoint last_leader_grant_;  ///< When a leader last granted a lease.
  TimePoint lease_until_;        ///< End of the lease.
  std::optional<TimePoint> started_;  ///< Time of the first message.
  /** First answer of a member since the start or since members were silent. */
  std::optional<TimePoint> contact_since_;
  TimePoint last_status_;  ///< Receipt of the newest answer of a member.
  bool status_names_leader_ = false;  ///< That answer names a leader.
  std::vector<NodeId> members_;  ///< Members in the last status of a member.
  uint64_t poll_number_ = 0;     ///< Number of the last poll.
  std::map<uint64_t, TimePoint> open_polls_;  ///< Send time by poll number.
  TimePoint next_poll_;                       ///< When polls are sent again.
  TimePoint last_answered_poll_;  ///< Send time of the newest answered poll.
  std::map<NodeId, Poller> pollers_;  ///< Gateways that polled this one.
  std::set<NodeId> nodes_;            ///< All gateways, this one included.
  uint64_t nodes_digest_ = 0;         ///< Digest of nodes_.
  TimePoint next_membership_check_;   ///< When UpdateMembership() runs again.
  TimePoint leader_since_;            ///< When this replica became the leader.
  bool is_stopping_ = false;          ///< The process is about to stop.
  bool pushed_ = true;  ///< committed_ has been pushed to the pollers.

  std::map<std::string, ServiceRetries> retries_;  ///< By service.
  /** Until then, permits given out before a snapshot may still be used. */
  TimePoint retries_known_at_;

  PartQuarantine parts_;
  int mismatched_parts_ = 0;  ///< Polls in a row with other quarantines.

  TargetLimits limits_;
  TimePoint next_limit_expiry_;  ///< When limits of gone targets are removed.

  std::map<OperationId, PendingLeaving>
      pending_leavings_;  ///< Not acknowledged yet.

  TargetDirectory targets_;
  std::set<TargetId> refreshed_;  ///< Refreshed targets for the next batch.
  std::set<TargetId> changed_;    ///< Changed targets for the next batch.
  TimePoint next_change_batch_;   ///< Earliest time of the next change batch.
  std::vector<TargetId> unreachable_;  ///< Last list of the leader.
  TimePoint next_unreachable_repeat_;  ///< When that list is sent again.
  int mismatched_polls_ = 0;  ///< Polls in a row with another table digest.
  TimePoint next_gossip_;     ///< When refreshed targets are sent again.
};

}  // namespace gv
