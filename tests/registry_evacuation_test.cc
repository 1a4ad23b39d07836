/** @file registry_evacuation_test.cc Tests of orders to evacuate a data centre,
 * with failures of gateways, disks and links. */
#include <doctest/doctest.h>

#include "support/evacuation_checks.h"
#include "support/registry_group.h"

namespace gv {
namespace {

/** Time after the acknowledgement of an order from which no gateway with a
 * lease sends requests to the data centre. */
constexpr Duration kBound = 5_s;
/** Time after the acknowledgement within which all gateways that are in touch
 * obey an order. */
constexpr Duration kInForce = 2_s;
/** Time after a restart within which all gateways have a lease again. */
constexpr Duration kRecovery = 12_s;
constexpr const char* kWest = "west";

/** Repeats an order at a gateway, as an operator does. */
bool Repeat(RegistryGroup& group, const std::string& at,
            const std::string& data_centre, bool withdrawn) {
  for (int i = 0; i < 10; ++i) {
    if (group.Evacuate(at, data_centre, withdrawn) ==
        OperationState::kAccepted) {
      return true;
    }
  }
  return false;
}

/** Runs and checks at every step that no gateway sends requests there. */
void RunWithoutSenders(RegistryGroup& group, Duration duration) {
  const TimePoint end = group.now_ + duration;
  std::string senders;
  while (group.now_ < end && senders.empty()) {
    group.Run(5_ms);
    senders = Senders(group, kWest);
  }
  CHECK(senders == "");
}

/** @return True if all running gateways have the same evacuations. */
bool AllAgree(const RegistryGroup& group, bool evacuated) {
  std::set<uint64_t> revisions;
  bool agree = true;
  for (const auto& [name, host] : group.hosts_) {
    if (host.core_) {
      revisions.insert(host.core_->Evacuations().Revision());
      agree = agree && host.core_->Evacuations().Contains(
                           DataCentreId(kWest)) == evacuated;
    }
  }
  return agree && revisions.size() == 1;
}

TEST_CASE("evacuation: an order and its withdrawal are in force everywhere") {
  RegistryGroup group(3, 3, 1);
  group.Run(5_s);
  TargetRegistration target = MakeTarget("t1", 1000, 1);
  target.data_centre_ = DataCentreId(kWest);
  group.Register("e1", target);
  group.Run(1_s);
  REQUIRE(group.Core("d1").Targets().IsReady(TargetId("t1")));
  REQUIRE(group.Evacuate("e2", kWest) == OperationState::kAccepted);
  group.Run(kInForce);
  CHECK(AllAgree(group, true));
  CHECK(group.AllHaveLeases());
  // Registrations and heartbeats continue, but the target gets no requests.
  target.sequence_ = 2;
  group.Register("e1", target);
  group.Run(1_s);
  for (const auto& [name, host] : group.hosts_) {
    CHECK_FALSE(host.core_->Targets().IsReady(TargetId("t1")));
  }
  REQUIRE(group.Evacuate("e1", kWest, true) == OperationState::kAccepted);
  group.Run(kInForce);
  CHECK(AllAgree(group, false));
  CHECK(group.Core("e3").Targets().IsReady(TargetId("t1")));
}

TEST_CASE("evacuation: a repeated order is acknowledged and changes nothing") {
  RegistryGroup group(3, 2, 2);
  group.Run(5_s);
  // The withdrawal of an order that was never given.
  CHECK(group.Evacuate("e1", kWest, true) == OperationState::kAccepted);
  REQUIRE(group.Evacuate("e1", kWest) == OperationState::kAccepted);
  group.Run(kInForce);
  const uint64_t revision = group.Core("e2").Evacuations().Revision();
  for (const char* at : {"d1", "d2", "d3", "e1", "e2"}) {
    CHECK(group.Evacuate(at, kWest) == OperationState::kAccepted);
  }
  group.Run(kInForce);
  CHECK(group.Core("e2").Evacuations().Revision() == revision);
  CHECK(AllAgree(group, true));
}

// The next leader acknowledges the repeated order from its own state; an order
// that only the old leader had counted would be lost.
TEST_CASE("evacuation: the leader is killed after the commit, unanswered") {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    RegistryGroup group(3, 2, seed);
    group.Run(5_s);
    const std::string leader = group.Leader();
    REQUIRE(leader.size() == 2);
    group.link_.SetCut(NodeId(leader), NodeId("e1"), true);
    const OperationId id = group.BeginEvacuation("e1", kWest);
    const auto commits = [&]() {
      return group.Core(leader).Evacuations().Contains(DataCentreId(kWest));
    };
    for (int i = 0; i < 500 && !commits(); ++i) {
      group.Run(1_ms);
    }
    REQUIRE(commits());
    const uint64_t revision = group.Core(leader).Evacuations().Revision();
    group.Crash(leader);
    CHECK(group.Await("e1", id) == OperationState::kUnknown);
    REQUIRE(Repeat(group, "e2", kWest, false));
    group.Run(kInForce);
    CHECK(AllAgree(group, true));
    CHECK(group.Core("e2").Evacuations().Revision() == revision);
  }
}

TEST_CASE("evacuation: an order and a withdrawal that race end alike") {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    RegistryGroup group(3, 2, seed);
    group.link_.faults_.delay_max_ = 20_ms;
    group.Run(5_s);
    if (seed % 2 == 0) {
      REQUIRE(Repeat(group, "d1", kWest, false));
    }
    const OperationId order = group.BeginEvacuation("d1", kWest);
    const OperationId end = group.BeginEvacuation("e1", kWest, true);
    CHECK(group.Await("d1", order) == OperationState::kAccepted);
    CHECK(group.Await("e1", end) == OperationState::kAccepted);
    group.Run(3_s);
    const bool evacuated =
        group.Core("d2").Evacuations().Contains(DataCentreId(kWest));
    CHECK(AllAgree(group, evacuated));
  }
}

