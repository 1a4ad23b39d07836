/** @file entry_desk.h The requests of one entry, from arrival to their one end.
 */
#pragma once

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "coordination/admission_queue.h"
#include "coordination/entry_base.h"
#include "coordination/limit_share.h"
#include "coordination/retry_budget.h"
#include "coordination/routing_choice.h"
#include "coordination/target_view.h"
#include "protocol/outbox.h"
#include "state/team_base.h"

namespace gv {

/** What the settings session says at the time of one step. */
struct SessionView {
  bool has_lease_ = false;  ///< The process may admit.
  NodeId leader_;           ///< Leading control process, or none.
};

/**
 * Admission, limits, routing, retries, claims and answers. It is the one writer
 * of each answer: whatever is lost, each CallerRequest gets exactly one
 * CallerEnd before its deadline. Thread safety: control thread only.
 */
class EntryDesk {
 public:
  /** @param settings Where the entry runs. @param seed For sampling. */
  EntryDesk(EntrySettings settings, uint64_t seed);

  /** Replaces the teams by those of a newer revision. */
  void SetTeams(std::vector<TeamSettings> teams);

  /** Handles every message of an entry but those of its settings session. */
  void OnMessage(TimePoint now, const Envelope& in, const SessionView& control,
                 Outbox& out);

  /** @return Version of the list of targets that this entry has. */
  uint64_t TargetsVersion() const { return view_.Version(); }
  /** @return Requests that have not ended. */
  size_t InProgress() const { return requests_.size(); }
  /** @return What this entry knows about targets. */
  const TargetView& Targets() const { return view_; }

 private:
  /** What is known about the speed at which a model's queue is served. */
  struct ModelQueue {
    AdmissionQueue queue_;           ///< Waiting requests.
    double rate_ = 0;                ///< Prompt tokens a second.
    int64_t dispatched_tokens_ = 0;  ///< In this period.
    bool was_empty_ = true;          ///< At some time in this period.
    TimePoint period_start_;         ///< Start of the period.
    double token_ms_ = 30;           ///< Time between tokens, learnt.
    double output_part_ = 0.5;       ///< Output by its upper bound, learnt.
  };

  // entry_desk.cc: inputs.
  void OnTargets(TimePoint now, const TargetUpdate& update, Outbox& out);
  void OnPeerDown(TimePoint now, const NodeId& peer, Outbox& out);
  void OnAgentMessage(TimePoint now, const Envelope& in, Outbox& out);
  void OnControlMessage(TimePoint now, const Message& in, Outbox& out);
  RequestRecord* FindRequest(RequestId request);

  // entry_admission.cc: from arrival to the queue.
  void OnCaller(TimePoint now, const CallerRequest& request, Outbox& out);
  Verdict CheckCaller(const CallerRequest& request,
                      const TeamSettings* team) const;
  void AskShare(TimePoint now, RequestRecord& record, Outbox& out);
  void Enqueue(TimePoint now, RequestRecord& record, Outbox& out);
  Duration EstimateTime(const ModelQueue& queue, const ModelPool& pool,
                        const RequestRecord& record) const;
  Duration ServiceTime(const ModelQueue& queue, const ModelPool& pool,
                       const RequestRecord& record) const;
  bool IsHopeless(TimePoint now, const RequestRecord& record) const;
  void RefuseLate(TimePoint now, RequestRecord& record, Outbox& out);
  Priority EnginePriority(TimePoint now, const RequestRecord& record) const;
  QueuedRequest QueueForm(const RequestRecord& record) const;
  void Refuse(RequestRecord& record, Verdict verdict, Outbox& out);
  void RefuseHopeless(TimePoint now, Outbox& out);
  void UpdateRates(TimePoint now);

  // entry_dispatch.cc: from the queue to an agent, and again.
  void DispatchQueued(TimePoint now, Outbox& out);
  bool TryStart(TimePoint now, RequestRecord& record, Outbox& out);
  bool NeedsGroup(const RequestRecord& record) const;
  void StartGroup(TimePoint now, RequestRecord& record, Outbox& out);
  void OnGroupReply(TimePoint now, const GroupReply& reply, Outbox& out);
  void SendAttempt(TimePoint now, RequestRecord& record, Outbox& out);
  void Retry(TimePoint now, RequestRecord& record, Verdict why, Outbox& out);
  void EndAttempt(RequestRecord& record, bool cancel, Outbox& out);
  void ReleaseGroup(RequestRecord& record, Outbox& out);
  void PauseForUrgent(TimePoint now, Outbox& out);
  void SetPaused(TimePoint now, RequestRecord& record, bool paused,
                 Outbox& out);

