/** @file retry_budget_test.cc Tests of the retry budget over several gateways
 * that are killed, cut off and restarted. */
#include <doctest/doctest.h>

#include "coordination/gateway/retry_entry.h"
#include "support/disturb_gateways.h"
#include "support/retry_fleet.h"

namespace gv {
namespace {

constexpr Duration kStep = 50_ms;
constexpr int kStepsPerWindow = 200;
const RetryBounds kSmallBounds{0.2, 10_s, 106};
const RetryBounds kLargeBounds{0.2, 10_s, 138};

/** @return The limit of a window with @p requests. */
double LimitOf(const RetryBounds& bounds, size_t requests) {
  return bounds.ratio_ * static_cast<double>(requests) + bounds.slack_;
}

TEST_CASE("retry budget: failing requests are retried up to the limit") {
  RetryFleet fleet(3, 4, kSmallBounds, 1);
  fleet.Run(5_s);
  for (int step = 0; step < kStepsPerWindow; ++step) {
    fleet.FailEach();
    fleet.Run(kStep);
  }
  CHECK(fleet.Rule().WorstExcess() <= 0);
  CHECK(static_cast<double>(fleet.Rule().Retries()) >=
        LimitOf(kSmallBounds, 7 * kStepsPerWindow) / 2);
}

TEST_CASE("retry budget: retries of a killed gateway still count") {
  RetryFleet fleet(3, 4, kSmallBounds, 1);
  fleet.Run(5_s);
  const std::string leader = fleet.Group().Leader();
  for (int step = 0; step < 280; ++step) {
    if (step == 52 || step == 112) {
      // Five of seven; the leader and one other gateway stay.
      for (const char* name : {"d1", "d2", "d3", "e1", "e2", "e3"}) {
        if (name != leader) {
          fleet.Kill(name);
          fleet.Group().Start(name);
        }
      }
    }
    fleet.FailEach();
    fleet.Run(kStep);
  }
  CHECK(fleet.Rule().WorstExcess() <= 0);
  CHECK(static_cast<double>(fleet.Rule().Retries()) >= kSmallBounds.slack_);
}

TEST_CASE("retry budget: a new leader knows what the last one permitted") {
  RetryFleet fleet(3, 4, kSmallBounds, 1);
  fleet.Run(5_s);
  // So few requests that most of the limit is the slack.
  constexpr Duration kSlowStep = 250_ms;
  for (int step = 0; step < 120; ++step) {
    const std::string leader = fleet.Group().Leader();
    if (step % 12 == 8 && fleet.Group().hosts_.contains(leader)) {
      fleet.Kill(leader);
      fleet.Group().Start(leader);
    }
    fleet.FailEach();
    fleet.Run(kSlowStep);
  }
  CHECK(fleet.Rule().WorstExcess() <= 0);
  CHECK(static_cast<double>(fleet.Rule().Retries()) >= kSmallBounds.slack_);
}

TEST_CASE("retry budget: a new leader permits retries at once") {
  RetryFleet fleet(3, 4, kSmallBounds, 1);
  fleet.Run(5_s);
  const std::string leader = fleet.Group().Leader();
  fleet.Kill(leader);
  fleet.Run(3_s);
  fleet.Fail("e1", 5);
  fleet.Run(kRetryReplyTimeout);
  CHECK(fleet.Rule().Retries() == 5);
}

TEST_CASE("retry budget: a gateway may use the slack that others leave") {
  // Guards against streams of failed engines that are not retried and wait
  // until their deadline, because one gateway of 31 has spent its own share of
  // the budget (grown Tilecarvers scale-1, second 14).
  RetryFleet fleet(6, 25, kLargeBounds, 1);
  fleet.Run(5_s);
  constexpr int64_t kFailed = 60;
  fleet.Fail("e3", kFailed);
  fleet.Run(kRetryReplyTimeout);
  CHECK(fleet.Rule().Retries() == kFailed);
  // Without the leader it is limited to what its own requests pay for.
  fleet.Group().Isolate("e3", true);
  fleet.Fail("e3", kFailed);
  fleet.Run(kRetryReplyTimeout);
  const auto paid = static_cast<int64_t>(2 * kFailed * kLargeBounds.ratio_ / 2);
  CHECK(fleet.Rule().Retries() <= kFailed + paid);
}

TEST_CASE("retry budget: the sum stays within the limit with late messages") {
  RetryFleet fleet(6, 25, kLargeBounds, 1,
                   kRetryPermitLifetime + kRetryTransit);
  fleet.Group().link_.faults_.delay_max_ = 70_ms;
  fleet.Run(5_s);
  constexpr Duration kSlowStep = 200_ms;
  constexpr int kSteps = 50;
  for (int step = 0; step < kSteps; ++step) {
    fleet.FailEach();
    fleet.Run(kSlowStep);
  }
  CHECK(fleet.Rule().WorstExcess() <= 0);
  CHECK(static_cast<double>(fleet.Rule().Retries()) >=
        LimitOf(kLargeBounds, 31 * kSteps) / 2);
}

/** Kills, cuts, lost disks and bursts that a seed gives, for 40 seconds. */
class RandomRun {
 public:
  explicit RandomRun(uint64_t seed)
      : random_(seed),
        bounds_{0.05 * static_cast<double>(1 + Below(6)),
                Duration(static_cast<int64_t>(4000 + Below(8000))),
                static_cast<double>(Below(150))},
        fleet_(3, 1 + Below(6), bounds_, seed,
               kRetryPermitLifetime + kRetryTransit) {
    LinkFaults& faults = fleet_.Group().link_.faults_;
    faults.delay_max_ = Duration(static_cast<int64_t>(3 + Below(60)));
    faults.loss_ = Below(3) == 0 ? 0.1 : 0;
    faults.duplicate_ = Below(3) == 0 ? 0.3 : 0;
  }

