/** @file agent_claims_test.cc Calls that may not be repeated, as an agent sees
 * them. */
#include "agent_rig.h"

namespace gv {
namespace {

TestifyRequest Ask(uint64_t token) {
  return TestifyRequest{RequestId(1), TeamId("carvers"),
                        IdempotencyKey("deposit"), FencingToken(token)};
}

TEST_CASE("agent: a doubled dispatch runs once") {
  AgentRig rig(TargetKind::kService);
  rig.Serve();
  rig.FromEntry(AgentRig::Deposit(1, 20));
  rig.FromEntry(AgentRig::Deposit(1, 20));
  CHECK(rig.All<TargetCall>().size() == 1);
  CHECK(rig.All<StreamEnd>().empty());
  rig.FromEntry(AgentRig::Deposit(2, 20));
  CHECK(rig.All<TargetCall>().size() == 1);
  CHECK(rig.Last<StreamEnd>().verdict_.run_state_ == RunState::kMayHaveRun);
  rig.Chunk(1, "receipt");
  rig.End(1);
  rig.FromEntry(AgentRig::Deposit(3, 20));
  CHECK(rig.All<TargetCall>().size() == 1);
  CHECK(rig.Last<StreamChunk>().text_ == "receipt");
  CHECK(rig.Last<StreamEnd>().ok_);
}

TEST_CASE(
    "agent: what was refused as not run never runs, also as a late "
    "copy") {
  AgentRig rig;
  rig.Serve();
  rig.view_.has_lease_ = false;
  rig.FromEntry(AgentRig::Work(1));
  CHECK(rig.Last<StreamEnd>().verdict_.reason_ == Reason::kNoLease);
  rig.view_.has_lease_ = true;
  rig.FromEntry(AgentRig::Work(1));
  CHECK(rig.All<TargetCall>().empty());
  rig.FromEntry(AgentRig::Work(1, 2));
  CHECK(rig.All<TargetCall>().size() == 1);
}

TEST_CASE(
    "agent: an older attempt is refused, a copy of one that ran is not "
    "called not run") {
  AgentRig rig;
  rig.Serve();
  rig.FromEntry(AgentRig::Work(1, 2));
  rig.End(1, true, {}, 2);
  rig.Keepalive({});
  rig.Pass(1_s);
  rig.Keepalive({});
  rig.Pass(20_ms);
  REQUIRE(rig.agent_.Streams().All().empty());
  rig.Clear();
  rig.FromEntry(AgentRig::Work(1, 1));
  rig.FromEntry(AgentRig::Work(1, 2));
  CHECK(rig.All<TargetCall>().empty());
  for (const StreamEnd& end : rig.All<StreamEnd>()) {
    CHECK(end.verdict_.reason_ == Reason::kFenced);
    CHECK(end.verdict_.run_state_ == RunState::kMayHaveRun);
  }
}

TEST_CASE("agent: a late copy of a long call ran after the call was refused") {
  for (const bool idempotent : {false, true}) {
    CAPTURE(idempotent);
    AgentRig rig(TargetKind::kService);
    rig.Serve();
    Dispatch call = AgentRig::Deposit(1, 20);
    call.spec_.idempotent_ = idempotent;
    call.time_left_ = 600_s;
    rig.FromEntry(call);
    REQUIRE(rig.All<TargetCall>().size() == 1);
    rig.PassAlive(kAttemptMemory + 10_s, {1});
    rig.End(1, false, NotRun(Reason::kOverloaded, "the target refused"));
    CHECK(rig.Last<StreamEnd>().verdict_.run_state_ == RunState::kNotRun);
    rig.Keepalive({});
    rig.Pass(20_ms);
    REQUIRE(rig.agent_.Streams().All().empty());
    rig.FromEntry(call);
    CHECK(rig.All<TargetCall>().size() == 1);
    CHECK(rig.Last<StreamEnd>().verdict_.run_state_ == RunState::kMayHaveRun);
  }
}

TEST_CASE("agent: a cancel that overtakes its dispatch wins") {
  AgentRig rig;
  rig.Serve();
  rig.FromEntry(Cancel{RequestId(1), AttemptNumber(1)});
  rig.FromEntry(AgentRig::Work(1));
  CHECK(rig.All<TargetCall>().empty());
  CHECK(rig.Last<StreamEnd>().verdict_.run_state_ == RunState::kNotRun);
}

TEST_CASE("agent: a lost answer reaches control when the entry is dead") {
  AgentRig rig(TargetKind::kService);
  rig.Serve();
  rig.FromEntry(AgentRig::Deposit(1, 20));
  rig.Feed("agent-1", Port::kTransport, PeerDown{NodeId("entry-1")});
  rig.Pass(kPeerDownLease + 50_ms);
  CHECK(rig.All<TargetControl>().empty());
  rig.Chunk(1, "receipt");
  rig.End(1);
  rig.Pass(20_ms);
  const auto finish = rig.Last<ClaimFinish>();
  CHECK(finish.token_ == FencingToken(20));
  CHECK(finish.state_ == ClaimState::kFinished);
  CHECK(finish.body_ == "receipt");
  rig.Pass(kClaimResend);
  CHECK(rig.All<ClaimFinish>().size() == 2);
  rig.FromControl(ClaimFinished{RequestId(1)});
  rig.Clear();
  rig.Pass(2_s);
  CHECK(rig.All<ClaimFinish>().empty());
}

TEST_CASE("agent: an answer that the entry died with is reported too") {
  AgentRig rig(TargetKind::kService);
  rig.Serve();
  rig.FromEntry(AgentRig::Deposit(1, 20));
  rig.Chunk(1, "receipt");
  rig.End(1);
  rig.FromEntry(AgentHello{Incarnation(2), 0, 0, 0, 0});
  rig.Pass(20_ms);
  CHECK(rig.Last<ClaimFinish>().body_ == "receipt");
}

TEST_CASE("agent: an answer that the entry took and died with is reported") {
  AgentRig rig(TargetKind::kService);
  rig.Serve();
  rig.FromEntry(AgentRig::Deposit(1, 20));
  rig.Chunk(1, "receipt");
  rig.End(1);
  rig.Pass(kUnlistedGrace);
  rig.Keepalive({});
  rig.Pass(20_ms);
  REQUIRE(rig.agent_.Streams().All().empty());
  CHECK(rig.All<ClaimFinish>().empty());
  rig.Feed("agent-1", Port::kTransport, PeerDown{NodeId("entry-1")});
  rig.Pass(kPeerDownLease + 50_ms);
  REQUIRE_FALSE(rig.All<ClaimFinish>().empty());
  CHECK(rig.Last<ClaimFinish>().body_ == "receipt");
}

TEST_CASE("agent: testimony says what is known and fences what it denies") {
  AgentRig rig(TargetKind::kService);
  rig.Serve();
  rig.FromEntry(AgentRig::Deposit(1, 20));
  rig.FromEntry(Ask(20), "entry-2");
  CHECK(rig.Last<TestifyReply>().run_state_ == RunState::kMayHaveRun);
  CHECK(rig.Last<TestifyReply>().running_);
  rig.Chunk(1, "receipt");
  rig.End(1);
  rig.FromEntry(Ask(20), "entry-2");
  CHECK(rig.Last<TestifyReply>().run_state_ == RunState::kRan);
  CHECK(rig.Last<TestifyReply>().body_ == "receipt");

  rig.FromEntry(Ask(30), "entry-2");
  CHECK(rig.Last<TestifyReply>().run_state_ == RunState::kNotRun);
  rig.Clear();
  rig.FromEntry(AgentRig::Deposit(5, 30));
  CHECK(rig.All<TargetCall>().empty());
  CHECK(rig.Last<StreamEnd>().verdict_.run_state_ == RunState::kNotRun);
}

TEST_CASE(
    "agent: testimony about claims older than the agent is never not "
    "run") {
  AgentRig rig(TargetKind::kService);
  rig.FromEntry(Ask(30));
  CHECK(rig.Last<TestifyReply>().run_state_ == RunState::kMayHaveRun);
  rig.Serve(40);
  rig.FromEntry(Ask(30));
  CHECK(rig.Last<TestifyReply>().run_state_ == RunState::kMayHaveRun);
  rig.FromEntry(Ask(41));
  CHECK(rig.Last<TestifyReply>().run_state_ == RunState::kNotRun);
}

TEST_CASE(
    "agent: an agent without a lease denied a call that a newer owner may "
    "have run") {
  AgentRig rig(TargetKind::kService);
  rig.Serve(40);
  rig.view_.has_lease_ = false;
  rig.FromEntry(Ask(41));
  CHECK(rig.Last<TestifyReply>().run_state_ == RunState::kMayHaveRun);
  rig.view_.has_lease_ = true;
  rig.FromEntry(Ask(41));
  CHECK(rig.Last<TestifyReply>().run_state_ == RunState::kNotRun);
}

TEST_CASE(
    "agent: after a takeover only a token from after the wait allows to "
    "testify not run") {
  AgentRig rig(TargetKind::kService);
  rig.Admit(40, 3_s);
  rig.Pass(2_s);
  rig.FromEntry(Ask(50));
  CHECK(rig.Last<TestifyReply>().run_state_ == RunState::kMayHaveRun);
  CHECK_FALSE(rig.Last<TargetAnnounce>().wants_new_token_);
  rig.Pass(2_s);
  CHECK(rig.Last<TargetAnnounce>().wants_new_token_);
  rig.Admit(60);
  rig.FromEntry(Ask(51));
  CHECK(rig.Last<TestifyReply>().run_state_ == RunState::kMayHaveRun);
  rig.FromEntry(Ask(61));
  CHECK(rig.Last<TestifyReply>().run_state_ == RunState::kNotRun);
}

TEST_CASE(
    "agent: a call that the target refused may be tried again under its "
    "claim") {
  AgentRig rig(TargetKind::kService);
  rig.Serve();
  rig.FromEntry(AgentRig::Deposit(1, 20));
  rig.End(1, false, NotRun(Reason::kConnectionLost, "refused"));
  rig.FromEntry(AgentRig::Deposit(1, 20, 2));
  CHECK(rig.All<TargetCall>().size() == 2);
}

}  // namespace
}  // namespace gv
