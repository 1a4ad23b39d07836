/** @file answer_times.h How long the targets of a plain service take for an
 * answer. */
#pragma once

#include <optional>

#include "state/clock_type.h"

namespace gv {

/** Moving averages of the times of whole answers, as one gateway saw them.
 * Thread safety: owned by one thread. */
class AnswerTimes {
 public:
  /** Counts an answer. @param time From the request to its end. */
  void Add(Duration time);
  /** @return The average; zero before the first answer. */
  Duration Usual() const;
  /** @return Time in which nearly all answers come: the average and four mean
   * deviations; nothing before the first answer. */
  std::optional<Duration> Longest() const;

 private:
  bool has_answer_ = false;
  double mean_ms_ = 0;       ///< Moving average.
  double deviation_ms_ = 0;  ///< Moving average of the distance from mean_ms_.
};

}  // namespace gv
