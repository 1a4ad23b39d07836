/** @file agent_streams.cc Attempts that an agent runs or remembers. */
#include "coordination/agent_streams.h"

#include <algorithm>
#include <utility>

namespace gv {
namespace {

Endpoint EntryOf(const AgentStream& stream) {
  return Endpoint{stream.entry_, Port::kEntry};
}

}  // namespace

int64_t ChargedTokens(const Dispatch& dispatch) {
  const bool engine = dispatch.spec_.kind_ == TargetKind::kEngine;
  if (!engine || !dispatch.group_lease_.IsNone()) {
    return 0;
  }
  return dispatch.spec_.prompt_tokens_ + dispatch.spec_.max_output_tokens_;
}

AgentStream* AgentStreams::Find(const AttemptKey& key) {
  const auto it = streams_.find(key);
  return it == streams_.end() ? nullptr : &it->second;
}

bool AgentStreams::IsStale(const AttemptKey& key) const {
  const auto it = newest_.find(key.request_);
  if (it == newest_.end()) {
    return false;
  }
  const Newest& newest = it->second;
  return key.attempt_ < newest.attempt_ ||
         (newest.fenced_ && key.attempt_ == newest.attempt_);
}

bool AgentStreams::WasStarted(RequestId request) const {
  const auto it = newest_.find(request);
  return it != newest_.end() && it->second.started_;
}

AgentStreams::Newest& AgentStreams::Remember(TimePoint now,
                                             const AttemptKey& key) {
  Newest& newest = newest_[key.request_];
  if (key.attempt_ > newest.attempt_) {
    newest.attempt_ = key.attempt_;
    newest.fenced_ = false;
  }
  newest.seen_at_ = now;
  by_age_.emplace_back(now, key.request_);
  return newest;
}

void AgentStreams::Fence(TimePoint now, const AttemptKey& key) {
  Newest& newest = Remember(now, key);
  newest.fenced_ = newest.fenced_ || newest.attempt_ == key.attempt_;
}

AgentStream& AgentStreams::Start(TimePoint now, const NodeId& entry,
                                 const Dispatch& dispatch) {
  const AttemptKey key{dispatch.spec_.request_, dispatch.attempt_};
  Newest& newest = Remember(now, key);
  newest.fenced_ = true;
  newest.started_ = true;
  AgentStream& stream = streams_[key];
  stream.key_ = key;
  stream.entry_ = entry;
  stream.team_ = dispatch.spec_.team_;
  stream.idempotency_key_ = dispatch.spec_.key_;
  stream.idempotent_ = dispatch.spec_.idempotent_;
  stream.claim_token_ = dispatch.claim_token_;
  stream.tokens_ = ChargedTokens(dispatch);
  stream.started_ = now;
  stream.progress_at_ = now;
  stream.listed_at_ = now;
  stream.deadline_ = now + dispatch.time_left_;
  return stream;
}

void AgentStreams::AddChunk(TimePoint now, AgentStream& stream,
                            const TargetChunk& chunk, Outbox& out) {
  if (stream.acknowledged_ == stream.chunks_.size()) {
    stream.progress_at_ = now;
  }
  StreamChunk& added = stream.chunks_.emplace_back();
  added.request_ = stream.key_.request_;
  added.attempt_ = stream.key_.attempt_;
  added.sequence_ = stream.chunks_.size() - 1;
  added.text_ = chunk.text_;
  added.tokens_ = chunk.tokens_;
  if (stream.wanted_) {
    out.Send(EntryOf(stream), added);
  }
}

void AgentStreams::End(TimePoint now, AgentStream& stream, bool ok,
                       const Verdict& verdict, uint32_t http_status,
                       Outbox& out) {
  stream.ended_ = true;
  stream.ended_at_ = now;
  if (stream.acknowledged_ == stream.chunks_.size()) {
    stream.progress_at_ = now;
  }
  stream.end_ = StreamEnd{stream.key_.request_,
                          stream.key_.attempt_,
                          stream.chunks_.size(),
                          ok,
                          verdict,
                          http_status};
  if (stream.wanted_) {
    out.Send(EntryOf(stream), stream.end_);
  }
}

void AgentStreams::Acknowledge(TimePoint now, AgentStream& stream,
                               uint64_t received, Outbox& out) {
  stream.listed_at_ = now;
  const uint64_t count = std::min<uint64_t>(received, stream.chunks_.size());
  if (count > stream.acknowledged_) {
    stream.progress_at_ = now;
  }
  for (; stream.acknowledged_ < count; ++stream.acknowledged_) {
    if (stream.idempotent_) {
      stream.chunks_[stream.acknowledged_].text_ = std::string();
    }
  }
  const bool missing =
      stream.ended_ || stream.acknowledged_ < stream.chunks_.size();
  if (missing && now - stream.progress_at_ >= kResendAfter) {
    Resend(now, stream, out);
  }
}

void AgentStreams::Resend(TimePoint now, AgentStream& stream, Outbox& out) {
  stream.progress_at_ = now;
  for (size_t i = stream.acknowledged_; i < stream.chunks_.size(); ++i) {
    out.Send(EntryOf(stream), stream.chunks_[i]);
  }
  if (stream.ended_) {
    out.Send(EntryOf(stream), stream.end_);
  }
}

void AgentStreams::OnTick(TimePoint now) {
  std::erase_if(streams_, [this, now](const auto& item) {
    const AgentStream& stream = item.second;
    const TimePoint needed = std::max(stream.ended_at_, stream.listed_at_);
    const bool over =
        stream.ended_ && (!stream.wanted_ || now - needed > kEndedLinger);
    if (over && now - stream.started_ > kAttemptMemory / 2) {
      // A long attempt may be forgotten by now, or soon.
      Fence(now, stream.key_);
      newest_[stream.key_.request_].started_ = true;
    }
    return over;
  });
  while (!by_age_.empty() && (now - by_age_.front().first > kAttemptMemory ||
                              by_age_.size() > kMaxAttempts)) {
    const auto [seen_at, request] = by_age_.front();
    by_age_.pop_front();
    const auto it = newest_.find(request);
    if (it != newest_.end() && it->second.seen_at_ == seen_at) {
      newest_.erase(it);
    }
  }
}

int64_t AgentStreams::RunningTokens(const NodeId& entry) const {
  int64_t sum = 0;
  for (const auto& [key, stream] : streams_) {
    const bool counted = entry.IsNone() || stream.entry_ == entry;
    sum += !stream.ended_ && counted ? stream.tokens_ : 0;
  }
  return sum;
}

int64_t AgentStreams::RunningStreams(const NodeId& entry) const {
  return std::count_if(
      streams_.begin(), streams_.end(), [&entry](const auto& item) {
        const AgentStream& stream = item.second;
        return !stream.ended_ && (entry.IsNone() || stream.entry_ == entry);
      });
}

}  // namespace gv