// A withdrawal that changes nothing yet, because the order before it is still
// being written, was acknowledged without an entry; then the order won.
TEST_CASE("evacuation: a withdrawal counts behind an order being written") {
  for (const bool withdrawn : {true, false}) {
    CAPTURE(withdrawn);
    RegistryGroup group(3, 1, 9);
    group.Run(5_s);
    const std::string leader = group.Leader();
    if (!withdrawn) {
      REQUIRE(group.Evacuate(leader, kWest) == OperationState::kAccepted);
      group.Run(1_s);
    }
    const OperationId first = group.BeginEvacuation(leader, kWest, !withdrawn);
    group.Run(4_ms);
    const OperationId second = group.BeginEvacuation(leader, kWest, withdrawn);
    CHECK(group.Await(leader, first) == OperationState::kAccepted);
    CHECK(group.Await(leader, second) == OperationState::kAccepted);
    group.Run(kInForce);
    CHECK(AllAgree(group, !withdrawn));
  }
}

// A copy of an order that a slow link delivers after the withdrawal was
// acknowledged evacuated the data centre again.
TEST_CASE("evacuation: a late copy of an order does not undo the withdrawal") {
  RegistryGroup group(3, 2, 3);
  group.Run(5_s);
  const uint64_t before = group.Core("e1").Evacuations().Revision();
  REQUIRE(group.Evacuate("e1", kWest) == OperationState::kAccepted);
  REQUIRE(group.Evacuate("e1", kWest, true) == OperationState::kAccepted);
  group.AskLeader("e1", EvacuationForward{OperationId(99), DataCentreId(kWest),
                                          false, before});
  group.Run(3_s);
  CHECK(AllAgree(group, false));
}

// A withdrawal that a frozen gateway read only when it woke, seconds after its
// operator had given it up, ended the evacuation that was acknowledged since.
TEST_CASE("evacuation: an order given up before a freeze is not carried out") {
  constexpr Duration kFreeze = 6800_ms;
  for (const char* frozen : {"d1", "d2", "d3", "e1"}) {
    CAPTURE(frozen);
    RegistryGroup group(3, 2, 11);
    group.Run(5_s);
    REQUIRE(group.Evacuate("e2", kWest) == OperationState::kAccepted);
    group.Run(kInForce);
    group.Freeze(frozen);
    group.Run(1_s);
    REQUIRE(Repeat(group, "e2", kWest, true));
    REQUIRE(Repeat(group, "e2", kWest, false));
    group.Run(kFreeze - 2_s);
    group.Thaw(frozen);
    // It reads the order before or after it has learnt the newest state.
    for (const Duration pause : {Duration(0), 300_ms}) {
      group.Run(pause);
      CHECK(group.Await(frozen,
                        group.BeginEvacuation(frozen, kWest, true, kFreeze)) ==
            OperationState::kUnknown);
    }
    group.Run(kInForce);
    CHECK(AllAgree(group, true));
  }
}

// A gateway that woke sent a pending order, now with the newest state, before
// it noticed that the time of the order was over.
TEST_CASE("evacuation: a pending order does not outlive a freeze") {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    RegistryGroup group(3, 2, seed);
    group.Run(5_s);
    REQUIRE(group.Evacuate("e1", kWest) == OperationState::kAccepted);
    group.Run(kInForce);
    // It does not know the leader yet, so the order waits.
    group.Add("e3", false);
    const OperationId late = group.BeginEvacuation("e3", kWest, true);
    group.Run(2_ms);
    group.Freeze("e3");
    group.Run(100_ms);
    REQUIRE(Repeat(group, "e1", kWest, true));
    REQUIRE(Repeat(group, "e1", kWest, false));
    group.Run(1_s);
    group.Thaw("e3");
    CHECK(group.Await("e3", late) == OperationState::kUnknown);
    group.Run(kInForce);
    CHECK(AllAgree(group, true));
  }
}

