/** @file registry_core.cc Message dispatch, operations sent to the leader
 * and committed entries of the registry. */
#include "coordination/gateway/registry_core.h"

#include <algorithm>
#include <type_traits>

#include "coordination/gateway/retry_entry.h"

namespace gv {

RegistryCore::RegistryCore(RegistrySettings settings)
    : settings_(std::move(settings)), last_operation_(settings_.seed_ >> 1) {
  nodes_.insert(settings_.self_);
}

void RegistryCore::AttachReplica(ReplicaCore replica) {
  replica_.emplace(std::move(replica));
}

void RegistryCore::OnMessage(TimePoint now, const Envelope& in, Outbox& out) {
  if (!started_) {
    started_ = now;
  }
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
        } else if constexpr (std::is_same_v<T, EvacuationPush>) {
          OnEvacuationPush(body, out);
        } else if constexpr (std::is_same_v<T, EvacuationForward>) {
          OnEvacuationForward(now, in.from_, body, out);
        } else if constexpr (std::is_same_v<T, TargetGossip>) {
          OnGossip(now, from, body, out);
        } else if constexpr (std::is_same_v<T, TargetsHeard>) {
          OnTargetsHeard(now, body);
        } else if constexpr (std::is_same_v<T, TargetsSilent>) {
          OnTargetsSilent(from, body, out);
        } else if constexpr (std::is_same_v<T, TargetQuery>) {
          OnTargetQuery(now, from, body, out);
        } else if constexpr (std::is_same_v<T, LeavingNotice>) {
          OnLeavingNotice(now, in.from_, body, out);
        } else if constexpr (std::is_same_v<T, LeavingNoted>) {
          OnLeavingNoted(now, from, body, out);
        } else if constexpr (std::is_same_v<T, ChangeForward>) {
          OnChange(now, in.from_, body, out);
        } else if constexpr (std::is_same_v<T, ChangeOutcome>) {
          OnOutcome(body.operation_, body.accepted_, OperationState::kAccepted,
                    0);
        } else if constexpr (std::is_same_v<T, EngineCrash>) {
          parts_.OnCrash(now, body);
        } else if constexpr (std::is_same_v<T, PartsAnswered>) {
          parts_.OnAnswer(now, body.service_, body.parts_);
        } else if constexpr (std::is_same_v<T, PartTable>) {
          OnPartTable(now, in.from_, body, out);
        } else if constexpr (std::is_same_v<T, RetryAsk>) {
          OnRetryAsk(now, in.from_, body, out);
        } else if constexpr (std::is_same_v<T, LimitReport>) {
          OnLimitReport(now, from, body, out);
        } else if constexpr (std::is_same_v<T, LimitAsk>) {
          OnLimitAsk(now, in.from_, body, out);
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
    SendPolls(now, out);
  }
  if (now >= next_gossip_) {
    next_gossip_ = now + kGossipPeriod;
    SendRefreshedTargets(out);
    UpdateUnreachableTargets(now, out);
  }
  if (now >= next_change_batch_) {
    SendChangedTargets(now, out);
  }
  if (replica_ && now >= next_membership_check_) {
    next_membership_check_ = now + kMembershipPeriod;
    UpdateMembership(now, out);
  }
  ExpireOperations(now, out);
  for (auto& [id, operation] : pending_operations_) {
    if (!operation.sent_) {
      SendOperation(now, id, operation, out);
    }
  }
  TickLeaving(now, out);
  TickRetries(now, out);
  TickParts(now, out);
  TickLimits(now, out);
}

bool RegistryCore::IsActiveLeader(TimePoint now) const {
  return replica_ && replica_->IsLeader() && !replica_->HasDiskFailed() &&
         replica_->HasCommittedInTerm() && replica_->HasLeaderLease(now);
}

