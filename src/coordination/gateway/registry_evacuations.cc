/** @file registry_evacuations.cc Orders to evacuate a data centre: their way to
 * the log, and the set in force at each gateway. */
#include <algorithm>

#include "coordination/gateway/registry_core.h"

namespace gv {

OperationId RegistryCore::SubmitEvacuation(TimePoint now, TimePoint issued,
                                           EvacuationOrder order, Outbox& out) {
  PendingOperation operation;
  operation.issued_ = issued;
  operation.evacuation_ = std::move(order);
  return BeginOperation(now, std::move(operation), out);
}

void RegistryCore::OnEvacuationForward(TimePoint now, const Endpoint& from,
                                       const EvacuationForward& forward,
                                       Outbox& out) {
  if (!IsActiveLeader(now)) {
    out.Send(from, ChangeOutcome{forward.operation_, false});
    return;
  }
  if (!IsDataCentreName(forward.data_centre_.Value())) {
    // Gateways check names before they forward an order.
    Record(EventId::kBadInput, "the name of the data centre is malformed", out);
    return;
  }
  const EvacuationOrder order{forward.data_centre_, forward.withdrawn_};
  // While another order for the data centre is on its way to the disks, the
  // committed state does not tell what this one will change.
  const bool is_contested =
      std::any_of(pending_proposals_.begin(), pending_proposals_.end(),
                  [&order](const PendingProposal& proposal) {
                    return proposal.evacuates_ == order.data_centre_;
                  });
  const bool is_done =
      committed_evacuations_.Contains(order.data_centre_) == !order.withdrawn_;
  if (is_done && !is_contested) {
    out.Send(from, ChangeOutcome{forward.operation_, true});
    return;
  }
  if (forward.based_on_ < committed_evacuations_.Revision()) {
    Record(EventId::kEvacuationOutdated,
           "gateway=" + from.node_.Value() +
               " operation=" + std::to_string(forward.operation_.Value()) +
               " data_centre=" + order.data_centre_.Value() +
               (order.withdrawn_ ? " end" : " begin") +
               " based_on=" + std::to_string(forward.based_on_) +
               " newest=" + std::to_string(committed_evacuations_.Revision()),
           out);
    // A copy of an order that was delayed on its way must not undo an order
    // that was acknowledged since. A pending order is sent again after the
    // push.
    out.Send(from, MakeEvacuationPush());
    out.Send(from, ChangeOutcome{forward.operation_, false});
    return;
  }
  const Result<LogIndex> index = replica_->Propose(
      now, EntryKind::kCommand, EncodeEvacuationEntry(order), out);
  if (!index.has_value()) {
    Record(EventId::kSettingsRefused, index.error().detail_, out);
    out.Send(from, ChangeOutcome{forward.operation_, false});
    return;
  }
  pending_proposals_.push_back(
      PendingProposal{index.value(), replica_->CurrentTerm(), from,
                      forward.operation_, order.data_centre_});
}

void RegistryCore::OnEvacuationEntry(const LogEntry& entry,
                                     const EvacuationOrder& order,
                                     Outbox& out) {
  if (!committed_evacuations_.Apply(order, entry.index_.Value())) {
    return;
  }
  Record(order.withdrawn_ ? EventId::kEvacuationEnded
                          : EventId::kEvacuationAccepted,
         "data_centre=" + order.data_centre_.Value() +
             " revision=" + std::to_string(committed_evacuations_.Revision()),
         out);
  ServeEvacuations(committed_evacuations_, out);
  if (replica_->IsLeader()) {
    std::vector<Endpoint> pollers;
    for (const auto& [node, poller] : pollers_) {
      pollers.push_back(ControlEndpoint(node));
    }
    out.SendToAll(std::move(pollers), MakeEvacuationPush());
  }
}

void RegistryCore::ServeEvacuations(const EvacuationSet& newest, Outbox& out) {
  if (evacuations_.Replace(newest)) {
    targets_.SetEvacuated(evacuations_.DataCentres());
    Record(EventId::kEvacuationsInForce,
           "data_centres=" + evacuations_.Names() +
               " revision=" + std::to_string(evacuations_.Revision()),
           out);
  }
}

EvacuationPush RegistryCore::MakeEvacuationPush() const {
  return EvacuationPush{committed_evacuations_.Revision(),
                        committed_evacuations_.Names()};
}

void RegistryCore::OnEvacuationPush(const EvacuationPush& push, Outbox& out) {
  ServeEvacuations(EvacuationSet::FromNames(push.revision_, push.data_centres_),
                   out);
}

}  // namespace gv
