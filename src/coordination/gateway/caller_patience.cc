/** @file caller_patience.cc Shares of callers that disconnect, by their wait.
 */
#include "coordination/gateway/caller_patience.h"

#include <algorithm>
#include <cmath>

namespace gv {
namespace {

constexpr double kRangesPerDoubling = 4;
/** Weight of what was seen before, each time that a range is reached. */
constexpr double kMemory = 0.98;
/** Callers that have to leave within a range before it tells anything. */
constexpr double kLeastLeft = 3;
/** Time after which callers are expected to have changed. */
constexpr Duration kRetention = 60_s;

}  // namespace

size_t CallerPatience::RangeOf(Duration waited) {
  const auto ms = static_cast<double>(std::max<int64_t>(1, waited.Ms()));
  return std::min(kRanges - 1,
                  static_cast<size_t>(kRangesPerDoubling * std::log2(ms)));
}

Duration CallerPatience::BeginOf(size_t range) {
  return Duration(
      std::llround(std::exp2(static_cast<double>(range) / kRangesPerDoubling)));
}

void CallerPatience::CountPresent(size_t ranges) {
  for (size_t i = 0; i < ranges; ++i) {
    ranges_[i].present_ = ranges_[i].present_ * kMemory + 1;
    ranges_[i].left_ *= kMemory;
  }
}

void CallerPatience::OnServed(Duration waited) {
  // Whether it would have left within the range of its wait is not known.
  CountPresent(RangeOf(waited));
}

void CallerPatience::OnLeft(TimePoint now, Duration waited) {
  const size_t range = RangeOf(waited);
  CountPresent(range + 1);
  ranges_[range].left_ += 1;
  last_left_ = now;
}

std::optional<Duration> CallerPatience::Longest(TimePoint now) const {
  if (!last_left_ || now - *last_left_ > kRetention) {
    return std::nullopt;
  }
  constexpr double kMost = 0.5;
  double staying = 1;
  for (size_t i = 0; i < kRanges; ++i) {
    const Range& range = ranges_[i];
    if (range.left_ < kLeastLeft) {
      continue;
    }
    staying *= 1 - range.left_ / range.present_;
    if (staying < kMost) {
      return BeginOf(i);
    }
  }
  return std::nullopt;
}

}  // namespace gv
