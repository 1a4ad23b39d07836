/** @file agent_target.cc An agent and its target: health, answers,
 * reconciliation, announcement and stop. */
#include <algorithm>
#include <set>

#include "coordination/agent_work.h"

namespace gv {

void AgentWork::Handle(TimePoint now, const Envelope& /*in*/,
                       const TargetAdmit& body, Outbox& out) {
  const FencingToken before = fence_.Token();
  const bool fenced = fence_.OnAdmit(now, body);
  if (fence_.Token() != before) {
    RecordEvent(EventId::kTargetAdmitted, RequestId(),
                "token " + std::to_string(fence_.Token().Value()), out);
    probed_at_ = now - kProbePeriod;
  }
  if (!fenced) {
    return;
  }
  RecordEvent(EventId::kTargetFenced, RequestId(), "a newer owner exists", out);
  EndRunning(now, Reason::kFenced, "a newer owner has the target", out);
  groups_.clear();
}

void AgentWork::Handle(TimePoint now, const Envelope& /*in*/,
                       const TargetChunk& body, Outbox& out) {
  AgentStream* stream = streams_.Find(AttemptKey{body.request_, body.attempt_});
  if (stream == nullptr || stream->ended_) {
    RecordEvent(EventId::kLateAnswerDropped, body.request_, "chunk", out);
    return;
  }
  AgentStreams::AddChunk(now, *stream, body, out);
}

void AgentWork::Handle(TimePoint now, const Envelope& /*in*/,
                       const TargetEnd& body, Outbox& out) {
  AgentStream* stream = streams_.Find(AttemptKey{body.request_, body.attempt_});
  if (stream == nullptr || stream->ended_) {
    RecordEvent(EventId::kLateAnswerDropped, body.request_, "end", out);
    return;
  }
  AgentStreams::End(now, *stream, body.ok_, body.verdict_, body.http_status_,
                    out);
  if (!stream->idempotent_) {
    FinishClaim(now, *stream, body);
  }
}

void AgentWork::FinishClaim(TimePoint now, const AgentStream& stream,
                            const TargetEnd& end) {
  ClaimProgress progress = ClaimProgress::kUnknown;
  std::string body;
  if (end.ok_) {
    progress = ClaimProgress::kFinished;
    for (const StreamChunk& chunk : stream.chunks_) {
      body += chunk.text_;
    }
  } else if (end.verdict_.run_state_ == RunState::kNotRun) {
    progress = ClaimProgress::kNotRun;
  }
  claims_.Finish(now, stream.claim_token_, progress, end.http_status_, body);
  if (!stream.wanted_) {
    claims_.Report(stream.claim_token_);
  }
}

void AgentWork::Handle(TimePoint /*now*/, const Envelope& /*in*/,
                       const ClaimFinished& body, Outbox& /*out*/) {
  claims_.OnFinished(body.request_);
}

void AgentWork::Handle(TimePoint /*now*/, const Envelope& /*in*/,
                       const TargetReserved& body, Outbox& out) {
  for (auto it = groups_.begin(); it != groups_.end(); ++it) {
    if (GroupName(it->first) != body.name_) {
      continue;
    }
    it->second.reserved_ = body.held_;
    AnswerGroup(it->first, it->second.control_, body.held_, out);
    if (!body.held_) {
      groups_.erase(it);
    }
    return;
  }
  if (body.held_) {
    ReleaseName(body.name_, "the lease is over", out);
  }
}

void AgentWork::ReleaseName(const std::string& name, const std::string& why,
                            Outbox& out) const {
  if (fence_.State() == Ownership::kFenced) {
    return;
  }
  out.SendLocal(Port::kTarget, TargetRelease{name, fence_.Token()});
  RecordEvent(EventId::kMemoryReleased, RequestId(), name + ": " + why, out);
}

void AgentWork::EndRunning(TimePoint now, Reason reason,
                           const std::string& detail, Outbox& out) {
  const bool may_order = fence_.State() != Ownership::kFenced;
  for (auto& [key, stream] : streams_.All()) {
    if (stream.ended_ || !stream.idempotent_) {
      continue;
    }
    if (may_order) {
      out.SendLocal(Port::kTarget,
                    TargetControl{key.request_, key.attempt_, true, false});
    }
    AgentStreams::End(now, stream, false, MayHaveRun(reason, detail), 0, out);
  }
}

void AgentWork::LoseTarget(TimePoint now, const std::string& detail,
                           Outbox& out) {
  RecordEvent(EventId::kTargetGone, RequestId(), detail, out);
  fence_.OnTargetLost();
  EndRunning(now, Reason::kTargetFailed, detail, out);
  for (const auto& [lease, group] : groups_) {
    AnswerGroup(lease, group.control_, false, out);
  }
  groups_.clear();
}

void AgentWork::Handle(TimePoint now, const Envelope& /*in*/,
                       const TargetStatus& body, Outbox& out) {
  if (!body.reachable_) {
    if (std::exchange(target_up_, false)) {
      LoseTarget(now, "the target does not answer", out);
    }
    return;
  }
  heard_target_at_ = now;
  const bool restarted =
      target_start_ != 0 && target_start_ != body.target_start_;
  target_start_ = body.target_start_;
  if (restarted && target_up_) {
    LoseTarget(now, "the target restarted", out);
  }
  target_up_ = true;
  Reconcile(now, body, out);
  SendLoad(now, body, out);
}

void AgentWork::Reconcile(TimePoint now, const TargetStatus& status,
                          Outbox& out) {
  const Ownership state = fence_.State();
  if (state != Ownership::kOwner && state != Ownership::kReconciling) {
    return;
  }
  std::set<std::string> owned;
  for (const auto& [key, stream] : streams_.All()) {
    if (!stream.ended_) {
      owned.insert(StreamName(key));
    }
  }
  for (const auto& [lease, group] : groups_) {
    owned.insert(GroupName(lease));
  }
  bool clean = true;
  for (const HeldStream& held : status.held_) {
    if (!owned.contains(held.name_)) {
      clean = false;
      ReleaseName(held.name_, "no owner", out);
    }
  }
  if (clean) {
    fence_.OnReconciled();
  } else {
    probed_at_ = now - kProbePeriod;
  }
}

void AgentWork::SendLoad(TimePoint now, const TargetStatus& status,
                         Outbox& out) {
  const bool due = now - load_sent_at_ >= kLoadPeriod;
  if (due) {
    load_sent_at_ = now;
  }
  LoadReport load = status.load_;
  load.target_ = settings_.target_.target_;
  CacheReport cache = status.cache_;
  cache.target_ = settings_.target_.target_;
  for (const auto& [entry, record] : entries_) {
    if (due) {
      out.Send(Endpoint{entry, Port::kEntry}, load);
    }
    if (!cache.changes_.empty()) {
      out.Send(Endpoint{entry, Port::kEntry}, cache);
    }
  }
}

void AgentWork::Announce(TimePoint now, Outbox& out) {
  const TargetState state = State();
  const bool changed = state != announced_ || view_.leader_ != announced_to_;
  if (state != announced_) {
    announced_ = state;
    GrantAll(now, out);
    if (state == TargetState::kDraining) {
      RecordEvent(EventId::kTargetDraining, RequestId(), "", out);
    }
  }
  const bool due = changed || now - announced_at_ >= kAnnouncePeriod;
  if (!due || view_.leader_.IsNone()) {
    return;
  }
  announced_at_ = now;
  announced_to_ = view_.leader_;
  TargetAnnounce announce;
  announce.info_ = settings_.target_;
  announce.info_.state_ = state;
  announce.info_.token_ = fence_.Token();
  announce.wants_new_token_ = fence_.WantsNewToken();
  out.Send(Endpoint{view_.leader_, Port::kControl}, announce);
}

void AgentWork::Probe(TimePoint now, Outbox& out) {
  if (now - probed_at_ < kProbePeriod) {
    return;
  }
  probed_at_ = now;
  out.SendLocal(Port::kTarget, TargetProbe{++probe_sequence_});
}

void AgentWork::Handle(TimePoint now, const Envelope& /*in*/, const Tick&,
                       Outbox& out) {
  fence_.OnTick(now);
  if (target_up_ && now - heard_target_at_ >= kTargetSilence) {
    target_up_ = false;
    LoseTarget(now, "the target fell silent", out);
  }
  ExpireLeases(now, out);
  EndOverdue(now, out);
  streams_.OnTick(now);
  claims_.OnTick(now, view_.leader_, out);
  Probe(now, out);
  CheckStopped(now, out);
  Announce(now, out);
}

void AgentWork::Handle(TimePoint now, const Envelope& /*in*/,
                       const StopRequest&, Outbox& out) {
  if (!stopping_) {
    stopping_ = true;
    busy_at_ = now;
    Announce(now, out);
  }
}

void AgentWork::CheckStopped(TimePoint now, Outbox& out) {
  const bool idle = streams_.All().empty() && groups_.empty();
  if (!idle) {
    busy_at_ = now;
  }
  const bool flushed = !claims_.HasReports() || now - busy_at_ >= kClaimFlush;
  if (!stopping_ || stop_ready_ || !idle || !flushed) {
    return;
  }
  stop_ready_ = true;
  Announce(now, out);
  out.SendLocal(Port::kTransport, StopReady{});
}

}  // namespace gv
