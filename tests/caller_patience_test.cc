/** @file caller_patience_test.cc Tests of what is learnt of callers that
 * disconnect. */
#include "coordination/gateway/caller_patience.h"

#include <doctest/doctest.h>

namespace gv {
namespace {

TEST_CASE("patience: it is learnt from the callers that leave") {
  // Guards against a queue in which everybody waits until they leave: callers
  // with a deadline of 10 s may disconnect after two.
  for (const int64_t scale : {1, 10}) {
    CallerPatience patience;
    const TimePoint now(1000);
    for (int i = 0; i < 200; ++i) {
      patience.OnServed(100_ms * scale);
    }
    CHECK_FALSE(patience.Longest(now).has_value());
    for (int i = 0; i < 10; ++i) {
      patience.OnLeft(now, Duration(2000 * scale + i));
    }
    REQUIRE(patience.Longest(now).has_value());
    CHECK(*patience.Longest(now) <= 2_s * scale);
    CHECK(*patience.Longest(now) >= 1500_ms * scale);
  }
}

TEST_CASE("patience: a few callers that leave early change nothing") {
  CallerPatience patience;
  const TimePoint now(1000);
  for (int i = 0; i < 300; ++i) {
    if (i % 3 == 0) {
      patience.OnLeft(now, 500_ms);
    } else {
      patience.OnServed(3_s);
    }
  }
  CHECK_FALSE(patience.Longest(now).has_value());
}

TEST_CASE("patience: callers that wait longer than before are noticed") {
  CallerPatience patience;
  const TimePoint now(1000);
  for (int i = 0; i < 10; ++i) {
    patience.OnLeft(now, 2_s);
  }
  REQUIRE(patience.Longest(now).has_value());
  for (int i = 0; i < 100; ++i) {
    patience.OnServed(4_s);
  }
  CHECK_FALSE(patience.Longest(now).has_value());
  for (int i = 0; i < 10; ++i) {
    patience.OnLeft(now, 2_s);
  }
  CHECK_FALSE(patience.Longest(now + 61_s).has_value());
}

}  // namespace
}  // namespace gv
