/** @file trace_file.h Records the inputs and actions of one core in a file. */
#pragma once

#include <fstream>
#include <string>
#include <vector>

#include "coordination/replay_trace.h"

namespace gv {

/**
 * Writes the trace of one core as JSON lines. Traces hold prompts and hashes of
 * keys: the file is made readable by its owner only. Thread safety: owned by
 * the core's thread.
 */
class TraceWriter {
 public:
  /** Begins the file at @p path anew with its header. */
  TraceWriter(const std::string& path, const TraceHeader& header);

  /** Records an input, before the core gets it. */
  void Input(TimePoint now, const Envelope& input);

  /** Records what the core sent for the input before; call it once an input. */
  void Actions(const std::vector<Envelope>& actions);

  /** @return False if the file could not be opened or written. */
  bool Good() const { return file_.good(); }

 private:
  std::ofstream file_;  ///< The trace.
};

/** Reads a trace file. @return The trace, or a verdict with file and line.
 * Thread safety: any thread. */
Result<Trace> ReadTraceFile(const std::string& path);

}  // namespace gv
