/** @file gateway_long.cc Long prompts: asks the leader, or schedules for all
 * gateways while this one leads. */
#include <boost/asio/post.hpp>

#include "transport/gateway/gateway.h"

namespace gv {
namespace {

/** A leader that was heard of within this time can be asked. */
constexpr Duration kLeaderFresh = 1200_ms;

}  // namespace

bool Gateway::CanAskLeader() const {
  return !registry_.Leader().IsNone() &&
         Now() - registry_.LeaderHeard() < kLeaderFresh;
}

OperationId Gateway::AskLong(LongPromptAsk ask,
                             std::function<void(const Message&)> done) {
  last_ask_ = last_ask_.Next();
  ask.operation_ = last_ask_;
  asks_[last_ask_] = OpenAsk{registry_.Leader(), std::move(done)};
  SendToLeader(registry_.Leader(), std::move(ask));
  return last_ask_;
}

void Gateway::StepLong(OperationId operation, bool ended) {
  const auto found = asks_.find(operation);
  if (found == asks_.end()) {
    return;
  }
  const NodeId leader = found->second.leader_;
  if (ended) {
    asks_.erase(found);
  }
  SendToLeader(leader, LongPromptStep{operation, ended});
}

void Gateway::SendToPeer(const NodeId& node, Message body) {
  // Ids of gateways are their peer addresses.
  peers_->SetAddress(node, node.Value());
  peers_->Send(Envelope{
      {self_, Port::kControl}, {node, Port::kControl}, {}, std::move(body)});
}

void Gateway::SendToLeader(const NodeId& leader, Message body) {
  if (leader == self_) {
    OnLongMessage(self_, body);
    return;
  }
  SendToPeer(leader, std::move(body));
}

bool Gateway::OnLongMessage(const NodeId& from, const Message& body) {
  if (const auto* ask = std::get_if<LongPromptAsk>(&body)) {
    const Service* service =
        table_ ? table_->FindService(ask->service_) : nullptr;
    scheduler_.OnAsk(Now(), from, *ask, service);
  } else if (const auto* step = std::get_if<LongPromptStep>(&body)) {
    scheduler_.OnStep(Now(), from, *step);
  } else if (const auto* placed = std::get_if<LongPromptPlaced>(&body)) {
    AnswerAsk(placed->operation_, body);
  } else if (const auto* refused = std::get_if<LongPromptRefused>(&body)) {
    AnswerAsk(refused->operation_, body);
  } else {
    return false;
  }
  SendSchedulerReplies();
  return true;
}

void Gateway::AnswerAsk(OperationId operation, const Message& body) {
  const auto found = asks_.find(operation);
  if (found == asks_.end()) {
    return;
  }
  if (!found->second.done_) {
    return;
  }
  const auto done = std::exchange(found->second.done_, nullptr);
  if (std::holds_alternative<LongPromptRefused>(body)) {
    asks_.erase(found);
  }
  done(body);
}

void Gateway::SendSchedulerReplies() {
  for (SchedulerReply& reply : scheduler_.TakeReplies()) {
    if (reply.gateway_ == self_) {
      boost::asio::post(io_, [this, body = std::move(reply.body_)]() {
        OnLongMessage(self_, body);
      });
      continue;
    }
    SendToPeer(reply.gateway_, std::move(reply.body_));
  }
}

}  // namespace gv
