/** @file pause_guard.cc Bounds the age of input after a pause. */
#include "coordination/gateway/pause_guard.h"

#include <algorithm>

namespace gv {
namespace {

/** Ticks of a process that runs are at most this far apart. */
constexpr Duration kLongestGap = 500_ms;

}  // namespace

void PauseGuard::OnTick(TimePoint now) {
  if (last_tick_ && now - *last_tick_ > kLongestGap) {
    pause_began_ = now < pause_matters_until_
                       ? std::min(pause_began_, *last_tick_)
                       : *last_tick_;
    // A sender without an acknowledgement doubles the time to its next
    // retransmission, so that what it sent during a pause arrives within the
    // length of the pause after its end.
    pause_matters_until_ = now + (now - pause_began_);
  }
  last_tick_ = now;
}

TimePoint PauseGuard::SentAfter(TimePoint now, TimePoint arrived_after) const {
  if (now < pause_matters_until_) {
    return std::min(arrived_after, pause_began_);
  }
  if (last_tick_ && now - *last_tick_ > kLongestGap) {
    return std::min(arrived_after, *last_tick_);
  }
  return arrived_after;
}

}  // namespace gv
