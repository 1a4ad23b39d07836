/** @file caller_patience.h How long callers wait for the first event before
 * they disconnect, which may be long before the deadline that they name. */
#pragma once

#include <array>
#include <cstddef>
#include <optional>

#include "state/clock_type.h"

namespace gv {

/**
 * Learns from the callers of one route how long they wait. Callers that were
 * served do not tell how long they would have waited, so the share that leaves
 * is kept for each range of waits, among those that waited at least as long.
 * Load pattern: a crest in which the queue grows longer than callers wait, so
 * that all of them wait in vain. A few callers that leave early change nothing.
 * Thread safety: owned by one thread.
 */
class CallerPatience {
 public:
  /** The first event of a caller came. @param waited Time until then. */
  void OnServed(Duration waited);
  /** A caller disconnected before its first event.
   * @param waited Time until then. */
  void OnLeft(TimePoint now, Duration waited);
  /** @return Time after which most callers have disconnected; nothing if that
   * was not seen lately. */
  std::optional<Duration> Longest(TimePoint now) const;

 private:
  /** Callers that waited at least to the begin of a range. */
  struct Range {
    double present_ = 0;  ///< All of them; older ones count less.
    double left_ = 0;     ///< Those that left within the range.
  };
  /** Four ranges for each doubling, from one millisecond. */
  static constexpr size_t kRanges = 96;

  static size_t RangeOf(Duration waited);
  static Duration BeginOf(size_t range);
  void CountPresent(size_t ranges);

  std::array<Range, kRanges> ranges_;   ///< By length of the wait.
  std::optional<TimePoint> last_left_;  ///< When a caller left last.
};

}  // namespace gv
