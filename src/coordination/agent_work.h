/** @file agent_work.h The duties of an agent, without its settings session. */
#pragma once

#include <map>
#include <random>
#include <set>
#include <string>

#include "coordination/agent_claims.h"
#include "coordination/agent_streams.h"
#include "coordination/agent_type.h"
#include "coordination/credit_ledger.h"
#include "coordination/fence_guard.h"

namespace gv {

/**
 * Runs attempts at the one target beside it: fences, charges capacity, keeps
 * leases for entries and groups, and frees whatever the target holds without an
 * owner. Thread safety: owned by the control thread.
 */
class AgentWork {
 public:
  AgentWork(AgentSettings settings, uint64_t seed);

  /** Handles one message. @param view The settings session at @p now. */
  void OnMessage(TimePoint now, const Envelope& in, const AgentView& view,
                 Outbox& out);

  /** @return The attempts that run or whose end is not acknowledged. */
  const AgentStreams& Streams() const { return streams_; }
  /** @return Whether work may pass. */
  const FenceGuard& Fence() const { return fence_; }
  /** @return The credits of entries. */
  const CreditLedger& Credits() const { return credits_; }

 private:
  /** One entry that said hello. */
  struct Entry {
    Incarnation incarnation_;    ///< Of the entry.
    TimePoint lease_until_;      ///< Its streams live until then.
    Capacity wanted_;            ///< Last demand.
    int64_t hello_sent_at_ = 0;  ///< Echoed in grants.
  };
  /** Memory held for a group that control placed. */
  struct Group {
    RequestId request_;      ///< The request.
    NodeId control_;         ///< Who asked; gets the answer.
    int64_t tokens_ = 0;     ///< KV tokens.
    TimePoint lease_until_;  ///< When it ends without renewal.
    bool reserved_ = false;  ///< The target holds it.
  };

  void Handle(TimePoint now, const Envelope& in, const TargetAdmit& body,
              Outbox& out);
  void Handle(TimePoint now, const Envelope& in, const AgentHello& body,
              Outbox& out);
  void Handle(TimePoint now, const Envelope& in, const Dispatch& body,
              Outbox& out);
  void Handle(TimePoint now, const Envelope& in, const Cancel& body,
              Outbox& out);
  void Handle(TimePoint now, const Envelope& in, const PauseStream& body,
              Outbox& out);
  void Handle(TimePoint now, const Envelope& in, const StreamKeepalive& body,
              Outbox& out);
  void Handle(TimePoint now, const Envelope& in, const TestifyRequest& body,
              Outbox& out);
  void Handle(TimePoint now, const Envelope& in, const GroupHold& body,
              Outbox& out);
  void Handle(TimePoint now, const Envelope& in, const TargetChunk& body,
              Outbox& out);
  void Handle(TimePoint now, const Envelope& in, const TargetEnd& body,
              Outbox& out);
  void Handle(TimePoint now, const Envelope& in, const TargetReserved& body,
              Outbox& out);
  void Handle(TimePoint now, const Envelope& in, const TargetStatus& body,
              Outbox& out);
  void Handle(TimePoint now, const Envelope& in, const ClaimFinished& body,
              Outbox& out);
  void Handle(TimePoint now, const Envelope& in, const PeerDown& body,
              Outbox& out);
  void Handle(TimePoint now, const Envelope& in, const StopRequest& body,
              Outbox& out);
  void Handle(TimePoint now, const Envelope& in, const Tick& body, Outbox& out);

  bool IsLeaving() const { return stopping_ || view_.draining_; }
  Capacity Free() const;
  TargetState State() const;
  Result<void> CheckDispatch(const Dispatch& dispatch) const;
  void Refuse(const NodeId& entry, const Dispatch& dispatch,
              const Verdict& verdict, Outbox& out) const;
  bool ReplayClaim(TimePoint now, const NodeId& entry, const Dispatch& dispatch,
                   Outbox& out);
  void EndOlderAttempts(TimePoint now, const AttemptKey& key, Outbox& out);
  void MeetEntry(TimePoint now, const NodeId& entry, Incarnation incarnation,
                 Outbox& out);
  void KeepListed(TimePoint now, const NodeId& entry,
                  const StreamKeepalive& body, Outbox& out);
  void AnswerUnknown(TimePoint now, const NodeId& entry, const AttemptKey& key,
                     Outbox& out);
  void AbandonUnlisted(TimePoint now, const NodeId& entry,
                       const StreamKeepalive& body, Outbox& out);
  void Abandon(TimePoint now, AgentStream& stream, Reason reason, Outbox& out);
  void LoseEntry(TimePoint now, const NodeId& entry, Outbox& out);
  void FinishClaim(TimePoint now, const AgentStream& stream,
                   const TargetEnd& end);
  void EndRunning(TimePoint now, Reason reason, const std::string& detail,
                  Outbox& out);
  void LoseTarget(TimePoint now, const std::string& detail, Outbox& out);
  void ReleaseName(const std::string& name, const std::string& why,
                   Outbox& out) const;
  void Reconcile(TimePoint now, const TargetStatus& status, Outbox& out);
  void GrantCredit(TimePoint now, const NodeId& entry, Entry& record,
                   Outbox& out);
  void GrantAll(TimePoint now, Outbox& out);
  void SendLoad(TimePoint now, const TargetStatus& status, Outbox& out);
  void Announce(TimePoint now, Outbox& out);
  void Probe(TimePoint now, Outbox& out);
  void ExpireLeases(TimePoint now, Outbox& out);
  void EndOverdue(TimePoint now, Outbox& out);
  void CheckStopped(TimePoint now, Outbox& out);
  void AnswerGroup(LeaseId lease, const NodeId& control, bool held,
                   Outbox& out) const;
  void RecordEvent(EventId id, RequestId request, std::string detail,
                   Outbox& out) const;

  AgentSettings settings_;           ///< Where it runs.
  AgentView view_;                   ///< The session at the last message.
  FenceGuard fence_;                 ///< Ownership of the target.
  AgentStreams streams_;             ///< Attempts.
  AgentClaims claims_;               ///< At-most-once calls.
  CreditLedger credits_;             ///< Capacity of entries.
  std::map<NodeId, Entry> entries_;  ///< Entries that said hello.
  std::map<LeaseId, Group> groups_;  ///< Memory held for groups.
  std::map<AttemptKey, TimePoint> unknown_;  ///< Listed but never dispatched.
  TargetState announced_ = TargetState::kJoining;  ///< Last announced state.
  TimePoint announced_at_;                         ///< When it was announced.
  NodeId announced_to_;           ///< To which control process.
  TimePoint probed_at_;           ///< Last probe.
  uint64_t probe_sequence_ = 0;   ///< Of the last probe.
  TimePoint heard_target_at_;     ///< Last good status.
  bool target_up_ = false;        ///< The target answers.
  uint64_t target_start_ = 0;     ///< Of the target.
  TimePoint load_sent_at_;        ///< Last load report.
  uint64_t credit_sequence_ = 0;  ///< Of the last grant.
  bool stopping_ = false;         ///< A planned stop began.
  TimePoint busy_at_;             ///< Last work during a stop.
  bool stop_ready_ = false;       ///< StopReady was sent.
};

}  // namespace gv
