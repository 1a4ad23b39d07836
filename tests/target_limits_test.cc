/** @file target_limits_test.cc Tests of the limits that targets name for all
 * gateways together. */
#include "coordination/gateway/target_limits.h"

#include <doctest/doctest.h>

#include <cmath>

#include "support/disturb_gateways.h"
#include "support/limit_fleet.h"

namespace gv {
namespace {

const TargetId kTarget("t");
const TimePoint kStart(100000);

TEST_CASE("target limits: a leader permits the named rate") {
  TargetLimits limits;
  CHECK(limits.HasPermit(kStart, kTarget));
  limits.OnNamed(kStart, kTarget, 2);
  CHECK_FALSE(limits.HasPermit(kStart + 10_s, kTarget));
  limits.SetGranting(kStart + 10_s, true);
  int permits = 0;
  for (TimePoint now = kStart + 10_s; now < kStart + 20_s; now = now + 10_ms) {
    if (limits.HasPermit(now, kTarget)) {
      limits.TakePermit(now, kTarget);
      ++permits;
    }
  }
  CHECK(permits >= 18);
  CHECK(permits <= 20);
}

TEST_CASE("target limits: unused permits do not add up") {
  TargetLimits limits;
  limits.SetGranting(kStart, true);
  limits.OnNamed(kStart, kTarget, 2);
  const TimePoint later = kStart + 60_s;
  limits.TakePermit(later, kTarget);
  CHECK_FALSE(limits.HasPermit(later, kTarget));
}

TEST_CASE("target limits: a gateway that leads again starts without permits") {
  TargetLimits limits;
  limits.SetGranting(kStart, true);
  limits.OnNamed(kStart, kTarget, 2);
  limits.SetGranting(kStart + 10_s, false);
  limits.SetGranting(kStart + 20_s, true);
  CHECK_FALSE(limits.HasPermit(kStart + 20_s, kTarget));
  CHECK(limits.HasPermit(kStart + 21_s, kTarget));
}

TEST_CASE("target limits: only a later request tells that a limit is over") {
  TargetLimits limits;
  limits.OnNamed(kStart, kTarget, 2);
  CHECK_FALSE(limits.OnNotNamed(kStart + 50_ms, kTarget, kStart - 20_ms));
  CHECK(limits.IsLimited(kTarget));
  CHECK(limits.OnNotNamed(kStart + 50_ms, kTarget, kStart + 20_ms));
  CHECK_FALSE(limits.IsLimited(kTarget));
  CHECK(limits.Empty());
}

TEST_CASE("target limits: the newer news of another gateway count") {
  TargetLimits limits;
  limits.OnNamed(kStart, kTarget, 2);
  const TimePoint now = kStart + 1_s;
  // Older than what is known here.
  CHECK_FALSE(limits.Merge(now, TargetLimitRow{kTarget, 5, false, 2_s}));
  CHECK_FALSE(limits.Merge(now, TargetLimitRow{kTarget, 0, true, 2_s}));
  // Newer, but within the delay of reports.
  CHECK_FALSE(limits.Merge(now, TargetLimitRow{kTarget, 0, true, 900_ms}));
  CHECK(limits.Merge(now, TargetLimitRow{kTarget, 5, false, 500_ms}));
  CHECK(limits.PerSecond(kTarget) == 5);
  CHECK(limits.Merge(now, TargetLimitRow{kTarget, 0, true, Duration()}));
  CHECK_FALSE(limits.IsLimited(kTarget));
  // What was named before the end does not come back.
  CHECK_FALSE(limits.Merge(now, TargetLimitRow{kTarget, 5, false, 300_ms}));
  CHECK_FALSE(limits.IsLimited(kTarget));
}

TEST_CASE("target limits: odd limits are used in a bounded range") {
  TargetLimits limits;
  limits.SetGranting(kStart, true);
  for (const double odd : {0.0, 1e-9, 1e300}) {
    CAPTURE(odd);
    limits.OnNamed(kStart, kTarget, odd);
    const double per_second = limits.PerSecond(kTarget);
    CHECK(per_second > 0);
    CHECK(std::isfinite(per_second));
    // At least one request in a while hears whether the limit is over, and five
    // in four seconds are always allowed.
    CHECK(limits.UntilPermit(kStart, kTarget) <= 10_s);
    CHECK(limits.UntilPermit(kStart, kTarget) >= Duration());
  }
}

TEST_CASE("target limits: a permit may be given ahead, for a bounded time") {
  TargetLimits limits;
  limits.SetGranting(kStart, true);
  limits.OnNamed(kStart, kTarget, 10);
  CHECK(limits.TakePermitWithin(kStart, kTarget, 10_s) == 100_ms);
  CHECK(limits.TakePermitWithin(kStart, kTarget, 10_s) == 200_ms);
  CHECK_FALSE(limits.TakePermitWithin(kStart, kTarget, 250_ms));
  for (int i = 0; i < 3; ++i) {
    CHECK(limits.TakePermitWithin(kStart, kTarget, 10_s));
  }
  CHECK_FALSE(limits.TakePermitWithin(kStart, kTarget, 10_s));
}

TEST_CASE("target limits: refused callers do not return together") {
  TargetLimits limits;
  limits.SetGranting(kStart, true);
  limits.OnNamed(kStart, kTarget, 2);
  Duration last;
  for (int i = 0; i < 10; ++i) {
    const Duration wait = limits.NextReturn(kStart, kTarget);
    CHECK(wait >= last + 500_ms);
    last = wait;
  }
  for (int i = 0; i < 100; ++i) {
    CHECK(limits.NextReturn(kStart, kTarget) <= 10_s);
  }
}

TEST_CASE("target limits: limits of targets that are gone are forgotten") {
  TargetLimits limits;
  limits.OnNamed(kStart, kTarget, 2);
  const auto is_known = [](const TargetId&) { return false; };
  limits.Expire(kStart + 60_s, is_known);
  CHECK(limits.IsLimited(kTarget));
  limits.Expire(kStart + Duration(3600000), is_known);
  CHECK(limits.Empty());
}

constexpr Duration kStep = 50_ms;

TEST_CASE("target limits: the sum over all gateways holds and is used") {
  for (const double limit : {0.3, 1.0, 1.1, 7.0, 40.0}) {
    CAPTURE(limit);
    LimitFleet fleet(3, 3, 1);
    fleet.Run(5_s);
    fleet.Name(limit);
    constexpr int kSeconds = 20;
    for (int step = 0; step < kSeconds * 20; ++step) {
      fleet.WantEach();
      fleet.PlaceAtLeaders(2);
      fleet.Run(kStep);
    }
    CHECK(fleet.Rule().WorstExcess() <= 0);
    CHECK(static_cast<double>(fleet.Rule().Arrivals()) >=
          std::floor(0.8 * limit * (kSeconds - 2)));
  }
}

TEST_CASE("target limits: all gateways hear that a limit is over") {
  LimitFleet fleet(3, 3, 1);
  fleet.Run(5_s);
  fleet.Name(1);
  for (int step = 0; step < 100; ++step) {
    fleet.WantEach();
    fleet.Run(kStep);
  }
  fleet.Name(std::nullopt);
  for (int step = 0; step < 60; ++step) {
    fleet.WantEach();
    fleet.Run(kStep);
  }
  for (const auto& item : fleet.Group().hosts_) {
    CAPTURE(item.first);
    CHECK_FALSE(fleet.IsLimited(item.first));
  }
}

TEST_CASE("target limits: a change of the leader permits nothing more") {
  LimitFleet fleet(3, 3, 1);
  fleet.Run(5_s);
  fleet.Name(1);
  for (int step = 0; step < 600; ++step) {
    const std::string leader = fleet.Group().Leader();
    if (step % 40 == 20 && fleet.Group().hosts_.contains(leader)) {
      fleet.Kill(leader);
      fleet.Group().Start(leader);
    }
    fleet.WantEach();
    fleet.PlaceAtLeaders(1);
    fleet.Run(kStep);
  }
  CHECK(fleet.Rule().WorstExcess() <= 0);
  CHECK(fleet.Rule().Arrivals() >= 10);
}

TEST_CASE("target limits: gateways cut off from the leader leave it alone") {
  LimitFleet fleet(3, 3, 1);
  fleet.Run(5_s);
  fleet.Name(1);
  for (int step = 0; step < 40; ++step) {
    fleet.WantEach();
    fleet.Run(kStep);
  }
  for (const char* name : {"d1", "d2", "d3", "e1", "e2", "e3"}) {
    fleet.Group().Isolate(name, true);
  }
  fleet.Run(3_s);
  const int64_t before = fleet.Rule().Arrivals();
  for (int step = 0; step < 200; ++step) {
    fleet.WantEach();
    fleet.PlaceAtLeaders(1);
    fleet.Run(kStep);
  }
  CHECK(fleet.Rule().Arrivals() == before);
  CHECK(fleet.Rule().WorstExcess() <= 0);
}

/** Kills, cuts, lost messages and changes of the limit that a seed gives, for
 * 30 seconds. */
class RandomRun {
 public:
  explicit RandomRun(uint64_t seed)
      : random_(seed), fleet_(3, 1 + Below(6), seed) {
    LinkFaults& faults = fleet_.Group().link_.faults_;
    faults.delay_max_ = Duration(static_cast<int64_t>(3 + Below(60)));
    faults.loss_ = Below(3) == 0 ? 0.1 : 0;
    faults.duplicate_ = Below(3) == 0 ? 0.3 : 0;
  }

  /** @return Most requests beyond the limit in any window. */
  double WorstExcess() {
    for (int step = 0; step < 600; ++step) {
      Disturb();
      if (Below(100) == 0) {
        fleet_.Name(RandomLimit());
      }
      if (Below(3) == 0) {
        fleet_.WantEach();
      }
      fleet_.PlaceAtLeaders(static_cast<int>(Below(3)));
      fleet_.Run(kStep);
    }
    return fleet_.Rule().WorstExcess();
  }

 private:
  uint64_t Below(uint64_t bound) { return random_() % bound; }

  std::optional<double> RandomLimit() {
    constexpr std::array<double, 6> kLimits{0, 0.5, 1, 1.1, 5, 30};
    return Below(4) == 0 ? std::nullopt
                         : std::optional(kLimits[Below(kLimits.size())]);
  }

  void Disturb() {
    DisturbGateways(fleet_, [this](uint64_t bound) { return Below(bound); });
  }

  std::mt19937_64 random_;
  LimitFleet fleet_;
};

TEST_CASE("target limits: the sum holds whatever is killed, cut or lost") {
  constexpr uint64_t kSeeds = 60;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    CHECK(RandomRun(seed).WorstExcess() <= 0);
  }
}

}  // namespace
}  // namespace gv
