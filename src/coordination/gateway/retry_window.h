/** @file retry_window.h Bounds the repeated requests of one service, summed
 * over all gateways. */
#pragma once

#include <deque>

#include "state/clock_type.h"

namespace gv {

/** The bound on repeated requests; the same at all gateways. */
struct RetryBounds {
  double ratio_ = 0.2;      ///< Repeats for each request.
  Duration window_{10000};  ///< Any span of this length counts.
  double slack_ = 10;       ///< Repeats beside the ratio, of all gateways.
};

/**
 * Counts requests and repeats in a sliding window. Each gateway uses its own
 * requests and an equal part of the slack, so that the sum stays below the
 * bound without any message. Thread safety: owned by one thread.
 */
class RetryWindow {
 public:
  explicit RetryWindow(RetryBounds bounds) : bounds_(bounds) {}

  /** Counts a request of a caller. */
  void OnRequest(TimePoint now);
  /** @return True if a request may be sent once more; counts it.
   * @param gateways Gateways that share the slack. At least 1. */
  bool TakeRepeat(TimePoint now, size_t gateways);

 private:
  void Expire(TimePoint now);

  RetryBounds bounds_;              ///< Fixed.
  std::deque<TimePoint> requests_;  ///< In the window.
  std::deque<TimePoint> repeats_;   ///< In the window.
};

}  // namespace gv
