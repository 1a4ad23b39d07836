/** @file retry_fleet.cc Failing requests, and the retries that are permitted.
 */
#include "support/retry_fleet.h"

namespace gv {
namespace {

/** Between two looks at the replies. */
constexpr Duration kStep = 5_ms;

}  // namespace

RetryFleet::RetryFleet(size_t with_disk, size_t without,
                       const RetryBounds& bounds, uint64_t seed,
                       Duration most_to_arrival)
    : bounds_(bounds),
      most_to_arrival_(most_to_arrival),
      random_(seed),
      group_(with_disk, without, seed, bounds),
      rule_(bounds.ratio_, bounds.window_, bounds.slack_) {}

void RetryFleet::Arrive() {
  const auto most = static_cast<uint64_t>(most_to_arrival_.Ms() + 1);
  rule_.OnRetry(group_.now_ + Duration(static_cast<int64_t>(random_() % most)));
}

void RetryFleet::Fail(const std::string& gateway, size_t requests) {
  RetryAllowance& allowance =
      allowances_.try_emplace(gateway, bounds_).first->second;
  for (size_t i = 0; i < requests; ++i) {
    rule_.OnRequest(group_.now_);
    allowance.OnRequest(group_.now_);
    if (allowance.Consume(group_.now_)) {
      Arrive();
      continue;
    }
    last_operation_ = last_operation_.Next();
    open_[last_operation_] =
        OpenAsk{gateway, group_.Host(gateway).starts_, group_.now_};
    group_.AskLeader(gateway, RetryAsk{last_operation_, "model"});
  }
}

void RetryFleet::FailEach() {
  for (const auto& [name, host] : group_.hosts_) {
    if (host.core_) {
      Fail(name, 1);
    }
  }
}

void RetryFleet::Run(Duration duration) {
  const TimePoint end = group_.now_ + duration;
  while (group_.now_ < end) {
    group_.Run(kStep);
    for (auto& [name, host] : group_.hosts_) {
      for (const RetryReply& reply : std::exchange(host.retry_replies_, {})) {
        const auto open = open_.find(reply.operation_);
        if (open == open_.end()) {
          continue;
        }
        const OpenAsk ask = open->second;
        open_.erase(open);
        const bool in_time = group_.now_ - ask.asked_ <= kRetryReplyTimeout;
        if (reply.granted_ && in_time && host.core_ &&
            host.starts_ == ask.start_) {
          Arrive();
        }
      }
    }
  }
}

void RetryFleet::Kill(const std::string& gateway) {
  group_.Crash(gateway);
  allowances_.erase(gateway);
}

}  // namespace gv
