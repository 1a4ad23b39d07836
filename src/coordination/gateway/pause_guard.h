/** @file pause_guard.h Bounds the age of input that a process reads after it
 * has stood still. */
#pragma once

#include <optional>

#include "state/clock_type.h"

namespace gv {

/**
 * Notices when the process, or its machine, was stopped for a while. Thread
 * safety: owned by one thread.
 */
class PauseGuard {
 public:
  /** Call several times a second. */
  void OnTick(TimePoint now);
  /**
   * @param arrived_after Earliest arrival of the input at this machine.
   * @return Earliest time at which input that is read at @p now can have been
   * sent, if the network did not delay it.
   */
  TimePoint SentAfter(TimePoint now, TimePoint arrived_after) const;

 private:
  std::optional<TimePoint> last_tick_;  ///< None before the first.
  TimePoint pause_began_;               ///< Of the last pause.
  TimePoint pause_matters_until_;       ///< Input may be older before this.
};

}  // namespace gv
