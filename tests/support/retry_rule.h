/** @file retry_rule.h The users' limit of retries at one service. */
#pragma once

#include <algorithm>
#include <vector>

#include "state/clock_type.h"

namespace gv {

/** Requests of callers and arrivals of retries at one service over all
 * gateways. Requests are added in ascending order. Thread safety: one thread.
 */
class RetryRule {
 public:
  RetryRule(double ratio, Duration window, double slack)
      : ratio_(ratio), window_(window), slack_(slack) {}

  void OnRequest(TimePoint now) { requests_.push_back(now); }
  void OnRetry(TimePoint now) { retries_.push_back(now); }
  int64_t Retries() const { return static_cast<int64_t>(retries_.size()); }

  /** @return Most retries beyond the limit in any window; negative while the
   * limit holds. The requests are those of the window, of the one before, or of
   * the one half a window before, whichever has most. */
  double WorstExcess() const {
    std::vector<TimePoint> retries = retries_;
    std::sort(retries.begin(), retries.end());
    double worst = -slack_;
    for (const TimePoint begin : retries) {
      const int64_t requests =
          std::max({Count(requests_, begin), Count(requests_, begin - window_),
                    Count(requests_, begin - window_ / 2)});
      const double limit = ratio_ * static_cast<double>(requests) + slack_;
      worst =
          std::max(worst, static_cast<double>(Count(retries, begin)) - limit);
    }
    return worst;
  }

 private:
  int64_t Count(const std::vector<TimePoint>& times, TimePoint begin) const {
    return std::lower_bound(times.begin(), times.end(), begin + window_) -
           std::lower_bound(times.begin(), times.end(), begin);
  }

  double ratio_;
  Duration window_;
  double slack_;
  std::vector<TimePoint> requests_;
  std::vector<TimePoint> retries_;
};

}  // namespace gv