// A withdrawal without an effect was acknowledged without an entry. A copy of
// the order that it withdrew then still passed as based on the newest state.
TEST_CASE("evacuation: a late copy does not undo an effectless withdrawal") {
  RegistryGroup group(3, 2, 12);
  group.Run(5_s);
  const uint64_t before = group.Core("e1").Evacuations().Revision();
  REQUIRE(group.Evacuate("e2", kWest, true) == OperationState::kAccepted);
  group.AskLeader("e1", EvacuationForward{OperationId(99), DataCentreId(kWest),
                                          false, before});
  group.Run(3_s);
  CHECK(AllAgree(group, false));
}

TEST_CASE("evacuation: a leader refuses names that would break the encoding") {
  RegistryGroup group(3, 1, 4);
  group.Run(5_s);
  for (const char* name : {"", "a,b", "a\nb", "a b"}) {
    CHECK(group.Evacuate("e1", name) == OperationState::kUnknown);
  }
  CHECK(group.Core("d1").Evacuations().Empty());
}

// After a restart a gateway sends nothing before it knows the evacuations.
TEST_CASE("evacuation: it survives a restart of all and a lost disk") {
  for (const bool with_snapshot : {false, true}) {
    for (uint64_t seed = 1; seed <= 5; ++seed) {
      CAPTURE(with_snapshot);
      CAPTURE(seed);
      RegistryGroup group(3, 2, seed);
      group.Run(5_s);
      REQUIRE(group.Evacuate("e1", kWest) == OperationState::kAccepted);
      group.Run(kInForce);
      if (with_snapshot) {
        const std::string text(kSnapshotBytes * 2 / 3, 'x');
        REQUIRE(group.Change("e1", 2, text) == OperationState::kAccepted);
        group.Run(1_s);
        REQUIRE(group.Change("e1", 3, text) == OperationState::kAccepted);
        group.Run(1_s);
        REQUIRE_FALSE(group.Host("d1").disk_.Load().snapshot_index_.IsNone());
      }
      for (const auto& [name, host] : group.hosts_) {
        group.Crash(name);
      }
      group.Wipe("d2");
      for (const auto& [name, host] : group.hosts_) {
        group.Start(name);
      }
      RunWithoutSenders(group, kRecovery);
      CHECK(group.AllHaveLeases());
      CHECK(AllAgree(group, true));
      // The quorum now depends on the disk that was lost.
      group.Crash("d1");
      RunWithoutSenders(group, 4_s);
      REQUIRE(Repeat(group, "e2", kWest, true));
      group.Run(kInForce);
      CHECK(AllAgree(group, false));
    }
  }
}

TEST_CASE("evacuation: a gateway cut off has no lease after the bound") {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    RegistryGroup group(3, 2, seed);
    group.Run(5_s);
    const std::string leader = group.Leader();
    const std::string other = leader == "d1" ? "d2" : "d1";
    group.Isolate("e1", true);
    group.Isolate(leader, true);
    REQUIRE(Repeat(group, other, kWest, false));
    group.Run(kBound);
    CHECK(Senders(group, kWest) == "");
    CHECK_FALSE(group.Core("e1").HasLease(group.now_));
    group.Isolate("e1", false);
    group.Isolate(leader, false);
    RunWithoutSenders(group, 3_s);
    CHECK(group.AllHaveLeases());
    CHECK(AllAgree(group, true));
  }
}

TEST_CASE("evacuation: it is acknowledged and obeyed beside a full disk") {
  for (const char* full : {"d1", "d2", "d3"}) {
    CAPTURE(full);
    RegistryGroup group(3, 1, 6);
    group.Run(5_s);
    group.FillDisk(full, true);
    REQUIRE(Repeat(group, "e1", kWest, false));
    group.Run(kBound);
    RunWithoutSenders(group, 3_s);
    CHECK(AllAgree(group, true));
    group.FillDisk(full, false);
    RunWithoutSenders(group, 5_s);
    CHECK(AllAgree(group, true));
  }
}

TEST_CASE("evacuation: new gateways and members know it") {
  RegistryGroup group(3, 1, 7);
  group.Run(5_s);
  REQUIRE(group.Evacuate("e1", kWest) == OperationState::kAccepted);
  group.Run(kBound);
  group.Crash("d3");
  group.Add("d4", true);
  group.Add("e9", false);
  RunWithoutSenders(group, 20_s);
  CHECK(AllAgree(group, true));
  CHECK(group.AllHaveLeases());
  // The new member keeps it when the old ones are gone.
  group.Crash("d1");
  RunWithoutSenders(group, 5_s);
  CHECK(Repeat(group, "e9", kWest, false));
  CHECK(AllAgree(group, true));
}

}  // namespace
}  // namespace gv
