/** @file forward.h One request on its way from a caller to a target and back.
 */
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "coordination/gateway/admission_policy.h"
#include "coordination/gateway/attempt_policy.h"
#include "coordination/gateway/event_splitter.h"
#include "coordination/gateway/placement.h"
#include "protocol/message.h"
#include "state/event_type.h"
#include "transport/gateway/caller_connection.h"
#include "transport/gateway/memory_keeper.h"
#include "transport/gateway/target_connection.h"

namespace gv {

class Gateway;

/** Reason for refusing a prompt with a part that crashes engines, or a request
 * that crashes targets. */
inline constexpr const char* kQuarantined = "request-crashes-targets";
/** Reason for ending a request that holds too much memory. */
inline constexpr const char* kTooMuchMemory = "too-much-memory";
/** Reason for refusing what no ready target is left for. */
inline constexpr const char* kNoTarget = "no-target";
/** Reason for refusing what only targets of evacuated data centres could take.
 */
inline constexpr const char* kEvacuated = "evacuated";
/** Reason for refusing what only targets with a limit could take. */
inline constexpr const char* kTargetLimit = "target-limit";

/**
 * Forwards one request: admits it, sends it to a target, retries at other
 * targets where the route allows it, and gives the caller exactly one answer.
 * Thread safety: owned by one thread.
 */
class Forward : public std::enable_shared_from_this<Forward> {
 public:
  /** @param gateway Must outlive this object. */
  Forward(Gateway& gateway, std::shared_ptr<GatewayCaller> caller,
          CountedRequest request);

  /** Admits the request and places it, or waits for the gateway's lease first.
   * @pre Called once. */
  void Start();
  /** Checks all timeouts of the request and renews its reservations. */
  void OnTick(TimePoint now);
  /** Ends the request after the caller has disconnected. */
  void OnCallerGone();
  /** Gives the caller a final answer, as the process ends; a stream that has
   * begun goes on until then. */
  void OnGatewayEnds();
  bool IsEnded() const { return ended_; }

 private:
  /** Memory reserved at a target for this request. */
  struct Ticket {
    std::string name_;     ///< Ticket name, chosen by this gateway.
    std::string address_;  ///< "IP:port" of the target.
    TargetId target_;      ///< Target that holds the memory.
    int64_t tokens_ = 0;   ///< Reserved memory in tokens.
    bool held_ = false;    ///< The target has confirmed the reservation.
  };
  /** One attempt to have the request answered by one target. */
  struct Attempt {
    /** Connection to the target. */
    std::shared_ptr<TargetConnection> connection_;
    TargetId target_;        ///< Target that the request was sent to.
    uint64_t start_ms_ = 0;  ///< Start of that target.
    TimePoint sent_at_;      ///< Its start.
    /** Time of the last progress; at first the start. */
    TimePoint last_progress_;
    /** Bytes of an unstreamed answer received since last_progress_ was set. */
    size_t bytes_since_progress_ = 0;
    double predicted_ms_ = 0;  ///< Predicted time to the first event.
    unsigned status_ = 0;  ///< HTTP status of the answer; 0 before its header.
    HttpFields fields_;    ///< Header fields of the answer.
    AnswerFacts facts_;    ///< Facts from the header of the answer.
    std::string body_;     ///< Body of an answer that is not streamed.
    /** The answer is an event stream delivered event by event. */
    bool is_streamed_ = false;
    bool has_event_ = false;  ///< An event of the answer has come.
    bool is_trial_ = false;  ///< Sent after the quarantine of one of its parts.
    size_t request_bytes_ = 0;   ///< Of the request as it is sent.
    size_t unparsed_bytes_ = 0;  ///< Of the answer, at its connection.
    bool is_overdue_ = false;    ///< Reported as an answer that does not end.
  };

  /** Permit of the leader for one request to a target with a limit. */
  struct LimitPermit {
    TargetId target_;  ///< The target.
    TimePoint from_;   ///< When the request may be sent.
    TimePoint until_;  ///< When the permit ends.
  };

  /** A failed attempt, after which another target may be tried. */
  struct FailedAttempt {
    AttemptEnd end_;      ///< Whether it ran.
    std::string reason_;  ///< For log lines and the final answer.
  };

