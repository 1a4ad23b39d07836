/** @file gateway_directory_test.cc Tests of the target directory (registrations
 * out of order, reused addresses, expiry) and of target health. */
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
    "target directory: the newest registration of the latest start is kept") {
  TargetDirectory directory;
  const TimePoint now(1000);
  CHECK(directory.Merge(now, Target("a", "x:1", 100, 5)) == Change::kChanged);
  CHECK(directory.Merge(now, Target("a", "x:1", 100, 4)) == Change::kNone);
  CHECK(directory.Merge(now, Target("a", "x:1", 100, 6)) == Change::kRefreshed);
  CHECK(directory.Merge(now, Target("a", "x:1", 200, 1)) == Change::kChanged);
  CHECK(directory.Merge(now, Target("a", "x:1", 100, 9)) == Change::kNone);
}

TEST_CASE(
    "target directory: a late registration does not regain a reused address") {
  TargetDirectory directory;
  const TimePoint now(1000);
  directory.Merge(now, Target("old", "x:1", 100, 5));
  CHECK(directory.Merge(now, Target("new", "x:1", 200, 1)) == Change::kChanged);
  CHECK(directory.Find(TargetId("old"))->target_.state_ ==
        RegistrationState::kGone);
  CHECK(directory.Merge(now, Target("old", "x:1", 100, 6)) == Change::kNone);
  CHECK(directory.Merge(now, Target("older", "x:1", 50, 6)) == Change::kNone);
}

TEST_CASE("target directory: forwarded rows keep their age and expire") {
  TargetDirectory first;
  TargetDirectory second;
  first.Merge(TimePoint(0), Target("a", "x:1", 100, 1));
  second.Merge(TimePoint(500), first.Row(TimePoint(6000), TargetId("a")));
  CHECK(second.Find(TargetId("a"))->last_heartbeat_ == TimePoint(-5500));
  CHECK(second.Digest() == first.Digest());
  CHECK(second.Expire(TimePoint(5000), 10_s, 60_s).size() == 1);
  CHECK(second.Merge(TimePoint(5000),
                     first.Row(TimePoint(9000), TargetId("a"))) ==
        Change::kNone);
}

TEST_CASE("target directory: none is unreachable while no heartbeats arrive") {
  // Guards against marking all targets unreachable after an outage of all
  // registry members, here of 4 s, in which streams continued.
  TargetDirectory directory;
  directory.Merge(TimePoint(0), Target("a", "x:1", 100, 1));
  directory.Merge(TimePoint(200), Target("b", "x:2", 100, 1));
  CHECK(directory.Unreachable(2800_ms).empty());
  directory.Merge(TimePoint(4200), Target("b", "x:2", 100, 2));
  CHECK(directory.Unreachable(2800_ms) == std::vector<TargetId>{TargetId("a")});
}

TEST_CASE("target directory: a late registration revives no departed target") {
  // A restarted gateway gets the row of the departed target, whose age exceeds
  // the limit for rows of other targets. Then a registration from before the
  // departure arrives, delayed by a network partition.
  TargetDirectory old;
  old.Merge(TimePoint(0), Target("a", "x:1", 100, 1));
  REQUIRE(old.Depart(TimePoint(1000), TargetId("a"), 0) != nullptr);
  TargetDirectory restarted;
  const TimePoint now(13000);
  restarted.Merge(now, old.Row(now, TargetId("a")));
  CHECK(restarted.Merge(now, Target("a", "x:1", 100, 2)) == Change::kNone);
  CHECK_FALSE(restarted.IsReady(TargetId("a")));
}

TEST_CASE(
    "target directory: a draining target stays draining until it restarts") {
  TargetDirectory directory;
  const TimePoint now(1000);
  directory.Merge(now, Target("a", "x:1", 100, 1));
  CHECK(directory.MarkDraining(TargetId("a"), 100));
  CHECK_FALSE(directory.MarkDraining(TargetId("a"), 100));
  CHECK(directory.Merge(now, Target("a", "x:1", 100, 2)) == Change::kNone);
  CHECK_FALSE(directory.IsReady(TargetId("a")));
  // A later start with the same id or the same address is ready again.
  CHECK(directory.Merge(now, Target("a", "x:1", 200, 1)) == Change::kChanged);
  CHECK(directory.IsReady(TargetId("a")));
  // An answer of the earlier start says nothing of this one.
  CHECK_FALSE(directory.MarkDraining(TargetId("a"), 100));
  CHECK(directory.IsReady(TargetId("a")));
  CHECK(directory.MarkDraining(TargetId("a"), 200));
  CHECK(directory.Merge(now, Target("b", "x:1", 300, 1)) == Change::kChanged);
  CHECK(directory.IsReady(TargetId("b")));
}

TEST_CASE("target directory: digests depend on the rows, not on their order") {
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
  const uint64_t before_draining = one.Digest();
  CHECK(one.MarkDraining(TargetId("a"), 100));
  CHECK(one.Digest() != before_draining);
  one.Depart(TimePoint(2000), TargetId("a"), 0);
  CHECK(one.Digest() == table({b2}).Digest());
  one.Drop(TargetId("b"));
  CHECK(one.Digest() == TargetDirectory().Digest());
}

TEST_CASE(
    "target health: a target gets no requests while it asked for a pause") {
  TargetHealth health;
  const TargetId target("a");
  health.OnPause(TimePoint(0), target, 1500_ms);
  CHECK(health.IsPaused(TimePoint(1499), target));
  CHECK(health.Suspected(TimePoint(10)) == std::vector<TargetId>{target});
  CHECK_FALSE(health.IsPaused(TimePoint(1500), target));
  // A later, shorter pause does not shorten the current one; an excessive pause
  // is limited to 60 s.
  health.OnPause(TimePoint(2000), target, 5_s);
  health.OnPause(TimePoint(2000), target, 1_s);
  CHECK(health.IsPaused(TimePoint(6000), target));
  health.OnPause(TimePoint(7000), target, Duration(INT64_MAX / 4));
  CHECK_FALSE(health.IsPaused(TimePoint(7000) + 60_s, target));
}

TEST_CASE("target health: an unreachable target is suspected at once") {
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

TEST_CASE("target health: only a high failure rate makes a target suspected") {
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

TEST_CASE("target health: unreachability needs reports of two gateways") {
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

TEST_CASE(
    "target health: a target is recovering from the end of its back-off") {
  // Guards against a burst of requests after each back-off: six engines reset
  // every request, so each looked idle when its back-off ended and got many
  // requests at once (grown Tilecarvers scale-1, second 10).
  TargetHealth health;
  const TargetId target("a");
  health.OnOutcome(TimePoint(0), target, HealthOutcome::kUnreachable);
  CHECK_FALSE(health.IsRecovering(TimePoint(100), target));
  CHECK(health.IsRecovering(TimePoint(5000), target));
  health.OnOutcome(TimePoint(5000), target, HealthOutcome::kGood);
  CHECK_FALSE(health.IsRecovering(TimePoint(5000), target));
}

}  // namespace
}  // namespace gv
