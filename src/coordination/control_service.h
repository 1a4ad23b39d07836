/** @file control_service.h Everything that a control process does besides
 * replicating its log. */
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coordination/control_command.h"
#include "coordination/control_operator.h"
#include "coordination/control_sessions.h"
#include "coordination/control_state.h"
#include "coordination/group_placer.h"
#include "coordination/leadership_view.h"
#include "coordination/replica_type.h"
#include "coordination/share_ledger.h"
#include "protocol/outbox.h"

namespace gv {

/** Something that the service wants appended to the log. */
struct ControlProposal {
  Message command_;  ///< Ignored if membership_ is set.
  std::optional<MembershipChange> membership_;  ///< A change of the group.
  Endpoint origin_;                             ///< Who gets the answer.
  OperationId operation_;  ///< Operator call that waits for the proposal.
};

/**
 * Serves settings, sessions, limits, claims, targets and operators. It takes in
 * committed entries of the log and gives out proposals; ControlCoreOf connects
 * it to a replica. Thread safety: owned by the control thread.
 */
class ControlService {
 public:
  /** Takes in the replica's state; call before every other step. */
  void OnView(TimePoint now, const LeadershipView& view, Outbox& out);

  /** Handles one message that is not for the replica. */
  void OnMessage(TimePoint now, const Envelope& in, Outbox& out);

  /** Executes one committed entry and answers who waits for it. */
  void OnCommitted(TimePoint now, const LogEntry& entry, Outbox& out);

  /** Sends what the committed entries of this step changed. */
  void OnCommitsDone(TimePoint now, Outbox& out);

  /** @return What is to be proposed now, in order. */
  std::vector<ControlProposal> TakeProposals();

  /** @return The log payload of a command proposed at @p now. */
  std::string Encode(TimePoint now, const Message& command) const;

  /** A proposal was appended at @p index. */
  void OnProposed(const ControlProposal& proposal, LogIndex index, Term term,
                  Outbox& out);

  /** A proposal was not appended. */
  void OnNotProposed(const ControlProposal& proposal, const Verdict& verdict,
                     Outbox& out);

  /** @return The replicated state as a snapshot. */
  std::string Save() const { return SaveControlState(state_); }
  /** Replaces the replicated state by a snapshot. */
  Result<void> Load(std::string_view snapshot);

  /** @return What stands between a revision and being in force. */
  InForceStatus InForce(TimePoint now, Revision revision);

  const ControlState& State() const { return state_; }
  const ControlSessions& Sessions() const { return sessions_; }
  /** @return True if nothing waits for a commit. */
  bool IsIdle() const { return pending_.empty() && proposals_.empty(); }

 private:
  /** A proposal that waits for its commit. */
  struct Pending {
    Message command_;  ///< The command; Tick for a membership change.
    Endpoint origin_;  ///< Who gets the answer.
    Term term_;        ///< Term in which it was appended.
  };

  // control_service.cc: leadership, proposals, commits.
  void StartTerm(TimePoint now);
  void EndTerm(Outbox& out);
  void Redirect(const Endpoint& to, Outbox& out) const;
  void Propose(const Endpoint& origin, Message command);
  bool IsProposed(const Endpoint& origin, const Message& command) const;
  void ExecuteSettings(int64_t cluster_ms, const SettingsChange& change,
                       Outbox& out);
  void ExecuteClaimBegin(int64_t cluster_ms, const ClaimBegin& claim,
                         LogIndex index, const Endpoint& origin, Outbox& out);
  int64_t ClusterMs(TimePoint now) const;
  void RecordRevision(EventId id, Revision revision, std::string detail,
                      Outbox& out) const;

  // control_serve.cc: what the leader does for other processes.
  void OnRenew(TimePoint now, const Endpoint& from, const SessionRenew& renew,
               Outbox& out);
  void OnShareRequest(TimePoint now, const Endpoint& from,
                      const ShareRequest& request, Outbox& out);
  void ProposeClaim(const Endpoint& from, Message command);
  void OnOperatorCall(TimePoint now, const OperatorCall& call, Outbox& out);
  void OnOperatorChange(const OperatorCall& call, Outbox& out);
  static void SendOperatorAnswer(OperationId operation,
                                 Result<nlohmann::json> answer, Outbox& out);
  void OnTick(TimePoint now, Outbox& out);
  void ProposeTokens();
  void SendTargets(TimePoint now, const Endpoint& to, uint64_t version,
                   Outbox& out);
  void PushTargets(TimePoint now, Outbox& out);
  void ApplyDrains();
  void AdvanceInForce(TimePoint now, Outbox& out);
  std::vector<TeamId> UnsettledTeams(TimePoint now, Revision revision);

  ControlState state_;        ///< Replicated.
  LeadershipView view_;       ///< Of the last step.
  ControlSessions sessions_;  ///< Soft state of the leader.
  ShareLedger shares_;        ///< Soft state of the leader.
  GroupPlacer groups_;        ///< Soft state of the leader.

  Term led_term_;              ///< Term in which this replica saw itself lead.
  TimePoint led_since_;        ///< When it saw that.
  Term served_term_;           ///< Term for which soft state was started.
  int64_t clock_base_ms_ = 0;  ///< Replicated clock when it began to serve.
  TimePoint clock_start_;      ///< Local clock then.
  Revision in_force_;          ///< Newest revision known to be in force.
  Revision pushed_;            ///< Newest revision pushed to sessions.

  std::vector<ControlProposal> proposals_;  ///< For TakeProposals().
  std::map<LogIndex, Pending> pending_;     ///< By index in the log.
  std::set<ChangeId> pending_changes_;      ///< Proposed, not yet executed.

  /** What an entry was last sent of the list of targets. */
  struct SentTargets {
    uint64_t version_ = 0;  ///< Version sent.
    TimePoint sent_at_;     ///< When.
  };
  std::map<Endpoint, SentTargets> sent_targets_;  ///< By entry.
  uint64_t pushed_targets_ = 0;  ///< Version last pushed to all entries.
  uint64_t drains_version_ = 0;  ///< List of targets that drains were set on.
  Revision drains_revision_;     ///< Settings that drains were read from.
};

}  // namespace gv
