/** @file gateway_limits.cc Permits for requests to targets that name a limit.
 */
#include "state/container_func.h"
#include "transport/gateway/gateway.h"

namespace gv {

void Gateway::OnAnswerLimit(const TargetId& target, const AnswerFacts& facts,
                            TimePoint sent) {
  Outbox out(Endpoint{self_, Port::kControl});
  switch (facts.limit_news_) {
    case LimitNews::kNothing:
      return;
    case LimitNews::kUnreadable: {
      Event event;
      event.id_ = EventId::kBadInput;
      event.target_ = target;
      event.detail_ = "the limit in an answer is no number of requests";
      Record(event);
      return;
    }
    case LimitNews::kNone:
      registry_.OnAnswerLimit(Now(), target, std::nullopt, sent, out);
      break;
    case LimitNews::kNamed:
      registry_.OnAnswerLimit(Now(), target, facts.limit_per_second_, sent,
                              out);
      break;
  }
  CarryOut(out);
}

OperationId Gateway::AskForLimitPermit(
    const std::vector<TargetId>& targets, Duration longest_wait,
    std::function<void(const LimitReply&)> done) {
  const TimePoint now = Now();
  last_placement_request_ = last_placement_request_.Next();
  const OperationId operation = last_placement_request_;
  LimitAsk ask;
  ask.operation_ = operation;
  ask.longest_wait_ = longest_wait;
  for (const TargetId& target : targets) {
    ask.targets_.push_back(registry_.Limits().AskRow(now, target));
  }
  limit_asks_[operation] =
      OpenLimitAsk{now + kLimitReplyTimeout, std::move(done)};
  Outbox out(Endpoint{self_, Port::kControl});
  out.Send({registry_.Leader(), Port::kControl}, std::move(ask));
  CarryOut(out);
  return operation;
}

void Gateway::OnLimitReply(const LimitReply& reply) {
  last_leader_reply_ = Now();
  const auto found = limit_asks_.find(reply.operation_);
  if (found == limit_asks_.end()) {
    return;
  }
  const auto done = std::move(found->second.done_);
  limit_asks_.erase(found);
  done(reply);
}

void Gateway::TickLimitAsks(TimePoint now) {
  const auto is_late = [now](const OpenLimitAsk& ask) {
    return now >= ask.until_;
  };
  for (const auto& late : TakeIf(limit_asks_, is_late)) {
    LimitReply refused;
    refused.operation_ = late.key();
    refused.wait_ = kUsualElection;
    late.mapped().done_(refused);
  }
}

TimePoint Gateway::NextLimitAsk(const std::string& service) const {
  const auto found = next_limit_asks_.find(service);
  return found == next_limit_asks_.end() ? TimePoint() : found->second;
}

}  // namespace gv
