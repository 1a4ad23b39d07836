/** @file replay_core.h Feeds a recorded trace to a core and compares its
 * actions. */
#pragma once

#include <string>
#include <vector>

#include "coordination/replay_trace.h"
#include "protocol/outbox.h"

namespace gv {

/** What a replay found. */
struct ReplayOutcome {
  size_t steps_ = 0;        ///< Inputs that were fed.
  size_t actions_ = 0;      ///< Actions that agreed.
  size_t line_ = 0;         ///< Line of the input that first differed, or zero.
  std::string difference_;  ///< What differed; empty if nothing did.
  bool Agrees() const { return difference_.empty(); }
};

/**
 * Compares what a core did with what was recorded; clock readings, which the
 * process fills in, are left out.
 * @return The first difference, or empty text. Thread safety: pure.
 */
std::string CompareActions(const std::vector<Envelope>& recorded,
                           const std::vector<Envelope>& actual);

/**
 * Feeds every input of a trace and stops at the first difference.
 * @param core A core made as the trace's header says.
 * @return What was found. Thread safety: the caller owns the core.
 */
template <Core AnyCore>
ReplayOutcome Replay(const Trace& trace, AnyCore& core) {
  ReplayOutcome outcome;
  Outbox out(trace.header_.self_);
  for (const TraceStep& step : trace.steps_) {
    core.OnMessage(step.now_, step.input_, out);
    ++outcome.steps_;
    outcome.difference_ = CompareActions(step.actions_, out.TakeSent());
    if (!outcome.Agrees()) {
      outcome.line_ = step.line_;
      return outcome;
    }
    out.TakeEvents();
    outcome.actions_ += step.actions_.size();
  }
  return outcome;
}

}  // namespace gv
