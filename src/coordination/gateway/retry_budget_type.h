/** @file retry_budget_type.h Limit of retries at one service, and the times
 * that both parts of its budget count with. */
#pragma once

#include "state/clock_type.h"

namespace gv {

/** Limit of retries in a sliding window, summed over all gateways; the same at
 * all of them. */
struct RetryBounds {
  double ratio_ = 0.2;      ///< Retries allowed for each request in the window.
  Duration window_{10000};  ///< Length of the window, 10 s by default.
  double slack_ = 10;  ///< Retries that are allowed in addition to the ratio.
};

/** A gateway waits so long for the leader's permit, or does without. */
inline constexpr Duration kRetryReplyTimeout = 300_ms;
/** A permitted retry is sent within this time, or needs a new permit. */
inline constexpr Duration kRetryPermitLifetime = 1_s;
/** Longest time from the sending of a retry to its arrival at a target, a new
 * connection included. */
inline constexpr Duration kRetryTransit = 1_s;

}  // namespace gv
