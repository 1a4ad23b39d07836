/** @file retry_allowance.cc Counts the requests that can pay for retries. */
#include "coordination/gateway/retry_allowance.h"

#include <algorithm>
#include <cmath>

namespace gv {
namespace {

/** The window of the retries and the one before it. */
constexpr double kPayingWindows = 2;
/** While targets refuse most requests, each would ask the leader in vain. */
constexpr Duration kRefusedPause = 100_ms;

}  // namespace

RetryAllowance::RetryAllowance(const RetryBounds& bounds)
    : requests_per_retry_(
          bounds.ratio_ > 0
              ? static_cast<size_t>(std::ceil(kPayingWindows / bounds.ratio_))
              : 0),
      lifetime_(bounds.window_ - kRetryPermitLifetime - kRetryTransit) {}

void RetryAllowance::OnRequest(TimePoint now) {
  UnspentRequests(now);
  unspent_.push_back(now);
}

size_t RetryAllowance::UnspentRequests(TimePoint now) {
  while (!unspent_.empty() && now - unspent_.front() >= lifetime_) {
    unspent_.pop_front();
  }
  return unspent_.size();
}

void RetryAllowance::OnPermitRefused(TimePoint now) {
  next_ask_ = now + kRefusedPause;
}

bool RetryAllowance::Consume(TimePoint now) {
  if (requests_per_retry_ == 0 || UnspentRequests(now) < requests_per_retry_) {
    return false;
  }
  unspent_.erase(
      unspent_.begin(),
      unspent_.begin() + static_cast<std::ptrdiff_t>(requests_per_retry_));
  return true;
}

}  // namespace gv
