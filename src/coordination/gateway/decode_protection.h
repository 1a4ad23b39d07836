/** @file decode_protection.h How much prefill may interrupt the answers of more
 * urgent callers. */
#pragma once

#include <cstdint>
#include <optional>

#include "state/routing_type.h"

namespace gv {

/**
 * Load pattern: prompts of 45,000 tokens share the engines with many short
 * answers of a more urgent rank. An engine reads a whole prompt in one pass, so
 * each of its answers pauses for the length of the prefill.
 * @param rank Priority of the route of the prompt that is to be read.
 * @return Longest prefill in milliseconds that may be added to a pass beside
 * answers of more urgent ranks; nothing if the service serves none. It decides
 * where a prompt is read and in how many parts, never whether it is served.
 * Thread safety: pure.
 */
std::optional<double> LongestPrefillBesideUrgent(const Service& service,
                                                 int64_t rank);

}  // namespace gv
