/** @file admission_policy_test.cc Tests of the limits of waiting and the times
 * to return, with the deadlines of different fleets. */
#include "coordination/gateway/admission_policy.h"

#include <doctest/doctest.h>

namespace gv {
namespace {

TEST_CASE("admission: a request is taken if its answer can end in time") {
  // Guards against limits that leave out the length of the answer, or that
  // refuse a caller who still has the time.
  for (const int64_t scale : {1, 10}) {
    const WorkLeft work{3_s * scale, 2_s * scale};
    CHECK(CanFinish(5_s * scale, work));
    CHECK(CanFinish(60_s * scale, work));
    CHECK_FALSE(CanFinish(4900_ms * scale, work));
    CHECK(LatestFirstEvent(10_s * scale, work.answer_) == 8_s * scale);
  }
  CHECK(LatestFirstEvent(1_s, 2_s) < Duration());
  CHECK(RetryAfterLeaderRefusal(100_ms) < RetryAfterLeaderRefusal(3_s));
}

TEST_CASE("admission: a higher rank has its turn first, none has it too late") {
  for (const Duration slack : {800_ms, 8_s, 80_s}) {
    for (int64_t rank = 0; rank < 9; ++rank) {
      CHECK(DueIn(slack, rank) < DueIn(slack, rank + 1));
      const Duration tenfold = DueIn(slack * 10, rank);
      CHECK(tenfold <= DueIn(slack, rank) * 10);
      CHECK(tenfold > (DueIn(slack, rank) - 1_ms) * 10);
    }
    CHECK(DueIn(slack, 1000000) <= slack);
    CHECK(DueIn(slack, -1) == DueIn(slack, 0));
  }
  CHECK(DueIn(1_s, 2) < DueIn(2_s, 2));
}

}  // namespace
}  // namespace gv
