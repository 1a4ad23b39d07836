/** @file attempt_policy.h Decides what follows a failed attempt, so that no
 * request that may run once only is sent twice, and "not run" is always true.
 */
#pragma once

#include "state/clock_type.h"
#include "state/routing_type.h"
#include "state/verdict_type.h"

namespace gv {

/** How an attempt ended that gave no answer to pass on as a success. */
struct AttemptEnd {
  RunState run_ = RunState::kMayHaveRun;  ///< Of this attempt.
  bool has_answer_ = false;  ///< The target gave an answer of its own.
};

/** What is known of the request by then, this attempt included. */
struct AttemptHistory {
  RouteKind kind_ = RouteKind::kUnsafe;  ///< Of the route.
  bool resumable_ = false;               ///< Of the route.
  int64_t max_targets_ = 1;              ///< Of the route.
  int64_t sent_ = 0;                     ///< Attempts sent to a target.
  int64_t may_have_run_ = 0;             ///< Of them, those that may have run.
  bool answer_begun_ = false;  ///< The caller has got a part of an answer.
  bool kept_answer_ = false;   ///< A target's own failure could be passed on.
  Duration time_left_;         ///< Until nobody waits any more.
};

/** What the caller gets when no further attempt is made. */
enum class FinalStep : uint8_t {
  kPassAnswer,  ///< The target's own answer.
  kRefuse,      ///< "Not run"; may be sent again.
  kFail,        ///< It may have run.
  kBreakOff,    ///< The answer that has begun stays incomplete.
};

/**
 * @return How long a request may wait for its gateway's lease, so that it can
 * still be served within its objective; an election takes about a second, which
 * long prompts have and others have not. @param prompt_tokens Zero for calls.
 * @param objective Of its route, or zero if no configuration is known. Load
 * pattern: all gateways restart at once. Thread safety: pure.
 */
Duration WaitForLease(int64_t prompt_tokens, Duration objective);

/** @return True if requests of this kind may run more than once. Thread safety:
 * pure. */
bool IsRepeatable(RouteKind kind, bool resumable);

/** @return True if another target may be tried. Thread safety: pure. */
bool MayTryAgain(const AttemptHistory& history, const AttemptEnd& end);

/** @return How the request ends without another attempt. Thread safety: pure.
 */
FinalStep DecideFinalStep(const AttemptHistory& history, const AttemptEnd& end);

}  // namespace gv
