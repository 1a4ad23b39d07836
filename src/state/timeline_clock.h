/** @file timeline_clock.h The hybrid logical clock that orders events of all
 * processes causally. */
#pragma once

#include "state/clock_type.h"

namespace gv {

/**
 * A hybrid logical clock. Readings never go back, and a reading after Merge is
 * later than the merged one. Thread safety: owned by one thread.
 */
class HybridClock {
 public:
  /**
   * Takes the reading of a local event or of a message about to be sent.
   * @param wall_ms Wall clock in milliseconds since the epoch.
   * @return A reading later than all earlier ones.
   */
  HlcTime Next(int64_t wall_ms);

  /**
   * Takes the reading of a message's receipt.
   * @param received The sender's reading in the message.
   * @param wall_ms Wall clock in milliseconds since the epoch.
   * @return A reading later than @p received and all earlier ones. A reading
   * more than kMaxAhead ahead of the wall clock is not taken over, so that one
   * broken clock does not move all others.
   */
  HlcTime Merge(HlcTime received, int64_t wall_ms);

  /** @return The newest reading. */
  HlcTime Last() const { return last_; }

  /** How far a peer's reading may be ahead of the local wall clock. */
  static constexpr Duration kMaxAhead = 3600_s;

 private:
  HlcTime last_;  ///< The newest reading.
};

}  // namespace gv
