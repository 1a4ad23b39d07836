/** @file gateway_attempt_test.cc Tests of the retry policy and of the order of
 * events in a stream. */
#include <doctest/doctest.h>

#include "coordination/gateway/attempt_policy.h"
#include "coordination/gateway/event_splitter.h"

namespace gv {
namespace {

AttemptHistory Sent(RouteKind kind, bool resumable, int64_t may_have_run) {
  AttemptHistory history;
  history.kind_ = kind;
  history.resumable_ = resumable;
  history.max_targets_ = kind == RouteKind::kUnsafe ? 1 : 2;
  history.sent_ = 1;
  history.may_have_run_ = may_have_run;
  history.time_left_ = 1_s;
  return history;
}

constexpr AttemptEnd kUnknown{RunState::kMayHaveRun, false};
constexpr AttemptEnd kNotRunEnd{RunState::kNotRun, false};
constexpr AttemptEnd kFailedAnswer{RunState::kRan, true};

TEST_CASE("attempt policy: unsafe requests that may have run are not retried") {
  const auto unsafe = Sent(RouteKind::kUnsafe, false, 1);
  CHECK_FALSE(MayRetry(unsafe, kUnknown));
  CHECK_FALSE(MayRetry(unsafe, kFailedAnswer));
  CHECK(DecideFinalStep(unsafe, kUnknown) == FinalStep::kFail);
  CHECK(DecideFinalStep(unsafe, kFailedAnswer) == FinalStep::kForwardAnswer);
  const auto stream = Sent(RouteKind::kStream, false, 1);
  CHECK_FALSE(MayRetry(stream, kUnknown));
  CHECK(DecideFinalStep(stream, kUnknown) == FinalStep::kFail);
}

TEST_CASE("attempt policy: requests that did not run are retried or refused") {
  const auto unsafe = Sent(RouteKind::kUnsafe, false, 0);
  CHECK(MayRetry(unsafe, kNotRunEnd));
  CHECK(DecideFinalStep(unsafe, kNotRunEnd) == FinalStep::kRefuse);
  AttemptHistory late = unsafe;
  late.time_left_ = 10_ms;
  CHECK_FALSE(MayRetry(late, kNotRunEnd));
}

TEST_CASE(
    "attempt policy: a refusal does not undo an attempt that may have run") {
  AttemptHistory history = Sent(RouteKind::kUnsafe, false, 1);
  history.max_targets_ = 2;
  CHECK_FALSE(MayRetry(history, kNotRunEnd));
  CHECK(DecideFinalStep(history, kNotRunEnd) == FinalStep::kFail);
}

TEST_CASE(
    "attempt policy: failed, not refused, if an earlier attempt may have run") {
  // The first attempt may have run, the second was refused by its target.
  AttemptHistory history = Sent(RouteKind::kSafe, false, 1);
  history.sent_ = 2;
  CHECK(DecideFinalStep(history, kNotRunEnd) == FinalStep::kFail);
}

TEST_CASE("attempt policy: a target's failure answer is forwarded at the end") {
  // The first target answered 500, and all others refused the request.
  AttemptHistory history = Sent(RouteKind::kSafe, false, 1);
  history.has_failure_answer_ = true;
  CHECK(DecideFinalStep(history, kNotRunEnd) == FinalStep::kForwardAnswer);
  history.sent_ = 2;
  CHECK(DecideFinalStep(history, kUnknown) == FinalStep::kForwardAnswer);
  history.answer_begun_ = true;
  CHECK(DecideFinalStep(history, kNotRunEnd) == FinalStep::kTruncateAnswer);
}

TEST_CASE("attempt policy: safe requests and resumable streams are retried") {
  CHECK(MayRetry(Sent(RouteKind::kSafe, false, 1), kUnknown));
  CHECK(MayRetry(Sent(RouteKind::kSafe, false, 1), kFailedAnswer));
  AttemptHistory stream = Sent(RouteKind::kStream, true, 1);
  stream.answer_begun_ = true;
  CHECK(MayRetry(stream, kUnknown));
  CHECK(DecideFinalStep(stream, kUnknown) == FinalStep::kTruncateAnswer);
  stream.may_have_run_ = 2;
  stream.sent_ = 2;
  CHECK_FALSE(MayRetry(stream, kUnknown));
}

TEST_CASE("attempt policy: a status alone does not say that nothing ran") {
  for (unsigned status = 200; status < 600; ++status) {
    CAPTURE(status);
    const bool denies_run =
        status == 408 || status == 421 || status == 429 || status == 503;
    const TargetAnswer own{status, true, true, false};
    const AnswerUse use = JudgeAnswer(own);
    CHECK((use == AnswerUse::kUnproven) == denies_run);
    CHECK(use != AnswerUse::kRefusal);
    TargetAnswer refusal = own;
    refusal.not_run_ = true;
    CHECK((JudgeAnswer(refusal) == AnswerUse::kRefusal) == (status >= 300));
    refusal.is_own_ = false;
    CHECK(JudgeAnswer(refusal) == AnswerUse::kIgnore);
  }
  CHECK(JudgeAnswer({200, true, false, false}) == AnswerUse::kIgnore);
  // A success that bears the statement contradicts itself.
  CHECK(JudgeAnswer({200, true, true, true}) == AnswerUse::kIgnore);
  CHECK(JudgeAnswer({404, true, false, false}) == AnswerUse::kForward);
  CHECK(JudgeAnswer({500, true, true, false}) == AnswerUse::kFailure);
}

TEST_CASE("event splitter: complete events pass once each and in order") {
  EventSplitter events(std::nullopt);
  CHECK(events.Add("id: 1\ndata: a\n").empty());
  CHECK(events.Add("\nid: 2\nda") == "id: 1\ndata: a\n\n");
  // The target fails in the middle of event 2; another one resumes the stream.
  events.DiscardPartialEvent();
  CHECK(events.LastId() == 1);
  CHECK(events.Add("id: 1\ndata: a\n\nid: 2\ndata: b\n\n") ==
        "id: 2\ndata: b\n\n");
  CHECK(events.EndsWithCompleteEvent());
  CHECK_FALSE(events.HasGap());
  CHECK(events.Add("id: 4\ndata: d\n\n").empty());
  CHECK(events.HasGap());
}

TEST_CASE("event splitter: a resumed stream continues after the last event") {
  EventSplitter events(12);
  CHECK(events.Add("id: 12\ndata: x\n\n").empty());
  CHECK(events.Add("id: 13\ndata: y\n\n") == "id: 13\ndata: y\n\n");
  EventSplitter other(12);
  CHECK(other.Add("id: 14\ndata: y\n\n").empty());
  CHECK(other.HasGap());
}

}  // namespace
}  // namespace gv