  // forward.cc: admission, refusal and end of the request.
  void AdmitAndPlace();
  bool CanAdmit() const;
  const Route* FindRoute() const;
  std::string ChosenService(const Route& route) const;
  void HoldOrRefuse();
  void StopWaitingForLease();
  /** @return Bytes that the request holds while it waits for a lease. */
  size_t WaitingBytes() const;
  void NoteMemory();
  void EndForMemory();
  bool Admit();
  /** @param retry_after Zero if the caller is told no time to return. */
  void Refuse(unsigned status, const std::string& reason, Duration retry_after);
  /** @return When the caller should return. @param room_in Until there is room
   * for the request, if known. @param time_left Of the caller. */
  Duration ReturnTime(std::optional<Duration> room_in,
                      Duration time_left) const;
  void FailWith(unsigned status, const std::string& reason);
  void End();
  void Log(EventId id, const std::string& detail) const;
  /** @return How many attempts were made and may have run, for log lines;
   * begins with a space. */
  std::string RunDetail() const;
  Duration TimeLeft() const;
  bool IsPrompt() const;
  /** @return Time that the request takes without any waiting, as far as is
   * known. */
  Duration PredictedWork() const;
  CallerTime TimeOfCaller() const;

  // forward_attempt.cc: attempts at targets.
  PlacementRequest ToPlace() const;
  void StartAttempt();
  /** @return True if the caller gets its whole answer in time. */
  bool CanFinishAt(const Placement& placement) const;
  void SendTo(const Placement& placement);
  /** @return A connection that carried no earlier attempt of this request, as
   * all of them bear one id and a second copy of an answer could be taken for
   * that of the next attempt. */
  std::shared_ptr<TargetConnection> ConnectionTo(const std::string& address);
  /** Ends the request if every ready target of its service is in an evacuated
   * data centre. @return True if it has ended. */
  bool RefuseEvacuated();
  /** @return True if the request may go to the target and the holders of
   * memory; otherwise it is placed elsewhere, or ends without a lease. */
  bool MayUse(const Placement& placement);
  void PlaceElsewhere(const TargetId& target, const char* reason);
  std::string BuildRequest(const Placement& placement) const;
  std::vector<std::string> HelperList(const Placement& placement) const;
  ExchangeHandler MakeHandler();

  // forward_outcome.cc: what comes back from an attempt, and what follows.
  void OnUnparsed(size_t bytes);
  void OnHead(unsigned status, HttpFields fields);
  void OnBody(const std::string& data);
  void OnWholeBody(const std::string& data);
  bool IsAnswerToThisRequest() const;
  void OnExchangeEnd(ExchangeEnd end);
  AnswerUse UseOfAnswer() const;
  void OnExchangeComplete();
  void OnFailureAnswer(AnswerUse use);
  void OnAnswerToForward();
  /** @param end What came back, for people. */
  void LogAttemptEnd(const std::string& end, RunState run) const;
  void OnAttemptFailed(const AttemptEnd& end, HealthOutcome health,
                       const std::string& reason);
  void AbandonAttempt(const std::string& reason,
                      HealthOutcome health = HealthOutcome::kUnreachable);
  bool IsSignedAnswer() const;
  AttemptHistory History() const;
  /** @return Time until what @p reason refused has room, if that is known. */
  std::optional<Duration> RoomIn(const std::string& reason) const;
  void FinishWithoutRetry(const AttemptEnd& end, const std::string& reason);

  // forward_parts.cc: requests and parts of prompts that crash targets.
  std::vector<PromptPartId> Parts() const;
  bool IsQuarantined() const;
  bool RefuseQuarantined();
  void ReportIfUnanswered();

  // forward_retry.cc: permits for retries.
  void RetryOrFinish(const AttemptEnd& end, const std::string& reason);
  bool ObtainRetryPermit();
  bool AskForRetryPermit();
  void OnRetryReply(bool granted);
  void CheckRetryAsk(TimePoint now);
  void ReturnPlacement();
  void Retry();
  void DoNotRetry(const char* cause);
  std::string RetryDetail() const;

  // forward_limit.cc: permits for targets with a limit.
  bool AskForLimitedTarget(const PlacementRequest& to_place, bool has_other);
  bool HasLimitPermit(const Placement& placement);
  void AskForLimitPermit(const std::vector<TargetId>& targets,
                         Duration longest_wait);
  void OnLimitReply(TimePoint asked, const LimitReply& reply);
  void UseLimitPermit(TimePoint now);

  // forward_answer.cc: delivery of the answer to the caller.
  void PassEvents(const std::string& data);
  void BeginAnswer();
  bool IsStreamComplete() const;
  void FinishAnswer();
  WholeAnswer TakeWholeAnswer();
  void PassWholeAnswer(const WholeAnswer& answer);
  void PassTargetFailure();
  HttpFields AnswerFields() const;
  Duration CallTimeout() const;
  Duration ProgressTimeout() const;
  void ReportIfOverdue(TimePoint now);
  void CheckProgress(TimePoint now);

  // forward_prompt.cc: placement of prompts by the leader.
  bool RequestPlacement(const PlacementRequest& to_place);
  PromptAsk MakePromptAsk() const;
  void OnPlacementReply(const Message& answer);
  void CheckLeaderTimeouts(TimePoint now);
  void EndLeaderRequest();

