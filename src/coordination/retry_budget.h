/** @file retry_budget.h Bounds retries to a fraction of the admitted requests.
 */
#pragma once

#include <algorithm>
#include <cstdint>

namespace gv {

/**
 * Token bucket for retries: each admitted request earns a part of a retry, so
 * that a failing fleet is never hit by more than that part of extra load.
 * Thread safety: control thread only.
 */
class RetryBudget {
 public:
  /** Earns kEarnPercent of a retry. */
  void OnAdmitted() {
    percent_ = std::min(percent_ + kEarnPercent, kMostPercent);
  }

  /** @return True if a retry may be made; takes it from the budget. */
  bool Take() {
    if (percent_ < kCostPercent) {
      return false;
    }
    percent_ -= kCostPercent;
    return true;
  }

  static constexpr int64_t kEarnPercent = 10;    ///< Per admitted request.
  static constexpr int64_t kCostPercent = 100;   ///< Per retry.
  static constexpr int64_t kMostPercent = 2000;  ///< 20 retries at once.

 private:
  int64_t percent_ = kMostPercent;  ///< Budget left, in percent of a retry.
};

}  // namespace gv
