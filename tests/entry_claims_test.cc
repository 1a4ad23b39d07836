/** @file entry_claims_test.cc Work that must run at most once, through lost
 * answers, resends and two entries at once. */
#include <doctest/doctest.h>

#include "coordination/claim_table.h"
#include "support/entry_rig.h"

namespace gv {
namespace {

constexpr int64_t kClusterMs = 1'000;

/** Plays control with the real claim table. */
class ClaimControl {
 public:
  /** Answers all claim messages that a rig sent, and clears them. */
  void Serve(EntryRig& rig) {
    const auto begins = rig.Sent<ClaimBegin>();
    const auto finishes = rig.Sent<ClaimFinish>();
    for (const ClaimBegin& begin : begins) {
      rig.FromControl(table_.Begin(kClusterMs, begin, FencingToken(++token_)));
    }
    for (const ClaimFinish& finish : finishes) {
      table_.Finish(kClusterMs, finish);
      rig.FromControl(ClaimFinished{finish.request_});
    }
  }

  ClaimTable table_;    ///< The real table.
  uint64_t token_ = 0;  ///< Grows with each command.
};

void AnswerOk(EntryRig& rig, const TargetInfo& shop, const Dispatch& dispatch) {
  rig.FromAgent(shop, StreamChunk{dispatch.spec_.request_, dispatch.attempt_, 0,
                                  "paid", 0});
  StreamEnd end;
  end.request_ = dispatch.spec_.request_;
  end.attempt_ = dispatch.attempt_;
  end.sequence_ = 1;
  end.ok_ = true;
  end.http_status_ = 201;
  rig.FromAgent(shop, end);
}

TEST_CASE("claims: the claim stands before the call and the answer after it") {
  EntryRig rig;
  ClaimControl control;
  const TargetInfo shop = rig.AddTarget("shop-1", TargetKind::kService);
  rig.AskOnce(RequestId(1), "deposit-9");
  CHECK(rig.Sent<Dispatch>().empty());
  control.Serve(rig);
  REQUIRE(rig.Sent<Dispatch>().size() == 1);
  const Dispatch dispatch = rig.Sent<Dispatch>()[0];
  CHECK_FALSE(dispatch.claim_token_.IsNone());
  rig.Clear();
  AnswerOk(rig, shop, dispatch);
  CHECK(rig.Sent<CallerEnd>().empty());
  control.Serve(rig);
  REQUIRE(rig.Sent<CallerEnd>().size() == 1);
  CHECK(rig.Sent<CallerEnd>()[0].ok_);
  CHECK(rig.Sent<CallerEnd>()[0].http_status_ == 201);
  CHECK_FALSE(rig.Sent<CallerEnd>()[0].replayed_);
}

TEST_CASE("claims: a resend at another entry reads the recorded answer") {
  EntryRig first(1, NodeId("entry-1"));
  EntryRig second(2, NodeId("entry-2"));
  ClaimControl control;
  const TargetInfo shop = first.AddTarget("shop-1", TargetKind::kService);
  second.AddTarget("shop-1", TargetKind::kService);
  first.AskOnce(RequestId(1), "deposit-9");
  control.Serve(first);
  const Dispatch dispatch = first.Sent<Dispatch>().at(0);
  first.Clear();
  AnswerOk(first, shop, dispatch);
  control.Serve(first);
  second.AskOnce(RequestId(2), "deposit-9");
  control.Serve(second);
  REQUIRE(second.Sent<CallerEnd>().size() == 1);
  CHECK(second.Sent<CallerEnd>()[0].ok_);
  CHECK(second.Sent<CallerEnd>()[0].replayed_);
  CHECK(second.Sent<CallerChunk>().at(0).text_ == "paid");
  CHECK(second.Sent<Dispatch>().empty());
}

TEST_CASE("claims: the same key at two entries at once runs once") {
  EntryRig first(1, NodeId("entry-1"));
  EntryRig second(2, NodeId("entry-2"));
  ClaimControl control;
  first.AddTarget("shop-1", TargetKind::kService);
  const TargetInfo shop = second.AddTarget("shop-1", TargetKind::kService);
  first.AskOnce(RequestId(1), "deposit-9");
  second.AskOnce(RequestId(2), "deposit-9");
  control.Serve(second);
  control.Serve(first);
  CHECK(first.Sent<Dispatch>().size() + second.Sent<Dispatch>().size() == 1);
  // The entry that lost asks the agent, which says that the call is running.
  first.Clear();
  first.Run(Duration(400));
  REQUIRE_FALSE(first.Sent<TestifyRequest>().empty());
  TestifyReply reply;
  reply.claim_token_ = first.Sent<TestifyRequest>()[0].claim_token_;
  reply.request_ = first.Sent<TestifyRequest>()[0].request_;
  reply.running_ = true;
  first.FromAgent(shop, reply);
  CHECK(first.Sent<CallerEnd>().empty());
  reply.finished_ = true;
  reply.run_state_ = RunState::kRan;
  reply.http_status_ = 201;
  reply.body_ = "paid";
  first.FromAgent(shop, reply);
  control.Serve(first);
  REQUIRE(first.Sent<CallerEnd>().size() == 1);
  CHECK(first.Sent<CallerEnd>()[0].ok_);
  CHECK(first.Sent<CallerEnd>()[0].replayed_);
}

TEST_CASE("claims: a lost answer is asked for and never repeated") {
  EntryRig rig;
  ClaimControl control;
  const TargetInfo shop = rig.AddTarget("shop-1", TargetKind::kService);
  rig.AddTarget("shop-2", TargetKind::kService);
  rig.AskOnce(RequestId(1), "deposit-9");
  control.Serve(rig);
  const Dispatch dispatch = rig.Sent<Dispatch>().at(0);
  const NodeId agent("agent-" + dispatch.target_.Value());
  rig.Clear();
  rig.From(agent, Port::kTransport, PeerDown{agent});
  CHECK(rig.Sent<Dispatch>().empty());
  REQUIRE(rig.Sent<TestifyRequest>().size() == 1);
  CHECK(rig.Sent<TestifyRequest>()[0].claim_token_ == dispatch.claim_token_);

  SUBCASE("the agent knows the answer") {
    TestifyReply reply;
    reply.claim_token_ = dispatch.claim_token_;
    reply.finished_ = true;
    reply.run_state_ = RunState::kRan;
    reply.http_status_ = 201;
    reply.body_ = "paid";
    rig.From(agent, Port::kAgent, reply);
    control.Serve(rig);
    REQUIRE(rig.Sent<CallerEnd>().size() == 1);
    CHECK(rig.Sent<CallerEnd>()[0].ok_);
  }
  SUBCASE("the agent fenced the call") {
    TestifyReply reply;
    reply.claim_token_ = dispatch.claim_token_;
    reply.run_state_ = RunState::kNotRun;
    rig.From(agent, Port::kAgent, reply);
    control.Serve(rig);
    REQUIRE(rig.Sent<CallerEnd>().size() == 1);
    CHECK(rig.Sent<CallerEnd>()[0].verdict_.run_state_ == RunState::kNotRun);
  }
  SUBCASE("nobody answers") {
    rig.Run(Duration(5'000));
    REQUIRE(rig.Sent<CallerEnd>().size() == 1);
    CHECK(rig.Sent<CallerEnd>()[0].verdict_.run_state_ ==
          RunState::kMayHaveRun);
  }
  SUBCASE("the target is removed") {
    rig.Update(shop, true);
    TargetInfo other = rig.targets_.empty() ? shop : rig.targets_[0];
    rig.Update(other, true);
    rig.Run(Duration(300));
    REQUIRE(rig.Sent<CallerEnd>().size() == 1);
    CHECK(rig.Sent<CallerEnd>()[0].verdict_.run_state_ ==
          RunState::kMayHaveRun);
  }
  CHECK(rig.Sent<Dispatch>().empty());
}

TEST_CASE("claims: another body under the same key is refused") {
  EntryRig rig;
  rig.AddTarget("shop-1", TargetKind::kService);
  rig.AskOnce(RequestId(1), "deposit-9");
  ClaimReply reply;
  reply.request_ = RequestId(1);
  reply.verdict_ = NotRun(Reason::kConflict, "another call used this key");
  rig.FromControl(reply);
  REQUIRE(rig.Sent<CallerEnd>().size() == 1);
  CHECK(rig.Sent<CallerEnd>()[0].verdict_.reason_ == Reason::kConflict);
  CHECK(rig.Sent<Dispatch>().empty());
}

TEST_CASE("claims: another body under a used key was answered as if it ran") {
  for (const bool finished : {true, false}) {
    CAPTURE(finished);
    EntryRig rig;
    ClaimControl control;
    const TargetInfo shop = rig.AddTarget("shop-1", TargetKind::kService);
    ClaimBegin other;
    other.request_ = RequestId(9);
    other.team_ = TeamId("carvers");
    other.key_ = IdempotencyKey("deposit-9");
    other.target_ = shop.target_;
    (void)control.table_.Begin(kClusterMs, other, FencingToken(1));
    if (finished) {
      control.table_.Finish(
          kClusterMs,
          ClaimFinish{other.request_, other.team_, other.key_, FencingToken(1),
                      ClaimState::kFinished, 201, "paid"});
    }
    rig.AskOnce(RequestId(1), "deposit-9");
    REQUIRE(rig.Sent<ClaimBegin>().size() == 1);
    REQUIRE(rig.Sent<ClaimBegin>()[0].team_ == other.team_);
    control.Serve(rig);
    REQUIRE(rig.Sent<CallerEnd>().size() == 1);
    const CallerEnd end = rig.Sent<CallerEnd>()[0];
    CHECK_FALSE(end.ok_);
    CHECK(end.verdict_.reason_ == Reason::kConflict);
    CHECK(end.verdict_.run_state_ == RunState::kNotRun);
    CHECK(rig.Sent<Dispatch>().empty());
  }
}

TEST_CASE(
    "claims: an answer that cannot be recorded in time says that it ran") {
  EntryRig rig;
  ClaimControl control;
  const TargetInfo shop = rig.AddTarget("shop-1", TargetKind::kService);
  rig.AskOnce(RequestId(1), "deposit-9", Duration(2'000));
  control.Serve(rig);
  const Dispatch dispatch = rig.Sent<Dispatch>().at(0);
  AnswerOk(rig, shop, dispatch);
  rig.Run(Duration(2'000));
  REQUIRE(rig.Sent<CallerEnd>().size() == 1);
  CHECK_FALSE(rig.Sent<CallerEnd>()[0].ok_);
  CHECK(rig.Sent<CallerEnd>()[0].verdict_.run_state_ == RunState::kRan);
}

}  // namespace
}  // namespace gv
