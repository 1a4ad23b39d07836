/** @file engine_model.h Predicts prefill and decode times of an engine from its
 * profile. */
#pragma once

#include <cstdint>

#include "state/routing_type.h"

namespace gv {

/** @return Milliseconds to prefill a whole prompt on one otherwise idle engine.
 * Thread safety: pure. */
double PrefillMs(const EngineProfile& engine, int64_t prompt_tokens);

/**
 * @return Milliseconds between two events of each stream, without prefill.
 * @param streams Streams that the engine decodes. @param context_tokens Sum of
 * their contexts. Thread safety: pure.
 */
double EventIntervalMs(const EngineProfile& engine, int64_t streams,
                       int64_t context_tokens);

/** @return EventIntervalMs() at an engine whose slots and memory are full: the
 * measure of how much a prefill beside its answers matters. Thread safety:
 * pure. */
double FullIntervalMs(const EngineProfile& engine);

/** @return Milliseconds to decode an answer of @p answer_tokens after its first
 * event. Thread safety: pure. */
double AnswerMs(const EngineProfile& engine, int64_t streams,
                int64_t context_tokens, int64_t answer_tokens);

/** @return AnswerMs() at an engine whose slots and memory are full. Thread
 * safety: pure. */
double SlowestAnswerMs(const EngineProfile& engine, int64_t answer_tokens);

/** @return Least time in milliseconds from the placement of a prompt on idle
 * engines to the end of its answer, split as by HelperCount(). Thread safety:
 * pure. */
double ShortestWorkMs(const EngineProfile& engine, int64_t prompt_tokens,
                      int64_t answer_tokens, double max_part_ms,
                      int64_t max_helpers);

/** @return Number of helpers that a prompt needs so that no engine prefills for
 * longer than @p max_part_ms, at most @p max_helpers; 0 if the owner prefills
 * it alone. Thread safety: pure. */
int64_t HelperCount(const EngineProfile& engine, int64_t prompt_tokens,
                    double max_part_ms, int64_t max_helpers);

}  // namespace gv
