/** @file gateway_retries.cc Retries that this gateway permits itself, and those
 * that it asks the leader for. */
#include "transport/gateway/gateway.h"

namespace gv {

RetryAllowance& Gateway::Retries(const std::string& service) {
  return retries_.try_emplace(service, registry_.RetryBudget()).first->second;
}

OperationId Gateway::AskForRetry(const std::string& service,
                                 std::function<void(bool)> done) {
  last_placement_request_ = last_placement_request_.Next();
  const OperationId operation = last_placement_request_;
  retry_asks_[operation] = std::move(done);
  Outbox out(Endpoint{self_, Port::kControl});
  out.Send({registry_.Leader(), Port::kControl}, RetryAsk{operation, service});
  CarryOut(out);
  return operation;
}

void Gateway::OnRetryReply(const RetryReply& reply) {
  last_leader_reply_ = Now();
  const auto found = retry_asks_.find(reply.operation_);
  if (found == retry_asks_.end()) {
    return;
  }
  const auto done = std::move(found->second);
  retry_asks_.erase(found);
  done(reply.granted_);
}

}  // namespace gv
