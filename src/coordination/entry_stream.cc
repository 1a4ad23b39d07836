/** @file entry_stream.cc Answers of agents on their way to the caller. */
#include <algorithm>
#include <utility>

#include "coordination/entry_desk.h"

namespace gv {
namespace {

constexpr double kLearnPart = 0.02;  ///< Weight of one answer in averages.

/** @return True if another target may do better. */
bool IsRetryable(const Verdict& verdict) {
  return verdict.reason_ != Reason::kBadRequest &&
         verdict.reason_ != Reason::kForbidden &&
         verdict.reason_ != Reason::kCancelled &&
         verdict.reason_ != Reason::kDeadline;
}

}  // namespace

bool EntryDesk::IsCurrent(const RequestRecord& record, const NodeId& from,
                          AttemptNumber attempt) const {
  return record.phase_ == RequestPhase::kRunning &&
         record.attempt_ == attempt && record.agent_ == from;
}

void EntryDesk::OnChunk(TimePoint now, const NodeId& from,
                        const StreamChunk& chunk, Outbox& out) {
  RequestRecord* record = FindRequest(chunk.request_);
  if (record == nullptr || !IsCurrent(*record, from, chunk.attempt_)) {
    out.Record(Event{EventId::kLateAnswerDropped,
                     {},
                     {},
                     chunk.request_,
                     {},
                     {},
                     {},
                     "chunk"});
    return;
  }
  Deliver(now, *record, record->order_.Add(chunk), out);
  FinishIfWhole(now, *record, out);
}

void EntryDesk::OnEnd(TimePoint now, const NodeId& from, const StreamEnd& end,
                      Outbox& out) {
  RequestRecord* record = FindRequest(end.request_);
  if (record == nullptr || !IsCurrent(*record, from, end.attempt_)) {
    out.Record(Event{
        EventId::kLateAnswerDropped, {}, {}, end.request_, {}, {}, {}, "end"});
    return;
  }
  record->order_.SetEnd(end);
  FinishIfWhole(now, *record, out);
}

void EntryDesk::Deliver(TimePoint now, RequestRecord& record,
                        std::vector<StreamChunk> chunks, Outbox& out) {
  if (!record.order_.HasGap()) {
    record.gap_since_ = TimePoint();
  } else if (!chunks.empty() || record.gap_since_ == TimePoint()) {
    record.gap_since_ = now;
  }
  if (!chunks.empty() && record.use_.prefilling_) {
    view_.PrefillDone(record.use_);
    view_.Prefixes().Learn(record.use_.slot_, record.spec_.prefix_hashes_,
                           record.spec_.prompt_tokens_);
    record.first_token_at_ = now;
    dispatch_wanted_ = true;
  }
  for (StreamChunk& chunk : chunks) {
    if (record.spec_.kind_ == TargetKind::kService) {
      record.service_body_ += chunk.text_;
      continue;
    }
    record.tokens_delivered_ += chunk.tokens_;
    record.text_ += chunk.text_;
    out.SendLocal(Port::kCaller,
                  CallerChunk{record.spec_.request_, std::move(chunk.text_),
                              chunk.tokens_});
  }
}

void EntryDesk::FinishIfWhole(TimePoint now, RequestRecord& record,
                              Outbox& out) {
  const StreamEnd* end = record.order_.WholeEnd();
  if (end == nullptr) {
    if (record.order_.HasGap() && record.gap_since_ == TimePoint()) {
      record.gap_since_ = now;
    }
    return;
  }
  if (!end->ok_) {
    OnAttemptFailed(now, record, end->verdict_, out);
    return;
  }
  if (!record.spec_.idempotent_) {
    FinishClaim(now, record, end->http_status_, out);
    return;
  }
  LearnFromAnswer(now, record);
  CallerEnd done;
  done.ok_ = true;
  done.http_status_ = end->http_status_;
  if (record.spec_.kind_ == TargetKind::kService) {
    out.SendLocal(Port::kCaller,
                  CallerChunk{record.spec_.request_, record.service_body_, 0});
  }
  Finish(record, std::move(done), out);
}

void EntryDesk::LearnFromAnswer(TimePoint now, const RequestRecord& record) {
  if (record.spec_.kind_ == TargetKind::kService ||
      record.tokens_delivered_ <= 1 || record.spec_.max_output_tokens_ <= 0 ||
      record.attempts_ > 1) {
    return;
  }
  ModelQueue& queue = queues_.at(record.spec_.model_);
  const double token_ms =
      static_cast<double>((now - record.first_token_at_).Ms()) /
      static_cast<double>(record.tokens_delivered_ - 1);
  const double part = static_cast<double>(record.tokens_delivered_) /
                      static_cast<double>(record.spec_.max_output_tokens_);
  queue.token_ms_ += kLearnPart * (token_ms - queue.token_ms_);
  queue.output_part_ += kLearnPart * (part - queue.output_part_);
}

void EntryDesk::OnAttemptFailed(TimePoint now, RequestRecord& record,
                                Verdict verdict, Outbox& out) {
  if (!record.spec_.idempotent_) {
    if (verdict.run_state_ == RunState::kNotRun) {
      ReleaseClaim(now, record, std::move(verdict), out);
    } else if (verdict.run_state_ == RunState::kRan) {
      Fail(record, std::move(verdict), out);
    } else {
      Testify(now, record, record.dispatch_.target_, record.claim_token_, out);
    }
    return;
  }
  if (!IsRetryable(verdict)) {
    Fail(record, std::move(verdict), out);
    return;
  }
  Retry(now, record, std::move(verdict), out);
}

void EntryDesk::OnAttemptLost(TimePoint now, RequestRecord& record,
                              Outbox& out) {
  if (record.phase_ == RequestPhase::kClaiming) {
    // The grant, if it comes, finds the target closed and is given back.
    return;
  }
  if (record.phase_ != RequestPhase::kRunning) {
    view_.Release(record.use_);
    return;
  }
  if (!record.spec_.idempotent_) {
    Testify(now, record, record.dispatch_.target_, record.claim_token_, out);
    return;
  }
  Retry(now, record,
        MayHaveRun(Reason::kConnectionLost,
                   "lost " + record.dispatch_.target_.Value()),
        out);
}

void EntryDesk::Fail(RequestRecord& record, Verdict verdict, Outbox& out) {
  if (record.tokens_delivered_ > 0) {
    verdict.run_state_ = RunState::kRan;
  } else if (verdict.run_state_ == RunState::kNotRun && record.attempts_ > 0 &&
             (verdict.reason_ == Reason::kCancelled ||
              verdict.reason_ == Reason::kDeadline)) {
    verdict.run_state_ = RunState::kMayHaveRun;
  }
  out.Record(Event{EventId::kRequestFailed,
                   {},
                   {},
                   record.spec_.request_,
                   record.spec_.team_,
                   record.dispatch_.target_,
                   {},
                   verdict.detail_});
  CallerEnd end;
  end.verdict_ = std::move(verdict);
  Finish(record, std::move(end), out);
}

void EntryDesk::Finish(RequestRecord& record, CallerEnd end, Outbox& out) {
  const RequestId id = record.spec_.request_;
  end.request_ = id;
  if (end.ok_) {
    out.Record(Event{EventId::kRequestFinished,
                     {},
                     {},
                     id,
                     record.spec_.team_,
                     record.dispatch_.target_,
                     {},
                     ""});
  }
  const bool whole = end.ok_;
  out.SendLocal(Port::kCaller, std::move(end));
  const auto queue = queues_.find(record.spec_.model_);
  if (queue != queues_.end()) {
    queue->second.queue_.Remove(id, false);
  }
  EndAttempt(record, !whole, out);
  if (record.charged_) {
    const bool started = record.attempts_ > 0;
    const int64_t used =
        started ? record.spec_.prompt_tokens_ + record.tokens_delivered_ : 0;
    limits_.End(record.spec_.team_,
                std::max<int64_t>(0, KvTokens(record.spec_) - used));
  }
  deadlines_.erase({record.deadline_, id});
  requests_.erase(id);
}

}  // namespace gv
