/** @file retry_window.h Retry budget of one service, shared by all gateways. */
#pragma once

#include <deque>
#include <string>

#include "state/clock_type.h"

namespace gv {

/** Limit of retries in a sliding window, summed over all gateways; the same at
 * all of them. */
struct RetryBounds {
  double ratio_ = 0.2;      ///< Retries allowed for each request in the window.
  Duration window_{10000};  ///< Length of the window, 10 s by default.
  double slack_ = 10;  ///< Retries that are allowed in addition to the ratio.
};

/** Requests and retries in a window. */
struct RepeatCount {
  int64_t requests_ = 0;  ///< Requests of callers, without retries.
  int64_t repeats_ = 0;   ///< Retries.
};

/**
 * Counts requests and retries in a sliding window. While the reports of all
 * gateways add up to less than 0.6 of the limit, any gateway may retry, so that
 * one whose targets fail can use the budget that the others leave. Above that,
 * or without fresh reports of all, each gateway is limited by its own requests
 * and an equal part of the slack, which needs no report. Thread safety: owned
 * by one thread.
 */
class RetryWindow {
 public:
  explicit RetryWindow(RetryBounds bounds) : bounds_(bounds) {}

  /** Counts a request of a caller. */
  void OnRequest(TimePoint now);
  /** Replaces the counts of the other gateways. @param others Sum of their
   * reports. @param reporters Number of gateways with a recent report. */
  void SetRemoteCounts(TimePoint now, const RepeatCount& others,
                       size_t reporters);
  /** @return This gateway's counts in the window, to be reported to the others.
   */
  RepeatCount OwnReport(TimePoint now);
  /** @return True if the budget allows a retry now. @param gateways Number of
   * gateways that share the slack, at least 1. */
  bool HasRetryBudget(TimePoint now, size_t gateways);
  /** Counts a retry if the budget allows it. @param gateways Number of gateways
   * that share the slack, at least 1. @return False if the budget is spent. */
  bool ConsumeRetryBudget(TimePoint now, size_t gateways);
  /** @return What a decision depends on, as fields of a log line. */
  std::string Describe(TimePoint now, size_t gateways);

 private:
  /** Removes what is older than the window. */
  void Expire(TimePoint now);

  RetryBounds bounds_;
  std::deque<TimePoint> requests_;  ///< Times of own requests in the window.
  std::deque<TimePoint> repeats_;   ///< Times of own retries in the window.
  RepeatCount others_;              ///< Sum of the other gateways' reports.
  size_t reporters_ = 0;            ///< Number of these gateways.
  TimePoint reported_at_;           ///< Time at which others_ was set.
};

}  // namespace gv
