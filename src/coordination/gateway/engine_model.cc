/** @file engine_model.cc Predicts prefill and decode times of an engine. */
#include "coordination/gateway/engine_model.h"

#include <algorithm>
#include <cmath>

namespace gv {
namespace {

constexpr double kTokensPerContextUnit = 1000;
constexpr double kPairsPerMillion = 1e6;

}  // namespace

double PrefillMs(const EngineProfile& engine, int64_t prompt_tokens) {
  const auto tokens = static_cast<double>(prompt_tokens);
  const double pairs = tokens * tokens / 2 / kPairsPerMillion;
  return tokens / engine.prefill_tokens_per_ms_ +
         pairs * engine.pair_ms_per_million_;
}

double EventIntervalMs(const EngineProfile& engine, int64_t streams,
                       int64_t context_tokens) {
  const double step = engine.step_ms_ +
                      static_cast<double>(streams) * engine.stream_step_ms_ +
                      static_cast<double>(context_tokens) /
                          kTokensPerContextUnit * engine.context_step_ms_;
  return step * static_cast<double>(engine.steps_per_event_);
}

double FullIntervalMs(const EngineProfile& engine) {
  return EventIntervalMs(engine, engine.slots_, engine.memory_tokens_);
}

double AnswerMs(const EngineProfile& engine, int64_t streams,
                int64_t context_tokens, int64_t answer_tokens) {
  const double passes = std::ceil(static_cast<double>(answer_tokens) /
                                  static_cast<double>(engine.steps_per_event_));
  return passes * EventIntervalMs(engine, streams, context_tokens);
}

double SlowestAnswerMs(const EngineProfile& engine, int64_t answer_tokens) {
  return AnswerMs(engine, engine.slots_, engine.memory_tokens_, answer_tokens);
}

double ShortestWorkMs(const EngineProfile& engine, int64_t prompt_tokens,
                      int64_t answer_tokens, double max_part_ms,
                      int64_t max_helpers) {
  const int64_t readers =
      HelperCount(engine, prompt_tokens, max_part_ms, max_helpers) + 1;
  return PrefillMs(engine, prompt_tokens) / static_cast<double>(readers) +
         AnswerMs(engine, 1, prompt_tokens + answer_tokens, answer_tokens);
}

int64_t HelperCount(const EngineProfile& engine, int64_t prompt_tokens,
                    double max_part_ms, int64_t max_helpers) {
  const double parts =
      std::ceil(PrefillMs(engine, prompt_tokens) / max_part_ms);
  return std::clamp<int64_t>(static_cast<int64_t>(parts) - 1, 0, max_helpers);
}

}  // namespace gv
