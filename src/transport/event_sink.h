/** @file event_sink.h Where events go: time line, log and metrics. */
#pragma once

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/registry.h>

#include <string>

#include "state/event_type.h"
#include "transport/timeline_file.h"

namespace gv {

/** Sets up the log once for the process. @param file Empty for standard error.
 * Call from main. */
void ConfigureLog(const std::string& file, const std::string& level);

/**
 * Writes each event to the time line and the log and counts it.
 * Thread safety: all methods may be called on any thread.
 */
class EventSink {
 public:
  /** @param timeline_file File of the time line, or empty. */
  explicit EventSink(const std::string& timeline_file);
  /** Records an event whose node and time are set. */
  void Write(const Event& event);
  /** @return All metrics in the Prometheus text format. */
  std::string MetricsText() const;

 private:
  TimelineWriter timeline_;                          ///< Ring and file.
  prometheus::Registry registry_;                    ///< All metrics.
  prometheus::Family<prometheus::Counter>& events_;  ///< Counts by name.
};

}  // namespace gv
