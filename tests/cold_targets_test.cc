/** @file cold_targets_test.cc Tests of the requests that cold targets get from
 * all gateways together. */
#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>

#include "coordination/gateway/prompt_scheduler.h"
#include "support/cold_run.h"
#include "support/disturb_gateways.h"
#include "support/gateway_engines.h"

namespace gv {
namespace {

const TargetId kTarget("t");
const TimePoint kStart(100000);
constexpr Duration kStep = 50_ms;

TEST_CASE("cold targets: permits of any second stay within the cold rate") {
  // Guards against a target that crashes as its bucket is filled at more than
  // the rate or bursts; without coldness all of them are permitted at once.
  for (int rate = 1; rate <= 100; ++rate) {
    CAPTURE(rate);
    TargetLimits limits;
    limits.SetGranting(kStart, true);
    limits.SetCold(kStart, kTarget, rate, kStart + 20_s);
    std::vector<TimePoint> used;
    for (TimePoint now = kStart; now < kStart + 20_s; now = now + kStep) {
      limits.AdvanceCold(now);
      while (limits.HasPermit(now, kTarget)) {
        REQUIRE(used.size() < 100000);
        limits.TakePermit(now, kTarget);
        used.push_back(now);
      }
    }
    CHECK(MostWithin(used, 1_s) <= rate);
    // The goal is to use them as well: rates are used to 0.75 at first.
    CHECK(static_cast<double>(used.size()) >= std::floor(0.65 * rate * 20));
  }
}

TEST_CASE("cold targets: permits of two leaders stay within the hard bound") {
  // Guards against the sum of: a full bucket of the old leader, permits that it
  // gave ahead, those of the next leader right after, and permits used as late
  // as they may be.
  for (int rate = 1; rate <= 100; ++rate) {
    CAPTURE(rate);
    for (const Duration change : {1_s, 2500_ms, 2900_ms, 3500_ms}) {
      CAPTURE(change.Ms());
      TargetLimits last;
      TargetLimits next;
      last.SetGranting(kStart, true);
      for (TargetLimits* limits : {&last, &next}) {
        limits->SetCold(kStart, kTarget, rate, kStart + 4_s);
      }
      std::vector<TimePoint> due;
      for (TimePoint now = kStart; now < kStart + 4_s; now = now + 5_ms) {
        last.AdvanceCold(now);
        next.AdvanceCold(now);
        if (now == kStart + change) {
          last.SetGranting(now, false);
          next.SetGranting(now, true);
        }
        // The bucket of the last leader is full shortly before it ends.
        if (now > kStart + change - 900_ms) {
          TakeAllPermits(last, now, kTarget, due);
          TakeAllPermits(next, now, kTarget, due);
        }
        REQUIRE(due.size() < 100000);
      }
      std::sort(due.begin(), due.end());
      CHECK(static_cast<double>(MostWithin(due, 1_s + kLimitPermitLifetime)) <
            kColdOver * rate + kColdSlack);
    }
  }
}

TEST_CASE("cold targets: a change of the stated limit is told while cold") {
  // Guards against a limit that stays at the leader after the target is warm,
  // as its end did not change the lower limit of the cold target.
  TargetLimits limits;
  limits.SetCold(kStart, kTarget, 2, kStart + 10_s);
  CHECK(limits.OnNamed(kStart + 1_s, kTarget, 50));
  CHECK(limits.PerSecond(kTarget) <= 2);
  CHECK(limits.OnNotNamed(kStart + 3_s, kTarget, kStart + 2_s));
  CHECK(limits.IsLimited(kTarget));
  CHECK(limits.OnNamed(kStart + 4_s, kTarget, 1));
  CHECK(limits.PerSecond(kTarget) == 1);
}

TEST_CASE("cold targets: a row of a target without a limit says nothing") {
  // Guards against the end of a limit that another gateway has heard of: the
  // row of a target that is only cold must not end it.
  TargetLimits cold;
  cold.SetCold(kStart, kTarget, 28, kStart + 10_s);
  CHECK(cold.IsLimited(kTarget));
  CHECK_FALSE(cold.Row(kStart, kTarget));
  TargetLimits leader;
  leader.OnNamed(kStart, kTarget, 3);
  const TimePoint later = kStart + Duration(86400000);
  CHECK_FALSE(leader.Merge(later, cold.AskRow(later, kTarget)));
  CHECK(leader.PerSecond(kTarget) == 3);
}

TEST_CASE("cold targets: what waits does not arrive when the target is warm") {
  // Guards against all waiting requests at once at a target that was cold a
  // moment before, and against a limit that never ends.
  TargetLimits limits;
  limits.SetGranting(kStart, true);
  limits.SetCold(kStart, kTarget, 28, kStart + 3_s);
  std::vector<TimePoint> used;
  std::vector<ColdChange> changes;
  double last_rate = 0;
  for (TimePoint now = kStart; now < kStart + 4_s; now = now + kStep) {
    for (const ColdChange& change : limits.AdvanceCold(now)) {
      changes.push_back(change);
    }
    CHECK(limits.PerSecond(kTarget) >= last_rate);
    last_rate = limits.PerSecond(kTarget);
    CHECK((last_rate <= 28 || now >= kStart + 3_s));
    while (limits.HasPermit(now, kTarget) && used.size() < 1000) {
      limits.TakePermit(now, kTarget);
      used.push_back(now);
    }
  }
  CHECK(MostWithin(used, 100_ms) <= 12);
  CHECK(MostWithin(used, 1_s) <= 2 * 28 + 6);
  REQUIRE(changes.size() == 2);
  CHECK(changes[0].is_cold_);
  CHECK_FALSE(changes[1].is_cold_);
  CHECK(limits.ColdCount(kStart + 4_s) == 0);
  limits.AdvanceCold(kStart + 4_s);
  CHECK(limits.Empty());
}

TEST_CASE("cold targets: the newest statement counts") {
  // Guards against a target that stays limited after it said that it is warm,
  // and one that is warm although it said that it is cold again.
  TargetLimits limits;
  limits.SetCold(kStart, kTarget, 10, kStart + 60_s);
  limits.SetCold(kStart + 1_s, kTarget, 10, kStart + 500_ms);
  CHECK(limits.ColdCount(kStart + 1_s) == 0);
  limits.AdvanceCold(kStart + 1500_ms);
  CHECK(limits.PerSecond(kTarget) == 20);
  limits.SetCold(kStart + 1600_ms, kTarget, 10, kStart + 9_s);
  CHECK(limits.PerSecond(kTarget) <= 10);
  limits.AdvanceCold(kStart + 10_s);
  CHECK(limits.Empty());
}

TEST_CASE("cold targets: the sum over all gateways holds and is used") {
  // Guards against each gateway sending at the cold rate on its own.
  for (const double rate : {1.0, 2.0, 10.0, 28.0, 60.0}) {
    CAPTURE(rate);
    ColdRun run(rate, 1);
    run.StartTarget(20_s);
    run.Steps(20_s);
    CHECK(run.Excess() <= 0);
    CHECK(static_cast<double>(run.Counted().size()) >=
          std::floor(0.6 * rate * 18));
  }
}

TEST_CASE("cold targets: a change of the leader permits nothing more") {
  // Guards against the permits of the old leader and of the next one in the
  // same second.
  ColdRun run(28, 2);
  run.StartTarget(40_s);
  for (int step = 0; step < 800; ++step) {
    const std::string leader = run.Group().Leader();
    if (step % 80 == 40 && run.Group().hosts_.contains(leader)) {
      run.Kill(leader);
      run.Group().Start(leader);
    }
    run.Step();
  }
  CHECK(run.Excess() <= 0);
  CHECK(run.Counted().size() >= 200);
}

TEST_CASE("cold targets: gateways without a leader leave them alone") {
  // Guards against shares of gateways that cannot know what others send.
  ColdRun run(28, 3);
  run.StartTarget(60_s);
  run.Steps(3_s);
  SUBCASE("each gateway is cut off") {
    for (const char* name : {"d1", "d2", "d3", "e1", "e2", "e3"}) {
      run.Group().Isolate(name, true);
    }
  }
  SUBCASE("two of three members are lost") {
    run.Kill("d1");
    run.Kill("d2");
  }
  run.Fleet().Run(4_s);
  const size_t before = run.Counted().size();
  CHECK(before > 0);
  for (int step = 0; step < 100; ++step) {
    run.Step(false);
  }
  CHECK(run.Counted().size() == before);
  CHECK(run.Excess() <= 0);
}

TEST_CASE("cold targets: a gateway that was cut off hears of cold targets") {
  // Guards against a gateway that comes back, has a lease, and still takes the
  // target for warm: the tables are compared without the cold time.
  ColdRun run(28, 4);
  run.StartTarget(1_s);
  run.Steps(6_s);
  CHECK(run.NoneLimited());
  run.Group().Isolate("e2", true);
  run.Steps(4_s);
  run.BecomeCold(60_s);
  run.Steps(5_s);
  run.Group().Isolate("e2", false);
  run.CountFromNow();
  run.Steps(2_s);
  CHECK(run.AllLimited());
  run.CountFromNow();
  run.Steps(20_s);
  CHECK(run.Excess() <= 0);
}

TEST_CASE("cold targets: all gateways hear that a target is cold again") {
  // Guards against a target that becomes cold without a restart, of which only
  // the gateway that it told knows. A lost message is made good by the next
  // heartbeat.
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    ColdRun run(28, seed);
    run.StartTarget(2_s);
    run.Steps(6_s);
    CHECK(run.NoneLimited());
    const bool loses = seed % 2 == 0;
    run.Group().link_.faults_.loss_ = loses ? 0.1 : 0;
    run.BecomeCold(15_s);
    run.Steps(loses ? 3_s : 150_ms);
    CHECK(run.AllLimited());
    run.CountFromNow();
    run.Steps(8_s);
    CHECK(run.Excess() <= 0);
    CHECK(run.Counted().size() >= 100);
  }
}

TEST_CASE("cold targets: a cold time that is stated anew each time is heard") {
  // Guards against a target that never says more than a moment: each heartbeat
  // moves the end by less than any threshold.
  ColdRun run(10, 5);
  run.StartTarget(1_s);
  run.Steps(5_s);
  CHECK(run.NoneLimited());
  for (int i = 0; i < 20; ++i) {
    run.BecomeCold(900_ms);
    run.Steps(300_ms);
    CHECK(run.AllLimited());
  }
}

TEST_CASE("cold targets: cold in one place and warm in another") {
  // Guards against an older statement that reaches some gateways last.
  ColdRun run(10, 6);
  run.StartTarget(1_s);
  run.Fleet().Run(4_s);
  run.RegisterAt("d1", 30_s);
  run.RegisterAt("e3", Duration());
  run.Fleet().Run(3_s);
  CHECK_FALSE(run.Fleet().IsLimited("e3"));
  run.RegisterAt("e1", 30_s);
  run.Fleet().Run(1_s);
  CHECK(run.AllLimited());
  run.RegisterAt("e2", Duration());
  run.Fleet().Run(3_s);
  CHECK(run.NoneLimited());
}

TEST_CASE("cold targets: a start that states nothing is cold for a while") {
  // Guards against a restarted target that gets full load as its registration
  // lacks the cold time, and against heartbeats that prolong it.
  ColdRun run(10, 7);
  run.StartTarget(1_s);
  run.Fleet().Run(5_s);
  run.StartTarget(1_s);
  run.Fleet().Run(5_s);
  CHECK(run.NoneLimited());
  TargetRegistration target = MakeTarget(run.Fleet().Target().Value(), 9, 1);
  target.warm_up_ = kUnstatedWarmUp;
  run.Group().Register("e1", target);
  run.Fleet().Run(1_s);
  CHECK(run.AllLimited());
  for (int i = 0; i < 8; ++i) {
    ++target.sequence_;
    run.Group().Register(i % 2 == 0 ? "e2" : "d1", target);
    run.Fleet().Run(500_ms);
  }
  CHECK(run.NoneLimited());
}

TEST_CASE("cold targets: a gateway that joins late does not take it for cold") {
  // Guards against a row whose heartbeat is new and whose cold time is that of
  // the start.
  ColdRun run(10, 8);
  run.StartTarget(5_s);
  run.Steps(1_s);
  CHECK(run.AllLimited());
  run.Steps(19_s);
  run.Group().Add("e9", false);
  run.Steps(2_s);
  CHECK(run.Group().Core("e9").Targets().IsReady(run.Fleet().Target()));
  CHECK_FALSE(run.Fleet().IsLimited("e9"));
}

TEST_CASE("cold targets: a leader that does not know of it permits nothing") {
  // Guards against permits without a limit while the statement is on its way.
  ColdRun run(28, 9);
  run.StartTarget(1_s);
  run.Fleet().Run(5_s);
  const std::string leader = run.Group().Leader();
  REQUIRE(run.Group().hosts_.contains(leader));
  RegistryHost& host = run.Group().Host("e1");
  host.core_->Limits().SetCold(run.Group().NowOf(host), run.Fleet().Target(),
                               28, run.Group().NowOf(host) + 5_s);
  CHECK(run.Fleet().IsLimited("e1"));
  CHECK_FALSE(run.Fleet().IsLimited(leader));
  run.Group().AskLeader(
      "e1", LimitAsk{OperationId(1),
                     {host.core_->Limits().AskRow(run.Group().NowOf(host),
                                                  run.Fleet().Target())},
                     Duration()});
  run.Group().Run(100_ms);
  REQUIRE(host.limit_replies_.size() == 1);
  CHECK_FALSE(host.limit_replies_.front().granted_);
}

TEST_CASE("cold targets: the sum holds whatever is killed, cut or lost") {
  // A target that starts cold is known to be cold with its first registration,
  // so nothing is excepted.
  constexpr uint64_t kSeeds = 40;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    ColdRun run(seed % 3 == 0 ? 5 : 28, seed, 1 + seed % 6);
    LinkFaults& faults = run.Group().link_.faults_;
    faults.delay_max_ = Duration(static_cast<int64_t>(3 + run.Below(60)));
    faults.loss_ = run.Below(3) == 0 ? 0.1 : 0;
    faults.duplicate_ = run.Below(3) == 0 ? 0.3 : 0;
    run.StartTarget(40_s);
    for (int step = 0; step < 600; ++step) {
      DisturbGateways(run, [&run](uint64_t bound) { return run.Below(bound); });
      run.Step();
    }
    CHECK(run.Excess() <= 0);
  }
}

