/** @file registry_core.cc Dispatch, operators' calls and committed entries of
 * the registry. */
#include "coordination/gateway/registry_core.h"

#include <algorithm>
#include <type_traits>

namespace gv {

RegistryCore::RegistryCore(RegistrySettings settings)
    : settings_(std::move(settings)), last_operation_(settings_.seed_ >> 1) {
  nodes_.insert(settings_.self_);
}

void RegistryCore::AttachReplica(ReplicaCore replica) {
  replica_.emplace(std::move(replica));
}

void RegistryCore::OnMessage(TimePoint now, const Envelope& in, Outbox& out) {
  if (replica_) {
    StepReplica(now, in, out);
  }
  Dispatch(now, in, out);
}

void RegistryCore::Dispatch(TimePoint now, const Envelope& in, Outbox& out) {
  const NodeId& from = in.from_.node_;
  std::visit(
      [&](const auto& body) {
        using T = std::decay_t<decltype(body)>;
        if constexpr (std::is_same_v<T, Tick>) {
          OnTick(now, out);
        } else if constexpr (std::is_same_v<T, RegistryPoll>) {
          OnPoll(now, from, body, out);
        } else if constexpr (std::is_same_v<T, RegistryStatus>) {
          OnStatus(now, from, body, out);
        } else if constexpr (std::is_same_v<T, ConfigurationPush>) {
          OnPush(body, out);
        } else if constexpr (std::is_same_v<T, TargetGossip>) {
          OnGossip(now, from, body, out);
        } else if constexpr (std::is_same_v<T, TargetsHeard>) {
          OnTargetsHeard(now, body);
        } else if constexpr (std::is_same_v<T, TargetsSilent>) {
          OnTargetsSilent(from, body, out);
        } else if constexpr (std::is_same_v<T, TargetQuery>) {
          OnTargetQuery(now, from, body, out);
        } else if constexpr (std::is_same_v<T, ChangeForward>) {
          OnChange(now, in.from_, body, out);
        } else if constexpr (std::is_same_v<T, ChangeOutcome>) {
          OnOutcome(body.operation_, body.accepted_, OperationState::kAccepted,
                    0);
        } else if constexpr (std::is_same_v<T, ReadForward>) {
          OnRead(now, in.from_, body, out);
        } else if constexpr (std::is_same_v<T, ReadOutcome>) {
          OnOutcome(body.operation_, body.confirmed_,
                    OperationState::kConfirmed, body.version_);
        }
      },
      in.body_);
}

void RegistryCore::OnTick(TimePoint now, Outbox& out) {
  if (now >= next_poll_) {
    Poll(now, out);
  }
  if (now >= next_gossip_) {
    next_gossip_ = now + kGossipPeriod;
    FlushRefreshed(out);
    JudgeSilence(now, out);
  }
  if (now >= next_spread_) {
    FlushChanged(now, out);
  }
  if (replica_ && now >= next_membership_) {
    next_membership_ = now + kMembershipPeriod;
    SteerMembership(now, out);
  }
  for (auto& [id, waiting] : waiting_) {
    if (!waiting.sent_) {
      SendWaiting(id, waiting, out);
    }
  }
  ExpireWaiting(now, out);
}

bool RegistryCore::MayLead(TimePoint now) const {
  return replica_ && replica_->IsLeader() && !replica_->HasDiskFailed() &&
         replica_->HasCommittedInTerm() && replica_->HasLeaderLease(now);
}

void RegistryCore::StepReplica(TimePoint now, const Envelope& in, Outbox& out) {
  const bool led = replica_->IsLeader();
  replica_->OnMessage(now, in, out);
  ApplyCommitted(now, out);
  if (!replica_->IsLeader()) {
    if (!replica_->Leader().IsNone()) {
      leader_ = replica_->Leader();
    }
    return;
  }
  if (!led) {
    led_since_ = now;
    // Registrations went to the leader before.
    targets_.HearAll(now);
  }
  leader_ = settings_.self_;
}

void RegistryCore::ApplyCommitted(TimePoint now, Outbox& out) {
  if (auto snapshot = replica_->TakeInstalledSnapshot()) {
    const Result<void> put = accepted_.PutEncoded(*snapshot);
    if (!put.has_value()) {
      Record(EventId::kBadInput, put.error().detail_, out);
    }
  }
  const std::vector<LogEntry> entries = replica_->TakeCommitted();
  for (const LogEntry& entry : entries) {
    applied_ = entry.index_;
    log_bytes_ += EntryBytes(entry);
    if (entry.kind_ == EntryKind::kCommand) {
      const Result<void> put = accepted_.PutEncoded(entry.payload_);
      if (!put.has_value()) {
        Record(EventId::kBadInput, put.error().detail_, out);
      }
    }
    for (Proposed& proposed : proposed_) {
      if (proposed.index_ == entry.index_) {
        const bool accepted = proposed.term_ == entry.term_;
        out.Send(proposed.origin_,
                 ChangeOutcome{proposed.operation_, accepted});
        proposed.index_ = LogIndex();
      }
    }
  }
  std::erase_if(proposed_, [](const Proposed& proposed) {
    return proposed.index_.IsNone();
  });
  if (accepted_.Version() > served_.Version()) {
    Serve(accepted_.Version(), accepted_.Text(), out);
    pushed_ = false;
  }
  if (!pushed_ && replica_->IsLeader()) {
    pushed_ = true;
    PushToPollers(out);
  }
  SettleProposals(out);
  SaveSnapshotIfWanted(now, out);
}

void RegistryCore::SettleProposals(Outbox& out) {
  // Entries below the commit index that never came by were replaced by a
  // snapshot; their outcome is not known here.
  std::erase_if(proposed_, [&](const Proposed& proposed) {
    if (proposed.index_ > replica_->CommitIndex()) {
      return false;
    }
    out.Send(proposed.origin_, ChangeOutcome{proposed.operation_, false});
    return true;
  });
}

void RegistryCore::SaveSnapshotIfWanted(TimePoint now, Outbox& out) {
  if (log_bytes_ < kSnapshotBytes && !replica_->WantsSnapshot()) {
    return;
  }
  log_bytes_ = 0;
  replica_->SaveSnapshot(
      now, applied_,
      ConfigurationStore::Encode(accepted_.Version(), accepted_.Text()), out);
}

OperationId RegistryCore::SubmitChange(TimePoint now, uint64_t version,
                                       std::string text, Outbox& out) {
  Waiting waiting;
  waiting.version_ = version;
  waiting.text_ = std::move(text);
  return BeginOperation(now, std::move(waiting), out);
}

OperationId RegistryCore::ConfirmVersion(TimePoint now, Outbox& out) {
  Waiting waiting;
  waiting.is_read_ = true;
  return BeginOperation(now, std::move(waiting), out);
}

OperationId RegistryCore::BeginOperation(TimePoint now, Waiting waiting,
                                         Outbox& out) {
  last_operation_ = last_operation_.Next();
  waiting.until_ = now + kOperationTimeout;
  SendWaiting(last_operation_, waiting, out);
  waiting_[last_operation_] = std::move(waiting);
  return last_operation_;
}

void RegistryCore::SendWaiting(OperationId id, Waiting& waiting, Outbox& out) {
  if (leader_.IsNone()) {
    return;
  }
  waiting.sent_ = true;
  if (waiting.is_read_) {
    out.Send(To(leader_), ReadForward{id});
  } else {
    out.Send(To(leader_), ChangeForward{id, waiting.version_, waiting.text_});
  }
}

void RegistryCore::ExpireWaiting(TimePoint now, Outbox& out) {
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    if (now < it->second.until_) {
      ++it;
      continue;
    }
    Record(EventId::kOperationUnknown,
           "operation=" + std::to_string(it->first.Value()) + " leader=" +
               leader_.Value() + (it->second.is_read_ ? " read" : " change"),
           out);
    ends_.push_back(OperationEnd{it->first, OperationState::kUnknown, 0});
    it = waiting_.erase(it);
  }
}

