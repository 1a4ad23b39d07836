/** @file timeline_clock.cc Advances the hybrid logical clock. */
#include "state/timeline_clock.h"

#include <algorithm>

namespace gv {

HlcTime HybridClock::Next(int64_t wall_ms) {
  if (wall_ms > last_.wall_ms_) {
    last_ = HlcTime{wall_ms, 0};
  } else {
    ++last_.counter_;
  }
  return last_;
}

HlcTime HybridClock::Merge(HlcTime received, int64_t wall_ms) {
  if (received.wall_ms_ <= wall_ms + kMaxAhead.Ms()) {
    last_ = std::max(last_, received);
  }
  return Next(wall_ms);
}

}  // namespace gv
