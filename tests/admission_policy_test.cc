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
    CHECK(CanFinish({5_s * scale, {}}, work));
    CHECK(CanFinish({60_s * scale, {}}, work));
    CHECK_FALSE(CanFinish({4900_ms * scale, {}}, work));
    CHECK(CanFinish({60_s * scale, 3_s * scale}, work));
    CHECK_FALSE(CanFinish({60_s * scale, 2900_ms * scale}, work));
    CHECK(LatestFirstEvent(10_s * scale, work.answer_) == 8_s * scale);
  }
  CHECK(LatestFirstEvent(1_s, 2_s) < Duration());
}

TEST_CASE("admission: a caller returns when there is room, in its time") {
  // Guards against times to return that are the same for callers with 0.6 s and
  // with a minute, or that the spread moves past the time they follow.
  for (const int64_t scale : {1, 10}) {
    for (double spread = 0; spread < 1; spread += 0.25) {
      const Duration known =
          ReturnAfter({800_ms * scale, 9_s * scale, 2_s * scale, spread});
      CHECK(known >= 800_ms * scale);
      CHECK(known <= 3_s * scale);
      const Duration unknown =
          ReturnAfter({std::nullopt, 600_ms * scale, 50_ms * scale, spread});
      CHECK(unknown >= 100_ms * scale);
      CHECK(unknown <= 200_ms * scale);
      // It has to begin within a second.
      const Duration much_work =
          ReturnAfter({100_ms * scale, 9_s * scale, 8_s * scale, spread});
      CHECK(much_work >= 100_ms * scale);
      CHECK(much_work <= 1_s * scale);
      // No room in its time: it is told when there is some.
      CHECK(ReturnAfter({20_s * scale, 9_s * scale, 2_s * scale, spread}) ==
            20_s * scale);
    }
    CHECK(ReturnAfter({800_ms * scale, 9_s * scale, 2_s * scale, 0.1}) <
          ReturnAfter({800_ms * scale, 9_s * scale, 2_s * scale, 0.9}));
  }
  CHECK(ReturnAfter({Duration(), 1_s, 2_s, 0.5}) > Duration());
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
