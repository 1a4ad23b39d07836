/** @file answer_times.cc Moving averages as TCP keeps them of round trips. */
#include "coordination/gateway/answer_times.h"

#include <cmath>

namespace gv {
namespace {

constexpr double kMeanWeight = 0.125;
constexpr double kDeviationWeight = 0.25;
constexpr double kDeviations = 4;

}  // namespace

void AnswerTimes::Add(Duration time) {
  const auto ms = static_cast<double>(time.Ms());
  if (!has_answer_) {
    has_answer_ = true;
    mean_ms_ = ms;
    deviation_ms_ = ms / 2;
    return;
  }
  const double distance = std::abs(ms - mean_ms_);
  deviation_ms_ += kDeviationWeight * (distance - deviation_ms_);
  mean_ms_ += kMeanWeight * (ms - mean_ms_);
}

Duration AnswerTimes::Usual() const { return Duration(std::llround(mean_ms_)); }

std::optional<Duration> AnswerTimes::Longest() const {
  if (!has_answer_) {
    return std::nullopt;
  }
  return Duration(std::llround(mean_ms_ + kDeviations * deviation_ms_));
}

}  // namespace gv