  // forward_reserve.cc: memory for prompts that exceed that of one engine.
  void Reserve(const Placement& placement);
  void OnReserved(size_t index, bool granted);
  void RenewTickets(TimePoint now);
  void ReleaseTickets();

  Gateway& gateway_;  ///< Gateway that received the request.
  std::shared_ptr<GatewayCaller> caller_;  ///< Connection that gets the answer.
  CountedRequest request_;                 ///< Request as received.
  MemoryHolder memory_;                    ///< Counts what it holds.
  CallerFacts facts_;  ///< Facts from the header of the request.
  /** Shared parts of the prompt, and the one that stands for the request. */
  std::vector<PromptPartId> parts_;
  Route route_;           ///< Route at the time of admission.
  Service service_;       ///< Service at the time of admission.
  std::string customer_;  ///< Name of the customer; empty if anonymous.
  /** Priority of the customer, else of the route; zero is served first. */
  int64_t priority_ = 0;
  /** Version of the configuration that admitted the request. */
  uint64_t config_version_ = 0;
  TimePoint arrived_;  ///< Time at which the request was received.
  /** Time at which the request is ended if it has no complete answer. */
  TimePoint answer_deadline_;
  /** Time at which the caller stops waiting; sent to the target as its
   * deadline. */
  TimePoint caller_deadline_;

  std::optional<Attempt> attempt_;  ///< Attempt in progress.
  std::optional<PlacedRequestId>
      work_id_;  ///< Entry of the attempt in the load ledger.
  /** Targets that failed this request or were not ready for it. */
  std::vector<TargetId> tried_;
  /** Addresses that attempts were sent to. */
  std::vector<std::string> asked_addresses_;
  size_t helper_count_ = 0;   ///< Helpers of the latest attempt.
  int64_t sent_ = 0;          ///< Attempts sent to a target.
  int64_t reached_ = 0;       ///< Sent attempts that may have reached a target.
  int64_t may_have_run_ = 0;  ///< Sent attempts that the target may have run.
  std::optional<FailedAttempt> failed_;  ///< Latest failed attempt.
  /** The latest attempt failed, and the leader is asked for a permit. */
  bool waiting_for_permit_ = false;
  std::optional<OperationId> retry_ask_;  ///< Open at the leader.
  TimePoint retry_ask_deadline_;          ///< When it counts as refused.
  TimePoint next_retry_ask_;  ///< Earliest ask for a silent attempt.
  /** End of the permit for one retry. */
  TimePoint retry_permit_until_;
  /** Targets with a limit were asked for in this attempt. */
  bool limit_asked_ = false;
  std::optional<OperationId> limit_ask_;     ///< Open at the leader.
  std::optional<LimitPermit> limit_permit_;  ///< Not used yet.
  /** Placement whose target has a limit that the leader did not know of. */
  std::optional<Placement> unpermitted_;
  /** Time until the caller should return, after a permit was refused. */
  std::optional<Duration> limit_wait_;
  /** Splits the event stream and drops events that the caller already has. */
  EventSplitter events_;
  /** Latest failure answer given by a target itself. */
  std::optional<WholeAnswer> target_failure_;
  bool answer_begun_ = false;  ///< A part of the answer was sent to the caller.
  bool ended_ = false;         ///< The request has ended.
  /** Time at which the latest event was sent to the caller. */
  TimePoint last_event_time_;
  Duration longest_pause_;  ///< Longest time between two successive events.
  /** Time at which the first event was sent to the caller. */
  TimePoint first_event_time_;

  bool waiting_for_lease_ = false;  ///< Held until the gateway has a lease.
  /** The next placement is not requested from the leader. */
  bool skip_leader_ = false;
  /** Outcome of the latest attempt; kUnknown once it is reported to the
   * leader. */
  HealthOutcome last_outcome_ = HealthOutcome::kUnknown;
  TargetId last_target_;  ///< Target of the latest attempt.
  /** Operation of the placement request that is open at the leader. */
  std::optional<OperationId> leader_operation_;
  /** Not placed yet, as no leader is available. */
  bool waiting_for_leader_ = false;
  /** End of the wait for an available leader; unset if not waiting. */
  TimePoint leader_wait_deadline_;
  /** Time of the placement request. */
  TimePoint leader_asked_at_;
  /** Time at which the placement request times out, or is repeated if the
   * leader has queued it; unset if not waiting. */
  TimePoint leader_reply_deadline_;

  /** Placement whose reservations are not all confirmed. */
  std::optional<Placement> pending_placement_;
  std::vector<Ticket> tickets_;  ///< Reservations for this request.
  size_t tickets_pending_ = 0;   ///< Reservations without a reply.
  /** Time at which confirmed reservations are renewed. */
  TimePoint next_renewal_;
};

}  // namespace gv
