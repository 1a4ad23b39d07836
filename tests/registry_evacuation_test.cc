/** @file registry_evacuation_test.cc Tests of orders to evacuate a data centre,
 * with failures of gateways, disks and links. */
#include <doctest/doctest.h>

#include <random>

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

/** @return True if a gateway would send requests to the data centre. */
bool MaySend(const RegistryGroup& group, const RegistryHost& host,
             const std::string& data_centre) {
  return host.core_ && host.core_->HasLease(group.NowOf(host)) &&
         !host.core_->Evacuations().Contains(DataCentreId(data_centre));
}

/** @return The gateways that would send requests to the data centre. */
std::string Senders(const RegistryGroup& group,
                    const std::string& data_centre) {
  std::string names;
  for (const auto& [name, host] : group.hosts_) {
    names += MaySend(group, host, data_centre) ? name + " " : "";
  }
  return names;
}

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

/** What an operator was told last. */
struct Acknowledged {
  bool evacuated_ = false;  ///< The last acknowledged order.
  TimePoint at_;            ///< When it was acknowledged.
  bool certain_ = true;     ///< No other order was given since.
};

/** Orders at random gateways while gateways are killed and cut off. */
class RandomOrders {
 public:
  explicit RandomOrders(uint64_t seed) : group_(3, 2, seed), random_(seed) {
    group_.link_.faults_ = LinkFaults{0.01, 0.05, 3_ms, 30_ms};
  }

  void Run() {
    RunChecked(5_s);
    for (int step = 0; step < 12; ++step) {
      Disturb();
      Order(Pick(2) == 0 ? kWest : "east", Pick(2) == 0);
      RunChecked(Duration(static_cast<int64_t>(Pick(3000))));
    }
    Mend();
    RunChecked(kRecovery);
    CHECK(group_.AllHaveLeases());
    for (const auto& [data_centre, told] : told_) {
      for (const auto& [name, host] : group_.hosts_) {
        const bool evacuated =
            host.core_->Evacuations().Contains(DataCentreId(data_centre));
        CHECK((!told.certain_ || evacuated == told.evacuated_));
        CHECK(host.core_->Evacuations().Revision() ==
              group_.Core("d1").Evacuations().Revision());
      }
    }
    CHECK(acknowledged_ >= 6);
  }

 private:
  uint64_t Pick(uint64_t count) { return random_() % count; }

  std::string PickHost() {
    auto host = group_.hosts_.begin();
    std::advance(host, Pick(group_.hosts_.size()));
    return host->first;
  }

  /** Restores the last victim, and kills, wipes or cuts off another gateway.
   * At most one is away at a time. */
  void Disturb() {
    Mend();
    RunChecked(Duration(static_cast<int64_t>(Pick(2500))));
    victim_ = PickHost();
    const uint64_t way = Pick(4);
    if (way == 0) {
      group_.Isolate(victim_, true);
    } else if (way < 3) {
      group_.Crash(victim_);
    }
    if (way == 2) {
      group_.Start(victim_);
    }
  }

  void Mend() {
    if (!victim_.empty()) {
      group_.Isolate(victim_, false);
      if (!group_.Host(victim_).core_) {
        group_.Start(victim_);
      }
    }
    victim_.clear();
  }

  void Order(const std::string& data_centre, bool withdrawn) {
    Acknowledged& told = told_[data_centre];
    told.certain_ = false;
    for (int i = 0; i < 8; ++i) {
      const std::string at = PickHost();
      if (group_.Host(at).core_ &&
          group_.Evacuate(at, data_centre, withdrawn) ==
              OperationState::kAccepted) {
        told = Acknowledged{!withdrawn, group_.now_, true};
        ++acknowledged_;
        return;
      }
    }
  }

  void RunChecked(Duration duration) {
    const TimePoint end = group_.now_ + duration;
    while (group_.now_ < end) {
      group_.Run(10_ms);
      for (const auto& [data_centre, told] : told_) {
        if (told.certain_ && told.evacuated_ &&
            group_.now_ - told.at_ >= kBound) {
          REQUIRE(Senders(group_, data_centre) == "");
        }
      }
    }
  }

  RegistryGroup group_;
  std::mt19937_64 random_;
  std::map<std::string, Acknowledged> told_;  ///< By data centre.
  std::string victim_;                        ///< Killed or cut off; or none.
  int acknowledged_ = 0;                      ///< Orders.
};

TEST_CASE("evacuation: acknowledged orders hold under random failures") {
  for (uint64_t seed = 1; seed <= 30; ++seed) {
    CAPTURE(seed);
    RandomOrders(seed).Run();
  }
}

}  // namespace
}  // namespace gv
