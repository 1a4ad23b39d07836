/** @file gateway_prompts.cc Placement of prompts: requests it from the leader,
 * or schedules the prompts of all gateways while this gateway is the leader. */
#include <boost/asio/post.hpp>

#include "transport/gateway/gateway.h"

namespace gv {
namespace {

/** Placement is requested only from a leader that was heard from within this
 * time. */
constexpr Duration kMaxLeaderAge = 1200_ms;
/** Time without placement requests after the leader let one time out; an
 * election takes 0.9 to 1.2 s. */
constexpr Duration kLeaderBackoff = 500_ms;

}  // namespace

bool Gateway::IsLeaderAvailable() const {
  return !registry_.Leader().IsNone() && Now() >= leader_backoff_until_ &&
         Now() - registry_.LastLeaderGrant() < kMaxLeaderAge;
}

void Gateway::OnLeaderTimeout(TimePoint asked) {
  if (last_leader_reply_ >= asked) {
    return;
  }
  if (Now() >= leader_backoff_until_) {
    Record(EventId::kDependencyLost,
           "leader does not answer=" + registry_.Leader().Value());
  }
  leader_backoff_until_ = Now() + kLeaderBackoff;
}

OperationId Gateway::SendPlacementRequest(
    PromptAsk ask, std::function<void(const Message&)> done) {
  last_placement_request_ = last_placement_request_.Next();
  ask.operation_ = last_placement_request_;
  placement_requests_[last_placement_request_] =
      OpenPlacementRequest{registry_.Leader(), false, std::move(done)};
  SendToLeader(registry_.Leader(), std::move(ask));
  return last_placement_request_;
}

NodeId Gateway::LeaderOfRequest(OperationId operation) const {
  const auto found = placement_requests_.find(operation);
  return found == placement_requests_.end() ? NodeId() : found->second.leader_;
}

bool Gateway::IsQueuedAtLeader(OperationId operation) const {
  const auto found = placement_requests_.find(operation);
  return found != placement_requests_.end() && found->second.is_queued_;
}

void Gateway::RepeatPlacementRequest(OperationId operation, PromptAsk ask) {
  ask.operation_ = operation;
  SendToLeader(LeaderOfRequest(operation), std::move(ask));
}

void Gateway::ReportPromptProgress(OperationId operation, bool ended,
                                   const TargetId& target,
                                   HealthOutcome outcome) {
  const auto found = placement_requests_.find(operation);
  if (found == placement_requests_.end()) {
    return;
  }
  const NodeId leader = found->second.leader_;
  if (ended) {
    placement_requests_.erase(found);
  }
  SendToLeader(leader, PromptStep{operation, ended, target, outcome});
}

void Gateway::SendToPeer(const NodeId& node, Message body) {
  // Ids of gateways are their peer addresses.
  peers_->SetAddress(node, node.Value());
  peers_->Send(Envelope{
      {self_, Port::kControl}, {node, Port::kControl}, {}, std::move(body)});
}

void Gateway::SendToLeader(const NodeId& leader, Message body) {
  if (leader == self_) {
    OnPromptMessage(self_, body);
    return;
  }
  SendToPeer(leader, std::move(body));
}

bool Gateway::OnPromptMessage(const NodeId& from, const Message& body) {
  if (const auto* ask = std::get_if<PromptAsk>(&body)) {
    const Service* service =
        table_ ? table_->FindService(ask->service_) : nullptr;
    registry_.SyncLimits(Now());
    scheduler_.OnPlacementRequest(Now(), from, *ask, service);
  } else if (const auto* step = std::get_if<PromptStep>(&body)) {
    if (from != self_ && !step->target_.IsNone()) {
      health_.OnReport(Now(), from, step->target_, step->outcome_);
    }
    registry_.SyncLimits(Now());
    scheduler_.OnPromptProgress(Now(), from, *step);
  } else if (const auto* placed = std::get_if<PromptPlaced>(&body)) {
    HandlePlacementReply(placed->operation_, body);
  } else if (const auto* queued = std::get_if<PromptQueued>(&body)) {
    last_leader_reply_ = Now();
    const auto found = placement_requests_.find(queued->operation_);
    if (found != placement_requests_.end()) {
      found->second.is_queued_ = true;
    }
  } else if (const auto* refused = std::get_if<PromptRefused>(&body)) {
    HandlePlacementReply(refused->operation_, body);
  } else {
    return false;
  }
  SendSchedulerReplies();
  return true;
}

void Gateway::HandlePlacementReply(OperationId operation, const Message& body) {
  last_leader_reply_ = Now();
  const auto found = placement_requests_.find(operation);
  if (found == placement_requests_.end()) {
    return;
  }
  if (!found->second.done_) {
    return;
  }
  const auto done = std::exchange(found->second.done_, nullptr);
  if (std::holds_alternative<PromptRefused>(body)) {
    placement_requests_.erase(found);
  }
  done(body);
}

void Gateway::SendSchedulerReplies() {
  for (SchedulerReply& reply : scheduler_.TakeReplies()) {
    if (reply.gateway_ == self_) {
      boost::asio::post(io_, [this, body = std::move(reply.body_)]() {
        OnPromptMessage(self_, body);
      });
      continue;
    }
    SendToPeer(reply.gateway_, std::move(reply.body_));
  }
}

}  // namespace gv
