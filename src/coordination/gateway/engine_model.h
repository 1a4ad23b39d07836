/** @file engine_model.h Predicts how long an engine takes, from the figures of
 * its profile. */
#pragma once

#include <cstdint>

#include "state/routing_type.h"

namespace gv {

/** @return Milliseconds of prefill of a whole prompt on one engine that does
 * nothing else. Thread safety: pure. */
double PrefillMs(const EngineProfile& engine, int64_t prompt_tokens);

/**
 * @return Milliseconds from one event of each stream to the next, without
 * prefill. @param streams Streams that write. @param context_tokens Sum of
 * their contexts. Thread safety: pure.
 */
double PassMs(const EngineProfile& engine, int64_t streams,
              int64_t context_tokens);

/** @return Milliseconds that a whole answer of @p answer_tokens takes after its
 * first event. Thread safety: pure. */
double AnswerMs(const EngineProfile& engine, int64_t streams,
                int64_t context_tokens, int64_t answer_tokens);

/** @return Helpers that a prompt needs, so that no engine reads for longer than
 * @p part_ms; at most @p most. Zero if it is read alone. Thread safety: pure.
 */
int64_t HelpersFor(const EngineProfile& engine, int64_t prompt_tokens,
                   double part_ms, int64_t most);

}  // namespace gv
