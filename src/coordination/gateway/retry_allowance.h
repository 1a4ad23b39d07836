/** @file retry_allowance.h Retries that a gateway permits itself. */
#pragma once

#include <deque>

#include "coordination/gateway/retry_budget_type.h"

namespace gv {

/**
 * The part of a service's retry budget that callers' requests pay for. Each
 * request pays for one fraction of one retry, at the gateway that received it.
 * So the retries of all gateways follow from the requests of callers, whatever
 * the gateways know of each other, and a restart only loses retries. A fraction
 * is half of the allowed ratio: the retries of a window are paid by requests of
 * that window and of the one before, of which the limit counts only one.
 * Thread safety: owned by one thread.
 */
class RetryAllowance {
 public:
  explicit RetryAllowance(const RetryBounds& bounds);

  /** Counts a request of a caller. */
  void OnRequest(TimePoint now);
  /** @return True if enough requests have not paid for a retry yet; they pay
   * for this one. */
  bool Consume(TimePoint now);
  /** @return Recent requests that have not paid for a retry. */
  size_t UnspentRequests(TimePoint now);
  /** The leader has no permit left for this service. */
  void OnPermitRefused(TimePoint now);
  /** @return True if the leader may have a permit. */
  bool MayAskLeader(TimePoint now) const { return now >= next_ask_; }

 private:
  size_t requests_per_retry_;      ///< Zero if no retry is allowed.
  Duration lifetime_;              ///< Time in which a request can pay.
  std::deque<TimePoint> unspent_;  ///< Arrivals of requests that can pay.
  TimePoint next_ask_;             ///< When the leader is asked again.
};

}  // namespace gv