void RegistryCore::OnOutcome(OperationId id, bool good, OperationState state,
                             uint64_t version) {
  const auto found = waiting_.find(id);
  if (found == waiting_.end()) {
    return;
  }
  if (!good) {
    // The next tick sends it to whoever leads by then.
    found->second.sent_ = false;
    return;
  }
  waiting_.erase(found);
  ends_.push_back(OperationEnd{id, state, version});
}

std::vector<OperationEnd> RegistryCore::TakeEnds() {
  return std::exchange(ends_, {});
}

void RegistryCore::OnChange(TimePoint now, const Endpoint& from,
                            const ChangeForward& change, Outbox& out) {
  if (!MayLead(now)) {
    out.Send(from, ChangeOutcome{change.operation_, false});
    return;
  }
  if (change.version_ <= accepted_.Version()) {
    out.Send(from, ChangeOutcome{change.operation_, true});
    return;
  }
  const Result<LogIndex> index = replica_->Propose(
      now, EntryKind::kCommand,
      ConfigurationStore::Encode(change.version_, change.text_), out);
  if (!index.has_value()) {
    Record(EventId::kSettingsRefused, index.error().detail_, out);
    out.Send(from, ChangeOutcome{change.operation_, false});
    return;
  }
  proposed_.push_back(Proposed{index.value(), replica_->CurrentTerm(), from,
                               change.operation_});
}

void RegistryCore::OnRead(TimePoint now, const Endpoint& from,
                          const ReadForward& read, Outbox& out) {
  out.Send(from,
           ReadOutcome{read.operation_, MayLead(now), accepted_.Version()});
}

void RegistryCore::Record(EventId id, std::string detail, Outbox& out) const {
  Event event;
  event.id_ = id;
  event.detail_ = std::move(detail);
  out.Record(std::move(event));
}

}  // namespace gv
