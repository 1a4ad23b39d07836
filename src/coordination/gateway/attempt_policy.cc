/** @file attempt_policy.cc Decides what follows a failed attempt. */
#include "coordination/gateway/attempt_policy.h"

namespace gv {
namespace {

/** Another attempt needs time for a connection and an answer. */
constexpr Duration kLeastTime = 60_ms;
/** Sends beyond the route's bound after attempts that certainly did not run.
 */
constexpr int64_t kMoreAfterNotRun = 1;

}  // namespace

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
