/** @file replica_snapshot.cc Takes, sends and installs snapshots in bounded
 * chunks. */
#include <algorithm>

#include "coordination/replica_core.h"

namespace gv {

bool ReplicaCore::WantsSnapshot() const {
  return taken_.Value() >=
         snapshot_index_.Value() + settings_.snapshot_entries_;
}

void ReplicaCore::SaveSnapshot(TimePoint /*now*/, LogIndex applied_index,
                               std::string data, Outbox& out) {
  const std::optional<Term> term = log_.TermAt(applied_index);
  if (disk_.HasFailed() || applied_index > taken_ ||
      applied_index <= snapshot_index_ || !term.has_value()) {
    return;
  }
  snapshot_ = EncodeSnapshot(
      ReplicaSnapshot{MembershipAt(applied_index), std::move(data)});
  snapshot_index_ = applied_index;
  snapshot_term_ = *term;
  disk_.SaveSnapshot(snapshot_index_, snapshot_term_, snapshot_, out);
  ForgetMembershipsBefore(snapshot_index_);
  if (snapshot_index_.Value() > settings_.tail_entries_) {
    log_.DropUpTo(LogIndex(snapshot_index_.Value() - settings_.tail_entries_));
  }
  Record(EventId::kSnapshotTaken,
         "index " + std::to_string(snapshot_index_.Value()), out);
}

void ReplicaCore::ForgetMembershipsBefore(LogIndex index) {
  while (memberships_.size() > 1 && memberships_[1].first <= index) {
    memberships_.erase(memberships_.begin());
  }
}

void ReplicaCore::SendSnapshotChunk(const NodeId& node, Peer& peer,
                                    Outbox& out) {
  if (peer.snapshot_index_ != snapshot_index_) {
    peer.snapshot_index_ = snapshot_index_;
    peer.snapshot_offset_ = 0;
  }
  SnapshotChunk chunk;
  chunk.term_ = term_;
  chunk.last_index_ = snapshot_index_;
  chunk.last_term_ = snapshot_term_;
  chunk.offset_ = peer.snapshot_offset_;
  chunk.total_ = snapshot_.size();
  if (peer.snapshot_offset_ < snapshot_.size()) {
    chunk.data_ =
        snapshot_.substr(peer.snapshot_offset_, settings_.batch_bytes_);
  }
  out.Send(To(node), std::move(chunk));
}

void ReplicaCore::OnSnapshotReply(TimePoint now, const NodeId& from,
                                  const SnapshotReply& reply, Outbox& out) {
  if (reply.term_ > term_) {
    BecomeFollower(now, reply.term_, out);
    return;
  }
  const auto found = peers_.find(from);
  if (!IsLeader() || reply.term_ != term_ || found == peers_.end()) {
    return;
  }
  Peer& peer = found->second;
  peer.heard_ = now;
  const bool current =
      peer.snapshot_ && reply.last_index_ == peer.snapshot_index_;
  if (!current || reply.disk_ != peer.disk_ ||
      reply.next_offset_ == peer.snapshot_offset_) {
    return;
  }
  peer.snapshot_offset_ = reply.next_offset_;
  if (peer.snapshot_offset_ < snapshot_.size()) {
    SendSnapshotChunk(from, peer, out);
  }
}

void ReplicaCore::OnSnapshotChunk(TimePoint now, const NodeId& from,
                                  const SnapshotChunk& chunk, Outbox& out) {
  if (!FollowLeader(now, from, chunk.term_, out)) {
    disk_.SendWhenVoteSynced(
        term_, To(from), AppendReply{term_, false, {}, 0, DiskIdentity()}, out);
    return;
  }
  if (chunk.last_index_ <= commit_) {
    AppendReply reply{term_, true, std::min(commit_, disk_.Durable()), 0,
                      DiskIdentity()};
    disk_.SendWhenVoteSynced(term_, To(from), reply, out);
    return;
  }
  if (incoming_.index_ != chunk.last_index_ ||
      incoming_.term_ != chunk.last_term_) {
    incoming_ = Incoming{chunk.last_index_, chunk.last_term_, {}};
  }
  if (chunk.offset_ == incoming_.data_.size()) {
    incoming_.data_ += chunk.data_;
  }
  disk_.SendWhenVoteSynced(
      term_, To(from),
      SnapshotReply{term_, chunk.last_index_, incoming_.data_.size(),
                    DiskIdentity()},
      out);
  if (incoming_.data_.size() >= chunk.total_ && InstallSnapshot(out)) {
    disk_.SendWhenSynced(term_, To(from),
                         AppendReply{term_, true, commit_, 0, DiskIdentity()},
                         out);
  }
}

bool ReplicaCore::InstallSnapshot(Outbox& out) {
  Incoming incoming = std::exchange(incoming_, Incoming());
  Result<ReplicaSnapshot> decoded = DecodeSnapshot(incoming.data_);
  if (!decoded.has_value()) {
    Record(EventId::kBadInput, decoded.error().detail_, out);
    return false;
  }
  const bool tail_matches = log_.TermAt(incoming.index_) == incoming.term_;
  if (!tail_matches) {
    log_.Reset(incoming.index_, incoming.term_);
    memberships_.clear();
    memberships_.emplace_back(incoming.index_, decoded.value().members_);
  }
  snapshot_index_ = incoming.index_;
  snapshot_term_ = incoming.term_;
  snapshot_ = std::move(incoming.data_);
  if (tail_matches) {
    disk_.SaveSnapshot(snapshot_index_, snapshot_term_, snapshot_, out);
  } else {
    disk_.InstallSnapshot(snapshot_index_, snapshot_term_, snapshot_, commit_,
                          out);
  }
  ForgetMembershipsBefore(snapshot_index_);
  commit_ = snapshot_index_;
  taken_ = snapshot_index_;
  reported_ = std::max(reported_, snapshot_index_);
  installed_ = std::move(decoded.value().data_);
  Record(EventId::kSnapshotInstalled,
         "index " + std::to_string(snapshot_index_.Value()), out);
  return true;
}

}  // namespace gv
