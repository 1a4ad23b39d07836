/** @file retry_reserve.cc Counts the permits of the last span. */
#include "coordination/gateway/retry_reserve.h"

#include <algorithm>

namespace gv {

RetryReserve::RetryReserve(const RetryBounds& bounds)
    : slack_(static_cast<size_t>(std::max(0.0, bounds.slack_))),
      span_(bounds.window_ + kRetryReplyTimeout + kRetryPermitLifetime +
            kRetryTransit) {}

void RetryReserve::Add(TimePoint now, size_t permits) {
  entries_.push_back(Entry{now, permits});
  permits_ += permits;
}

size_t RetryReserve::Left(TimePoint now) {
  while (!entries_.empty() && now - entries_.front().committed_ >= span_) {
    permits_ -= entries_.front().permits_;
    entries_.pop_front();
  }
  return slack_ - std::min(slack_, permits_);
}

}  // namespace gv
