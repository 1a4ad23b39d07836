/** @file entry_tick.cc What an entry does as time passes. */
#include <algorithm>
#include <utility>

#include "coordination/entry_desk.h"

namespace gv {
namespace {

constexpr Duration kCheckInterval(50);       ///< Between passes over requests.
constexpr Duration kKeepaliveInterval(250);  ///< Of StreamKeepalive.
constexpr Duration kLastKeepalives(1'000);   ///< After the last attempt ended.
constexpr Duration kGapLimit(1'500);       ///< A missing chunk counts as lost.
constexpr Duration kAgentSilence(4'000);   ///< An agent counts as lost.
constexpr Duration kLongestResend(5'000);  ///< Of an attempt without a sign.
constexpr Duration kBusyHello(200);        ///< AgentHello while work waits.
constexpr Duration kIdleHello(1'000);      ///< AgentHello otherwise.
constexpr Duration kFocusTime(2'500);      ///< A long prompt asks one engine.
constexpr int64_t kSpreadFactor = 2;       ///< Credit asked over an equal part.
constexpr Duration kGroupRenewal(2'500);   ///< Of a group's lease.
constexpr Duration kGroupResend(500);      ///< Of a GroupRequest.
constexpr Duration kShareWait(1'000);      ///< For the first share of a limit.

/** Work that waits for credit. */
struct Waiting {
  int64_t tokens_ = 0;   ///< KV tokens.
  int64_t streams_ = 0;  ///< Streams.
};

/** @return What one of several targets is asked for. */
Waiting PartOf(const Waiting& all, size_t targets) {
  const auto count = static_cast<int64_t>(targets);
  return Waiting{all.tokens_ * kSpreadFactor / count,
                 all.streams_ * kSpreadFactor / count + 1};
}

}  // namespace

void EntryDesk::OnTick(TimePoint now, Outbox& out) {
  EndOverdue(now, out);
  limits_.OnTick(now, control_.leader_, out);
  UpdateRates(now);
  if (now - checked_at_ >= kCheckInterval) {
    checked_at_ = now;
    CheckRequests(now, out);
    PauseForUrgent(now, out);
    RefuseHopeless(now, out);
    SayHello(now, out);
    dispatch_wanted_ = true;
  }
  if (now - kept_alive_at_ >= kKeepaliveInterval) {
    kept_alive_at_ = now;
    SendKeepalives(now, out);
  }
  if (stopping_ && !stop_ready_ && requests_.empty()) {
    stop_ready_ = true;
    out.SendLocal(Port::kTransport, StopReady{});
  }
}

void EntryDesk::EndOverdue(TimePoint now, Outbox& out) {
  while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
    RequestRecord& record = requests_.at(deadlines_.begin()->second);
    Verdict verdict = NotRun(Reason::kDeadline, "the deadline passed");
    if (record.phase_ == RequestPhase::kFinishingClaim) {
      verdict = Verdict{RunState::kRan, Reason::kDeadline,
                        "the call ran, but its record is not durable yet",
                        Duration()};
    } else if (record.phase_ == RequestPhase::kTestifying ||
               record.phase_ == RequestPhase::kAwaitingOther) {
      verdict = MayHaveRun(Reason::kDeadline,
                           "nobody told in time what became of the call");
    }
    Fail(record, std::move(verdict), out);
  }
}

void EntryDesk::CheckRequests(TimePoint now, Outbox& out) {
  std::vector<RequestId> ids;
  ids.reserve(requests_.size());
  for (const auto& [id, record] : requests_) {
    if (record.phase_ != RequestPhase::kQueued) {
      ids.push_back(id);
    }
  }
  std::sort(ids.begin(), ids.end());
  for (const RequestId id : ids) {
    RequestRecord* record = FindRequest(id);
    if (record == nullptr) {
      continue;
    }
    switch (record->phase_) {
      case RequestPhase::kQueued:
        break;
      case RequestPhase::kAwaitingShare:
        CheckShare(now, *record, out);
        break;
      case RequestPhase::kPlacingGroup:
        if (now - record->sent_at_ >= kGroupResend) {
          StartGroup(now, *record, out);
        }
        break;
      case RequestPhase::kRunning:
        CheckAttempt(now, *record, out);
        break;
      default:
        CheckClaim(now, *record, out);
        break;
    }
  }
}

void EntryDesk::CheckShare(TimePoint now, RequestRecord& record, Outbox& out) {
  if (now - record.arrived_at_ < kShareWait) {
    return;
  }
  Verdict verdict =
      NotRun(Reason::kNoLease, "no share of the team's limit could be had");
  verdict.retry_after_ = kShareWait;
  Refuse(record, std::move(verdict), out);
}

void EntryDesk::CheckAttempt(TimePoint now, RequestRecord& record,
                             Outbox& out) {
  const TargetRecord& target = view_.At(record.use_.slot_);
  const bool silent = now - target.heard_at_ > kAgentSilence;
  const bool gap =
      record.gap_since_ != TimePoint() && now - record.gap_since_ > kGapLimit;
  if (silent || gap) {
    OnAttemptLost(now, record, out);
    return;
  }
  if (record.order_.IsEmpty() &&
      now - record.sent_at_ >= record.resend_after_) {
    // The agent knows attempts by number, so a copy does nothing.
    record.sent_at_ = now;
    record.resend_after_ = std::min(record.resend_after_ * 2, kLongestResend);
    record.dispatch_.time_left_ = record.deadline_ - now;
    out.Send({record.agent_, Port::kAgent}, record.dispatch_);
  }
  if (record.group_.granted_ && !control_.leader_.IsNone() &&
      now - record.group_renewed_at_ >= kGroupRenewal) {
    record.group_renewed_at_ = now;
    out.Send({control_.leader_, Port::kControl},
             GroupRenew{record.spec_.request_, record.group_.lease_, false});
  }
}

void EntryDesk::SayHello(TimePoint now, Outbox& out) {
  std::unordered_map<ModelId, Waiting> waiting;
  std::unordered_map<TargetSlot, Waiting> focused;
  for (auto& [id, record] : requests_) {
    if (record.phase_ != RequestPhase::kQueued) {
      continue;
    }
    // A long prompt needs its memory at one engine, not a part at each.
    if (record.lane_ == Lane::kLong && !NeedsGroup(record)) {
      Focus(now, record);
    }
    Waiting& sum = record.focus_.IsNone() ? waiting[record.spec_.model_]
                                          : focused[record.focus_];
    sum.tokens_ += KvTokens(record.spec_);
    sum.streams_ += 1;
  }
  for (size_t i = 0; i < view_.Records().size(); ++i) {
    const TargetSlot slot(i + 1);
    TargetRecord& target = view_.At(slot);
    if (!target.known_) {
      continue;
    }
    const auto spread = waiting.find(target.info_.model_);
    const auto focus = focused.find(slot);
    const bool busy = spread != waiting.end() || focus != focused.end() ||
                      target.own_streams_ > 0;
    const bool first = target.hello_at_ == TimePoint();
    if (!first && now - target.hello_at_ < (busy ? kBusyHello : kIdleHello)) {
      continue;
    }
    Waiting wanted;
    if (spread != waiting.end()) {
      const ModelPool& pool = *view_.Pool(target.info_.model_);
      wanted = PartOf(spread->second, pool.slots_.size());
    }
    if (focus != focused.end()) {
      wanted.tokens_ += focus->second.tokens_;
      wanted.streams_ += focus->second.streams_;
    }
    target.hello_at_ = now;
    AgentHello hello;
    hello.incarnation_ = settings_.incarnation_;
    hello.sent_at_ms_ = now.Ms();
    hello.credit_sequence_ = target.credit_.sequence_;
    hello.wanted_tokens_ = target.own_tokens_ + wanted.tokens_;
    hello.wanted_streams_ = target.own_streams_ + wanted.streams_;
    out.Send({target.info_.agent_, Port::kAgent}, hello);
  }
}

void EntryDesk::Focus(TimePoint now, RequestRecord& record) {
  if (!record.focus_.IsNone() && now - record.focused_at_ < kFocusTime) {
    return;
  }
  const ModelPool* pool = view_.Pool(record.spec_.model_);
  record.focus_ = pool == nullptr ? TargetSlot()
                                  : routing_.Roomiest(now, view_, *pool,
                                                      KvTokens(record.spec_));
  record.focused_at_ = now;
  if (!record.focus_.IsNone()) {
    view_.At(record.focus_).hello_at_ = TimePoint();
  }
}

void EntryDesk::SendKeepalives(TimePoint now, Outbox& out) {
  std::map<NodeId, StreamKeepalive> by_agent;
  std::vector<RequestId> running;
  for (const auto& [id, record] : requests_) {
    if (record.phase_ == RequestPhase::kRunning) {
      running.push_back(id);
    }
  }
  std::sort(running.begin(), running.end());
  for (const RequestId id : running) {
    const RequestRecord& record = requests_.at(id);
    StreamKeepalive& list = by_agent[record.agent_];
    list.requests_.push_back(id);
    list.attempts_.push_back(record.attempt_);
    list.received_.push_back(record.order_.Received());
  }
  for (size_t i = 0; i < view_.Records().size(); ++i) {
    TargetRecord& target = view_.At(TargetSlot(i + 1));
    const auto list = by_agent.find(target.info_.agent_);
    const bool used = list != by_agent.end();
    // An empty list tells the agent that the last answers have arrived.
    if (!target.known_ || (!used && !target.kept_alive_)) {
      continue;
    }
    StreamKeepalive keepalive = used ? list->second : StreamKeepalive{};
    keepalive.incarnation_ = settings_.incarnation_;
    target.kept_alive_ = used || now - target.used_at_ < kLastKeepalives;
    target.used_at_ = used ? now : target.used_at_;
    out.Send({target.info_.agent_, Port::kAgent}, std::move(keepalive));
  }
}

}  // namespace gv
