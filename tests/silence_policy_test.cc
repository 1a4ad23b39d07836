/** @file silence_policy_test.cc Tests of the times after which a target counts
 * as hung. */
#include "coordination/gateway/silence_policy.h"

#include <doctest/doctest.h>

#include "support/gateway_engines.h"

namespace gv {
namespace {

/** @return An engine that takes ten times as long for everything. */
EngineProfile SlowEngine() {
  EngineProfile engine = ReferenceEngine();
  engine.step_ms_ *= 10;
  engine.stream_step_ms_ *= 10;
  engine.context_step_ms_ *= 10;
  engine.prefill_tokens_per_ms_ /= 10;
  engine.pair_ms_per_million_ *= 10;
  return engine;
}

TEST_CASE("silence: a sound engine is waited for, whatever its pace") {
  // Guards against giving up an engine by the objective of the route: a step
  // with a chunk takes 17 ms here, and a pass has 51 of them.
  CHECK(FullPass(ReferenceEngine()) >= 800_ms);
  CHECK(FullPass(ReferenceEngine()) <= 1_s);
  CHECK(LongestPause(ReferenceEngine()) >= FullPass(ReferenceEngine()));
  CHECK(LongestFirstEvent(ReferenceEngine(), 3_s) >=
        3_s + FullPass(ReferenceEngine()));
  const Duration tenfold = FullPass(SlowEngine());
  CHECK(tenfold >= FullPass(ReferenceEngine()) * 10);
  CHECK(tenfold <= (FullPass(ReferenceEngine()) + 1_ms) * 10);
}

TEST_CASE("silence: a call leaves the time for the other attempts") {
  CHECK(LongestCall(std::nullopt, 600_ms, 2) == 300_ms);
  CHECK(LongestCall(500_ms, 600_ms, 2) == 300_ms);
  CHECK(LongestCall(500_ms, 10_s, 2) == 1_s);
  CHECK(LongestCall(20_ms, 10_s, 2) >= 40_ms);
  CHECK(LongestCall(20_ms, 10_s, 2) <= 300_ms);
}

}  // namespace
}  // namespace gv
