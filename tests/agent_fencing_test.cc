/** @file agent_fencing_test.cc Who may pass work to a target, and what a target
 * holds after a crash. */
#include "agent_rig.h"

namespace gv {
namespace {

TEST_CASE("agent: without a token nothing passes") {
  AgentRig rig;
  rig.Pass(1_s);
  rig.FromEntry(AgentRig::Work(1));
  CHECK(rig.All<TargetCall>().empty());
  const auto end = rig.Last<StreamEnd>();
  CHECK_FALSE(end.ok_);
  CHECK(end.verdict_.run_state_ == RunState::kNotRun);
}

TEST_CASE(
    "agent: a restarted agent frees what the engine holds before it "
    "serves") {
  AgentRig rig;
  rig.held_ = {{"77.1", 4'000}, {"group.3", 5'000}};
  rig.Admit(10);
  rig.Pass(300_ms);
  const auto released = rig.All<TargetRelease>();
  REQUIRE(released.size() >= 2);
  CHECK(released[0].name_ == "77.1");
  CHECK(released[1].name_ == "group.3");
  CHECK(released[0].token_ == FencingToken(10));
  rig.FromEntry(AgentRig::Work(1));
  CHECK(rig.All<TargetCall>().empty());
  rig.held_.clear();
  rig.Pass(100_ms);
  rig.FromEntry(AgentRig::Work(1, 2));
  REQUIRE(rig.All<TargetCall>().size() == 1);
  CHECK(rig.Last<TargetCall>().token_ == FencingToken(10));
}

TEST_CASE(
    "agent: beside a target that ignores tokens an earlier owner's time "
    "is waited out") {
  for (const bool checks : {false, true}) {
    AgentRig rig(TargetKind::kEngine, checks);
    rig.held_ = {{"77.1", 4'000}};
    rig.Admit(10, 5_s);
    rig.Pass(4'900_ms);
    CHECK(rig.All<TargetRelease>().empty() == !checks);
    rig.held_.clear();
    CHECK((rig.agent_.Fence().State() == Ownership::kWaiting) == !checks);
    rig.Pass(500_ms);
    CHECK(rig.agent_.Fence().State() == Ownership::kOwner);
  }
}

TEST_CASE("agent: a newer owner fences the older for good") {
  AgentRig rig;
  rig.Serve();
  rig.FromEntry(AgentRig::Work(1));
  rig.Admit(12, Duration(), 6);
  CHECK(rig.Last<StreamEnd>().verdict_.reason_ == Reason::kFenced);
  CHECK(rig.Last<StreamEnd>().verdict_.run_state_ == RunState::kMayHaveRun);
  rig.Clear();
  rig.Admit(11);
  rig.held_ = {{"99.1", 10}};
  rig.Pass(1_s);
  rig.FromEntry(AgentRig::Work(2));
  CHECK(rig.All<TargetCall>().empty());
  CHECK(rig.All<TargetRelease>().empty());
  CHECK(rig.All<TargetControl>().empty());
  CHECK(rig.Last<StreamEnd>().verdict_.run_state_ == RunState::kNotRun);
  CHECK(rig.Last<TargetAnnounce>().info_.state_ == TargetState::kJoining);
}

TEST_CASE("agent: nobody knows whether an older incarnation ran the work") {
  AgentRig rig;
  rig.Serve();
  Dispatch old = AgentRig::Work(1);
  old.target_incarnation_ = Incarnation(4);
  rig.FromEntry(old);
  CHECK(rig.All<TargetCall>().empty());
  CHECK(rig.Last<StreamEnd>().verdict_.reason_ == Reason::kFenced);
  // It may be a resend of what the incarnation before began.
  CHECK(rig.Last<StreamEnd>().verdict_.run_state_ == RunState::kMayHaveRun);
}

TEST_CASE(
    "agent: work for the node's earlier target was said not to have run") {
  AgentRig rig;
  rig.Serve();
  Dispatch old = AgentRig::Work(1);
  old.target_ = TargetId("engine-0");
  old.target_incarnation_ = Incarnation(4);
  rig.FromEntry(old);
  CHECK(rig.All<TargetCall>().empty());
  CHECK(rig.Last<StreamEnd>().verdict_.run_state_ == RunState::kMayHaveRun);
}

TEST_CASE("agent: the engine dies or restarts and comes back by itself") {
  for (const bool restarts : {false, true}) {
    AgentRig rig;
    rig.Serve();
    rig.FromEntry(AgentRig::Work(1));
    rig.FromEntry(AgentRig::Deposit(2, 20));
    if (restarts) {
      rig.target_start_ = 2;
      rig.Pass(300_ms);
    } else {
      rig.healthy_ = false;
      rig.PassAlive(kTargetSilence + 200_ms, {1, 2});
    }
    const auto ends = rig.All<StreamEnd>();
    REQUIRE_FALSE(ends.empty());
    CHECK(ends[0].request_ == RequestId(1));
    CHECK(ends[0].verdict_.reason_ == Reason::kTargetFailed);
    for (const StreamEnd& end : ends) {
      CHECK(end.request_ != RequestId(2));
    }
    if (!restarts) {
      CHECK(rig.Last<TargetAnnounce>().info_.state_ == TargetState::kJoining);
      CHECK(rig.Last<CreditGrant>().streams_ == 0);
      rig.healthy_ = true;
      rig.PassAlive(500_ms, {2});
      CHECK(rig.Last<TargetAnnounce>().info_.state_ == TargetState::kServing);
    }
    rig.End(2, false, MayHaveRun(Reason::kConnectionLost, "gone"));
    CHECK(rig.Last<StreamEnd>().verdict_.run_state_ == RunState::kMayHaveRun);
    rig.FromEntry(AgentRig::Work(3));
    CHECK(rig.Last<TargetCall>().dispatch_.spec_.request_ == RequestId(3));
  }
}

TEST_CASE("agent: memory without an owner is freed within one probe") {
  AgentRig rig;
  rig.Serve();
  rig.FromEntry(AgentRig::Work(1));
  rig.held_ = {{"1.1", 1'000}, {"8.1", 2'000}, {"group.4", 3'000}};
  rig.Clear();
  rig.Pass(kProbePeriod + 10_ms);
  std::set<std::string> names;
  for (const TargetRelease& release : rig.All<TargetRelease>()) {
    names.insert(release.name_);
  }
  CHECK(names == std::set<std::string>{"8.1", "group.4"});
}

TEST_CASE("agent: a group's memory lives by its lease") {
  AgentRig rig;
  rig.Serve();
  GroupHold hold{RequestId(1), LeaseId(9), 8'000, 2_s, false};
  rig.FromControl(hold);
  CHECK(rig.Last<TargetReserve>().name_ == "group.9");
  rig.FromTarget(TargetReserved{"group.9", true});
  CHECK(rig.Last<GroupHeld>().held_);
  rig.held_ = {{"group.9", 8'000}};

  GroupHold second{RequestId(2), LeaseId(10), 8'000, 2_s, false};
  rig.FromControl(second);
  CHECK_FALSE(rig.Last<GroupHeld>().held_);
  rig.FromEntry(AgentRig::Work(3, 1, 3'000));
  CHECK(rig.Last<StreamEnd>().verdict_.reason_ == Reason::kOverloaded);

  rig.Pass(1'500_ms);
  rig.FromControl(hold);
  rig.Pass(1'500_ms);
  CHECK(rig.All<TargetRelease>().empty());
  rig.Pass(600_ms);
  REQUIRE_FALSE(rig.All<TargetRelease>().empty());
  CHECK(rig.Last<TargetRelease>().name_ == "group.9");
  rig.held_.clear();
  rig.FromControl(second);
  CHECK(rig.Last<TargetReserve>().name_ == "group.10");
  second.release_ = true;
  rig.FromControl(second);
  CHECK(rig.Last<TargetRelease>().name_ == "group.10");
  rig.FromTarget(TargetReserved{"group.10", true});
  CHECK(rig.All<TargetRelease>().size() >= 3);
}

TEST_CASE("agent: work in a group needs the group's lease") {
  AgentRig rig;
  rig.Serve();
  Dispatch work = AgentRig::Work(1, 1, 9'000'000);
  work.group_lease_ = LeaseId(9);
  rig.FromEntry(work);
  CHECK(rig.Last<StreamEnd>().verdict_.run_state_ == RunState::kNotRun);
  rig.FromControl(GroupHold{RequestId(1), LeaseId(9), 8'000, 2_s, false});
  rig.FromTarget(TargetReserved{"group.9", true});
  work.attempt_ = AttemptNumber(2);
  rig.FromEntry(work);
  CHECK(rig.All<TargetCall>().size() == 1);
}

}  // namespace
}  // namespace gv