void RegistryCore::StepReplica(TimePoint now, const Envelope& in, Outbox& out) {
  const bool was_leader = replica_->IsLeader();
  replica_->OnMessage(now, in, out);
  ApplyCommitted(now, out);
  if (!replica_->IsLeader()) {
    if (!replica_->Leader().IsNone()) {
      leader_ = replica_->Leader();
    }
    return;
  }
  if (!was_leader) {
    leader_since_ = now;
    // Heartbeats were sent to the previous leader only, so the times known here
    // are too old to tell which targets are unreachable.
    targets_.ResetHeartbeats(now);
  }
  leader_ = settings_.self_;
}

void RegistryCore::ApplyCommitted(TimePoint now, Outbox& out) {
  if (auto snapshot = replica_->TakeInstalledSnapshot()) {
    // A snapshot does not tell when permits of retries were given out.
    retries_known_at_ = now + RetryReserve(settings_.retries_).Span();
    InstallSnapshot(*snapshot, out);
  }
  const std::vector<LogEntry> entries = replica_->TakeCommitted();
  for (const LogEntry& entry : entries) {
    last_applied_ = entry.index_;
    log_bytes_ += EntryBytes(entry);
    const auto retries = entry.kind_ == EntryKind::kCommand
                             ? DecodeRetryEntry(entry.payload_)
                             : std::nullopt;
    const auto evacuation = entry.kind_ == EntryKind::kCommand
                                ? DecodeEvacuationEntry(entry.payload_)
                                : std::nullopt;
    if (retries) {
      OnRetryEntry(now, entry, retries->service_, retries->permits_, out);
    } else if (evacuation) {
      OnEvacuationEntry(entry, *evacuation, out);
    } else if (entry.kind_ == EntryKind::kCommand) {
      const Result<void> decoded = committed_.PutEncoded(entry.payload_);
      if (!decoded.has_value()) {
        Record(EventId::kBadInput, decoded.error().detail_, out);
      }
    }
    for (PendingProposal& proposal : pending_proposals_) {
      if (proposal.index_ == entry.index_) {
        const bool accepted = proposal.term_ == entry.term_;
        out.Send(proposal.origin_,
                 ChangeOutcome{proposal.operation_, accepted});
        proposal.index_ = LogIndex();
      }
    }
  }
  std::erase_if(pending_proposals_, [](const PendingProposal& proposal) {
    return proposal.index_.IsNone();
  });
  if (committed_.Version() > served_.Version()) {
    Serve(committed_.Version(), committed_.Text(), out);
    pushed_ = false;
  }
  if (!pushed_ && replica_->IsLeader()) {
    pushed_ = true;
    PushToPollers(out);
  }
  RejectSkippedProposals(out);
  SaveSnapshotIfNeeded(now, out);
}

void RegistryCore::InstallSnapshot(std::string_view snapshot, Outbox& out) {
  const auto evacuations = EvacuationSet::TakeSnapshotHead(snapshot);
  if (!evacuations) {
    Record(EventId::kBadInput, "snapshot: the list of evacuations is malformed",
           out);
    return;
  }
  committed_evacuations_.Replace(*evacuations);
  // A snapshot does not tell which of its entries was the newest order.
  newest_order_ = std::max(newest_order_, replica_->CommitIndex().Value());
  ServeEvacuations(committed_evacuations_, out);
  const Result<void> decoded = committed_.PutEncoded(snapshot);
  if (!decoded.has_value()) {
    Record(EventId::kBadInput, decoded.error().detail_, out);
  }
}

void RegistryCore::RejectSkippedProposals(Outbox& out) {
  // Entries at or below the commit index that were not applied one by one came
  // with a snapshot; whether they were committed is not known here.
  std::erase_if(pending_proposals_, [&](const PendingProposal& proposal) {
    if (proposal.index_ > replica_->CommitIndex()) {
      return false;
    }
    out.Send(proposal.origin_, ChangeOutcome{proposal.operation_, false});
    return true;
  });
}

