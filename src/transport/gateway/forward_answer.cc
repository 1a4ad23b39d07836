/** @file forward_answer.cc Delivers answers to the caller and ends attempts
 * that make no progress. */
#include <algorithm>

#include "coordination/gateway/silence_policy.h"
#include "transport/gateway/forward.h"
#include "transport/gateway/gateway.h"

namespace gv {
namespace {

namespace http = boost::beast::http;

/** Bytes queued for the caller beyond which reading from the target pauses; it
 * resumes below half of this. */
constexpr size_t kMaxUnsentBytes = 256UL << 10;
constexpr int64_t kHalves = 2;
/** Timeout without progress for a target whose heartbeats have stopped. */
constexpr Duration kUnreachableTargetTimeout = 500_ms;

}  // namespace

HttpFields Forward::AnswerFields() const {
  HttpFields fields = attempt_->fields_;
  RemoveHopByHopHeaders(fields);
  return fields;
}

void Forward::BeginAnswer() {
  answer_begun_ = true;
  if (work_id_) {
    gateway_.Ledger().OnFirstEvent(*work_id_);
  }
  if (leader_operation_) {
    gateway_.ReportPromptProgress(*leader_operation_, false, last_target_,
                                  HealthOutcome::kUnknown);
  }
  first_event_time_ = gateway_.Now();
  if (IsPrompt()) {
    gateway_.PatienceOf(route_.name_).OnServed(first_event_time_ - arrived_);
  }
  caller_->BeginParts(attempt_->status_, AnswerFields(), gateway_.IsStopping());
  gateway_.ObserveFirstEvent(route_.kind_, first_event_time_ - arrived_);
}

void Forward::PassEvents(const std::string& data) {
  const std::string events = events_.Add(data);
  if (!events.empty()) {
    if (!answer_begun_) {
      BeginAnswer();
    }
    if (!std::exchange(attempt_->has_event_, true)) {
      gateway_.OnAnswerBegun(service_.name_, parts_);
    }
    const TimePoint now = gateway_.Now();
    if (last_event_time_ != TimePoint()) {
      longest_pause_ = std::max(longest_pause_, now - last_event_time_);
    }
    last_event_time_ = now;
    caller_->Part(events);
  }
  if (ended_ || !attempt_) {
    return;
  }
  if (events_.HasGap()) {
    AbandonAttempt("missing-event");
    return;
  }
  if (caller_->Unsent() > kMaxUnsentBytes) {
    attempt_->connection_->SetPaused(true);
  }
}

bool Forward::IsStreamComplete() const {
  if (events_.HasGap() || !events_.EndsWithCompleteEvent()) {
    return false;
  }
  if (attempt_->has_event_) {
    return true;
  }
  // The caller may have all events already, but a connection that just closes
  // does not tell so.
  const HttpFields& fields = attempt_->fields_;
  const bool is_framed =
      fields.find(http::field::content_length) != fields.end() ||
      fields.find(http::field::transfer_encoding) != fields.end();
  return is_framed && events_.LastId().has_value();
}

void Forward::FinishAnswer() {
  if (!attempt_->is_streamed_) {
    if (!IsPrompt()) {
      gateway_.TimesOf(service_.name_).Add(gateway_.Now() - attempt_->sent_at_);
    }
    const WholeAnswer answer = TakeWholeAnswer();
    attempt_.reset();
    PassWholeAnswer(answer);
    return;
  }
  if (!answer_begun_) {
    BeginAnswer();
  }
  Log(EventId::kForwardFinished,
      "status=" + std::to_string(attempt_->status_) +
          " events=" + std::to_string(events_.Count()) +
          " first_ms=" + std::to_string((first_event_time_ - arrived_).Ms()) +
          " pause_ms=" + std::to_string(longest_pause_.Ms()) +
          " objective_ms=" + std::to_string(route_.objective_.Ms()) +
          " pause_objective_ms=" +
          std::to_string(route_.pause_objective_.Ms()) +
          " total_ms=" + std::to_string((gateway_.Now() - arrived_).Ms()) +
          " prompt=" + std::to_string(facts_.prompt_tokens_) +
          " helpers=" + std::to_string(helper_count_) +
          " predicted_ms=" + std::to_string(int64_t(attempt_->predicted_ms_)));
  gateway_.Count(route_.kind_, "finished");
  const auto connection = std::move(attempt_->connection_);
  attempt_.reset();
  End();
  caller_->EndParts();
}

WholeAnswer Forward::TakeWholeAnswer() {
  return WholeAnswer{attempt_->status_, AnswerFields(),
                     std::move(attempt_->body_)};
}

void Forward::PassWholeAnswer(const WholeAnswer& answer) {
  Log(EventId::kForwardFinished,
      "status=" + std::to_string(answer.status_) + RunDetail() +
          " total_ms=" + std::to_string((gateway_.Now() - arrived_).Ms()));
  gateway_.ObserveFirstEvent(route_.kind_, gateway_.Now() - arrived_);
  gateway_.Count(route_.kind_, "finished");
  End();
  caller_->Reply(answer, gateway_.IsStopping());
}

void Forward::PassTargetFailure() {
  const WholeAnswer answer = std::move(*target_failure_);
  PassWholeAnswer(answer);
}

Duration Forward::ProgressTimeout() const {
  if (route_.kind_ == RouteKind::kSafe) {
    return CallTimeout();
  }
  if (gateway_.Registry().Targets().IsUnreachable(attempt_->target_)) {
    return kUnreachableTargetTimeout;
  }
  if (!service_.engine_) {
    return CallTimeout();
  }
  return answer_begun_
             ? LongestPause(*service_.engine_)
             : LongestFirstEvent(
                   *service_.engine_,
                   Duration(static_cast<int64_t>(attempt_->predicted_ms_)));
}

void Forward::ReportIfOverdue(TimePoint now) {
  const bool is_overdue = !attempt_->is_streamed_ && attempt_->status_ != 0 &&
                          !IsPrompt() &&
                          now - attempt_->sent_at_ > CallTimeout();
  if (is_overdue && !std::exchange(attempt_->is_overdue_, true)) {
    gateway_.OnOutcome(attempt_->target_, HealthOutcome::kError);
  }
}

Duration Forward::CallTimeout() const {
  return LongestCall(gateway_.TimesOf(service_.name_).Longest(),
                     answer_deadline_ - attempt_->sent_at_,
                     route_.max_targets_ - sent_ + 1);
}

void Forward::CheckProgress(TimePoint now) {
  if (!attempt_) {
    return;
  }
  if (caller_->Unsent() < kMaxUnsentBytes / kHalves) {
    attempt_->connection_->SetPaused(false);
  }
  ReportIfOverdue(now);
  if (!attempt_->has_event_ && !attempt_->is_trial_ && IsQuarantined()) {
    // The engine drops the prompt with its connection, before it crashes.
    AbandonAttempt(kQuarantined, HealthOutcome::kUnknown);
    return;
  }
  const bool may_repeat =
      IsRepeatable(route_.kind_, route_.resumable_) &&
      MayRetry(History(), AttemptEnd{RunState::kMayHaveRun, false});
  if (!may_repeat || caller_->Unsent() >= kMaxUnsentBytes ||
      now - attempt_->last_progress_ <= ProgressTimeout()) {
    return;
  }
  // Without a permit the attempt is kept, as the current target may still
  // answer.
  if (ObtainRetryPermit()) {
    AbandonAttempt("silent");
  } else if (now >= next_retry_ask_) {
    AskForRetryPermit();
  }
}

}  // namespace gv
