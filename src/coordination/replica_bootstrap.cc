/** @file replica_bootstrap.cc The first start of a cluster. A disk counts as
 * one of the first ones only if all initial members were empty at that time, so
 * that a disk that was lost later cannot vote as if it remembered. */
#include "coordination/replica_core.h"

namespace gv {

bool ReplicaCore::IsFresh() const {
  return term_.IsNone() && log_.LastIndex().IsNone();
}

bool ReplicaCore::IsFirstStart() const {
  const size_t members = Membership().All().size();
  const bool all_ready = ready_ && ready_peers_.size() + 1 >= members;
  return bootstrap_ && IsFresh() && members > 0 &&
         Membership().Find(settings_.self_) != nullptr && !all_ready;
}

void ReplicaCore::ProbeFirstStart(TimePoint now, Outbox& out) {
  election_deadline_ = now + settings_.heartbeat_;
  RequestVotes(true, out);
  if (!ready_ && fresh_peers_.size() + 1 >= Membership().All().size()) {
    ready_ = true;
    disk_.SaveVote(term_, voted_for_, ready_, out);
  }
}

void ReplicaCore::OnFirstStartReply(TimePoint now, const NodeId& from,
                                    const VoteReply& reply, Outbox& out) {
  if (reply.term_ > term_ && !reply.granted_) {
    BecomeFollower(now, reply.term_, out);
    return;
  }
  if (Membership().Find(from) == nullptr) {
    return;
  }
  if (reply.fresh_) {
    fresh_peers_.insert(from);
  } else {
    fresh_peers_.erase(from);
  }
  if (reply.ready_) {
    ready_peers_.insert(from);
  }
  if (!IsFirstStart()) {
    ResetElectionTimer(now);
  }
}

}  // namespace gv