void RegistryCore::SaveSnapshotIfNeeded(TimePoint now, Outbox& out) {
  if (log_bytes_ < kSnapshotBytes && !replica_->WantsSnapshot()) {
    return;
  }
  log_bytes_ = 0;
  replica_->SaveSnapshot(
      now, last_applied_,
      committed_evacuations_.EncodeSnapshotHead() +
          ConfigurationStore::Encode(committed_.Version(), committed_.Text()),
      out);
}

OperationId RegistryCore::SubmitChange(TimePoint now, uint64_t version,
                                       std::string text, Outbox& out) {
  PendingOperation operation;
  operation.issued_ = now;
  operation.version_ = version;
  operation.text_ = std::move(text);
  return BeginOperation(now, std::move(operation), out);
}

OperationId RegistryCore::ConfirmVersion(TimePoint now, Outbox& out) {
  PendingOperation operation;
  operation.issued_ = now;
  operation.is_read_ = true;
  return BeginOperation(now, std::move(operation), out);
}

OperationId RegistryCore::BeginOperation(TimePoint now,
                                         PendingOperation operation,
                                         Outbox& out) {
  last_operation_ = last_operation_.Next();
  PendingOperation& pending = pending_operations_[last_operation_];
  pending = std::move(operation);
  if (now - pending.issued_ < kOperationTimeout) {
    SendOperation(now, last_operation_, pending, out);
  } else {
    ExpireOperations(now, out);
  }
  return last_operation_;
}

void RegistryCore::SendOperation(TimePoint now, OperationId id,
                                 PendingOperation& operation, Outbox& out) {
  if (leader_.IsNone()) {
    return;
  }
  operation.sent_ = true;
  if (operation.is_read_) {
    out.Send(ControlEndpoint(leader_), ReadForward{id});
  } else if (operation.evacuation_) {
    SendEvacuation(now, id, operation, out);
  } else {
    out.Send(ControlEndpoint(leader_),
             ChangeForward{id, operation.version_, operation.text_});
  }
}

void RegistryCore::ExpireOperations(TimePoint now, Outbox& out) {
  for (auto it = pending_operations_.begin();
       it != pending_operations_.end();) {
    const Duration age = now - it->second.issued_;
    if (age < kOperationTimeout) {
      ++it;
      continue;
    }
    Record(EventId::kOperationUnknown,
           "operation=" + std::to_string(it->first.Value()) + " leader=" +
               leader_.Value() + (it->second.is_read_ ? " read" : " change") +
               " age_ms=" + std::to_string(age.Ms()),
           out);
    completed_.push_back(
        OperationResult{it->first, OperationState::kUnknown, 0});
    it = pending_operations_.erase(it);
  }
}

void RegistryCore::OnOutcome(OperationId id, bool succeeded,
                             OperationState state, uint64_t version) {
  const auto found = pending_operations_.find(id);
  if (found == pending_operations_.end()) {
    return;
  }
  if (!succeeded) {
    // The next tick sends it again, to the leader known by then.
    found->second.sent_ = false;
    return;
  }
  pending_operations_.erase(found);
  completed_.push_back(OperationResult{id, state, version});
}

std::vector<OperationResult> RegistryCore::TakeCompletedOperations() {
  return std::exchange(completed_, {});
}

void RegistryCore::OnChange(TimePoint now, const Endpoint& from,
                            const ChangeForward& change, Outbox& out) {
  if (!IsActiveLeader(now)) {
    out.Send(from, ChangeOutcome{change.operation_, false});
    return;
  }
  if (change.version_ <= committed_.Version()) {
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
  pending_proposals_.push_back(PendingProposal{
      index.value(), replica_->CurrentTerm(), from, change.operation_});
}

void RegistryCore::OnRead(TimePoint now, const Endpoint& from,
                          const ReadForward& read, Outbox& out) {
  out.Send(from, ReadOutcome{read.operation_, IsActiveLeader(now),
                             committed_.Version()});
}

void RegistryCore::Record(EventId id, std::string detail, Outbox& out) const {
  Event event;
  event.id_ = id;
  event.detail_ = std::move(detail);
  out.Record(std::move(event));
}

}  // namespace gv