  /** @return Most retries beyond the limit in any window. */
  double WorstExcess() {
    for (int step = 0; step < 800; ++step) {
      Disturb();
      load_ = Below(40) == 0 ? Below(8) : load_;
      for (const auto& [name, host] : fleet_.Group().hosts_) {
        if (host.core_ && load_ > 0) {
          fleet_.Fail(name, Below(load_));
        }
      }
      fleet_.Run(kStep);
    }
    return fleet_.Rule().WorstExcess();
  }

 private:
  uint64_t Below(uint64_t bound) { return random_() % bound; }

  void Disturb() {
    DisturbGateways(fleet_, [this](uint64_t bound) { return Below(bound); });
  }

  std::mt19937_64 random_;
  RetryBounds bounds_;
  RetryFleet fleet_;
  uint64_t load_ = 3;
};

TEST_CASE("retry budget: the limit holds whatever is killed, cut or lost") {
  constexpr uint64_t kSeeds = 60;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    CHECK(RandomRun(seed).WorstExcess() <= 0);
  }
}

TEST_CASE("retry budget: a gateway does not ask in vain all the time") {
  RetryAllowance allowance(kSmallBounds);
  const TimePoint now(1000);
  CHECK(allowance.MayAskLeader(now));
  allowance.OnPermitRefused(now);
  CHECK_FALSE(allowance.MayAskLeader(now + 50_ms));
  CHECK(allowance.MayAskLeader(now + 100_ms));
}

TEST_CASE("retry budget: log entries of retries are no configurations") {
  const auto entry = DecodeRetryEntry(EncodeRetryEntry({"tile shop", 7}));
  REQUIRE(entry);
  CHECK(entry->service_ == "tile shop");
  CHECK(entry->permits_ == 7);
  CHECK_FALSE(DecodeRetryEntry(ConfigurationStore::Encode(7, "{}")));
  for (const char* bad :
       {"", "retries", "retries x", "retries 7", "retries -1 a"}) {
    CHECK_FALSE(DecodeRetryEntry(bad));
  }
}

}  // namespace
}  // namespace gv
