/** @file forward_outcome.cc What comes back from an attempt, and what follows.
 */
#include "state/table/verdict_names.h"
#include "transport/gateway/forward.h"
#include "transport/gateway/gateway.h"

namespace gv {
namespace {

constexpr unsigned kSuccess = 200;
constexpr unsigned kRedirect = 300;
constexpr unsigned kBadGateway = 502;
constexpr unsigned kUnavailable = 503;
/** Bytes of an unstreamed answer that count as progress; fewer may come from a
 * target that hangs but still sends single bytes. */
constexpr size_t kProgressBytes = 256;

}  // namespace

void Forward::OnUnparsed(size_t bytes) {
  if (attempt_) {
    attempt_->unparsed_bytes_ = bytes;
    NoteMemory();
  }
}

void Forward::OnHead(unsigned status, HttpFields fields) {
  if (ended_ || !attempt_) {
    return;
  }
  attempt_->status_ = status;
  attempt_->fields_ = std::move(fields);
  NoteMemory();
  attempt_->facts_ = gateway_.Codec().read_answer_(status, attempt_->fields_);
  attempt_->last_progress_ = gateway_.Now();
  gateway_.OnAnswerFacts(attempt_->target_, attempt_->start_ms_,
                         attempt_->facts_);
  if (IsAnswerToThisRequest()) {
    gateway_.OnAnswerLimit(attempt_->target_, attempt_->facts_,
                           attempt_->sent_at_);
  }
  attempt_->is_streamed_ =
      IsSignedAnswer() && status >= kSuccess && status < kRedirect &&
      route_.kind_ == RouteKind::kStream && attempt_->facts_.is_event_stream_;
}

bool Forward::IsAnswerToThisRequest() const {
  // On a reused connection the answer may be a late second answer to an earlier
  // request, so it must name the request that it belongs to.
  const std::string& attempt = attempt_->facts_.attempt_;
  const bool may_be_unnamed = !attempt_->connection_->IsReused();
  return attempt == facts_.attempt_ || (attempt.empty() && may_be_unnamed);
}

bool Forward::IsSignedAnswer() const {
  const AnswerFacts& facts = attempt_->facts_;
  return facts.has_signature_ && !facts.is_encoded_ && IsAnswerToThisRequest();
}

void Forward::OnBody(const std::string& data) {
  if (ended_ || !attempt_) {
    return;
  }
  if (!attempt_->is_streamed_) {
    OnWholeBody(data);
    return;
  }
  NoteMemory();
  const uint64_t before = events_.Progress();
  PassEvents(data);
  if (ended_ || !attempt_) {
    return;
  }
  if (events_.Progress() != before) {
    attempt_->last_progress_ = gateway_.Now();
  } else if (events_.PartialEventBytes() > gateway_.MaxEventBytes()) {
    AbandonAttempt("event-too-long");
  }
}

void Forward::OnWholeBody(const std::string& data) {
  attempt_->body_ += data;
  if (attempt_->body_.size() > gateway_.MaxAnswerBytes()) {
    AbandonAttempt("answer-too-long");
    return;
  }
  NoteMemory();
  attempt_->bytes_since_progress_ += data.size();
  if (attempt_->bytes_since_progress_ >= kProgressBytes) {
    attempt_->bytes_since_progress_ = 0;
    attempt_->last_progress_ = gateway_.Now();
  }
}

void Forward::OnExchangeEnd(ExchangeEnd end) {
  if (ended_ || !attempt_) {
    return;
  }
  gateway_.Ledger().End(*work_id_);
  work_id_.reset();
  if (end == ExchangeEnd::kNotConnected) {
    LogAttemptEnd("not-connected", RunState::kNotRun);
    --reached_;
    --may_have_run_;
    OnAttemptFailed(AttemptEnd{RunState::kNotRun, false},
                    HealthOutcome::kUnreachable, "not-connected");
    return;
  }
  if (end != ExchangeEnd::kComplete) {
    const char* const reason =
        end == ExchangeEnd::kClosed ? "closed" : "broken";
    LogAttemptEnd(reason, RunState::kMayHaveRun);
    ReportIfUnanswered();
    const bool reused = attempt_->connection_->IsReused();
    OnAttemptFailed(AttemptEnd{RunState::kMayHaveRun, false},
                    reused ? HealthOutcome::kFull : HealthOutcome::kUnreachable,
                    reason);
    return;
  }
  OnExchangeComplete();
}

AnswerUse Forward::UseOfAnswer() const {
  TargetAnswer answer;
  answer.status_ = attempt_->status_;
  answer.is_own_ = IsAnswerToThisRequest();
  answer.has_signature_ = IsSignedAnswer();
  answer.not_run_ = attempt_->facts_.not_run_;
  return JudgeAnswer(answer);
}

void Forward::OnExchangeComplete() {
  const AnswerUse use = UseOfAnswer();
  if (use == AnswerUse::kIgnore) {
    LogAttemptEnd("not-its-answer", RunState::kMayHaveRun);
    attempt_->connection_->Cancel();
    OnAttemptFailed(AttemptEnd{RunState::kMayHaveRun, false},
                    HealthOutcome::kError, "not-its-answer");
    return;
  }
  const AnswerFacts& facts = attempt_->facts_;
  gateway_.Pool().Release(gateway_.Now(), attempt_->connection_,
                          facts.keep_alive_);
  if (use == AnswerUse::kRefusal) {
    LogAttemptEnd("refused", RunState::kNotRun);
    --may_have_run_;
    OnAttemptFailed(AttemptEnd{RunState::kNotRun, false}, HealthOutcome::kFull,
                    "refused-" + std::to_string(attempt_->status_));
    return;
  }
  if (!attempt_->is_streamed_ && facts.has_signature_) {
    gateway_.OnAnswerBegun(service_.name_, parts_);
  }
  if (use == AnswerUse::kForward) {
    OnAnswerToForward();
  } else {
    OnFailureAnswer(use);
  }
}

void Forward::OnFailureAnswer(AnswerUse use) {
  const bool may_forward = use == AnswerUse::kFailure && !answer_begun_ &&
                           attempt_->facts_.has_signature_;
  const RunState run =
      use == AnswerUse::kFailure ? RunState::kRan : RunState::kMayHaveRun;
  LogAttemptEnd("failure", run);
  OnAttemptFailed(AttemptEnd{run, may_forward}, HealthOutcome::kError,
                  "status-" + std::to_string(attempt_->status_));
}

void Forward::OnAnswerToForward() {
  if (answer_begun_ && !attempt_->is_streamed_) {
    // The caller has a part of the stream already, so this answer cannot be
    // passed on.
    LogAttemptEnd("late-answer", RunState::kRan);
    OnAttemptFailed(AttemptEnd{RunState::kRan, false}, HealthOutcome::kUnknown,
                    "status-" + std::to_string(attempt_->status_));
    return;
  }
  if (attempt_->is_streamed_ && !IsStreamComplete()) {
    LogAttemptEnd("incomplete-stream", RunState::kMayHaveRun);
    ReportIfUnanswered();
    OnAttemptFailed(AttemptEnd{RunState::kMayHaveRun, false},
                    HealthOutcome::kError, "incomplete-stream");
    return;
  }
  gateway_.OnOutcome(attempt_->target_, HealthOutcome::kGood);
  last_outcome_ = HealthOutcome::kGood;
  FinishAnswer();
}

void Forward::LogAttemptEnd(const std::string& end, RunState run) const {
  const AnswerFacts& facts = attempt_->facts_;
  const char* const answers = facts.attempt_ == facts_.attempt_ ? "own"
                              : facts.attempt_.empty()          ? "unnamed"
                                                                : "other";
  const TargetConnection& connection = *attempt_->connection_;
  Log(EventId::kForwardAttemptEnded,
      "end=" + end + " run=" + std::string(NameOf(kRunStateNames, run)) +
          " status=" + std::to_string(attempt_->status_) +
          " not_executed=" + (facts.not_run_ ? "1" : "0") +
          " signed=" + (facts.has_signature_ ? "1" : "0") +
          " answers=" + (attempt_->status_ == 0 ? "nothing" : answers) +
          " address=" + connection.Address() + " reused=" +
          (connection.IsReused() ? "1" : "0") + RunDetail() + " took_ms=" +
          std::to_string((gateway_.Now() - attempt_->sent_at_).Ms()));
}

AttemptHistory Forward::History() const {
  AttemptHistory history;
  history.kind_ = route_.kind_;
  history.resumable_ = route_.resumable_;
  history.max_targets_ = route_.max_targets_;
  history.sent_ = sent_;
  history.may_have_run_ = may_have_run_;
  history.answer_begun_ = answer_begun_;
  history.has_failure_answer_ = target_failure_.has_value();
  history.time_left_ = answer_deadline_ - gateway_.Now();
  return history;
}

void Forward::OnAttemptFailed(const AttemptEnd& end, HealthOutcome health,
                              const std::string& reason) {
  gateway_.OnOutcome(attempt_->target_, health);
  last_outcome_ = health;
  tried_.push_back(attempt_->target_);
  if (end.has_answer_) {
    target_failure_ = TakeWholeAnswer();
  }
  RetryOrFinish(end, reason);
}

void Forward::AbandonAttempt(const std::string& reason, HealthOutcome health) {
  LogAttemptEnd("abandoned", RunState::kMayHaveRun);
  gateway_.Ledger().End(*work_id_);
  work_id_.reset();
  attempt_->connection_->Cancel();
  OnAttemptFailed(AttemptEnd{RunState::kMayHaveRun, false}, health, reason);
}

std::optional<Duration> Forward::RoomIn(const std::string& reason) const {
  if (reason == kTargetLimit) {
    return limit_wait_;
  }
  return reason == kNoTarget
             ? gateway_.GetPlacer().UntilUsable(gateway_.Now(), ToPlace())
             : std::nullopt;
}

void Forward::FinishWithoutRetry(const AttemptEnd& end,
                                 const std::string& reason) {
  switch (DecideFinalStep(History(), end)) {
    case FinalStep::kForwardAnswer:
      PassTargetFailure();
      return;
    case FinalStep::kRefuse:
      Refuse(kUnavailable, reason, ReturnTime(RoomIn(reason), TimeLeft()));
      return;
    case FinalStep::kFail:
    case FinalStep::kTruncateAnswer:
      FailWith(kBadGateway, reason);
      return;
  }
}

}  // namespace gv
