/** @file pause_guard_test.cc The age of input around pauses of a process. */
#include "coordination/gateway/pause_guard.h"

#include <doctest/doctest.h>

namespace gv {
namespace {

constexpr Duration kTick = 50_ms;

/** Ticks regularly. @return The time of the last tick. */
TimePoint TickUntil(PauseGuard& guard, TimePoint now, TimePoint end) {
  for (; now <= end; now = now + kTick) {
    guard.OnTick(now);
  }
  return now - kTick;
}

TEST_CASE("pause guard: a process that runs trusts the arrival") {
  PauseGuard guard;
  CHECK(guard.SentAfter(TimePoint(900), TimePoint(700)) == TimePoint(700));
  const TimePoint now = TickUntil(guard, TimePoint(1000), TimePoint(5000));
  CHECK(guard.SentAfter(now, now - 100_ms) == now - 100_ms);
  // Late ticks of a busy process are no pause.
  guard.OnTick(now + 400_ms);
  CHECK(guard.SentAfter(now + 401_ms, now + 400_ms) == now + 400_ms);
}

TEST_CASE("pause guard: input after a pause may be as old as its begin") {
  PauseGuard guard;
  const TimePoint begin = TickUntil(guard, TimePoint(1000), TimePoint(3000));
  const TimePoint end = begin + 6800_ms;
  // Input may be read before the first tick.
  CHECK(guard.SentAfter(end, end) == begin);
  CHECK(guard.SentAfter(end, begin - 10_s) == begin - 10_s);
  // A retransmission comes within the length of the pause after its end.
  TickUntil(guard, end, end + 6700_ms);
  CHECK(guard.SentAfter(end + 6700_ms, end + 6690_ms) == begin);
  TickUntil(guard, end + 6750_ms, end + 7_s);
  CHECK(guard.SentAfter(end + 7_s, end + 6990_ms) == end + 6990_ms);
}

TEST_CASE("pause guard: pauses that follow each other count together") {
  PauseGuard guard;
  const TimePoint begin = TickUntil(guard, TimePoint(1000), TimePoint(3000));
  TickUntil(guard, begin + 2_s, begin + 2500_ms);
  const TimePoint end = begin + 4500_ms;
  TickUntil(guard, end, end + 4400_ms);
  CHECK(guard.SentAfter(end + 4400_ms, end + 4400_ms) == begin);
  TickUntil(guard, end + 4450_ms, end + 5_s);
  CHECK(guard.SentAfter(end + 5_s, end + 5_s) == end + 5_s);
}

}  // namespace
}  // namespace gv
