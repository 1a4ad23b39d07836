/** @file replay_trace.h The text form of a recorded trace: header, inputs and
 * actions of one core. */
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "protocol/message.h"
#include "state/verdict_type.h"

namespace gv {

/** The first line of a trace: how to make the core again. */
struct TraceHeader {
  std::string role_;      ///< "control", "entry", "agent" or "replica".
  Endpoint self_;         ///< The core's endpoint.
  uint64_t seed_ = 0;     ///< Seed given to the core's constructor.
  std::string settings_;  ///< JSON text of the constructor's settings.
};

/** One step of a core: an input and what the core did. */
struct TraceStep {
  size_t line_ = 0;                ///< Line of the input, counted from one.
  TimePoint now_;                  ///< Time given to the core.
  Envelope input_;                 ///< The input.
  std::vector<Envelope> actions_;  ///< Messages that the core sent.
};

/** A whole trace. */
struct Trace {
  TraceHeader header_;            ///< How to make the core.
  std::vector<TraceStep> steps_;  ///< In order.
};

/** @return The header as one JSON line without the line end. Thread safety:
 * pure. */
std::string TraceHeaderLine(const TraceHeader& header);

/** @return An input as one JSON line without the line end. Thread safety: pure.
 */
std::string TraceInputLine(TimePoint now, const Envelope& input);

/** @return The actions of the input before as one JSON line without the line
 * end. Thread safety: pure. */
std::string TraceActionsLine(const std::vector<Envelope>& actions);

/**
 * Reads a trace from its text. An input without an actions line had no actions.
 * @param name Name of the trace for messages.
 * @return The trace, or Reason::kBadRequest with name, line and reason. Thread
 * safety: pure.
 */
Result<Trace> ReadTrace(std::string_view name, std::string_view text);

}  // namespace gv
