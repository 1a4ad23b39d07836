/** @file retry_reserve.h Retries that the slack of a service's budget pays for.
 */
#pragma once

#include <deque>

#include "coordination/gateway/retry_budget_type.h"

namespace gv {

/**
 * Counts the permits that the leader gave out from the slack of one service's
 * retry budget. Each permit is an entry of the replicated log before it is
 * given out, so a new leader counts those of the one before it. A replica
 * counts an entry from its own commit on; a permit that comes later than
 * kRetryReplyTimeout after its request is not used. Thread safety: owned by one
 * thread.
 */
class RetryReserve {
 public:
  explicit RetryReserve(const RetryBounds& bounds);

  /** Counts permits of a committed entry. */
  void Add(TimePoint now, size_t permits);
  /** @return Permits that may be given out now. */
  size_t Left(TimePoint now);
  /** @return True if permits count now. */
  bool HasPermits(TimePoint now) { return Left(now) < slack_; }
  /** @return Time for which a permit counts: the window, and the time until its
   * retry has arrived. */
  Duration Span() const { return span_; }

 private:
  /** Permits of one entry. */
  struct Entry {
    TimePoint committed_;
    size_t permits_ = 0;
  };

  size_t slack_;               ///< Permits in any span.
  Duration span_;              ///< See Span().
  std::deque<Entry> entries_;  ///< Entries of the last span.
  size_t permits_ = 0;         ///< Sum over entries_.
};

}  // namespace gv
