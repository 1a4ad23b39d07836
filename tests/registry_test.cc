/** @file registry_test.cc Tests of leases, configurations, membership and
 * targets of the shared registry, with failures of gateways, disks and links.
 */
#include <doctest/doctest.h>

#include "support/registry_group.h"

namespace gv {
namespace {

/** Time after the acknowledgement of a change within which all gateways serve
 * it. */
constexpr Duration kInForce = 2_s;
/** Longest time for which a gateway may serve a replaced configuration. */
constexpr Duration kRevocation = 5_s;
/** Time after a restart within which all gateways have a lease again. */
constexpr Duration kRecovery = 12_s;

TEST_CASE(
    "registry: all gateways serve a change within 2 s of its acknowledgement") {
  RegistryGroup group(3, 3, 1);
  group.Run(5_s);
  REQUIRE(group.AllHaveLeases());
  REQUIRE(group.Change("e2", 7, "seven") == OperationState::kAccepted);
  group.Run(kInForce);
  for (const auto& item : group.hosts_) {
    const std::string& name = item.first;
    const RegistryHost& host = item.second;
    CHECK_MESSAGE(host.core_->ServedConfiguration().Text() == "seven", name);
  }
  CHECK(group.Read("e1").version_ == 7);
}

TEST_CASE(
    "registry: a change with an old version is accepted but not applied") {
  RegistryGroup group(3, 1, 2);
  group.Run(5_s);
  REQUIRE(group.Change("d1", 7, "seven") == OperationState::kAccepted);
  CHECK(group.Change("d2", 5, "five") == OperationState::kAccepted);
  CHECK(group.Change("e1", 7, "other") == OperationState::kAccepted);
  group.Run(kInForce);
  CHECK(group.Core("e1").ServedConfiguration().Text() == "seven");
  CHECK(group.Core("d3").ServedConfiguration().Text() == "seven");
}

TEST_CASE(
    "registry: of two changes with the same version all serve the same one") {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    RegistryGroup group(3, 2, seed);
    group.link_.faults_.delay_max_ = 20_ms;
    group.Run(5_s);
    Outbox first(Endpoint{NodeId("d1"), Port::kControl});
    Outbox second(Endpoint{NodeId("e1"), Port::kControl});
    group.Core("d1").SubmitChange(group.now_, 9, "a", first);
    group.Core("e1").SubmitChange(group.now_, 9, "b", second);
    for (const Envelope& envelope : first.TakeSent()) {
      group.link_.Send(group.now_, envelope);
    }
    for (const Envelope& envelope : second.TakeSent()) {
      group.link_.Send(group.now_, envelope);
    }
    group.Run(3_s);
    const std::string winner = group.Core("d2").ServedConfiguration().Text();
    CHECK((winner == "a" || winner == "b"));
    for (const auto& item : group.hosts_) {
      const std::string& name = item.first;
      const RegistryHost& host = item.second;
      CHECK_MESSAGE(host.core_->ServedConfiguration().Text() == winner, name);
    }
  }
}

TEST_CASE(
    "registry: after a restart of all gateways leases and version are back") {
  RegistryGroup group(3, 3, 3);
  group.Run(5_s);
  REQUIRE(group.Change("e1", 3, "three") == OperationState::kAccepted);
  for (const char* name : {"d1", "d2", "d3", "e1", "e2", "e3"}) {
    group.Crash(name);
  }
  for (const char* name : {"e1", "d1", "e2", "d2", "d3", "e3"}) {
    group.Start(name);
  }
  group.Run(kRecovery);
  CHECK(group.AllHaveLeases());
  CHECK(group.Core("e3").ServedConfiguration().Text() == "three");
}

TEST_CASE("registry: all gateways restart with seeds that have no disk") {
  RegistryGroup group(3, 3, 4);
  group.Run(5_s);
  REQUIRE(group.Change("e1", 3, "three") == OperationState::kAccepted);
  group.seeds_ = {NodeId("e1"), NodeId("e2"), NodeId("e3")};
  for (const char* name : {"d1", "d2", "d3", "e1", "e2", "e3"}) {
    group.Crash(name);
  }
  for (const char* name : {"e1", "e2", "e3", "d1", "d2", "d3"}) {
    group.Start(name);
  }
  group.Run(kRecovery);
  CHECK(group.AllHaveLeases());
  CHECK(group.Core("e3").ServedConfiguration().Text() == "three");
  CHECK(group.Core("e1").NodeCount() == 6);
}

TEST_CASE("registry: a member that lost its disk becomes a voter again") {
  RegistryGroup group(3, 1, 5);
  group.Run(5_s);
  REQUIRE(group.Change("d1", 2, "two") == OperationState::kAccepted);
  group.Crash("d2");
  group.Wipe("d2");
  group.Start("d2");
  group.Run(4_s);
  // Without d1 the quorum depends on the repaired member d2.
  group.Crash("d1");
  group.Run(4_s);
  REQUIRE(group.Change("e1", 4, "four") == OperationState::kAccepted);
  CHECK(group.Core("d2").ServedConfiguration().Text() == "four");
}

TEST_CASE("registry: a new gateway with a disk replaces a stopped member") {
  RegistryGroup group(3, 1, 6);
  group.Run(5_s);
  REQUIRE(group.Change("d1", 2, "two") == OperationState::kAccepted);
  group.Crash("d3");
  group.Add("d4", true);
  group.Run(20_s);
  const std::string leader = group.Leader();
  REQUIRE(!leader.empty());
  REQUIRE(leader != "several");
  std::vector<std::string> voters;
  for (const ReplicaMember& member : group.Core(leader).Replica()->Members()) {
    if (member.voter_) {
      voters.push_back(member.node_.Value());
    }
  }
  CHECK(voters == std::vector<std::string>{"d1", "d2", "d4"});
  group.Crash("d1");
  group.Run(5_s);
  CHECK(group.Change("e1", 4, "four") == OperationState::kAccepted);
}

TEST_CASE(
    "registry: an isolated gateway has no lease after the revocation bound") {
  for (uint64_t seed = 10; seed < 20; ++seed) {
    RegistryGroup group(3, 2, seed);
    group.Run(5_s);
    REQUIRE(group.Change("d1", 2, "two") == OperationState::kAccepted);
    group.Run(kInForce);
    const std::string leader = group.Leader();
    group.Isolate("e1", true);
    group.Isolate(leader, true);
    const std::string other = leader == "d1" ? "d2" : "d1";
    for (int i = 0; i < 20; ++i) {
      if (group.Change(other, 3, "three") == OperationState::kAccepted) {
        break;
      }
    }
    const TimePoint acknowledged = group.now_;
    REQUIRE(group.Core(other).ServedConfiguration().Version() == 3);
    while (group.now_ < acknowledged + kRevocation) {
      group.Run(100_ms);
    }
    CHECK_FALSE(group.Core("e1").HasLease(group.now_));
    CHECK_FALSE(group.Core(leader).HasLease(group.now_));
    CHECK(group.Read(leader).state_ == OperationState::kUnknown);
    group.Isolate("e1", false);
    group.Isolate(leader, false);
    group.Run(3_s);
    CHECK(group.AllHaveLeases());
    CHECK(group.Core(leader).ServedConfiguration().Text() == "three");
  }
}

TEST_CASE("registry: a gateway has no lease after its process was suspended") {
  RegistryGroup group(3, 1, 7);
  group.Run(5_s);
  REQUIRE(group.Core("e1").HasLease(group.NowOf(group.Host("e1"))));
  group.Host("e1").clock_offset_ = kRevocation;
  CHECK_FALSE(group.Core("e1").HasLease(group.NowOf(group.Host("e1"))));
}

TEST_CASE(
    "registry: all gateways know within 500 ms that a target is draining") {
  RegistryGroup group(3, 3, 8);
  group.Run(5_s);
  group.Register("e1", MakeTarget("t1", 1000, 1));
  group.Run(500_ms);
  for (const auto& item : group.hosts_) {
    const std::string& name = item.first;
    const RegistryHost& host = item.second;
    const DirectoryEntry* entry = host.core_->Targets().Find(TargetId("t1"));
    REQUIRE_MESSAGE(entry != nullptr, name);
  }
  group.Register("e2", MakeTarget("t1", 1000, 2, RegistrationState::kDraining));
  group.Run(500_ms);
  for (const auto& item : group.hosts_) {
    const RegistryHost& host = item.second;
    const DirectoryEntry* entry = host.core_->Targets().Find(TargetId("t1"));
    CHECK(entry->target_.state_ == RegistrationState::kDraining);
  }
  // A late registration of the same start does not bring back a target that is
  // gone; a registration of a later start does.
  group.Depart("e3", "t1");
  group.Run(500_ms);
  group.Register("d1", MakeTarget("t1", 1000, 3));
  group.Run(1_s);
  CHECK(group.Core("e1").Targets().Find(TargetId("t1"))->target_.state_ ==
        RegistrationState::kGone);
  group.Register("d1", MakeTarget("t1", 2000, 1));
  group.Run(500_ms);
  CHECK(group.Core("e1").Targets().Find(TargetId("t1"))->target_.state_ ==
        RegistrationState::kReady);
}

TEST_CASE("registry: a gateway that has just got its lease gets each change") {
  // A member polls every 400 ms; the gateway starts at any time between two.
  for (Duration phase; phase < 400_ms; phase = phase + 25_ms) {
    RegistryGroup group(1, 0, 12);
    group.Run(3_s + phase);
    group.Add("e1", false);
    while (!group.Core("e1").HasLease(group.now_)) {
      group.Run(1_ms);
    }
    group.Register("d1", MakeTarget("t1", 1000, 1));
    // A change leaves with the next tick, after 50 ms.
    group.Run(100_ms);
    CHECK_MESSAGE(
        group.Core("e1").Targets().Find(TargetId("t1")) != nullptr,
        "started " << phase.Ms() << " ms after " << Duration(3_s).Ms());
  }
}

TEST_CASE("registry: all gateways drop a target without heartbeats") {
  RegistryGroup group(3, 2, 9);
  group.Run(5_s);
  group.Register("e1", MakeTarget("t1", 1000, 1));
  group.Run(15_s);
  for (const auto& item : group.hosts_) {
    const std::string& name = item.first;
    const RegistryHost& host = item.second;
    CHECK_MESSAGE(host.core_->Targets().Find(TargetId("t1")) == nullptr, name);
  }
}

TEST_CASE("registry: heartbeats without a change are sent to the leader only") {
  RegistryGroup group(3, 2, 11);
  group.Run(5_s);
  const auto target = [](int number, uint64_t sequence) {
    TargetRegistration row =
        MakeTarget("t" + std::to_string(number), 1, sequence);
    row.address_ = "10.0.0.1:" + std::to_string(number);
    return row;
  };
  uint64_t sequence = 0;
  const auto run_with_heartbeats = [&](Duration time, int targets) {
    const TimePoint end = group.now_ + time;
    while (group.now_ < end) {
      ++sequence;
      for (int number = 1; number <= targets; ++number) {
        group.Register("e1", target(number, sequence));
      }
      group.Run(1200_ms);
    }
  };
  run_with_heartbeats(3_s, 4);
  const TimePoint last_heartbeat =
      group.Core("e2").Targets().Find(TargetId("t1"))->last_heartbeat_;
  run_with_heartbeats(15_s, 4);
  // A gateway that is not told of heartbeats keeps the targets.
  CHECK(group.Core("e2").Targets().Find(TargetId("t1"))->last_heartbeat_ ==
        last_heartbeat);
  CHECK_FALSE(group.Core("e2").Targets().IsUnreachable(TargetId("t1")));
  // Gateways without the heartbeats learn from the leader that a target is
  // unreachable, and drop it after the drop timeout.
  run_with_heartbeats(5_s, 3);
  CHECK(group.Core("e2").Targets().IsUnreachable(TargetId("t4")));
  CHECK_FALSE(group.Core("e2").Targets().IsUnreachable(TargetId("t1")));
  run_with_heartbeats(8_s, 3);
  CHECK(group.Core("e2").Targets().Find(TargetId("t4")) == nullptr);
  // A new leader drops no target that still sends heartbeats.
  group.Crash(group.Leader());
  run_with_heartbeats(15_s, 3);
  for (const char* name : {"t1", "t2", "t3"}) {
    CHECK(group.Core("e2").Targets().Find(TargetId(name)) != nullptr);
    CHECK_FALSE(group.Core("e2").Targets().IsUnreachable(TargetId(name)));
  }
}

TEST_CASE("registry: all gateways know a target that announced its leaving") {
  RegistryGroup group(3, 2, 12);
  group.Run(5_s);
  group.Register("e1", MakeTarget("t1", 1000, 1));
  group.Run(500_ms);
  Outbox out(Endpoint{NodeId("e2"), Port::kControl});
  group.Core("e2").MarkLeaving(TargetId("t1"), 1000, out);
  CHECK_FALSE(group.Core("e2").Targets().IsReady(TargetId("t1")));
  group.Run(500_ms);
  for (const auto& item : group.hosts_) {
    CHECK_FALSE_MESSAGE(item.second.core_->Targets().IsReady(TargetId("t1")),
                        item.first);
  }
  // It stays draining after later registrations and under a new leader.
  group.Register("d1", MakeTarget("t1", 1000, 2));
  group.Crash(group.Leader());
  group.Register("e1", MakeTarget("t1", 1000, 3));
  group.Run(4_s);
  CHECK_FALSE(group.Core("e1").Targets().IsReady(TargetId("t1")));
}

TEST_CASE(
    "registry: restarted gateways learn the targets from one that kept "
    "running") {
  RegistryGroup group(3, 2, 10);
  group.Run(5_s);
  group.Register("d1", MakeTarget("t1", 1000, 1));
  group.Run(1_s);
  for (const char* name : {"d2", "d3", "e1", "e2"}) {
    group.Crash(name);
    group.Start(name);
  }
  group.Run(5_s);
  for (const auto& item : group.hosts_) {
    const std::string& name = item.first;
    const RegistryHost& host = item.second;
    CHECK_MESSAGE(host.core_->Targets().Find(TargetId("t1")) != nullptr, name);
  }
}

TEST_CASE(
    "registry: no acknowledged change is lost with message loss and failures") {
  for (uint64_t seed = 100; seed < 106; ++seed) {
    RegistryGroup group(3, 3, seed);
    group.link_.faults_.loss_ = 0.03;
    group.link_.faults_.delay_max_ = 40_ms;
    group.Run(6_s);
    uint64_t version = 0;
    uint64_t acknowledged = 0;
    const std::vector<std::string> names{"d1", "d2", "d3", "e1", "e2", "e3"};
    for (uint64_t round = 0; round < 12; ++round) {
      const std::string& victim = names[(seed + round * 5) % names.size()];
      if (round % 3 == 0) {
        group.Crash(victim);
        group.Start(victim);
      } else if (round % 3 == 1) {
        group.Isolate(victim, true);
      }
      version += 2;
      const std::string& at = names[(seed + round) % names.size()];
      if (group.Change(at, version, std::to_string(version)) ==
          OperationState::kAccepted) {
        acknowledged = version;
      }
      group.Run(1_s);
      const OperationResult read =
          group.Read(names[(round + 3) % names.size()]);
      if (read.state_ == OperationState::kConfirmed) {
        CHECK(read.version_ >= acknowledged);
      }
      group.link_.Heal();
    }
    group.Run(kRecovery);
    CHECK(acknowledged > 0);
    for (const auto& item : group.hosts_) {
      const std::string& name = item.first;
      const RegistryHost& host = item.second;
      CHECK_MESSAGE(host.core_->ServedConfiguration().Version() >= acknowledged,
                    name);
      CHECK_MESSAGE(host.core_->HasLease(group.now_), name);
    }
  }
}

}  // namespace
}  // namespace gv
