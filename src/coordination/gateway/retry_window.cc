/** @file retry_window.cc Sliding window of requests and repeats. */
#include "coordination/gateway/retry_window.h"

namespace gv {
namespace {

/** Kept free for repeats that the counting of others can't see. */
constexpr double kUsablePart = 0.8;

}  // namespace

void RetryWindow::Expire(TimePoint now) {
  for (auto* times : {&requests_, &repeats_}) {
    while (!times->empty() && now - times->front() >= bounds_.window_) {
      times->pop_front();
    }
  }
}

void RetryWindow::OnRequest(TimePoint now) {
  Expire(now);
  requests_.push_back(now);
}

bool RetryWindow::TakeRepeat(TimePoint now, size_t gateways) {
  Expire(now);
  const double own = bounds_.ratio_ * static_cast<double>(requests_.size());
  const double slack = bounds_.slack_ / static_cast<double>(gateways);
  if (static_cast<double>(repeats_.size()) + 1 > kUsablePart * (own + slack)) {
    return false;
  }
  repeats_.push_back(now);
  return true;
}

}  // namespace gv
