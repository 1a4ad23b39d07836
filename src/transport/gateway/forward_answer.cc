/** @file forward_answer.cc Passes answers on to the caller and watches that
 * they go on. */
#include <algorithm>

#include "transport/gateway/forward.h"
#include "transport/gateway/gateway.h"

namespace gv {
namespace {

/** Bytes that a caller may leave unread before its target is held back. */
constexpr size_t kMostUnsent = 256UL << 10;
/** An engine that goes on with an answer is silent for a few passes at most. */
constexpr Duration kLeastPause = 1500_ms;
constexpr int64_t kPausesOfPatience = 5;
constexpr int64_t kHalves = 2;
/** Silence after which a target that registers no more is left. */
constexpr Duration kSilentPatience = 500_ms;
/** Before the first event: callers of short streams go away after two seconds.
 */
constexpr Duration kLeastFirst = 1200_ms;
/** A call that takes twice its objective has probably met a target that
 * hangs. */
constexpr int64_t kObjectivesOfCall = 2;

}  // namespace

HttpFields Forward::AnswerFields() const {
  HttpFields fields = attempt_->fields_;
  RemoveHopHeaders(fields);
  return fields;
}

void Forward::BeginAnswer() {
  answer_begun_ = true;
  if (work_) {
    gateway_.Ledger().FirstEvent(*work_);
  }
  if (ask_) {
    gateway_.StepPrompt(*ask_, false, last_target_, HealthOutcome::kUnknown);
  }
  first_event_ = gateway_.Now();
  caller_->BeginParts(attempt_->status_, AnswerFields(), gateway_.IsStopping());
  gateway_.ObserveFirstEvent(route_.kind_, first_event_ - arrived_);
}

void Forward::PassEvents(const std::string& data) {
  const std::string events = events_.Add(data);
  if (!events.empty()) {
    if (!answer_begun_) {
      BeginAnswer();
    }
    const TimePoint now = gateway_.Now();
    if (last_event_ != TimePoint()) {
      longest_pause_ = std::max(longest_pause_, now - last_event_);
    }
    last_event_ = now;
    caller_->Part(events);
  }
  if (ended_ || !attempt_) {
    return;
  }
  if (events_.HasGap()) {
    AbandonAttempt("missing-event");
    return;
  }
  if (caller_->Unsent() > kMostUnsent) {
    attempt_->connection_->SetPaused(true);
  }
}

void Forward::FinishAnswer() {
  if (!attempt_->streams_) {
    PassWholeAnswer(TakeWholeAnswer());
    return;
  }
  if (!answer_begun_) {
    BeginAnswer();
  }
  Log(EventId::kForwardFinished,
      "status=" + std::to_string(attempt_->status_) +
          " events=" + std::to_string(events_.Count()) +
          " first_ms=" + std::to_string((first_event_ - arrived_).Ms()) +
          " pause_ms=" + std::to_string(longest_pause_.Ms()) +
          " total_ms=" + std::to_string((gateway_.Now() - arrived_).Ms()) +
          " prompt=" + std::to_string(facts_.prompt_tokens_) +
          " helpers=" + std::to_string(helpers_) +
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
      "status=" + std::to_string(answer.status_) +
          " total_ms=" + std::to_string((gateway_.Now() - arrived_).Ms()));
  gateway_.ObserveFirstEvent(route_.kind_, gateway_.Now() - arrived_);
  gateway_.Count(route_.kind_, "finished");
  attempt_.reset();
  End();
  caller_->Reply(answer, gateway_.IsStopping());
}

void Forward::PassOwnFailure() {
  const WholeAnswer answer = std::move(*own_failure_);
  PassWholeAnswer(answer);
}

Duration Forward::Patience() const {
  if (route_.kind_ == RouteKind::kSafe) {
    return std::max(route_.objective_ * kObjectivesOfCall, Duration(200));
  }
  if (gateway_.Registry().Targets().IsSilent(attempt_->target_)) {
    return kSilentPatience;
  }
  if (answer_begun_) {
    return std::max(kLeastPause, route_.pause_objective_ * kPausesOfPatience);
  }
  const Duration predicted(static_cast<int64_t>(attempt_->predicted_ms_));
  return std::max(kLeastFirst,
                  route_.objective_ * kPausesOfPatience / kHalves) +
         predicted;
}

void Forward::CheckProgress(TimePoint now) {
  if (!attempt_) {
    return;
  }
  if (caller_->Unsent() < kMostUnsent / kHalves) {
    attempt_->connection_->SetPaused(false);
  }
  const bool may_repeat =
      IsRepeatable(route_.kind_, route_.resumable_) &&
      MayTryAgain(History(), AttemptEnd{RunState::kMayHaveRun, false});
  // Without budget for another attempt the target in use is the best hope.
  if (may_repeat && caller_->Unsent() < kMostUnsent &&
      now - attempt_->progress_ > Patience() &&
      gateway_.Retries(service_.name_)
          .HasRepeat(now, gateway_.Registry().NodeCount())) {
    AbandonAttempt("silent");
  }
}

}  // namespace gv
