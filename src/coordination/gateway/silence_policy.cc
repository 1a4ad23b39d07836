/** @file silence_policy.cc Times without an event, from the pace of the target.
 */
#include "coordination/gateway/silence_policy.h"

#include <algorithm>

#include "coordination/gateway/engine_model.h"

namespace gv {
namespace {

/** A sound engine may be in a full pass, and the next one is full as well. */
constexpr int64_t kSilentPasses = 2;
/** Multiple of what was predicted, or observed, that a sound target takes. */
constexpr int64_t kOverdueFactor = 2;
/** Delay of the answer to a call by other processes of a busy VM. */
constexpr Duration kSchedulingDelay = 200_ms;

}  // namespace

Duration FullPass(const EngineProfile& engine) {
  const double chunk_ms =
      PrefillMs(engine, engine.usual_prompt_tokens_ + engine.chunk_tokens_) -
      PrefillMs(engine, engine.usual_prompt_tokens_);
  return Duration(static_cast<int64_t>(
      FullIntervalMs(engine) +
      chunk_ms * static_cast<double>(engine.steps_per_event_)));
}

Duration LongestPause(const EngineProfile& engine) {
  return FullPass(engine) * kSilentPasses;
}

Duration LongestFirstEvent(const EngineProfile& engine, Duration predicted) {
  return FullPass(engine) + predicted * kOverdueFactor;
}

Duration LongestCall(std::optional<Duration> longest, Duration time_left,
                     int64_t attempts) {
  const Duration share = time_left / std::max<int64_t>(1, attempts);
  if (!longest) {
    return share;
  }
  return std::min(share, std::max(*longest * kOverdueFactor, kSchedulingDelay));
}

}  // namespace gv
