/** @file agent_work.cc Passing attempts to the target. */
#include "coordination/agent_work.h"

#include <algorithm>
#include <boost/outcome/try.hpp>
#include <random>
#include <utility>

namespace gv {
namespace {

/** A service has no KV memory; its credits are bounded by streams alone. */
constexpr int64_t kServiceTokens = int64_t{1} << 40;

/** Sequences of one incarnation's grants lie above those of earlier ones. */
constexpr int kSequenceShift = 16;

}  // namespace

AgentWork::AgentWork(AgentSettings settings, uint64_t seed)
    : settings_(std::move(settings)),
      fence_(settings_.target_.target_, settings_.incarnation_,
             settings_.target_checks_fencing_) {
  TargetInfo& info = settings_.target_;
  info.agent_ = settings_.self_;
  info.incarnation_ = settings_.incarnation_;
  info.vm_ = settings_.vm_;
  info.data_centre_ = settings_.data_centre_;
  info.address_ = settings_.address_;
  if (info.kind_ == TargetKind::kService && info.memory_tokens_ == 0) {
    info.memory_tokens_ = kServiceTokens;
  }
  credit_sequence_ = settings_.incarnation_.Value() << kSequenceShift;
  std::mt19937_64 random(seed);
  const auto period = static_cast<uint64_t>(kAnnouncePeriod.Ms());
  announced_at_ = TimePoint(-static_cast<int64_t>(random() % period));
}

void AgentWork::OnMessage(TimePoint now, const Envelope& in,
                          const AgentView& view, Outbox& out) {
  view_ = view;
  std::visit(
      [&](const auto& body) {
        if constexpr (requires { Handle(now, in, body, out); }) {
          Handle(now, in, body, out);
        }
      },
      in.body_);
}

Capacity AgentWork::Free() const {
  const TargetInfo& info = settings_.target_;
  Capacity free{info.memory_tokens_ - streams_.RunningTokens(NodeId()),
                info.max_streams_ - streams_.RunningStreams(NodeId())};
  for (const auto& [lease, group] : groups_) {
    free.tokens_ -= group.tokens_;
  }
  return free;
}

TargetState AgentWork::State() const {
  if (stop_ready_) {
    return TargetState::kGone;
  }
  if (IsLeaving()) {
    return TargetState::kDraining;
  }
  const bool ready = fence_.State() == Ownership::kOwner && target_up_;
  return ready && view_.has_lease_ ? TargetState::kServing
                                   : TargetState::kJoining;
}

Result<void> AgentWork::CheckDispatch(const Dispatch& dispatch) const {
  const AttemptKey key{dispatch.spec_.request_, dispatch.attempt_};
  if (streams_.IsStale(key)) {
    const std::string detail = "attempt " + StreamName(key) + " is too old";
    return streams_.WasStarted(key.request_)
               ? MayHaveRun(Reason::kFenced, detail)
               : NotRun(Reason::kFenced, detail);
  }
  BOOST_OUTCOME_TRYV(
      fence_.Check(dispatch.target_, dispatch.target_incarnation_));
  const std::string& name = settings_.target_.target_.Value();
  if (IsLeaving()) {
    return NotRun(Reason::kStopping, "target " + name + " is leaving");
  }
  if (!view_.has_lease_) {
    return NotRun(Reason::kNoLease,
                  "the agent of target " + name + " has no settings lease");
  }
  if (!target_up_) {
    return NotRun(Reason::kTargetFailed, "target " + name + " does not answer");
  }
  if (dispatch.time_left_ <= Duration()) {
    return NotRun(Reason::kDeadline, "no time is left");
  }
  const bool grouped = !dispatch.group_lease_.IsNone();
  if (grouped && !groups_.contains(dispatch.group_lease_)) {
    return NotRun(Reason::kFenced, "the group's lease is over");
  }
  const Capacity free = Free();
  if (free.streams_ < 1 || free.tokens_ < ChargedTokens(dispatch)) {
    return NotRun(Reason::kOverloaded, "target " + name + " has no room");
  }
  return boost::outcome_v2::success();
}

void AgentWork::Refuse(const NodeId& entry, const Dispatch& dispatch,
                       const Verdict& verdict, Outbox& out) const {
  StreamEnd end;
  end.request_ = dispatch.spec_.request_;
  end.attempt_ = dispatch.attempt_;
  end.verdict_ = verdict;
  out.Send(Endpoint{entry, Port::kEntry}, end);
  const EventId id = verdict.reason_ == Reason::kFenced
                         ? EventId::kTargetFenced
                         : EventId::kRequestRefused;
  RecordEvent(id, end.request_, verdict.detail_, out);
}

bool AgentWork::ReplayClaim(TimePoint now, const NodeId& entry,
                            const Dispatch& dispatch, Outbox& out) {
  const AgentClaim* claim = claims_.Find(dispatch.claim_token_);
  if (claim == nullptr || claim->progress_ != ClaimProgress::kFinished) {
    return false;
  }
  AgentStream& stream = streams_.Start(now, entry, dispatch);
  stream.tokens_ = 0;
  TargetChunk chunk;
  chunk.text_ = claim->body_;
  AgentStreams::AddChunk(now, stream, chunk, out);
  AgentStreams::End(now, stream, true, Verdict(), claim->http_status_, out);
  return true;
}

void AgentWork::EndOlderAttempts(TimePoint now, const AttemptKey& key,
                                 Outbox& out) {
  auto& all = streams_.All();
  const auto first = all.lower_bound(AttemptKey{key.request_, {}});
  for (auto it = first; it != all.end() && it->first < key; ++it) {
    Abandon(now, it->second, Reason::kFenced, out);
  }
}

void AgentWork::Handle(TimePoint now, const Envelope& in, const Dispatch& body,
                       Outbox& out) {
  const NodeId& entry = in.from_.node_;
  const AttemptKey key{body.spec_.request_, body.attempt_};
  if (streams_.Find(key) != nullptr) {
    return;
  }
  const auto check = CheckDispatch(body);
  if (!check.has_value()) {
    streams_.Fence(now, key);
    Refuse(entry, body, check.error(), out);
    return;
  }
  Entry& record = entries_[entry];
  record.lease_until_ = std::max(record.lease_until_, now + kStreamLease);
  unknown_.erase(key);
  if (!body.spec_.idempotent_) {
    if (ReplayClaim(now, entry, body, out)) {
      return;
    }
    const auto claim = claims_.Start(now, entry, body);
    if (!claim.has_value()) {
      streams_.Fence(now, key);
      Refuse(entry, body, claim.error(), out);
      return;
    }
  }
  EndOlderAttempts(now, key, out);
  streams_.Start(now, entry, body);
  out.SendLocal(Port::kTarget, TargetCall{body, fence_.Token()});
}

void AgentWork::Handle(TimePoint now, const Envelope& in, const Cancel& body,
                       Outbox& out) {
  const AttemptKey key{body.request_, body.attempt_};
  streams_.Fence(now, key);
  AgentStream* stream = streams_.Find(key);
  if (stream != nullptr && stream->entry_ == in.from_.node_) {
    Abandon(now, *stream, Reason::kCancelled, out);
  }
}

void AgentWork::Handle(TimePoint /*now*/, const Envelope& in,
                       const PauseStream& body, Outbox& out) {
  const AttemptKey key{body.request_, body.attempt_};
  const AgentStream* stream = streams_.Find(key);
  const bool allowed =
      stream != nullptr && !stream->ended_ && stream->entry_ == in.from_.node_;
  if (!allowed || fence_.State() != Ownership::kOwner) {
    return;
  }
  out.SendLocal(Port::kTarget, TargetControl{body.request_, body.attempt_,
                                             false, body.paused_});
  RecordEvent(body.paused_ ? EventId::kStreamPaused : EventId::kStreamResumed,
              body.request_, "", out);
}

void AgentWork::Handle(TimePoint now, const Envelope& in,
                       const TestifyRequest& body, Outbox& out) {
  // Without a lease a newer owner may serve, and have met the claim.
  const FencingToken since =
      view_.has_lease_ ? fence_.ExclusiveSince() : FencingToken();
  out.Send(in.from_, claims_.Testify(now, body, since));
}

void AgentWork::Abandon(TimePoint now, AgentStream& stream, Reason reason,
                        Outbox& out) {
  const bool was_wanted = std::exchange(stream.wanted_, false);
  if (!stream.idempotent_) {
    if (stream.ended_ && was_wanted) {
      claims_.Report(stream.claim_token_);
    }
    return;
  }
  if (stream.ended_) {
    return;
  }
  if (fence_.State() != Ownership::kFenced) {
    out.SendLocal(
        Port::kTarget,
        TargetControl{stream.key_.request_, stream.key_.attempt_, true, false});
  }
  AgentStreams::End(now, stream, false, MayHaveRun(reason, "stream given up"),
                    0, out);
}

void AgentWork::RecordEvent(EventId id, RequestId request, std::string detail,
                            Outbox& out) const {
  Event event;
  event.id_ = id;
  event.request_ = request;
  event.target_ = settings_.target_.target_;
  event.detail_ = std::move(detail);
  out.Record(std::move(event));
}

}  // namespace gv
