/** @file agent_entries.cc Leases and credits of the entries that use an agent.
 */
#include <algorithm>

#include "coordination/agent_work.h"

namespace gv {

void AgentWork::MeetEntry(TimePoint now, const NodeId& entry,
                          Incarnation incarnation, Outbox& out) {
  const auto it = entries_.find(entry);
  const bool restarted = it != entries_.end() &&
                         !it->second.incarnation_.IsNone() &&
                         it->second.incarnation_ < incarnation;
  if (restarted) {
    LoseEntry(now, entry, out);
  }
  Entry& record = entries_[entry];
  record.incarnation_ = std::max(record.incarnation_, incarnation);
  record.lease_until_ = now + kStreamLease;
}

void AgentWork::LoseEntry(TimePoint now, const NodeId& entry, Outbox& out) {
  for (auto& [key, stream] : streams_.All()) {
    if (stream.entry_ == entry) {
      Abandon(now, stream, Reason::kConnectionLost, out);
    }
  }
  claims_.ReportAllOf(entry);
  entries_.erase(entry);
}

void AgentWork::Handle(TimePoint now, const Envelope& in,
                       const AgentHello& body, Outbox& out) {
  const NodeId& name = in.from_.node_;
  const auto known = entries_.find(name);
  if (known != entries_.end() &&
      body.incarnation_ < known->second.incarnation_) {
    return;
  }
  MeetEntry(now, name, body.incarnation_, out);
  Entry& record = entries_[name];
  credits_.Acknowledge(name, body.credit_sequence_);
  record.wanted_ = Capacity{body.wanted_tokens_, body.wanted_streams_};
  record.hello_sent_at_ = std::max(record.hello_sent_at_, body.sent_at_ms_);
  GrantCredit(now, name, record, out);
}

void AgentWork::GrantCredit(TimePoint now, const NodeId& entry, Entry& record,
                            Outbox& out) {
  const TargetState state = State();
  Capacity capacity;
  if (state == TargetState::kServing) {
    capacity = Capacity{settings_.target_.memory_tokens_,
                        settings_.target_.max_streams_};
    for (const auto& [lease, group] : groups_) {
      capacity.tokens_ -= group.tokens_;
    }
  }
  credits_.SetCapacity(capacity);
  const Capacity demand{
      std::max(record.wanted_.tokens_, streams_.RunningTokens(entry)),
      std::max(record.wanted_.streams_, streams_.RunningStreams(entry))};
  const Capacity granted =
      credits_.Grant(now, entry, demand, ++credit_sequence_);
  CreditGrant grant;
  grant.target_ = settings_.target_.target_;
  grant.incarnation_ = settings_.incarnation_;
  grant.sequence_ = credit_sequence_;
  grant.tokens_ = granted.tokens_;
  grant.streams_ = granted.streams_;
  grant.duration_ = kCreditDuration;
  grant.state_ = state;
  grant.sent_at_ms_ = record.hello_sent_at_;
  out.Send(Endpoint{entry, Port::kEntry}, grant);
}

void AgentWork::GrantAll(TimePoint now, Outbox& out) {
  for (auto& [entry, record] : entries_) {
    GrantCredit(now, entry, record, out);
  }
}

void AgentWork::Handle(TimePoint now, const Envelope& in,
                       const StreamKeepalive& body, Outbox& out) {
  const NodeId& entry = in.from_.node_;
  const auto known = entries_.find(entry);
  if (known != entries_.end() &&
      body.incarnation_ < known->second.incarnation_) {
    return;
  }
  MeetEntry(now, entry, body.incarnation_, out);
  KeepListed(now, entry, body, out);
  AbandonUnlisted(now, entry, body, out);
}

void AgentWork::KeepListed(TimePoint now, const NodeId& entry,
                           const StreamKeepalive& body, Outbox& out) {
  for (size_t i = 0; i < body.requests_.size(); ++i) {
    if (i >= body.attempts_.size()) {
      continue;
    }
    const AttemptKey key{body.requests_[i], body.attempts_[i]};
    AgentStream* stream = streams_.Find(key);
    if (stream == nullptr) {
      AnswerUnknown(now, entry, key, out);
      continue;
    }
    unknown_.erase(key);
    const uint64_t received = i < body.received_.size() ? body.received_[i] : 0;
    AgentStreams::Acknowledge(now, *stream, received, out);
  }
}

void AgentWork::AnswerUnknown(TimePoint now, const NodeId& entry,
                              const AttemptKey& key, Outbox& out) {
  const auto [it, added] = unknown_.emplace(key, now);
  if (added || now - it->second < kUnlistedGrace) {
    return;
  }
  unknown_.erase(it);
  streams_.Fence(now, key);
  StreamEnd end;
  end.request_ = key.request_;
  end.attempt_ = key.attempt_;
  end.verdict_ =
      MayHaveRun(Reason::kConnectionLost,
                 "the agent does not know attempt " + StreamName(key));
  out.Send(Endpoint{entry, Port::kEntry}, end);
}

void AgentWork::AbandonUnlisted(TimePoint now, const NodeId& entry,
                                const StreamKeepalive& body, Outbox& out) {
  const std::set<RequestId> listed(body.requests_.begin(),
                                   body.requests_.end());
  for (auto& [key, stream] : streams_.All()) {
    const bool kept = stream.entry_ != entry || listed.contains(key.request_) ||
                      now - stream.started_ < kUnlistedGrace;
    if (kept) {
      continue;
    }
    if (stream.ended_) {
      stream.wanted_ = false;
    } else {
      Abandon(now, stream, Reason::kCancelled, out);
    }
  }
}

void AgentWork::Handle(TimePoint now, const Envelope& /*in*/,
                       const PeerDown& body, Outbox& /*out*/) {
  const auto it = entries_.find(body.peer_);
  if (it != entries_.end()) {
    it->second.lease_until_ =
        std::min(it->second.lease_until_, now + kPeerDownLease);
  }
}

void AgentWork::ExpireLeases(TimePoint now, Outbox& out) {
  std::vector<NodeId> lost;
  for (const auto& [entry, record] : entries_) {
    if (record.lease_until_ <= now) {
      lost.push_back(entry);
    }
  }
  for (const NodeId& entry : lost) {
    LoseEntry(now, entry, out);
  }
  std::erase_if(unknown_, [now](const auto& item) {
    return now - item.second > kStreamLease;
  });
  for (auto it = groups_.begin(); it != groups_.end();) {
    const bool over = it->second.lease_until_ <= now;
    if (over) {
      ReleaseName(GroupName(it->first), "lease ran out", out);
    }
    it = over ? groups_.erase(it) : std::next(it);
  }
}

void AgentWork::EndOverdue(TimePoint now, Outbox& out) {
  for (auto& [key, stream] : streams_.All()) {
    const bool overdue = !stream.ended_ && stream.deadline_ <= now;
    if (!overdue || !stream.idempotent_) {
      continue;
    }
    out.SendLocal(Port::kTarget,
                  TargetControl{key.request_, key.attempt_, true, false});
    AgentStreams::End(now, stream, false,
                      MayHaveRun(Reason::kDeadline, "the deadline passed"), 0,
                      out);
  }
}

void AgentWork::Handle(TimePoint now, const Envelope& in, const GroupHold& body,
                       Outbox& out) {
  const auto it = groups_.find(body.lease_);
  if (body.release_) {
    if (it != groups_.end()) {
      ReleaseName(GroupName(body.lease_), "released by control", out);
      groups_.erase(it);
    }
    return;
  }
  if (it != groups_.end()) {
    it->second.lease_until_ = now + body.duration_;
    if (it->second.reserved_) {
      AnswerGroup(body.lease_, in.from_.node_, true, out);
    }
    return;
  }
  const bool room =
      State() == TargetState::kServing && Free().tokens_ >= body.tokens_;
  if (!room) {
    AnswerGroup(body.lease_, in.from_.node_, false, out);
    return;
  }
  groups_[body.lease_] = Group{body.request_, in.from_.node_, body.tokens_,
                               now + body.duration_, false};
  out.SendLocal(Port::kTarget, TargetReserve{GroupName(body.lease_),
                                             body.tokens_, fence_.Token()});
}

void AgentWork::AnswerGroup(LeaseId lease, const NodeId& control, bool held,
                            Outbox& out) const {
  out.Send(Endpoint{control, Port::kControl},
           GroupHeld{lease, settings_.target_.target_, held});
}

}  // namespace gv