TEST_CASE("cold targets: if all are cold, what waits is told what they serve") {
  // Guards against prompts that wait for warm engines' turnover until their
  // callers have left: 2 engines that take 5 a second serve about 14 in 1.4 s.
  Service service{"model", 398, ReferenceEngine()};
  TargetDirectory directory;
  AddEngines(directory, 2);
  PlacementFixture leader("g0", directory);
  PromptScheduler scheduler(leader.placer_);
  const TimePoint start(1000);
  leader.limits_.SetGranting(start, true);
  for (const char* engine : {"engine-0", "engine-1"}) {
    leader.limits_.SetCold(start, TargetId(engine), 5, start + 60_s);
  }
  for (uint64_t i = 1; i <= 60; ++i) {
    PromptAsk ask;
    ask.operation_ = OperationId(i);
    ask.service_ = "model";
    ask.prompt_tokens_ = 500;
    ask.answer_tokens_ = 100;
    ask.latest_ = 1400_ms;
    scheduler.OnPlacementRequest(start, NodeId("g1"), ask, &service);
  }
  scheduler.OnTick(start + kStep);
  int refused = 0;
  for (const SchedulerReply& reply : scheduler.TakeReplies()) {
    if (const auto* body = std::get_if<PromptRefused>(&reply.body_)) {
      ++refused;
      CHECK(body->wait_ > Duration());
    }
  }
  CHECK(refused >= 60 - 2 * 5 * 2);
  CHECK(refused <= 60 - 5);
}

}  // namespace
}  // namespace gv
