/** @file answer_times_test.cc Tests of the averages of answer times. */
#include "coordination/gateway/answer_times.h"

#include <doctest/doctest.h>

namespace gv {
namespace {

TEST_CASE("answer times: they follow the service, at any speed") {
  for (const int64_t scale : {1, 10}) {
    AnswerTimes times;
    CHECK(times.Usual() == Duration());
    CHECK_FALSE(times.Longest().has_value());
    for (int i = 0; i < 100; ++i) {
      times.Add(Duration((i % 2 == 0 ? 20 : 40) * scale));
    }
    CHECK(times.Usual() >= 20_ms * scale);
    CHECK(times.Usual() <= 40_ms * scale);
    CHECK(*times.Longest() >= 40_ms * scale);
    CHECK(*times.Longest() <= 100_ms * scale);
    for (int i = 0; i < 50; ++i) {
      times.Add(200_ms * scale);
    }
    CHECK(times.Usual() >= 190_ms * scale);
  }
}

}  // namespace
}  // namespace gv
