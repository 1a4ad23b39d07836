/** @file gateway_attempt_test.cc Tests of the retry policy, the retry budget
 * and the order of events in a stream. */
#include <doctest/doctest.h>

#include "coordination/gateway/attempt_policy.h"
#include "coordination/gateway/event_splitter.h"
#include "coordination/gateway/retry_window.h"

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

TEST_CASE("retry window: the sum over gateways stays within the limit") {
  // Peak load: each gateway gets 20 requests a second, all of which fail.
  constexpr size_t kGateways = 6;
  const RetryBounds bounds{0.2, 10_s, 106};
  std::vector<RetryWindow> windows(kGateways, RetryWindow(bounds));
  int64_t requests = 0;
  int64_t repeats = 0;
  for (TimePoint now(0); now < TimePoint(10000); now = now + 50_ms) {
    for (RetryWindow& window : windows) {
      window.OnRequest(now);
      ++requests;
      repeats += window.ConsumeRetryBudget(now, kGateways) ? 1 : 0;
    }
  }
  const double limit = 0.2 * static_cast<double>(requests) + 106;
  CHECK(static_cast<double>(repeats) <= limit);
  CHECK(static_cast<double>(repeats) >= limit / 2);
}

TEST_CASE("retry window: a gateway may use the budget that others leave") {
  // Guards against streams of failed engines that are not retried and wait
  // until their deadline, because one gateway of 31 has spent its own share of
  // the budget (grown Tilecarvers scale-1, second 14).
  constexpr size_t kGateways = 31;
  const RetryBounds bounds{0.2, 10_s, 138};
  RetryWindow window(bounds);
  int64_t repeats = 0;
  window.SetRemoteCounts(TimePoint(0), RepeatCount{900, 0}, kGateways - 1);
  for (int i = 0; i < 60; ++i) {
    window.OnRequest(TimePoint(0));
    repeats += window.ConsumeRetryBudget(TimePoint(0), kGateways) ? 1 : 0;
  }
  CHECK(repeats == 60);
  // Without fresh reports of all others it is limited to its own share.
  CHECK_FALSE(window.HasRetryBudget(TimePoint(2000), kGateways));
  window.SetRemoteCounts(TimePoint(2000), RepeatCount{900, 0}, kGateways - 2);
  CHECK_FALSE(window.HasRetryBudget(TimePoint(2000), kGateways));
}

TEST_CASE("retry window: the sum stays within the limit with delayed reports") {
  constexpr size_t kGateways = 31;
  const RetryBounds bounds{0.2, 10_s, 138};
  std::vector<RetryWindow> windows(kGateways, RetryWindow(bounds));
  int64_t requests = 0;
  int64_t repeats = 0;
  // All requests fail immediately at all gateways; reports are 200 ms old.
  for (TimePoint now(0); now < TimePoint(10000); now = now + 200_ms) {
    std::vector<RepeatCount> reports;
    reports.reserve(kGateways);
    for (RetryWindow& window : windows) {
      reports.push_back(window.OwnReport(now));
    }
    for (size_t i = 0; i < kGateways; ++i) {
      RepeatCount others;
      for (size_t j = 0; j < kGateways; ++j) {
        others.requests_ += j == i ? 0 : reports[j].requests_;
        others.repeats_ += j == i ? 0 : reports[j].repeats_;
      }
      windows[i].SetRemoteCounts(now, others, kGateways - 1);
      windows[i].OnRequest(now);
      ++requests;
      repeats += windows[i].ConsumeRetryBudget(now, kGateways) ? 1 : 0;
    }
  }
  const double limit = 0.2 * static_cast<double>(requests) + 138;
  CHECK(static_cast<double>(repeats) <= limit);
  CHECK(static_cast<double>(repeats) >= limit / 2);
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
