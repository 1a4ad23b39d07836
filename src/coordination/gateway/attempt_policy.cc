/** @file attempt_policy.cc Decides what follows a failed attempt. */
#include "coordination/gateway/attempt_policy.h"

#include <algorithm>

namespace gv {
namespace {

/** Another attempt needs time for a connection and an answer. */
constexpr Duration kLeastTime = 60_ms;
/** Sends beyond the route's bound after attempts that certainly did not run.
 */
constexpr int64_t kMoreAfterNotRun = 1;
/** An election after a restart takes 0.9 to 1.2 s on the users' sites. */
constexpr Duration kElection = 1200_ms;
/** Calls and short prompts have objectives of 120 to 300 ms. */
constexpr Duration kShortWait = 60_ms;
/** Part of a known objective that may be spent on waiting. */
constexpr int64_t kThird = 3;
/** Prompts that take longer to read than a second of their objective are at
 * least so long with the engines of the users' sites. */
constexpr int64_t kLongPromptTokens = 80000;

}  // namespace

Duration WaitForLease(int64_t prompt_tokens, Duration objective) {
  if (objective > Duration()) {
    return std::min(objective / kThird, kElection);
  }
  return prompt_tokens >= kLongPromptTokens ? kElection : kShortWait;
}

bool IsRepeatable(RouteKind kind, bool resumable) {
  return kind == RouteKind::kSafe || (kind == RouteKind::kStream && resumable);
}

bool MayTryAgain(const AttemptHistory& history, const AttemptEnd& end) {
  if (history.time_left_ < kLeastTime) {
    return false;
  }
  if (end.run_ == RunState::kNotRun) {
    return history.sent_ < history.max_targets_ + kMoreAfterNotRun;
  }
  return IsRepeatable(history.kind_, history.resumable_) &&
         history.may_have_run_ < history.max_targets_ &&
         history.sent_ < history.max_targets_ + kMoreAfterNotRun;
}

FinalStep DecideFinalStep(const AttemptHistory& history,
                          const AttemptEnd& end) {
  if (history.answer_begun_) {
    return FinalStep::kBreakOff;
  }
  if (end.has_answer_ || history.kept_answer_) {
    return FinalStep::kPassAnswer;
  }
  return history.may_have_run_ == 0 ? FinalStep::kRefuse : FinalStep::kFail;
}

}  // namespace gv
