/** @file registry_evacuations.cc Orders to evacuate a data centre: their way to
 * the log, and the set in force at each gateway. */
#include <algorithm>

#include "coordination/gateway/registry_core.h"

namespace gv {
namespace {

/** @return The order for log lines. */
std::string DescribeOrder(const EvacuationOrder& order) {
  return (order.withdrawn_ ? "withdraw:" : "evacuate:") +
         order.data_centre_.Value();
}

}  // namespace

OperationId RegistryCore::SubmitEvacuation(TimePoint now, TimePoint issued,
                                           EvacuationOrder order, Outbox& out) {
  PendingOperation operation;
  operation.issued_ = issued;
  operation.evacuation_ = std::move(order);
  return BeginOperation(now, std::move(operation), out);
}

void RegistryCore::SendEvacuation(TimePoint now, OperationId id,
                                  const PendingOperation& operation,
                                  Outbox& out) const {
  const EvacuationOrder& order = *operation.evacuation_;
  Record(EventId::kEvacuationForwarded,
         "operation=" + std::to_string(id.Value()) +
             " leader=" + leader_.Value() + " order=" + DescribeOrder(order) +
             " based_on=" + std::to_string(newest_order_) +
             " age_ms=" + std::to_string((now - operation.issued_).Ms()),
         out);
  out.Send(ControlEndpoint(leader_),
           EvacuationForward{id, order.data_centre_, order.withdrawn_,
                             newest_order_});
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
  if (forward.based_on_ < newest_order_) {
    // The operator may have given this one up before the newest was accepted.
    // An operation that is still awaited is sent again after the push.
    Record(EventId::kEvacuationOutdated,
           "gateway=" + from.node_.Value() +
               " operation=" + std::to_string(forward.operation_.Value()) +
               " order=" + DescribeOrder(order) +
               " based_on=" + std::to_string(forward.based_on_) +
               " newest_order=" + std::to_string(newest_order_),
           out);
    out.Send(from, MakeEvacuationPush());
    out.Send(from, ChangeOutcome{forward.operation_, false});
    return;
  }
  // Orders that change nothing get an entry, too, which makes older copies of
  // other orders outdated.
  const Result<LogIndex> index = replica_->Propose(
      now, EntryKind::kCommand, EncodeEvacuationEntry(order), out);
  if (!index.has_value()) {
    Record(EventId::kSettingsRefused, index.error().detail_, out);
    out.Send(from, ChangeOutcome{forward.operation_, false});
    return;
  }
  pending_proposals_.push_back(PendingProposal{
      index.value(), replica_->CurrentTerm(), from, forward.operation_});
}

void RegistryCore::OnEvacuationEntry(const LogEntry& entry,
                                     const EvacuationOrder& order,
                                     Outbox& out) {
  newest_order_ = std::max(newest_order_, entry.index_.Value());
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
                        committed_evacuations_.Names(), newest_order_};
}

void RegistryCore::OnEvacuationPush(const EvacuationPush& push, Outbox& out) {
  newest_order_ = std::max({newest_order_, push.newest_order_, push.revision_});
  ServeEvacuations(EvacuationSet::FromNames(push.revision_, push.data_centres_),
                   out);
}

}  // namespace gv
