/** @file registry_limits.cc Limits that targets name: what gateways tell each
 * other of them, and the permits that the leader gives out. */
#include <algorithm>

#include "coordination/gateway/registry_core.h"

namespace gv {
namespace {

std::string LimitText(const TargetLimitRow& row) {
  return "per_second=" +
         (row.is_over_ ? "none" : std::to_string(row.per_second_)) +
         " age_ms=" + std::to_string(row.age_.Ms());
}

}  // namespace

void RegistryCore::SyncLimits(TimePoint now) {
  limits_.SetGranting(now, IsActiveLeader(now));
}

void RegistryCore::OnAnswerLimit(TimePoint now, const TargetId& target,
                                 std::optional<double> per_second,
                                 TimePoint sent, Outbox& out) {
  const bool changed = per_second ? limits_.OnNamed(now, target, *per_second)
                                  : limits_.OnNotNamed(now, target, sent);
  const bool repeat = per_second && limits_.NeedsReport(now, target);
  if (!changed && !repeat) {
    return;
  }
  const TargetLimitRow row = *limits_.Row(now, target);
  if (changed) {
    RecordLimit("heard=answer", row, out);
  }
  if (leader_ == settings_.self_) {
    if (changed) {
      out.SendToAll(OtherEndpoints(), LimitReport{{row}});
    }
  } else if (!leader_.IsNone()) {
    out.Send(ControlEndpoint(leader_), LimitReport{{row}});
  }
}

void RegistryCore::OnLimitReport(TimePoint now, const NodeId& from,
                                 const LimitReport& report, Outbox& out) {
  LimitReport news;
  for (const TargetLimitRow& row : report.rows_) {
    if (limits_.Merge(now, row)) {
      RecordLimit("heard=" + from.Value(), row, out);
      news.rows_.push_back(row);
    }
  }
  if (!news.rows_.empty() && leader_ == settings_.self_) {
    out.SendToAll(OtherEndpoints(), std::move(news));
  }
}

void RegistryCore::OnLimitAsk(TimePoint now, const Endpoint& from,
                              const LimitAsk& ask, Outbox& out) {
  OnLimitReport(now, from.node_, LimitReport{ask.targets_}, out);
  SyncLimits(now);
  LimitReply reply;
  reply.operation_ = ask.operation_;
  reply.wait_ = kUsualElection;
  if (!IsActiveLeader(now)) {
    AnswerLimitAsk(from, ask, "cause=leader", std::move(reply), out);
    return;
  }
  LimitReport over;
  const TargetLimitRow* soonest = nullptr;
  for (const TargetLimitRow& row : ask.targets_) {
    if (!limits_.IsLimited(row.target_)) {
      if (const auto known = limits_.Row(now, row.target_)) {
        over.rows_.push_back(*known);
      }
    }
    if (row.age_ >= kNeverNamed && !limits_.IsLimited(row.target_)) {
      // Cold for the gateway that asks; its statement is still on the way.
      continue;
    }
    if (soonest == nullptr || limits_.UntilPermit(now, row.target_) <
                                  limits_.UntilPermit(now, soonest->target_)) {
      soonest = &row;
    }
  }
  if (!over.rows_.empty()) {
    out.Send(from, std::move(over));
  }
  if (soonest == nullptr) {
    AnswerLimitAsk(from, ask, "cause=no-target", std::move(reply), out);
    return;
  }
  reply.target_ = soonest->target_;
  const std::optional<Duration> wait =
      limits_.TakePermitWithin(now, reply.target_, ask.longest_wait_);
  reply.granted_ = wait.has_value();
  reply.wait_ = wait ? *wait : limits_.NextReturn(now, reply.target_);
  const std::string detail =
      "per_second=" + std::to_string(limits_.PerSecond(reply.target_)) +
      " next_ms=" +
      std::to_string(limits_.UntilPermit(now, reply.target_).Ms());
  AnswerLimitAsk(from, ask, detail, std::move(reply), out);
}

void RegistryCore::AnswerLimitAsk(const Endpoint& from, const LimitAsk& ask,
                                  const std::string& detail, LimitReply reply,
                                  Outbox& out) const {
  Event event;
  event.id_ = reply.granted_ ? EventId::kLimitGranted : EventId::kLimitRefused;
  event.target_ = reply.target_;
  event.detail_ = "gateway=" + from.node_.Value() +
                  " wait_ms=" + std::to_string(reply.wait_.Ms()) +
                  " longest_wait_ms=" + std::to_string(ask.longest_wait_.Ms()) +
                  " " + detail;
  out.Record(std::move(event));
  out.Send(from, std::move(reply));
}

void RegistryCore::TickLimits(TimePoint now, Outbox& out) {
  SyncLimits(now);
  TickCold(now, out);
  if (now >= next_limit_expiry_) {
    constexpr Duration kExpiryPeriod = 10_s;
    next_limit_expiry_ = now + kExpiryPeriod;
    limits_.Expire(now, [this](const TargetId& target) {
      return targets_.Find(target) != nullptr;
    });
  }
}

void RegistryCore::RecordLimit(const std::string& source,
                               const TargetLimitRow& row, Outbox& out) const {
  Event event;
  event.id_ =
      row.is_over_ ? EventId::kTargetLimitOver : EventId::kTargetLimitNamed;
  event.target_ = row.target_;
  event.detail_ = source + " " + LimitText(row);
  out.Record(std::move(event));
}

}  // namespace gv
