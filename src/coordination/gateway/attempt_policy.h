/** @file attempt_policy.h Judges answers of targets, and decides on retries of
 * failed attempts. A request that must not run more than once is never sent
 * again after it may have run, and a caller is told "not run" only if no
 * attempt can have run. */
#pragma once

#include "state/clock_type.h"
#include "state/routing_type.h"
#include "state/verdict_type.h"

namespace gv {

/** End of an attempt that gave no successful answer. */
struct AttemptEnd {
  RunState run_ = RunState::kMayHaveRun;  ///< Whether the attempt ran.
  bool has_answer_ = false;  ///< The target answered, with a failure.
};

/** State of a request after a failed attempt, which is included in the counts.
 */
struct AttemptHistory {
  RouteKind kind_ = RouteKind::kUnsafe;  ///< Kind of the route.
  bool resumable_ = false;    ///< The route's streams can be resumed by another
                              ///< target.
  int64_t max_targets_ = 1;   ///< The route's limit of attempts that may run.
  int64_t sent_ = 0;          ///< Attempts sent to targets.
  int64_t may_have_run_ = 0;  ///< Sent attempts that may have run.
  bool answer_begun_ = false;  ///< A part of the answer was delivered.
  bool has_failure_answer_ =
      false;            ///< A target's failure answer can be forwarded.
  Duration time_left_;  ///< Time until the deadline of the request.
};

/** Result for the caller when no further attempt is made. */
enum class FinalStep : uint8_t {
  kForwardAnswer,   ///< The target's failure answer is forwarded.
  kRefuse,          ///< Refused as "not run"; the caller may send it again.
  kFail,            ///< Failed; the request may have run.
  kTruncateAnswer,  ///< The partly delivered answer stays incomplete.
};

/** A whole answer of a target, as far as it decides what becomes of it. */
struct TargetAnswer {
  unsigned status_ = 0;         ///< HTTP status.
  bool is_own_ = false;         ///< It answers this attempt.
  bool has_signature_ = false;  ///< Signed, and its body is not encoded.
  bool not_run_ = false;        ///< States that the target did not run it.
};

/** What becomes of a target's answer. */
enum class AnswerUse : uint8_t {
  kForward,   ///< The caller gets it.
  kIgnore,    ///< It says nothing of this attempt, which may have run.
  kRefusal,   ///< The attempt did not run.
  kFailure,   ///< Forwarded if no other attempt succeeds.
  kUnproven,  ///< Its status would deny the run, which the target does not
              ///< state. A failure that is never forwarded.
};

/** @return What becomes of an answer on a route of any kind; a status is no
 * statement of the target that the request did not run. Thread safety: pure. */
AnswerUse JudgeAnswer(const TargetAnswer& answer);

/** @return True if requests of this kind may run more than once: safe ones and
 * resumable streams. Thread safety: pure. */
bool IsRepeatable(RouteKind kind, bool resumable);

/** @return True if the request may be sent to another target. Thread safety:
 * pure. */
bool MayRetry(const AttemptHistory& history, const AttemptEnd& end);

/** @return The result for the caller if no further attempt is made. Thread
 * safety: pure. */
FinalStep DecideFinalStep(const AttemptHistory& history, const AttemptEnd& end);

}  // namespace gv
