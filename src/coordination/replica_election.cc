/** @file replica_election.cc Pre-votes, votes and terms of a replica. */
#include <algorithm>

#include "coordination/replica_core.h"

namespace gv {
namespace {

/** Steps a splitmix64 generator. */
uint64_t NextRandom(uint64_t& state) {
  state += 0x9e3779b97f4a7c15ULL;
  uint64_t z = state;
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
  return z ^ (z >> 31);
}

}  // namespace

void ReplicaCore::ResetElectionTimer(TimePoint now) {
  const int64_t spread =
      (settings_.election_max_ - settings_.election_min_).Ms() + 1;
  const auto extra =
      static_cast<int64_t>(NextRandom(random_) % static_cast<uint64_t>(spread));
  election_deadline_ = now + settings_.election_min_ + Duration(extra);
}

bool ReplicaCore::HeardLeader(TimePoint now) const {
  return IsLeader() || now - leader_heard_ < settings_.election_min_;
}

void ReplicaCore::StartPreVote(TimePoint now, Outbox& out) {
  role_ = ReplicaRole::kPreCandidate;
  leader_ = NodeId();
  votes_.clear();
  ResetElectionTimer(now);
  RequestVotes(true, out);
  CountVote(now, settings_.self_, out);
}

void ReplicaCore::StartElection(TimePoint now, Outbox& out) {
  role_ = ReplicaRole::kCandidate;
  votes_.clear();
  term_ = term_.Next();
  voted_for_ = settings_.self_;
  ResetElectionTimer(now);
  // The requests go out once this vote is synced.
  disk_.SaveVote(term_, voted_for_, ready_, out);
}

void ReplicaCore::RequestVotes(bool pre_vote, Outbox& out) {
  const Term term = pre_vote ? term_.Next() : term_;
  for (const ReplicaMember& member : Membership().All()) {
    if (member.voter_ && member.node_ != settings_.self_) {
      out.Send(To(member.node_),
               VoteRequest{term, log_.LastIndex(), log_.LastTerm(), pre_vote});
    }
  }
}

bool ReplicaCore::MayVoteFor(TimePoint now, const VoteRequest& request) const {
  if (!IsVoter() || HeardLeader(now)) {
    return false;
  }
  if (request.last_term_ != log_.LastTerm()) {
    return request.last_term_ > log_.LastTerm();
  }
  return request.last_index_ >= log_.LastIndex();
}

void ReplicaCore::OnVoteRequest(TimePoint now, const NodeId& from,
                                const VoteRequest& request, Outbox& out) {
  VoteReply reply{term_,          request.pre_vote_, false,
                  DiskIdentity(), IsFresh(),         false};
  reply.ready_ = ready_ && disk_.VoteSynced();
  const bool may_vote = MayVoteFor(now, request);
  if (request.pre_vote_) {
    if (may_vote && request.term_ > term_) {
      reply.granted_ = true;
      reply.term_ = request.term_;
    }
    out.Send(To(from), reply);
    return;
  }
  if (request.term_ > term_ && !HeardLeader(now)) {
    BecomeFollower(now, request.term_, out);
  }
  reply.term_ = term_;
  const bool free = voted_for_.IsNone() || voted_for_ == from;
  if (request.term_ == term_ && may_vote && free) {
    reply.granted_ = true;
    if (voted_for_.IsNone()) {
      voted_for_ = from;
      disk_.SaveVote(term_, voted_for_, ready_, out);
      Record(EventId::kVoteGranted,
             from.Value() + " term " + std::to_string(term_.Value()), out);
    }
    ResetElectionTimer(now);
  }
  disk_.SendWhenVoteSynced(term_, To(from), reply, out);
}

void ReplicaCore::OnVoteReply(TimePoint now, const NodeId& from,
                              const VoteReply& reply, Outbox& out) {
  if (IsFirstStart()) {
    OnFirstStartReply(now, from, reply, out);
    return;
  }
  if (!reply.granted_) {
    if (reply.term_ > term_) {
      BecomeFollower(now, reply.term_, out);
    }
    return;
  }
  const bool pre_vote = role_ == ReplicaRole::kPreCandidate &&
                        reply.pre_vote_ && reply.term_ == term_.Next();
  const bool vote = role_ == ReplicaRole::kCandidate && !reply.pre_vote_ &&
                    reply.term_ == term_;
  if ((pre_vote || vote) && Membership().IsVoter(from, reply.disk_)) {
    CountVote(now, from, out);
  }
}

void ReplicaCore::CountVote(TimePoint now, const NodeId& voter, Outbox& out) {
  votes_.insert(voter);
  if (!IsVoter() || votes_.size() < Membership().Quorum()) {
    return;
  }
  if (role_ == ReplicaRole::kPreCandidate) {
    StartElection(now, out);
  } else if (role_ == ReplicaRole::kCandidate) {
    BecomeLeader(now, out);
  }
}

void ReplicaCore::BecomeLeader(TimePoint now, Outbox& out) {
  role_ = ReplicaRole::kLeader;
  leader_ = settings_.self_;
  peers_.clear();
  rounds_.clear();
  Record(EventId::kLeaderElected, "term " + std::to_string(term_.Value()), out);
  // Of the time before its term this leader knows no answers.
  SyncPeers(TimePoint());
  StartRound(now, out);
  term_start_ = log_.LastIndex().Next();
  const bool members_logged = !memberships_.back().first.IsNone();
  if (members_logged) {
    AppendOwn(EntryKind::kNoop, std::string(), out);
  } else {
    AppendOwn(EntryKind::kMembership, Membership().Encode(), out);
  }
}

}  // namespace gv
