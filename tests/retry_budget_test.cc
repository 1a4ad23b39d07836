/** @file retry_budget_test.cc Tests of the retry budget over several gateways
 * that are killed, cut off and restarted. */
#include <doctest/doctest.h>

#include <vector>

#include "coordination/gateway/retry_window.h"
#include "support/retry_rule.h"

namespace gv {
namespace {

constexpr size_t kGateways = 7;
constexpr Duration kStep = 50_ms;
const RetryBounds kBounds{0.2, 10_s, 106};

/** Gateways whose requests all fail, and which report to each other. */
class RetryFleet {
 public:
  RetryFleet() : gateways_(kGateways, RetryWindow(kBounds)) {}

  /** Each gateway gets a request, which is retried if the budget allows it. */
  void Step(TimePoint now) {
    std::vector<RepeatCount> reports;
    for (RetryWindow& gateway : gateways_) {
      reports.push_back(gateway.OwnReport(now));
    }
    for (size_t i = 0; i < kGateways; ++i) {
      RepeatCount others;
      for (size_t j = 0; j < kGateways; ++j) {
        others.requests_ += j == i ? 0 : reports[j].requests_;
        others.repeats_ += j == i ? 0 : reports[j].repeats_;
      }
      gateways_[i].SetRemoteCounts(now, others, kGateways - 1);
      gateways_[i].OnRequest(now);
      rule_.OnRequest(now);
      if (gateways_[i].ConsumeRetryBudget(now, kGateways)) {
        rule_.OnRetry(now);
      }
    }
  }
  /** The gateway is killed and starts anew. */
  void Kill(size_t index) { gateways_[index] = RetryWindow(kBounds); }
  const RetryRule& Rule() const { return rule_; }

 private:
  std::vector<RetryWindow> gateways_;
  RetryRule rule_{kBounds.ratio_, kBounds.window_, kBounds.slack_};
};

TEST_CASE("retry budget: failing requests are retried up to the limit") {
  RetryFleet fleet;
  for (TimePoint now(0); now < TimePoint(14000); now = now + kStep) {
    fleet.Step(now);
  }
  CHECK(fleet.Rule().WorstExcess() <= 0);
  CHECK(fleet.Rule().Retries() >= static_cast<int64_t>(kBounds.slack_));
}

TEST_CASE("retry budget: retries of a killed gateway still count") {
  RetryFleet fleet;
  for (TimePoint now(0); now < TimePoint(14000); now = now + kStep) {
    if (now == TimePoint(2600) || now == TimePoint(5600)) {
      for (size_t killed = 0; killed < 5; ++killed) {
        fleet.Kill(killed);
      }
    }
    fleet.Step(now);
  }
  CHECK(fleet.Rule().WorstExcess() <= 0);
  CHECK(fleet.Rule().Retries() >= static_cast<int64_t>(kBounds.slack_));
}

}  // namespace
}  // namespace gv
