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

/** Requests and repeats in a window. */
struct RepeatCount {
  int64_t requests_ = 0;  ///< Of callers.
  int64_t repeats_ = 0;   ///< Sent once more.
};

/**
 * Counts requests and repeats in a sliding window. A gateway may repeat while
 * all gateways together are well below the bound, as far as their reports tell,
 * so that one whose targets fail can use what others leave. Nearer to the bound
 * each keeps to its own requests and an equal part of the slack, which needs no
 * report. Thread safety: owned by one thread.
 */
class RetryWindow {
 public:
  explicit RetryWindow(RetryBounds bounds) : bounds_(bounds) {}

  /** Counts a request of a caller. */
  void OnRequest(TimePoint now);
  /** Replaces what the other gateways reported, summed up. @param reporters
   * How many of them did so lately. */
  void SetOthers(TimePoint now, const RepeatCount& others, size_t reporters);
  /** @return What this gateway reports to the others. */
  RepeatCount Own(TimePoint now);
  /** @return True if a request may be sent once more. @param gateways As for
   * TakeRepeat. */
  bool HasRepeat(TimePoint now, size_t gateways);
  /** @return True if a request may be sent once more; counts it.
   * @param gateways Gateways that share the slack. At least 1. */
  bool TakeRepeat(TimePoint now, size_t gateways);

 private:
  void Expire(TimePoint now);

  RetryBounds bounds_;              ///< Fixed.
  std::deque<TimePoint> requests_;  ///< In the window.
  std::deque<TimePoint> repeats_;   ///< In the window.
  RepeatCount others_;              ///< Of the other gateways that reported.
  size_t reporters_ = 0;            ///< How many these are.
  TimePoint reported_;              ///< When.
};

}  // namespace gv
