/** @file registry_leaving_test.cc Tests of targets that leave while the gateway
 * that acknowledged it, or another one, is lost. */
#include <doctest/doctest.h>

#include "support/registry_group.h"

namespace gv {
namespace {

/** Time after an acknowledgement from which a target that leaves gets no
 * requests. */
constexpr Duration kDrain = 2_s;
constexpr const char* kTarget = "t1";

TargetRegistration Target(uint64_t start, uint64_t sequence,
                          RegistrationState state = RegistrationState::kReady) {
  return MakeTarget(kTarget, start, sequence, state);
}

/** @return True if a running gateway other than @p except would send requests
 * to the target. */
bool IsUsed(RegistryGroup& group, const std::string& except) {
  for (const auto& [name, host] : group.hosts_) {
    if (name != except && host.core_ &&
        host.core_->Targets().IsReady(TargetId(kTarget))) {
      return true;
    }
  }
  return false;
}

/** A target leaves at each gateway in turn, which is lost right after it has
 * acknowledged that. No other gateway may use it from kDrain on. */
void CheckKnownAfterLoss(
    const std::function<OperationId(RegistryGroup&, const std::string&)>& leave,
    const std::function<void(RegistryGroup&, const std::string&)>& lose) {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    for (const char* at : {"d1", "d2", "d3", "e1", "e2"}) {
      CAPTURE(seed);
      CAPTURE(at);
      RegistryGroup group(3, 2, seed);
      group.Run(5_s);
      group.Register(at, Target(1000, 1));
      group.Run(700_ms);
      const bool led = group.Leader() == at;
      REQUIRE(group.Await(at, leave(group, at)) == OperationState::kAccepted);
      lose(group, at);
      // While the leader is replaced nobody tells the others.
      group.Run(led ? kDrain + 3_s : kDrain);
      CHECK_FALSE(IsUsed(group, at));
    }
  }
}

// The answer of the gateway was the only trace of the departure, and the other
// gateways went on sending requests to the target.
TEST_CASE("leaving: a departure is known to all though its gateway is killed") {
  CheckKnownAfterLoss(
      [](RegistryGroup& group, const std::string& at) {
        return group.Depart(at, kTarget);
      },
      [](RegistryGroup& group, const std::string& at) { group.Crash(at); });
}

TEST_CASE("leaving: a draining is known to all though its gateway hangs") {
  CheckKnownAfterLoss(
      [](RegistryGroup& group, const std::string& at) {
        const auto leaving =
            group.Register(at, Target(1000, 2, RegistrationState::kDraining));
        REQUIRE(leaving);
        return *leaving;
      },
      [](RegistryGroup& group, const std::string& at) {
        group.Isolate(at, true);
      });
}

TEST_CASE("leaving: it is acknowledged while another gateway is lost") {
  for (const char* lost : {"d1", "d2", "d3", "e1"}) {
    CAPTURE(lost);
    RegistryGroup group(3, 2, 1);
    group.Run(5_s);
    group.Register("e2", Target(1000, 1));
    group.Run(700_ms);
    group.Crash(lost);
    group.Run(100_ms);
    // A target that gets no acknowledgement calls another gateway.
    OperationState state = OperationState::kUnknown;
    const TimePoint begin = group.now_;
    while (state != OperationState::kAccepted && group.now_ - begin < 4_s) {
      state = group.Await("e2", group.Depart("e2", kTarget));
    }
    CHECK(state == OperationState::kAccepted);
    group.Crash("e2");
    group.Run(kDrain + 2_s);
    CHECK_FALSE(IsUsed(group, lost));
  }
}

TEST_CASE("leaving: nothing is acknowledged without a majority of members") {
  RegistryGroup group(3, 1, 2);
  group.Run(5_s);
  group.Register("e1", Target(1000, 1));
  group.Run(700_ms);
  group.Isolate("e1", true);
  CHECK(group.Await("e1", group.Depart("e1", kTarget)) ==
        OperationState::kUnknown);
}

// A departure that a frozen gateway read only when it woke removed the target's
// next start, which had registered at another gateway under the same id.
TEST_CASE("leaving: an old departure does not remove a later start") {
  constexpr Duration kFreeze = 6800_ms;
  for (const char* frozen : {"d1", "d2", "d3", "e1"}) {
    CAPTURE(frozen);
    RegistryGroup group(3, 2, 4);
    group.Run(5_s);
    group.Register("e2", Target(1000, 1));
    group.Run(700_ms);
    group.Freeze(frozen);
    group.Run(3_s);
    group.Depart("e2", kTarget);
    group.Run(1_s);
    for (uint64_t sequence = 1; sequence <= 3; ++sequence) {
      group.Register("e2", Target(2000, sequence));
      group.Run(1_s);
    }
    group.Thaw(frozen);
    group.Run(300_ms);
    CHECK(group.Await(frozen, group.Depart(frozen, kTarget, kFreeze)) ==
          OperationState::kUnknown);
    group.Run(1_s);
    for (const auto& item : group.hosts_) {
      CHECK_MESSAGE(item.second.core_->Targets().IsReady(TargetId(kTarget)),
                    item.first);
    }
  }
}

TEST_CASE(
    "leaving: a target that left where it was not known stays unused, and its "
    "next start is used") {
  RegistryGroup group(3, 2, 3);
  group.Run(5_s);
  REQUIRE(group.Await("e1", group.Depart("e1", kTarget)) ==
          OperationState::kAccepted);
  // The registration was on its way.
  group.Register("e2", Target(1000, 1));
  group.Run(1_s);
  CHECK_FALSE(IsUsed(group, ""));
  group.Register("e2", Target(2000, 1));
  group.Run(1_s);
  CHECK(group.Core("e1").Targets().IsReady(TargetId(kTarget)));
}

TEST_CASE(
    "leaving: a target that moved keeps running if its old address is "
    "taken by another one") {
  RegistryGroup group(3, 1, 4);
  group.Run(5_s);
  group.Register("e1", Target(1000, 1));
  group.Run(500_ms);
  TargetRegistration moved = Target(2000, 1);
  moved.address_ = "10.0.0.2:80";
  group.Register("e1", moved);
  group.Run(500_ms);
  TargetRegistration next = Target(3000, 1);
  next.id_ = TargetId("t2");
  group.Register("e1", next);
  group.Run(500_ms);
  CHECK(group.Core("d1").Targets().IsReady(TargetId(kTarget)));
  CHECK(group.Core("d1").Targets().IsReady(TargetId("t2")));
}

}  // namespace
}  // namespace gv
