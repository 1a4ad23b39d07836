/** @file steady_clock.h Reads the clocks of the machine. */
#pragma once

#include "state/clock_type.h"

namespace gv {

/** @return Milliseconds on the monotonic clock. Thread safety: any thread. */
TimePoint SteadyNow();

/** @return Milliseconds on the clock that also runs while the VM is suspended,
 * so that leases end during a suspension. Thread safety: any thread. */
TimePoint BootNow();

/** @return Milliseconds of wall time since 1970, for the time line only. Thread
 * safety: any. */
int64_t WallMs();

}  // namespace gv