  // entry_stream.cc: answers.
  void OnChunk(TimePoint now, const NodeId& from, const StreamChunk& chunk,
               Outbox& out);
  void OnEnd(TimePoint now, const NodeId& from, const StreamEnd& end,
             Outbox& out);
  bool IsCurrent(const RequestRecord& record, const NodeId& from,
                 AttemptNumber attempt) const;
  void Deliver(TimePoint now, RequestRecord& record,
               std::vector<StreamChunk> chunks, Outbox& out);
  void FinishIfWhole(TimePoint now, RequestRecord& record, Outbox& out);
  void LearnFromAnswer(TimePoint now, const RequestRecord& record);
  void OnAttemptFailed(TimePoint now, RequestRecord& record, Verdict verdict,
                       Outbox& out);
  void OnAttemptLost(TimePoint now, RequestRecord& record, Outbox& out);
  void Fail(RequestRecord& record, Verdict verdict, Outbox& out);
  void Finish(RequestRecord& record, CallerEnd end, Outbox& out);

  // entry_claims.cc: at-most-once work.
  void SendClaimBegin(TimePoint now, RequestRecord& record, Outbox& out);
  void OnClaimReply(TimePoint now, const ClaimReply& reply, Outbox& out);
  void OnClaimTaken(TimePoint now, RequestRecord& record,
                    const ClaimReply& reply, Outbox& out);
  void ReleaseClaim(TimePoint now, RequestRecord& record, Verdict verdict,
                    Outbox& out);
  void FinishClaim(TimePoint now, RequestRecord& record, uint32_t http_status,
                   Outbox& out);
  void OnClaimFinished(TimePoint now, const ClaimFinished& finished,
                       Outbox& out);
  void Testify(TimePoint now, RequestRecord& record, const TargetId& target,
               FencingToken token, Outbox& out);
  void OnTestify(TimePoint now, const TestifyReply& reply, Outbox& out);
  void ResendClaimStep(TimePoint now, RequestRecord& record, Outbox& out);
  void CheckClaim(TimePoint now, RequestRecord& record, Outbox& out);
  void Replay(RequestRecord& record, uint32_t http_status,
              const std::string& body, Outbox& out);

  // entry_tick.cc: time.
  void OnTick(TimePoint now, Outbox& out);
  void EndOverdue(TimePoint now, Outbox& out);
  void CheckRequests(TimePoint now, Outbox& out);
  void CheckShare(TimePoint now, RequestRecord& record, Outbox& out);
  void CheckAttempt(TimePoint now, RequestRecord& record, Outbox& out);
  void SayHello(TimePoint now, Outbox& out);
  void Focus(TimePoint now, RequestRecord& record);
  void SendKeepalives(TimePoint now, Outbox& out);

  EntrySettings settings_;                          ///< Where it runs.
  SessionView control_;                             ///< At this step.
  TargetView view_;                                 ///< Targets.
  RoutingPolicy routing_;                           ///< Choice of target.
  LimitShares limits_;                              ///< Team limits.
  RetryBudget retries_;                             ///< Bounds retries.
  std::unordered_map<TeamId, TeamSettings> teams_;  ///< Of the revision.
  std::unordered_map<std::string, TeamId> keys_;    ///< By key hash.
  std::unordered_map<RequestId, RequestRecord> requests_;  ///< In progress.
  std::set<std::pair<TimePoint, RequestId>> deadlines_;    ///< In order.
  std::unordered_map<ModelId, ModelQueue> queues_;         ///< By model.
  std::vector<RequestId> share_waiting_;  ///< Kept for its storage.
  bool stopping_ = false;                 ///< A planned stop began.
  bool stop_ready_ = false;               ///< StopReady was sent.
  bool dispatch_wanted_ = false;  ///< Something changed since the last try.
  TimePoint checked_at_;          ///< Last pass over running attempts.
  TimePoint kept_alive_at_;       ///< Last StreamKeepalive.
};

}  // namespace gv
