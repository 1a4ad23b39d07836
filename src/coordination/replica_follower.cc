/** @file replica_follower.cc Receives entries from a leader. */
#include <algorithm>

#include "coordination/replica_core.h"

namespace gv {

bool ReplicaCore::FollowLeader(TimePoint now, const NodeId& from, Term term,
                               Outbox& out) {
  if (term < term_ || (term == term_ && IsLeader())) {
    return false;
  }
  if (term > term_ || role_ != ReplicaRole::kFollower) {
    BecomeFollower(now, term, out);
  }
  leader_ = from;
  leader_heard_ = now;
  ResetElectionTimer(now);
  return true;
}

void ReplicaCore::OnAppendRequest(TimePoint now, const NodeId& from,
                                  const AppendRequest& request, Outbox& out) {
  AppendReply reply;
  reply.round_ = request.round_;
  reply.disk_ = DiskIdentity();
  if (!FollowLeader(now, from, request.term_, out)) {
    reply.term_ = term_;
    disk_.SendWhenVoteSynced(term_, To(from), reply, out);
    return;
  }
  reply.term_ = term_;
  const LogIndex previous = request.previous_index_;
  const bool covered = previous < log_.BaseIndex();
  if (!covered && log_.TermAt(previous) != request.previous_term_) {
    reply.match_index_ = ConflictHint(request);
    disk_.SendWhenVoteSynced(term_, To(from), reply, out);
    return;
  }
  const LogIndex last(previous.Value() + request.entries_.size());
  if (!StoreEntries(request, out)) {
    return;
  }
  reply.success_ = true;
  const LogIndex verified = std::max(last, std::min(commit_, log_.LastIndex()));
  Commit(std::min(request.commit_index_, verified), out);
  if (request.entries_.empty() || verified <= disk_.Durable()) {
    reply.match_index_ = std::min(verified, disk_.Durable());
    disk_.SendWhenVoteSynced(term_, To(from), reply, out);
  } else {
    reply.match_index_ = verified;
    disk_.SendWhenSynced(term_, To(from), reply, out);
  }
}

LogIndex ReplicaCore::ConflictHint(const AppendRequest& request) const {
  if (request.previous_index_ > log_.LastIndex()) {
    return log_.LastIndex();
  }
  const LogIndex first = log_.FirstOfTerm(request.previous_index_);
  const LogIndex hint = first.IsNone() ? first : first.Previous();
  return std::max(hint, commit_);
}

bool ReplicaCore::StoreEntries(const AppendRequest& request, Outbox& out) {
  LogIndex truncate_from;
  std::vector<LogEntry> fresh;
  for (const LogEntry& entry : request.entries_) {
    if (entry.index_ <= log_.BaseIndex()) {
      continue;
    }
    if (fresh.empty() && log_.TermAt(entry.index_) == entry.term_) {
      continue;
    }
    if (fresh.empty() && entry.index_ <= log_.LastIndex()) {
      truncate_from = entry.index_;
    }
    fresh.push_back(entry);
  }
  if (fresh.empty()) {
    return true;
  }
  if (fresh.front().index_ <= commit_ ||
      fresh.front().index_ > log_.LastIndex().Next()) {
    Record(EventId::kBadInput, "entries contradict the committed log", out);
    return false;
  }
  if (!truncate_from.IsNone()) {
    TruncateFrom(truncate_from);
  }
  for (const LogEntry& entry : fresh) {
    PushMembership(entry, out);
    log_.Append(entry);
  }
  disk_.Append(truncate_from, std::move(fresh), out);
  return true;
}

void ReplicaCore::TruncateFrom(LogIndex index) {
  log_.TruncateFrom(index);
  while (memberships_.size() > 1 && memberships_.back().first >= index) {
    memberships_.pop_back();
  }
}

}  // namespace gv
