/** @file silence_policy.h Decides when a target that sends nothing counts as
 * hung. */
#pragma once

#include <cstdint>
#include <optional>

#include "state/clock_type.h"
#include "state/routing_type.h"

namespace gv {

/** @return Time of one pass of a sound engine that decodes in all its slots and
 * prefills a chunk in each step. Thread safety: pure. */
Duration FullPass(const EngineProfile& engine);

/** @return Time without an event after which an engine that has begun an
 * answer counts as hung. Thread safety: pure. */
Duration LongestPause(const EngineProfile& engine);

/** @return Time after which an engine that has not begun an answer counts as
 * hung. @param predicted Predicted time to the first event. Thread safety:
 * pure. */
Duration LongestFirstEvent(const EngineProfile& engine, Duration predicted);

/**
 * @return Time after which a call of a plain service counts as hung: twice what
 * its answers take, and no more than leaves the same time for each further
 * attempt.
 * @param longest Time of nearly all answers, if there were any.
 * @param time_left Of the caller, when the attempt began.
 * @param attempts That are left, this one included; at least 1.
 * Thread safety: pure.
 */
Duration LongestCall(std::optional<Duration> longest, Duration time_left,
                     int64_t attempts);

}  // namespace gv
