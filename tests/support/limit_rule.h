/** @file limit_rule.h The users' limit of requests at a target that names one.
 */
#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "state/clock_type.h"

namespace gv {

/**
 * Arrivals at one target that names a limit. From three seconds after it first
 * named one, the target may get 1.5 times what it allows and five requests more
 * in four seconds, counted over the gateways that had passed on such an answer
 * half a second before. Calls are in the order of time. Thread safety: one
 * thread.
 */
class LimitRule {
 public:
  static constexpr Duration kWindow = 4_s;
  static constexpr Duration kFirst = 3_s;
  static constexpr Duration kTold = 500_ms;
  static constexpr double kFactor = 1.5;
  static constexpr double kSlack = 5;

  /** The target names @p per_second from now on, or none. */
  void OnNamed(TimePoint now, std::optional<double> per_second) {
    const std::optional<double> before =
        named_.empty() ? std::nullopt : named_.back().per_second_;
    if (per_second == before) {
      return;
    }
    if (!before) {
      first_named_ = now;
      told_.clear();
      counted_.clear();
    }
    named_.push_back(Named{now, per_second});
  }
  /** An answer with the limit is passed on by @p gateway. */
  void OnTold(TimePoint now, const std::string& gateway) {
    told_.try_emplace(gateway, now);
  }
  /** The gateway was killed; it is told again. */
  void OnKilled(const std::string& gateway) { told_.erase(gateway); }
  /** A request of @p gateway arrives. */
  void OnArrival(TimePoint now, const std::string& gateway) {
    ++arrivals_;
    const auto told = told_.find(gateway);
    if (named_.empty() || !named_.back().per_second_ ||
        now < first_named_ + kFirst || told == told_.end() ||
        now < told->second + kTold) {
      return;
    }
    counted_.push_back(now);
    const auto in_window = std::count_if(
        counted_.begin(), counted_.end(),
        [now](TimePoint arrival) { return arrival > now - kWindow; });
    worst_ = std::max(worst_, static_cast<double>(in_window) -
                                  kFactor * AllowedSince(now - kWindow, now) -
                                  kSlack);
  }

  /** @return Most requests beyond the limit in any window; negative while it
   * holds. */
  double WorstExcess() const { return worst_; }
  /** @return All requests that arrived. */
  int64_t Arrivals() const { return arrivals_; }

 private:
  struct Named {
    TimePoint from_;
    std::optional<double> per_second_;
  };

  /** @return Requests that the named limits allow from @p begin to @p end; the
   * first one counts for the time before it too. */
  double AllowedSince(TimePoint begin, TimePoint end) const {
    double allowed = 0;
    for (size_t i = 0; i < named_.size(); ++i) {
      const TimePoint from = i == 0 ? begin : std::max(begin, named_[i].from_);
      const TimePoint to = i + 1 < named_.size() ? named_[i + 1].from_ : end;
      if (from < to) {
        // A span without a limit counts as the limit after it.
        const double per_second = named_[i].per_second_.value_or(
            i + 1 < named_.size() ? named_[i + 1].per_second_.value_or(0) : 0);
        allowed += per_second * static_cast<double>((to - from).Ms()) / 1000;
      }
    }
    return allowed;
  }

  std::vector<Named> named_;               ///< In order of time.
  TimePoint first_named_;                  ///< Of the limit in force.
  std::map<std::string, TimePoint> told_;  ///< By gateway.
  std::vector<TimePoint> counted_;         ///< Arrivals that count.
  int64_t arrivals_ = 0;
  double worst_ = -kSlack;
};

}  // namespace gv
