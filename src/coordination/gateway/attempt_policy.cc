/** @file attempt_policy.cc Retry policy for failed attempts. */
#include "coordination/gateway/attempt_policy.h"

#include "state/run_promise.h"

namespace gv {
namespace {

/** Time left below which no further attempt is made, as it needs time for a
 * connection and an answer. */
constexpr Duration kMinAttemptTime = 60_ms;
/** Attempts beyond the route's limit that may replace attempts that did not
 * run.
 */
constexpr int64_t kExtraAttemptsAfterNotRun = 1;
constexpr unsigned kRedirect = 300;
constexpr unsigned kServerError = 500;

}  // namespace

AnswerUse JudgeAnswer(const TargetAnswer& answer) {
  const bool is_success = answer.status_ < kRedirect;
  const bool is_sound_success = answer.has_signature_ && !answer.not_run_;
  if (!answer.is_own_ || (is_success && !is_sound_success)) {
    return AnswerUse::kIgnore;
  }
  if (answer.not_run_) {
    return AnswerUse::kRefusal;
  }
  if (PromisesNotRun(answer.status_)) {
    return AnswerUse::kUnproven;
  }
  return answer.status_ >= kServerError ? AnswerUse::kFailure
                                        : AnswerUse::kForward;
}

bool IsRepeatable(RouteKind kind, bool resumable) {
  return kind == RouteKind::kSafe || (kind == RouteKind::kStream && resumable);
}

bool MayRetry(const AttemptHistory& history, const AttemptEnd& end) {
  if (history.time_left_ < kMinAttemptTime) {
    return false;
  }
  const bool is_repeatable = IsRepeatable(history.kind_, history.resumable_);
  if (!is_repeatable && history.may_have_run_ > 0) {
    return false;
  }
  if (end.run_ == RunState::kNotRun) {
    return history.sent_ < history.max_targets_ + kExtraAttemptsAfterNotRun;
  }
  return is_repeatable && history.may_have_run_ < history.max_targets_ &&
         history.sent_ < history.max_targets_ + kExtraAttemptsAfterNotRun;
}

FinalStep DecideFinalStep(const AttemptHistory& history,
                          const AttemptEnd& end) {
  if (history.answer_begun_) {
    return FinalStep::kTruncateAnswer;
  }
  if (end.has_answer_ || history.has_failure_answer_) {
    return FinalStep::kForwardAnswer;
  }
  return history.may_have_run_ == 0 ? FinalStep::kRefuse : FinalStep::kFail;
}

}  // namespace gv
