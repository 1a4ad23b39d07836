/** @file control_core.h The core of a control process: a replica of the log and
 * the service on top of it. */
#pragma once

#include <concepts>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "coordination/control_service.h"
#include "coordination/replica_core.h"
#include "protocol/outbox.h"

namespace gv {

/** A replica of the control log, as ControlCoreOf uses it. */
template <class R>
concept ControlReplica = requires(R replica, const R& view, TimePoint now,
                                  const Envelope& in, Outbox& out,
                                  std::string data,
                                  const MembershipChange& change) {
  replica.OnMessage(now, in, out);
  {
    replica.Propose(now, EntryKind::kCommand, data, out)
    } -> std::same_as<Result<LogIndex>>;
  {
    replica.ProposeMembership(now, change, out)
    } -> std::same_as<Result<LogIndex>>;
  { view.IsLeader() } -> std::same_as<bool>;
  { view.HasLeaderLease(now) } -> std::same_as<bool>;
  { view.HasCommittedInTerm() } -> std::same_as<bool>;
  { view.HasDiskFailed() } -> std::same_as<bool>;
  { view.WantsSnapshot() } -> std::same_as<bool>;
  { replica.TakeCommitted() } -> std::same_as<std::vector<LogEntry>>;
  {
    replica.TakeInstalledSnapshot()
    } -> std::same_as<std::optional<std::string>>;
  { view.Progress(now) } -> std::same_as<std::vector<ReplicaProgress>>;
  replica.SaveSnapshot(now, view.CommitIndex(), data, out);
};

/**
 * Connects a replica with the control service: gives the replica its messages,
 * the service the committed entries, and the replica the service's proposals.
 * @tparam R The replica. Thread safety: owned by the control thread.
 */
template <ControlReplica R>
class ControlCoreOf {
 public:
  ControlCoreOf(NodeId self, R replica)
      : self_(std::move(self)), replica_(std::move(replica)) {}

  /** Handles any message for Port::kControl. */
  void OnMessage(TimePoint now, const Envelope& in, Outbox& out) {
    if (IsForReplica(in.body_)) {
      replica_.OnMessage(now, in, out);
    }
    Apply(now, out);
    service_.OnView(now, View(now, in.body_), out);
    service_.OnCommitsDone(now, out);
    if (std::holds_alternative<StopRequest>(in.body_)) {
      stopping_ = true;
    } else if (IsForService(in.body_) && !broken_) {
      service_.OnMessage(now, in, out);
    }
    ProposeAll(now, out);
    SaveIfWanted(now, out);
    StopIfIdle(out);
  }

  const R& Replica() const { return replica_; }
  ControlService& Service() { return service_; }
  const ControlService& Service() const { return service_; }

 private:
  static bool IsForReplica(const Message& body) {
    return std::holds_alternative<Tick>(body) ||
           std::holds_alternative<PeerDown>(body) ||
           std::holds_alternative<VoteRequest>(body) ||
           std::holds_alternative<VoteReply>(body) ||
           std::holds_alternative<AppendRequest>(body) ||
           std::holds_alternative<AppendReply>(body) ||
           std::holds_alternative<SnapshotChunk>(body) ||
           std::holds_alternative<SnapshotReply>(body) ||
           std::holds_alternative<DiskSynced>(body) ||
           std::holds_alternative<DiskFailed>(body);
  }

  static bool IsForService(const Message& body) {
    return std::holds_alternative<Tick>(body) ||
           (!IsForReplica(body) && !std::holds_alternative<PeerDown>(body));
  }

  void Apply(TimePoint now, Outbox& out) {
    if (auto snapshot = replica_.TakeInstalledSnapshot()) {
      if (auto loaded = service_.Load(*snapshot); !loaded) {
        broken_ = true;
        Event event;
        event.id_ = EventId::kDiskFailed;
        event.detail_ = loaded.error().detail_;
        out.Record(std::move(event));
      }
    }
    for (const LogEntry& entry : replica_.TakeCommitted()) {
      service_.OnCommitted(now, entry, out);
      applied_ = entry.index_;
    }
  }

  LeadershipView View(TimePoint now, const Message& body) const {
    LeadershipView view;
    view.self_ = self_;
    view.leader_ = replica_.Leader();
    view.term_ = replica_.CurrentTerm();
    view.is_leader_ = replica_.IsLeader();
    view.disk_failed_ = replica_.HasDiskFailed();
    view.may_serve_ = view.is_leader_ && !broken_ && !view.disk_failed_ &&
                      replica_.HasCommittedInTerm() &&
                      replica_.HasLeaderLease(now);
    view.commit_ = replica_.CommitIndex();
    if (std::holds_alternative<OperatorCall>(body)) {
      for (const ReplicaProgress& member : replica_.Progress(now)) {
        view.replicas_.push_back({member.node_, member.voter_, member.active_,
                                  member.caught_up_, member.disk_lost_,
                                  member.match_, member.lag_});
      }
    }
    return view;
  }

  void ProposeAll(TimePoint now, Outbox& out) {
    for (const ControlProposal& proposal : service_.TakeProposals()) {
      const Result<LogIndex> index =
          proposal.membership_
              ? replica_.ProposeMembership(now, *proposal.membership_, out)
              : replica_.Propose(now, EntryKind::kCommand,
                                 service_.Encode(now, proposal.command_), out);
      if (index) {
        service_.OnProposed(proposal, index.value(), replica_.CurrentTerm(),
                            out);
      } else {
        service_.OnNotProposed(proposal, index.error(), out);
      }
    }
  }

  void SaveIfWanted(TimePoint now, Outbox& out) {
    if (!broken_ && replica_.WantsSnapshot()) {
      replica_.SaveSnapshot(now, applied_, service_.Save(), out);
    }
  }

  void StopIfIdle(Outbox& out) {
    if (stopping_ && !stop_sent_ && service_.IsIdle()) {
      stop_sent_ = true;
      out.SendLocal(Port::kTransport, StopReady{});
    }
  }

  NodeId self_;             ///< This process.
  R replica_;               ///< The log.
  ControlService service_;  ///< Everything else.
  LogIndex applied_;        ///< Last entry given to the service.
  bool broken_ = false;     ///< A snapshot could not be read.
  bool stopping_ = false;   ///< A planned stop was asked for.
  bool stop_sent_ = false;  ///< StopReady was sent.
};

using ControlCore = ControlCoreOf<ReplicaCore>;

}  // namespace gv
