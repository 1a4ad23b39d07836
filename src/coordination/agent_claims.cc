/** @file agent_claims.cc At-most-once claims as an agent sees them. */
#include "coordination/agent_claims.h"

#include <algorithm>
#include <utility>

namespace gv {
namespace {

/** @return True if control must hear of the result. A call that did not run is
 * left to its entry, which may have passed the claim to another target. */
bool IsReported(const AgentClaim& claim) {
  return claim.progress_ == ClaimProgress::kFinished ||
         claim.progress_ == ClaimProgress::kTooLarge ||
         claim.progress_ == ClaimProgress::kUnknown;
}

ClaimFinish FinishOf(const AgentClaim& claim) {
  const ClaimState state = claim.progress_ == ClaimProgress::kFinished
                               ? ClaimState::kFinished
                               : ClaimState::kUnknown;
  return ClaimFinish{claim.request_, claim.team_, claim.key_,
                     claim.token_,   state,       claim.http_status_,
                     claim.body_};
}

}  // namespace

Result<void> AgentClaims::Start(TimePoint now, const NodeId& entry,
                                const Dispatch& dispatch) {
  const FencingToken token = dispatch.claim_token_;
  if (token.IsNone() || dispatch.spec_.key_.IsNone()) {
    return NotRun(Reason::kBadRequest, "a non-idempotent call needs a claim");
  }
  const auto it = claims_.find(token);
  if (it == claims_.end() && token <= forgotten_) {
    return MayHaveRun(Reason::kFenced, "the claim is too old to be known");
  }
  if (it != claims_.end() && it->second.progress_ == ClaimProgress::kFenced) {
    return NotRun(Reason::kFenced, "the claim was given up");
  }
  if (it != claims_.end() && it->second.progress_ != ClaimProgress::kNotRun) {
    return MayHaveRun(Reason::kConflict, "the claim was used before");
  }
  AgentClaim& claim = claims_[token];
  claim.token_ = token;
  claim.request_ = dispatch.spec_.request_;
  claim.team_ = dispatch.spec_.team_;
  claim.key_ = dispatch.spec_.key_;
  claim.progress_ = ClaimProgress::kRunning;
  claim.entry_ = entry;
  claim.changed_at_ = now;
  return boost::outcome_v2::success();
}

const AgentClaim* AgentClaims::Find(FencingToken token) const {
  const auto it = claims_.find(token);
  return it == claims_.end() ? nullptr : &it->second;
}

void AgentClaims::Finish(TimePoint now, FencingToken token,
                         ClaimProgress progress, uint32_t http_status,
                         const std::string& body) {
  const auto it = claims_.find(token);
  if (it == claims_.end() || it->second.progress_ != ClaimProgress::kRunning) {
    return;
  }
  AgentClaim& claim = it->second;
  claim.progress_ = progress;
  claim.changed_at_ = now;
  if (progress != ClaimProgress::kFinished) {
    return;
  }
  if (body.size() > kMaxRecordedBody) {
    claim.progress_ = ClaimProgress::kTooLarge;
    return;
  }
  claim.http_status_ = http_status;
  claim.body_ = body;
  bytes_ += body.size();
}

void AgentClaims::Report(FencingToken token) {
  const auto it = claims_.find(token);
  if (it != claims_.end() && IsReported(it->second)) {
    reports_.insert(token);
  }
}

void AgentClaims::ReportAllOf(const NodeId& entry) {
  for (const auto& [token, claim] : claims_) {
    if (claim.entry_ == entry && IsReported(claim)) {
      reports_.insert(token);
    }
  }
}

void AgentClaims::OnFinished(RequestId request) {
  for (auto it = reports_.begin(); it != reports_.end();) {
    AgentClaim& claim = claims_[*it];
    const bool done = claim.request_ == request;
    if (done) {
      claim.entry_ = NodeId();
    }
    it = done ? reports_.erase(it) : std::next(it);
  }
}

TestifyReply AgentClaims::TestifyUnmet(TimePoint now,
                                       const TestifyRequest& request,
                                       FencingToken exclusive_since) {
  const FencingToken token = request.claim_token_;
  TestifyReply reply;
  reply.request_ = request.request_;
  reply.claim_token_ = token;
  const bool sure = !exclusive_since.IsNone() && token > exclusive_since &&
                    token > forgotten_;
  if (sure) {
    AgentClaim& claim = claims_[token];
    claim.token_ = token;
    claim.request_ = request.request_;
    claim.changed_at_ = now;
    reply.run_state_ = RunState::kNotRun;
  }
  return reply;
}

TestifyReply AgentClaims::Testify(TimePoint now, const TestifyRequest& request,
                                  FencingToken exclusive_since) {
  const auto it = claims_.find(request.claim_token_);
  if (it == claims_.end()) {
    return TestifyUnmet(now, request, exclusive_since);
  }
  AgentClaim& claim = it->second;
  TestifyReply reply;
  reply.request_ = request.request_;
  reply.claim_token_ = request.claim_token_;
  switch (claim.progress_) {
    case ClaimProgress::kFinished:
      reply.run_state_ = RunState::kRan;
      reply.finished_ = true;
      reply.http_status_ = claim.http_status_;
      reply.body_ = claim.body_;
      break;
    case ClaimProgress::kTooLarge:
      reply.run_state_ = RunState::kRan;
      break;
    case ClaimProgress::kNotRun:
    case ClaimProgress::kFenced:
      claim.progress_ = ClaimProgress::kFenced;
      reply.run_state_ = RunState::kNotRun;
      break;
    case ClaimProgress::kRunning:
      reply.running_ = true;
      break;
    case ClaimProgress::kUnknown:
      break;
  }
  return reply;
}

void AgentClaims::OnTick(TimePoint now, const NodeId& leader, Outbox& out) {
  for (const FencingToken token : reports_) {
    AgentClaim& claim = claims_[token];
    if (leader.IsNone() || now - claim.reported_at_ < kClaimResend) {
      continue;
    }
    claim.reported_at_ = now;
    out.Send(Endpoint{leader, Port::kControl}, FinishOf(claim));
  }
  Forget(now);
}

void AgentClaims::Forget(TimePoint now) {
  while (!claims_.empty()) {
    const AgentClaim& oldest = claims_.begin()->second;
    const bool full = claims_.size() > kMaxClaims || bytes_ > kMaxClaimBytes;
    const bool old = now - oldest.changed_at_ > kClaimMemory;
    const bool busy = oldest.progress_ == ClaimProgress::kRunning ||
                      reports_.contains(oldest.token_);
    if (busy || (!full && !old)) {
      return;
    }
    forgotten_ = std::max(forgotten_, oldest.token_);
    bytes_ -= oldest.body_.size();
    claims_.erase(claims_.begin());
  }
}

}  // namespace gv
