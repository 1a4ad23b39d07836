/** @file line_log.h Structured log lines on standard output, bounded in volume
 * and never blocking. */
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include "state/clock_type.h"
#include "state/event_type.h"
#include "state/table/events.h"

namespace gv {

/**
 * Writes one line for each event in the form key=value. Each level has a budget
 * of its own, so that many ordinary lines never push out those of failures.
 * What does not fit is counted. Thread safety: owned by one thread.
 */
class LineLog {
 public:
  /** @param descriptor Where lines go; made non-blocking.
   * @param node Name of this process, for each line. */
  LineLog(int descriptor, std::string node);

  /** Buffers a line, or counts it as dropped. */
  void Write(TimePoint now, const Event& event);
  /** Hands the buffer to the descriptor as far as it takes it. */
  void Flush(TimePoint now);
  /** @return Lines left out so far. */
  uint64_t Dropped() const { return dropped_; }

 private:
  /** What one level may write. */
  struct Budget {
    double lines_ = 0;  ///< Lines that may be written now.
    TimePoint filled_;  ///< When lines_ was last raised.
  };

  bool Take(TimePoint now, EventLevel level);
  void Append(const Event& event, const EventRow& row);

  int descriptor_;                   ///< Standard output.
  std::string node_;                 ///< For each line.
  std::string buffer_;               ///< Not yet written.
  std::array<Budget, 4> budgets_{};  ///< By level.
  uint64_t dropped_ = 0;             ///< Lines left out.
  uint64_t reported_ = 0;            ///< Of them, said in a line.
  TimePoint next_report_;            ///< Of dropped lines.
};

}  // namespace gv
