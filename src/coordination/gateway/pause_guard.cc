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
    if (*last_tick_ >= pause_matters_until_) {
      pause_began_ = *last_tick_;
    }
    // A sender without an acknowledgement doubles the time to its next
    // retransmission, so that what it sent during a pause arrives within the
    // length of the pause after its end.
    pause_matters_until_ = now + (now - pause_began_);
  }
  last_tick_ = now;
}

TimePoint PauseGuard::SentAfter(TimePoint now, TimePoint arrived_after) const {
  // The pause may have ended just now, before its first tick.
  PauseGuard ticked = *this;
  ticked.OnTick(now);
  return now < ticked.pause_matters_until_
             ? std::min(arrived_after, ticked.pause_began_)
             : arrived_after;
}

}  // namespace gv
