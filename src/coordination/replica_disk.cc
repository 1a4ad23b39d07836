/** @file replica_disk.cc Sequence numbers, durable index and held messages. */
#include "coordination/replica_disk.h"

#include <algorithm>
#include <utility>

namespace gv {

void ReplicaDisk::SaveVote(Term term, const NodeId& voted_for, bool ready,
                           Outbox& out) {
  vote_sequence_ = ++last_sequence_;
  out.SendLocal(Port::kDisk,
                DiskSaveVote{last_sequence_, term, voted_for, ready});
}

void ReplicaDisk::Append(LogIndex truncate_from, std::vector<LogEntry> entries,
                         Outbox& out) {
  if (!truncate_from.IsNone()) {
    CapAt(truncate_from.Previous());
  }
  ++last_sequence_;
  if (!entries.empty()) {
    pending_.push_back(PendingWrite{last_sequence_, entries.back().index_});
  }
  out.SendLocal(Port::kDisk,
                DiskAppend{last_sequence_, truncate_from, std::move(entries)});
}

void ReplicaDisk::SaveSnapshot(LogIndex index, Term term, std::string data,
                               Outbox& out) {
  ++last_sequence_;
  pending_.push_back(PendingWrite{last_sequence_, index});
  out.SendLocal(Port::kDisk, DiskSaveSnapshot{last_sequence_, index, term,
                                              std::move(data), false});
}

void ReplicaDisk::InstallSnapshot(LogIndex index, Term term, std::string data,
                                  LogIndex commit, Outbox& out) {
  CapAt(commit);
  ++last_sequence_;
  pending_.push_back(PendingWrite{last_sequence_, index});
  out.SendLocal(Port::kDisk, DiskSaveSnapshot{last_sequence_, index, term,
                                              std::move(data), true});
}

void ReplicaDisk::SendWhenSynced(Term term, const Endpoint& to, Message body,
                                 Outbox& out) {
  SendAfter(last_sequence_, term, to, std::move(body), out);
}

void ReplicaDisk::SendWhenVoteSynced(Term term, const Endpoint& to,
                                     Message body, Outbox& out) {
  SendAfter(vote_sequence_, term, to, std::move(body), out);
}

void ReplicaDisk::OnSynced(const DiskSynced& synced, Term current,
                           Outbox& out) {
  if (failed_) {
    return;
  }
  synced_ = std::max(synced_, synced.sequence_);
  while (!pending_.empty() && pending_.front().sequence_ <= synced_) {
    durable_ = std::max(durable_, pending_.front().last_index_);
    pending_.pop_front();
  }
  std::vector<HeldMessage> kept;
  for (HeldMessage& held : held_) {
    if (held.sequence_ > synced_) {
      kept.push_back(std::move(held));
    } else if (held.term_ == current) {
      out.Send(std::move(held.to_), std::move(held.body_));
    }
  }
  held_ = std::move(kept);
}

void ReplicaDisk::Fail() {
  failed_ = true;
  held_.clear();
  pending_.clear();
}

void ReplicaDisk::SendAfter(uint64_t sequence, Term term, const Endpoint& to,
                            Message body, Outbox& out) {
  if (failed_) {
    return;
  }
  if (sequence <= synced_) {
    out.Send(to, std::move(body));
  } else {
    held_.push_back(HeldMessage{sequence, term, to, std::move(body)});
  }
}

void ReplicaDisk::CapAt(LogIndex last) {
  durable_ = std::min(durable_, last);
  for (PendingWrite& write : pending_) {
    write.last_index_ = std::min(write.last_index_, last);
  }
}

}  // namespace gv
