/** @file admission_policy_test.cc Tests of the limits of waiting and the times
 * to return, with the deadlines of different fleets. */
#include "coordination/gateway/admission_policy.h"

#include <doctest/doctest.h>

namespace gv {
namespace {

TEST_CASE("admission: the limit of a first event follows the deadline") {
  for (const Duration deadline : {2_s, 10_s, 60_s}) {
    const RequestTimes times{300_ms, deadline, deadline};
    CHECK(LatestFirstEvent(times, false) == deadline / 3);
    CHECK(LatestFirstEvent(times, true) == 300_ms);
    CHECK_FALSE(IsCallerRetry(times));
  }
  CHECK(LatestFirstEvent({300_ms, 600_ms, 600_ms}, false) == 300_ms);
  const RequestTimes again{2500_ms, 15_s, 10_s};
  CHECK(IsCallerRetry(again));
  CHECK(LatestFirstEvent(again, true) == 7500_ms);
  CHECK(RetryAfterLeaderRefusal(100_ms) < RetryAfterLeaderRefusal(3_s));
  CHECK(MaxWaitWithoutLeader(again) == 5_s);
}

}  // namespace
}  // namespace gv
