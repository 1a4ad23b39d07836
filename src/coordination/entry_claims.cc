/** @file entry_claims.cc At-most-once work: claims and testimony. */
#include <xxhash.h>

#include <string>
#include <utility>

#include "coordination/entry_desk.h"

namespace gv {
namespace {

constexpr Duration kClaimResend(200);     ///< Of a step without an answer.
constexpr Duration kPatience(3'000);      ///< For an agent that cannot tell.
constexpr Duration kOtherFirstWait(300);  ///< Before the owner is doubted.

/** @return Hash of a call; another call under the same key is refused. */
uint64_t DigestOf(const RequestSpec& spec) {
  const std::string whole =
      spec.model_.Value() + '\n' + spec.path_ + '\n' + spec.body_;
  return XXH3_64bits(whole.data(), whole.size());
}

}  // namespace

void EntryDesk::SendClaimBegin(TimePoint now, RequestRecord& record,
                               Outbox& out) {
  record.phase_ = RequestPhase::kClaiming;
  record.sent_at_ = now;
  ClaimBegin begin;
  begin.request_ = record.spec_.request_;
  begin.team_ = record.spec_.team_;
  begin.key_ = record.spec_.key_;
  begin.digest_ = DigestOf(record.spec_);
  begin.owner_ = settings_.self_;
  begin.target_ = record.dispatch_.target_;
  if (!control_.leader_.IsNone()) {
    out.Send({control_.leader_, Port::kControl}, begin);
  }
}

void EntryDesk::OnClaimReply(TimePoint now, const ClaimReply& reply,
                             Outbox& out) {
  RequestRecord* record = FindRequest(reply.request_);
  if (record == nullptr) {
    return;
  }
  const bool waits_for_other =
      record->phase_ == RequestPhase::kAwaitingOther ||
      (record->phase_ == RequestPhase::kTestifying && !record->may_have_run_);
  if (record->phase_ != RequestPhase::kClaiming && !waits_for_other) {
    return;
  }
  if (!reply.granted_) {
    OnClaimTaken(now, *record, reply, out);
    return;
  }
  if (reply.token_ <= record->released_token_) {
    return;
  }
  out.Record(Event{EventId::kClaimGranted,
                   {},
                   {},
                   record->spec_.request_,
                   record->spec_.team_,
                   record->dispatch_.target_,
                   {},
                   ""});
  record->claim_token_ = reply.token_;
  const TargetSlot slot = view_.Find(record->dispatch_.target_);
  const bool usable = !slot.IsNone() && view_.IsOpen(now, view_.At(slot)) &&
                      view_.At(slot).info_.incarnation_ ==
                          record->dispatch_.target_incarnation_;
  if (!usable) {
    ReleaseClaim(now, *record,
                 NotRun(Reason::kNoTarget, "the chosen target is closed"), out);
    return;
  }
  if (record->use_.slot_.IsNone()) {
    record->use_ = TargetUse{slot, KvTokens(record->spec_), 0, record->lane_};
    view_.Reserve(record->use_);
  }
  SendAttempt(now, *record, out);
}

void EntryDesk::OnClaimTaken(TimePoint now, RequestRecord& record,
                             const ClaimReply& reply, Outbox& out) {
  // A refusal tells the state of the other call too, but not its answer.
  if (reply.verdict_.reason_ != Reason::kNone) {
    Refuse(record, reply.verdict_, out);
    return;
  }
  if (reply.state_ == ClaimState::kFinished) {
    Replay(record, reply.http_status_, reply.body_, out);
    return;
  }
  if (reply.state_ == ClaimState::kFree) {
    return;
  }
  record.claim_owner_ = reply.owner_request_;
  record.testify_token_ = reply.token_;
  record.testify_target_ = reply.target_;
  const bool known = !view_.Find(reply.target_).IsNone();
  if (!known) {
    out.Record(Event{EventId::kClaimUnknown,
                     {},
                     {},
                     record.spec_.request_,
                     record.spec_.team_,
                     reply.target_,
                     {},
                     ""});
    Fail(record,
         MayHaveRun(Reason::kConflict,
                    "an earlier request under this key went to a target that "
                    "is gone"),
         out);
    return;
  }
  if (record.phase_ == RequestPhase::kClaiming) {
    view_.Release(record.use_);
    record.phase_ = RequestPhase::kAwaitingOther;
    record.sent_at_ = now;
    if (reply.state_ == ClaimState::kUnknown) {
      Testify(now, record, reply.target_, reply.token_, out);
    }
  }
}

void EntryDesk::ReleaseClaim(TimePoint now, RequestRecord& record,
                             Verdict verdict, Outbox& out) {
  view_.Release(record.use_);
  record.phase_ = RequestPhase::kReleasingClaim;
  record.may_have_run_ = false;
  record.pending_verdict_ = std::move(verdict);
  record.released_token_ = record.claim_token_;
  record.finish_ = ClaimFinish{record.spec_.request_,
                               record.spec_.team_,
                               record.spec_.key_,
                               record.claim_token_,
                               ClaimState::kFree,
                               0,
                               {}};
  ResendClaimStep(now, record, out);
}

void EntryDesk::FinishClaim(TimePoint now, RequestRecord& record,
                            uint32_t http_status, Outbox& out) {
  view_.Release(record.use_);
  record.phase_ = RequestPhase::kFinishingClaim;
  const bool own = record.may_have_run_;
  record.finish_ =
      ClaimFinish{own ? record.spec_.request_ : record.claim_owner_,
                  record.spec_.team_,
                  record.spec_.key_,
                  own ? record.claim_token_ : record.testify_token_,
                  ClaimState::kFinished,
                  http_status,
                  record.service_body_};
  ResendClaimStep(now, record, out);
}

void EntryDesk::OnClaimFinished(TimePoint now, const ClaimFinished& finished,
                                Outbox& out) {
  std::vector<RequestId> answered;
  for (const auto& [id, record] : requests_) {
    const bool waits = record.phase_ == RequestPhase::kFinishingClaim ||
                       record.phase_ == RequestPhase::kReleasingClaim;
    if (waits && record.finish_.request_ == finished.request_) {
      answered.push_back(id);
    }
  }
  for (const RequestId id : answered) {
    RequestRecord& record = requests_.at(id);
    if (record.phase_ == RequestPhase::kFinishingClaim) {
      out.Record(Event{EventId::kClaimFinished,
                       {},
                       {},
                       id,
                       record.spec_.team_,
                       record.dispatch_.target_,
                       {},
                       ""});
      Replay(record, record.finish_.http_status_, record.service_body_, out);
    } else if (record.pending_verdict_.reason_ != Reason::kNone) {
      Refuse(record, record.pending_verdict_, out);
    } else {
      SendClaimBegin(now, record, out);
    }
  }
}

void EntryDesk::Replay(RequestRecord& record, uint32_t http_status,
                       const std::string& body, Outbox& out) {
  CallerEnd end;
  end.ok_ = true;
  end.http_status_ = http_status;
  end.replayed_ = !record.may_have_run_;
  out.SendLocal(Port::kCaller, CallerChunk{record.spec_.request_, body, 0});
  Finish(record, std::move(end), out);
}

void EntryDesk::Testify(TimePoint now, RequestRecord& record,
                        const TargetId& target, FencingToken token,
                        Outbox& out) {
  view_.Release(record.use_);
  record.phase_ = RequestPhase::kTestifying;
  record.testify_target_ = target;
  record.testify_token_ = token;
  record.testify_since_ = now;
  ResendClaimStep(now, record, out);
}

void EntryDesk::OnTestify(TimePoint now, const TestifyReply& reply,
                          Outbox& out) {
  std::vector<RequestId> asking;
  for (const auto& [id, record] : requests_) {
    if (record.phase_ == RequestPhase::kTestifying &&
        record.testify_token_ == reply.claim_token_) {
      asking.push_back(id);
    }
  }
  for (const RequestId id : asking) {
    RequestRecord& record = requests_.at(id);
    if (reply.finished_) {
      record.service_body_ = reply.body_;
      FinishClaim(now, record, reply.http_status_, out);
    } else if (reply.run_state_ == RunState::kNotRun) {
      const bool own = record.may_have_run_;
      record.claim_token_ = record.testify_token_;
      ReleaseClaim(now, record,
                   own ? NotRun(Reason::kConnectionLost,
                                "the call was lost before it ran")
                       : Verdict{},
                   out);
    } else if (reply.run_state_ == RunState::kRan ||
               (!reply.running_ && now - record.testify_since_ > kPatience)) {
      out.Record(Event{EventId::kClaimUnknown,
                       {},
                       {},
                       id,
                       record.spec_.team_,
                       record.testify_target_,
                       {},
                       ""});
      Verdict verdict = MayHaveRun(Reason::kTargetFailed,
                                   "the target cannot tell what became of it");
      verdict.run_state_ = reply.run_state_;
      Fail(record, std::move(verdict), out);
    }
  }
}

void EntryDesk::ResendClaimStep(TimePoint now, RequestRecord& record,
                                Outbox& out) {
  record.sent_at_ = now;
  const Endpoint control{control_.leader_, Port::kControl};
  const bool has_leader = !control_.leader_.IsNone();
  switch (record.phase_) {
    case RequestPhase::kClaiming:
      SendClaimBegin(now, record, out);
      break;
    case RequestPhase::kReleasingClaim:
    case RequestPhase::kFinishingClaim:
      if (has_leader) {
        out.Send(control, record.finish_);
      }
      break;
    case RequestPhase::kTestifying: {
      const TargetSlot slot = view_.Find(record.testify_target_);
      if (slot.IsNone()) {
        Fail(record, MayHaveRun(Reason::kTargetFailed, "the target is gone"),
             out);
        return;
      }
      const RequestId asked =
          record.may_have_run_ ? record.spec_.request_ : record.claim_owner_;
      out.Send({view_.At(slot).info_.agent_, Port::kAgent},
               TestifyRequest{asked, record.spec_.team_, record.spec_.key_,
                              record.testify_token_});
      break;
    }
    default:
      break;
  }
}

void EntryDesk::CheckClaim(TimePoint now, RequestRecord& record, Outbox& out) {
  const Duration waited = now - record.sent_at_;
  if (record.phase_ == RequestPhase::kAwaitingOther) {
    if (waited >= kOtherFirstWait) {
      Testify(now, record, record.testify_target_, record.testify_token_, out);
    }
    return;
  }
  if (waited >= kClaimResend) {
    ResendClaimStep(now, record, out);
  }
}

}  // namespace gv
