/** @file gateway_directory_test.cc Registrations out of order, reused addresses
 * and the judgement of targets by their answers. */
#include <doctest/doctest.h>

#include "coordination/gateway/target_directory.h"
#include "coordination/gateway/target_health.h"

namespace gv {
namespace {

using Change = TargetDirectory::Change;

TargetRegistration Target(const std::string& id, const std::string& address,
                          uint64_t start, uint64_t sequence) {
  TargetRegistration target;
  target.id_ = TargetId(id);
  target.service_ = "model";
  target.address_ = address;
  target.start_ms_ = start;
  target.sequence_ = sequence;
  return target;
}

TEST_CASE(
    "target directory: the newest registration of the newest start wins") {
  TargetDirectory directory;
  const TimePoint now(1000);
  CHECK(directory.Merge(now, Target("a", "x:1", 100, 5)) == Change::kChanged);
  CHECK(directory.Merge(now, Target("a", "x:1", 100, 4)) == Change::kNone);
  CHECK(directory.Merge(now, Target("a", "x:1", 100, 6)) == Change::kRefreshed);
  CHECK(directory.Merge(now, Target("a", "x:1", 200, 1)) == Change::kChanged);
  CHECK(directory.Merge(now, Target("a", "x:1", 100, 9)) == Change::kNone);
}

TEST_CASE(
    "target directory: a late registration does not take back an address") {
  TargetDirectory directory;
  const TimePoint now(1000);
  directory.Merge(now, Target("old", "x:1", 100, 5));
  CHECK(directory.Merge(now, Target("new", "x:1", 200, 1)) == Change::kChanged);
  CHECK(directory.Find(TargetId("old"))->target_.state_ ==
        RegistrationState::kGone);
  CHECK(directory.Merge(now, Target("old", "x:1", 100, 6)) == Change::kNone);
  CHECK(directory.Merge(now, Target("older", "x:1", 50, 6)) == Change::kNone);
}

TEST_CASE("target directory: rows that are passed on age and expire") {
  TargetDirectory first;
  TargetDirectory second;
  first.Merge(TimePoint(0), Target("a", "x:1", 100, 1));
  second.Merge(TimePoint(500), first.Row(TimePoint(6000), TargetId("a")));
  CHECK(second.Find(TargetId("a"))->heard_ == TimePoint(-5500));
  CHECK(second.Digest() == first.Digest());
  CHECK(second.Expire(TimePoint(5000), 10_s, 60_s).size() == 1);
  CHECK(second.Merge(TimePoint(5000),
                     first.Row(TimePoint(9000), TargetId("a"))) ==
        Change::kNone);
}

TEST_CASE("target directory: nobody is stale while no registration arrives") {
  // All members of the registry were down for 4 s; streams went on.
  TargetDirectory directory;
  directory.Merge(TimePoint(0), Target("a", "x:1", 100, 1));
  directory.Merge(TimePoint(200), Target("b", "x:2", 100, 1));
  CHECK(directory.Silent(2800_ms).empty());
  directory.Merge(TimePoint(4200), Target("b", "x:2", 100, 2));
  CHECK(directory.Silent(2800_ms) == std::vector<TargetId>{TargetId("a")});
}

TEST_CASE("target directory: one that left long ago stays gone elsewhere") {
  // A gateway restarts; the row that it gets is older than a live one may be. A
  // registration from before the departure was held up by a partition.
  TargetDirectory old;
  old.Merge(TimePoint(0), Target("a", "x:1", 100, 1));
  REQUIRE(old.Depart(TimePoint(1000), TargetId("a")) != nullptr);
  TargetDirectory restarted;
  const TimePoint now(13000);
  restarted.Merge(now, old.Row(now, TargetId("a")));
  CHECK(restarted.Merge(now, Target("a", "x:1", 100, 2)) == Change::kNone);
  CHECK_FALSE(restarted.IsReady(TargetId("a")));
}

TEST_CASE("target directory: a target that said that it leaves stays leaving") {
  TargetDirectory directory;
  const TimePoint now(1000);
  directory.Merge(now, Target("a", "x:1", 100, 1));
  CHECK(directory.Leave(TargetId("a")));
  CHECK_FALSE(directory.Leave(TargetId("a")));
  CHECK(directory.Merge(now, Target("a", "x:1", 100, 2)) == Change::kNone);
  CHECK_FALSE(directory.IsReady(TargetId("a")));
  // A new start, under the same id or at the same address, is another target.
  CHECK(directory.Merge(now, Target("a", "x:1", 200, 1)) == Change::kChanged);
  CHECK(directory.IsReady(TargetId("a")));
  CHECK(directory.Leave(TargetId("a")));
  CHECK(directory.Merge(now, Target("b", "x:1", 300, 1)) == Change::kChanged);
  CHECK(directory.IsReady(TargetId("b")));
}

TEST_CASE("target directory: digests follow every change in any order") {
  const auto table = [](const std::vector<TargetRegistration>& rows) {
    TargetDirectory directory;
    for (const TargetRegistration& row : rows) {
      directory.Merge(TimePoint(1000), row);
    }
    return directory;
  };
  const TargetRegistration a = Target("a", "x:1", 100, 1);
  const TargetRegistration a2 = Target("a", "x:1", 100, 2);
  const TargetRegistration b = Target("b", "x:2", 100, 1);
  const TargetRegistration b2 = Target("b", "x:2", 200, 1);
  TargetDirectory one = table({a, b, a2, b2});
  CHECK(one.Digest() == table({b2, a2}).Digest());
  CHECK(one.Digest() != table({b, a2}).Digest());
  const uint64_t before = one.Digest();
  CHECK(one.Leave(TargetId("a")));
  CHECK(one.Digest() != before);
  one.Depart(TimePoint(2000), TargetId("a"));
  CHECK(one.Digest() == table({b2}).Digest());
  one.Drop(TargetId("b"));
  CHECK(one.Digest() == TargetDirectory().Digest());
}

TEST_CASE("target health: a target that asked for a pause gets it") {
  TargetHealth health;
  const TargetId target("a");
  health.OnPause(TimePoint(0), target, 1500_ms);
  CHECK(health.IsPaused(TimePoint(1499), target));
  CHECK(health.Suspected(TimePoint(10)) == std::vector<TargetId>{target});
  CHECK_FALSE(health.IsPaused(TimePoint(1500), target));
  // A shorter one does not end the longer one; an absurd one is bounded.
  health.OnPause(TimePoint(2000), target, 5_s);
  health.OnPause(TimePoint(2000), target, 1_s);
  CHECK(health.IsPaused(TimePoint(6000), target));
  health.OnPause(TimePoint(7000), target, Duration(INT64_MAX / 4));
  CHECK_FALSE(health.IsPaused(TimePoint(7000) + 60_s, target));
}

TEST_CASE("target health: a target that cannot be reached is left at once") {
  TargetHealth health;
  const TargetId target("a");
  CHECK(health.OnOutcome(TimePoint(0), target, HealthOutcome::kUnreachable));
  CHECK(health.IsSuspected(TimePoint(100), target));
  CHECK_FALSE(health.IsSuspected(TimePoint(500), target));
  health.OnOutcome(TimePoint(500), target, HealthOutcome::kUnreachable);
  CHECK(health.IsSuspected(TimePoint(1200), target));
  CHECK(health.OnOutcome(TimePoint(1400), target, HealthOutcome::kGood));
  CHECK_FALSE(health.IsSuspected(TimePoint(1400), target));
}

TEST_CASE("target health: ordinary errors don't make a target suspected") {
  TargetHealth health;
  const TargetId target("a");
  for (int i = 0; i < 200; ++i) {
    const bool fails = i % 7 == 0;
    health.OnOutcome(TimePoint(i * 10), target,
                     fails ? HealthOutcome::kError : HealthOutcome::kGood);
    CHECK_FALSE(health.IsSuspected(TimePoint(i * 10), target));
  }
  for (int i = 0; i < 10; ++i) {
    health.OnOutcome(TimePoint(2000 + i), target, HealthOutcome::kError);
  }
  CHECK(health.IsSuspected(TimePoint(2010), target));
  health.OnOutcome(TimePoint(2010), target, HealthOutcome::kFull);
  CHECK(health.IsSuspected(TimePoint(2010), target));
}

TEST_CASE("target health: one gateway's report suspects no target for all") {
  TargetHealth health;
  const TargetId target("a");
  const auto report = [&](Duration at, const char* gateway) {
    return health.OnReport(TimePoint(0) + at, NodeId(gateway), target,
                           HealthOutcome::kUnreachable);
  };
  CHECK_FALSE(report(0_ms, "g1"));
  CHECK_FALSE(report(100_ms, "g1"));
  CHECK_FALSE(health.IsSuspected(TimePoint(100), target));
  CHECK(report(200_ms, "g2"));
  CHECK(health.IsSuspected(TimePoint(200), target));
  CHECK(health.Suspected(TimePoint(200)) == std::vector<TargetId>{target});
}

TEST_CASE("target health: after its pause a target is on trial") {
  // Grown Tilecarvers scale-1, second 10: six engines reset every request, and
  // each time their pause ended they looked idle and got a rush of them.
  TargetHealth health;
  const TargetId target("a");
  health.OnOutcome(TimePoint(0), target, HealthOutcome::kUnreachable);
  CHECK_FALSE(health.IsOnTrial(TimePoint(100), target));
  CHECK(health.IsOnTrial(TimePoint(5000), target));
  health.OnOutcome(TimePoint(5000), target, HealthOutcome::kGood);
  CHECK_FALSE(health.IsOnTrial(TimePoint(5000), target));
}

}  // namespace
}  // namespace gv
