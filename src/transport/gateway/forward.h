/** @file forward.h One request on its way from a caller to a target and back.
 */
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "coordination/gateway/attempt_policy.h"
#include "coordination/gateway/event_splitter.h"
#include "coordination/gateway/placement.h"
#include "protocol/message.h"
#include "state/event_type.h"
#include "transport/gateway/caller_connection.h"
#include "transport/gateway/target_connection.h"

namespace gv {

class Gateway;

/**
 * Admits a request, sends it to a target, tries others where that is allowed,
 * and gives the caller exactly one answer. Thread safety: owned by one thread.
 */
class Forward : public std::enable_shared_from_this<Forward> {
 public:
  /** @param gateway Outlives the request. */
  Forward(Gateway& gateway, std::shared_ptr<GatewayCaller> caller,
          CallerRequestMessage request);

  /** Admits the request. @pre Called once. */
  void Start();
  /** Ends what takes too long. */
  void OnTick(TimePoint now);
  /** The caller went away. */
  void OnCallerGone();
  bool IsEnded() const { return ended_; }

 private:
  /** Memory reserved at a target for this request. */
  struct Ticket {
    std::string name_;     ///< Chosen here.
    std::string address_;  ///< Of the target.
    TargetId target_;      ///< The target.
    int64_t tokens_ = 0;   ///< Size.
    bool held_ = false;    ///< The target said so.
  };
  /** One try at one target. */
  struct Attempt {
    std::shared_ptr<TargetConnection> connection_;  ///< Where it runs.
    TargetId target_;                               ///< Who.
    TimePoint progress_;         ///< Last progress, or the start.
    size_t unjudged_bytes_ = 0;  ///< Of a whole answer, since progress_.
    double predicted_ms_ = 0;    ///< Until the first event.
    unsigned status_ = 0;        ///< Of the answer, or 0.
    HttpFields fields_;          ///< Of the answer.
    AnswerFacts facts_;          ///< Of the answer.
    std::string body_;           ///< Of an answer that isn't streamed.
    bool streams_ = false;       ///< It is an event stream to pass on.
  };

  // forward.cc: admission and ends.
  void Proceed();
  bool HasLease() const;
  Duration LeaseWait() const;
  bool Admit();
  bool Authenticate();
  void Refuse(unsigned status, const std::string& reason, Duration retry_after);
  void FailWith(unsigned status, const std::string& reason);
  void End();
  void Log(EventId id, const std::string& detail) const;
  Duration TimeLeft() const;
  bool IsPrompt() const;

  // forward_attempt.cc: placing, sending, outcomes.
  void TryTarget();
  bool MayBeInTime(const Placement& placement) const;
  void SendTo(const Placement& placement);
  void PlaceElsewhere(const TargetId& target);
  std::string BuildRequest(const Placement& placement) const;
  std::vector<std::string> HelperList(const Placement& placement) const;
  ExchangeHandler MakeHandler();
  void OnHead(unsigned status, const HttpFields& fields);
  void OnBody(const std::string& data);
  void OnWholeBody(const std::string& data);
  bool IsAnswerTo() const;
  void OnExchangeEnd(ExchangeEnd end);
  void CloseAttempt();
  void OnAttemptFailed(const AttemptEnd& end, HealthOutcome health,
                       const std::string& reason);
  void AbandonAttempt(const std::string& reason);
  bool IsOwnAnswer() const;
  AttemptHistory History() const;
  void FinishWithout(const AttemptEnd& end, const std::string& reason);

  // forward_answer.cc: what reaches the caller.
  void PassEvents(const std::string& data);
  void BeginAnswer();
  void FinishAnswer();
  WholeAnswer TakeWholeAnswer();
  void PassWholeAnswer(const WholeAnswer& answer);
  void PassOwnFailure();
  HttpFields AnswerFields() const;
  Duration Patience() const;
  void CheckProgress(TimePoint now);

  // forward_prompt.cc: prompts wait for their turn at the leader.
  bool AskLeader(const PlacementRequest& wanted);
  Duration LatestStart(bool is_long) const;
  void OnLeaderAnswer(const Message& answer);
  void CheckLeader(TimePoint now);
  void LeaveLeader();
  bool HasReturned() const;

  // forward_reserve.cc: memory for prompts that do not fit one engine.
  void Reserve(const Placement& placement);
  void OnReserved(size_t index, bool granted);
  void RenewTickets(TimePoint now);
  void ReleaseTickets();

  Gateway& gateway_;                       ///< Everything shared.
  std::shared_ptr<GatewayCaller> caller_;  ///< Gets the answer.
  CallerRequestMessage request_;           ///< As it came.
  CallerFacts facts_;                      ///< Of its header.
  Route route_;                            ///< As of its arrival.
  Service service_;                        ///< As of its arrival.
  std::string customer_;                   ///< Name, or empty.
  int64_t priority_ = 0;                   ///< Of customer or route.
  uint64_t version_ = 0;                   ///< Configuration that decided.
  TimePoint arrived_;                      ///< When it was read.
  TimePoint limit_;                        ///< When it ends in any case.
  TimePoint nobody_waits_;                 ///< For the target's deadline.

  std::optional<Attempt> attempt_;          ///< In progress.
  std::optional<WorkId> work_;              ///< In the ledger.
  std::vector<TargetId> tried_;             ///< Targets that failed it.
  size_t helpers_ = 0;                      ///< Of the newest attempt.
  int64_t sent_ = 0;                        ///< Attempts sent.
  int64_t may_have_run_ = 0;                ///< Of them.
  EventSplitter events_;                    ///< Of a stream.
  std::optional<WholeAnswer> own_failure_;  ///< Of the newest target with one.
  bool answer_begun_ = false;               ///< Parts were written.
  bool ended_ = false;                      ///< Nothing more to do.
  TimePoint last_event_;                    ///< When the caller got the newest.
  Duration longest_pause_;                  ///< Between two events.
  TimePoint first_event_;                   ///< When the caller got it.

  TimePoint lease_by_;         ///< Waits for a lease until then.
  bool asked_leader_ = false;  ///< Only once for each attempt.
  HealthOutcome outcome_ = HealthOutcome::kUnknown;  ///< Of the last attempt.
  TargetId last_target_;                             ///< Of the last attempt.
  std::optional<OperationId> ask_;                   ///< Open at the leader.
  bool waits_for_leader_ = false;  ///< Not placed, as none can be asked.
  TimePoint leader_by_;            ///< Waits for a leader until then.
  TimePoint leader_asked_;         ///< When.
  TimePoint leader_answer_by_;     ///< When to go on without it.

  std::optional<Placement> reserving_;  ///< Waits for its tickets.
  std::vector<Ticket> tickets_;         ///< Of this request.
  size_t tickets_open_ = 0;             ///< Not answered yet.
  TimePoint next_renewal_;              ///< Of held tickets.
};

}  // namespace gv
