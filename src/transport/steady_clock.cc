/** @file steady_clock.cc Reads the clocks of the machine. */
#include "transport/steady_clock.h"

#include <time.h>

#include <chrono>

namespace gv {
namespace {

template <class Clock>
int64_t MsOf() {
  const auto since = Clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
}

}  // namespace

TimePoint SteadyNow() { return TimePoint(MsOf<std::chrono::steady_clock>()); }

TimePoint BootNow() {
  constexpr int64_t kMsPerSecond = 1000;
  constexpr int64_t kNsPerMs = 1000000;
  timespec time{};
  ::clock_gettime(CLOCK_BOOTTIME, &time);
  return TimePoint(time.tv_sec * kMsPerSecond + time.tv_nsec / kNsPerMs);
}

int64_t WallMs() { return MsOf<std::chrono::system_clock>(); }

}  // namespace gv
