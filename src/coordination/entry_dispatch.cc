/** @file entry_dispatch.cc From the queue of a model to an agent, and again
 * after a failure. */
#include <algorithm>
#include <utility>

#include "coordination/entry_desk.h"

namespace gv {
namespace {

constexpr size_t kMaxMisses = 8;  ///< Heads tried without success in one pass.
constexpr int64_t kMaxAttempts = 4;    ///< Attempts of one request.
constexpr int64_t kTightFactor = 2;    ///< Of the time that the work needs.
constexpr Duration kFirstResend(300);  ///< Of an attempt without a sign.
constexpr Duration kAvoidAfterFailure(1'000);  ///< No new work at a target.
/** Part of an engine's memory that one prompt may take, in percent. */
constexpr int64_t kOneEnginePercent = 90;

}  // namespace

Priority EntryDesk::EnginePriority(TimePoint now,
                                   const RequestRecord& record) const {
  if (record.spec_.kind_ == TargetKind::kService) {
    return record.spec_.priority_;
  }
  // Engines run short prompts first, whatever the caller's priority.
  const auto lane = static_cast<uint8_t>(record.lane_);
  const ModelPool* pool = view_.Pool(record.spec_.model_);
  const auto queue = queues_.find(record.spec_.model_);
  if (record.lane_ == Lane::kShort || pool == nullptr ||
      queue == queues_.end()) {
    return static_cast<Priority>(lane);
  }
  const Duration service = ServiceTime(queue->second, *pool, record);
  const bool tight = now + service * kTightFactor > record.deadline_;
  const bool aged = AdmissionQueue::IsAged(
      now, record.lane_, record.arrived_at_, record.deadline_);
  return static_cast<Priority>(tight || aged ? lane - 1 : lane);
}

void EntryDesk::DispatchQueued(TimePoint now, Outbox& out) {
  dispatch_wanted_ = false;
  for (auto& [model, queue] : queues_) {
    bool progress = true;
    while (progress && !queue.queue_.empty()) {
      progress = false;
      size_t misses = 0;
      for (const RequestId id : queue.queue_.Heads(now)) {
        if (TryStart(now, requests_.at(id), out)) {
          progress = true;
          break;
        }
        if (++misses >= kMaxMisses) {
          break;
        }
      }
    }
    queue.was_empty_ = queue.was_empty_ || queue.queue_.empty();
  }
}

bool EntryDesk::NeedsGroup(const RequestRecord& record) const {
  const ModelPool* pool = view_.Pool(record.spec_.model_);
  return record.spec_.kind_ == TargetKind::kEngine && pool != nullptr &&
         KvTokens(record.spec_) * 100 >
             pool->largest_memory_ * kOneEnginePercent;
}

bool EntryDesk::TryStart(TimePoint now, RequestRecord& record, Outbox& out) {
  ModelQueue& queue = queues_.at(record.spec_.model_);
  const RequestId id = record.spec_.request_;
  if (NeedsGroup(record)) {
    queue.queue_.Remove(id, true);
    StartGroup(now, record, out);
    return true;
  }
  const ModelPool* pool = view_.Pool(record.spec_.model_);
  if (pool == nullptr) {
    return false;
  }
  const RoutingNeed need{&record.spec_, record.lane_, KvTokens(record.spec_),
                         record.failed_slot_};
  const auto choice = routing_.Choose(now, view_, *pool, need);
  if (!choice) {
    return false;
  }
  queue.queue_.Remove(id, true);
  queue.dispatched_tokens_ += record.spec_.prompt_tokens_;
  const int64_t cached =
      std::min(choice->cached_tokens_, record.spec_.prompt_tokens_);
  record.use_ = TargetUse{choice->slot_, KvTokens(record.spec_),
                          record.spec_.prompt_tokens_ - cached, record.lane_};
  view_.Reserve(record.use_);
  record.agent_ = view_.At(choice->slot_).info_.agent_;
  record.dispatch_.target_ = view_.At(choice->slot_).info_.target_;
  record.dispatch_.target_incarnation_ =
      view_.At(choice->slot_).info_.incarnation_;
  if (record.spec_.idempotent_) {
    SendAttempt(now, record, out);
  } else {
    SendClaimBegin(now, record, out);
  }
  return true;
}

void EntryDesk::StartGroup(TimePoint now, RequestRecord& record, Outbox& out) {
  record.phase_ = RequestPhase::kPlacingGroup;
  record.sent_at_ = now;
  GroupRequest request;
  request.request_ = record.spec_.request_;
  request.model_ = record.spec_.model_;
  request.tokens_ = KvTokens(record.spec_);
  request.time_left_ = record.deadline_ - now;
  if (!control_.leader_.IsNone()) {
    out.Send({control_.leader_, Port::kControl}, request);
  }
}

void EntryDesk::OnGroupReply(TimePoint now, const GroupReply& reply,
                             Outbox& out) {
  RequestRecord* record = FindRequest(reply.request_);
  if (record == nullptr) {
    if (reply.granted_) {
      out.Send({control_.leader_, Port::kControl},
               GroupRenew{reply.request_, reply.lease_, true});
    }
    return;
  }
  if (record->phase_ != RequestPhase::kPlacingGroup) {
    return;
  }
  if (!reply.granted_) {
    Refuse(*record, reply.verdict_, out);
    return;
  }
  const TargetSlot lead = reply.targets_.empty()
                              ? TargetSlot()
                              : view_.Find(reply.targets_.front());
  record->group_ = reply;
  if (lead.IsNone()) {
    Refuse(*record, NotRun(Reason::kNoTarget, "the group's lead is gone"), out);
    return;
  }
  if (IsHopeless(now, *record)) {
    RefuseLate(now, *record, out);
    return;
  }
  record->group_renewed_at_ = now;
  const auto members = static_cast<int64_t>(reply.targets_.size());
  record->use_ =
      TargetUse{lead, KvTokens(record->spec_) / members,
                record->spec_.prompt_tokens_ / members, record->lane_};
  view_.Reserve(record->use_);
  record->agent_ = view_.At(lead).info_.agent_;
  record->dispatch_.target_ = view_.At(lead).info_.target_;
  record->dispatch_.target_incarnation_ = view_.At(lead).info_.incarnation_;
  SendAttempt(now, *record, out);
}

void EntryDesk::SendAttempt(TimePoint now, RequestRecord& record, Outbox& out) {
  record.attempt_ = record.attempt_.Next();
  record.attempts_ += 1;
  record.order_ = StreamOrder();
  record.gap_since_ = TimePoint();
  record.phase_ = RequestPhase::kRunning;
  record.sent_at_ = now;
  record.resend_after_ = kFirstResend;
  record.service_body_.clear();
  Dispatch& dispatch = record.dispatch_;
  dispatch.spec_ = record.spec_;
  dispatch.spec_.priority_ = EnginePriority(now, record);
  dispatch.attempt_ = record.attempt_;
  dispatch.claim_token_ = record.claim_token_;
  dispatch.time_left_ = record.deadline_ - now;
  dispatch.group_.clear();
  for (size_t i = 1; i < record.group_.targets_.size(); ++i) {
    dispatch.group_.push_back(record.group_.targets_[i]);
  }
  dispatch.group_lease_ = record.group_.lease_;
  dispatch.resume_after_ = record.tokens_delivered_;
  dispatch.resume_text_ = record.text_;
  if (!record.spec_.idempotent_) {
    record.may_have_run_ = true;
  }
  out.Record(Event{EventId::kRequestDispatched,
                   {},
                   {},
                   record.spec_.request_,
                   record.spec_.team_,
                   dispatch.target_,
                   {},
                   "attempt " + std::to_string(record.attempt_.Value())});
  out.Send({record.agent_, Port::kAgent}, dispatch);
}

void EntryDesk::EndAttempt(RequestRecord& record, bool cancel, Outbox& out) {
  if (cancel && record.phase_ == RequestPhase::kRunning &&
      record.spec_.idempotent_) {
    out.Send({record.agent_, Port::kAgent},
             Cancel{record.spec_.request_, record.attempt_});
  }
  view_.Release(record.use_);
  ReleaseGroup(record, out);
  dispatch_wanted_ = true;
}

void EntryDesk::ReleaseGroup(RequestRecord& record, Outbox& out) {
  const bool placing = record.phase_ == RequestPhase::kPlacingGroup;
  if ((!record.group_.granted_ && !placing) || control_.leader_.IsNone()) {
    return;
  }
  out.Send({control_.leader_, Port::kControl},
           GroupRenew{record.spec_.request_, record.group_.lease_, true});
  record.group_ = GroupReply{};
}

void EntryDesk::Retry(TimePoint now, RequestRecord& record, Verdict why,
                      Outbox& out) {
  if (!record.use_.slot_.IsNone()) {
    record.failed_slot_ = record.use_.slot_;
    view_.At(record.use_.slot_).avoid_until_ = now + kAvoidAfterFailure;
  }
  EndAttempt(record, true, out);
  const bool allowed = record.spec_.idempotent_ &&
                       record.attempts_ < kMaxAttempts &&
                       now < record.deadline_ && retries_.Take();
  if (!allowed) {
    Fail(record, std::move(why), out);
    return;
  }
  out.Record(Event{EventId::kRequestRetried,
                   {},
                   {},
                   record.spec_.request_,
                   record.spec_.team_,
                   record.dispatch_.target_,
                   {},
                   why.detail_});
  Enqueue(now, record, out);
}

void EntryDesk::PauseForUrgent(TimePoint now, Outbox& out) {
  for (auto& [id, record] : requests_) {
    const auto queue = queues_.find(record.spec_.model_);
    if (record.phase_ != RequestPhase::kRunning || queue == queues_.end() ||
        record.spec_.kind_ != TargetKind::kEngine ||
        record.lane_ == Lane::kShort || record.use_.prefilling_) {
      continue;
    }
    const bool urgent = queue->second.queue_.Waiting(Lane::kShort) > 0;
    if (record.use_.paused_) {
      const bool over = now - record.paused_at_ >= kLongestPause;
      if (!urgent || over) {
        SetPaused(now, record, false, out);
      }
      continue;
    }
    const TargetRecord& target = view_.At(record.use_.slot_);
    const bool full = target.own_streams_ >= target.credit_.streams_;
    const bool rested = now - record.paused_at_ >= kLongestPause * 2;
    const bool has_time = record.deadline_ - now > kLongestPause * 4;
    if (urgent && full && rested && has_time) {
      SetPaused(now, record, true, out);
    }
  }
}

void EntryDesk::SetPaused(TimePoint now, RequestRecord& record, bool paused,
                          Outbox& out) {
  view_.SetPaused(record.use_, paused);
  if (paused) {
    record.paused_at_ = now;
  }
  dispatch_wanted_ = true;
  out.Record(Event{paused ? EventId::kStreamPaused : EventId::kStreamResumed,
                   {},
                   {},
                   record.spec_.request_,
                   record.spec_.team_,
                   record.dispatch_.target_,
                   {},
                   ""});
  out.Send({record.agent_, Port::kAgent},
           PauseStream{record.spec_.request_, record.attempt_, paused});
}

}  // namespace gv
