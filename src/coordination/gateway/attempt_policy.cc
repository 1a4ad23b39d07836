/** @file attempt_policy.cc Retry policy for failed attempts. */
#include "coordination/gateway/attempt_policy.h"

#include <algorithm>

namespace gv {
namespace {

/** Time left below which no further attempt is made, as it needs time for a
 * connection and an answer. */
constexpr Duration kMinAttemptTime = 60_ms;
/** Attempts beyond the route's limit that may replace attempts that did not
 * run.
 */
constexpr int64_t kExtraAttemptsAfterNotRun = 1;
/** Longest time of an election after a restart; 0.9 to 1.2 s at the users'
 * sites.
 */
constexpr Duration kElectionTime = 1200_ms;
/** Longest wait of calls and short prompts, whose objectives are 120 to 300 ms.
 */
constexpr Duration kShortPromptWait = 60_ms;
/** Divisor of a known objective: a third of it may be spent waiting. */
constexpr int64_t kObjectiveDivisor = 3;
/** Prompts of this length and above are taken for long ones if their objective
 * is unknown: with the engines of the users' sites only these have a prefill
 * longer than a second, and an objective to match. */
constexpr int64_t kLongPromptTokens = 80000;

}  // namespace

Duration MaxLeaseWait(int64_t prompt_tokens, Duration objective) {
  if (objective > Duration()) {
    return std::min(objective / kObjectiveDivisor, kElectionTime);
  }
  return prompt_tokens >= kLongPromptTokens ? kElectionTime : kShortPromptWait;
}

bool IsRepeatable(RouteKind kind, bool resumable) {
  return kind == RouteKind::kSafe || (kind == RouteKind::kStream && resumable);
}

bool MayRetry(const AttemptHistory& history, const AttemptEnd& end) {
  if (history.time_left_ < kMinAttemptTime) {
    return false;
  }
  if (end.run_ == RunState::kNotRun) {
    return history.sent_ < history.max_targets_ + kExtraAttemptsAfterNotRun;
  }
  return IsRepeatable(history.kind_, history.resumable_) &&
         history.may_have_run_ < history.max_targets_ &&
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
