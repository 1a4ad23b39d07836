/** @file retry_window.cc Sliding window of requests and retries. */
#include "coordination/gateway/retry_window.h"

namespace gv {
namespace {

/** Part of the limit that may be used. The rest is reserved for retries that
 * are missing from the counts. */
constexpr double kUsableFraction = 0.8;
/** Part of the limit up to which any gateway may retry. Retries of the other
 * gateways before their next report fit between this and kUsableFraction. */
constexpr double kSharedFraction = 0.6;
/** Age up to which reports are used; several reports arrive in this time. */
constexpr Duration kMaxReportAge = 1_s;

}  // namespace

void RetryWindow::Expire(TimePoint now) {
  for (auto* times : {&requests_, &repeats_}) {
    while (!times->empty() && now - times->front() >= bounds_.window_) {
      times->pop_front();
    }
  }
}

void RetryWindow::OnRequest(TimePoint now) {
  Expire(now);
  requests_.push_back(now);
}

bool RetryWindow::HasRetryBudget(TimePoint now, size_t gateways) {
  Expire(now);
  const bool has_all_reports =
      reporters_ + 1 >= gateways && now - reported_at_ <= kMaxReportAge;
  const auto repeats = static_cast<double>(repeats_.size()) + 1;
  const auto requests = static_cast<double>(requests_.size());
  const double bound =
      bounds_.ratio_ * (requests + static_cast<double>(others_.requests_)) +
      bounds_.slack_;
  const double total_repeats = repeats + static_cast<double>(others_.repeats_);
  if (has_all_reports && total_repeats <= kSharedFraction * bound) {
    return true;
  }
  const double local_bound = bounds_.ratio_ * requests +
                             bounds_.slack_ / static_cast<double>(gateways);
  return repeats <= kUsableFraction * local_bound &&
         total_repeats <= kUsableFraction * bound;
}

void RetryWindow::SetRemoteCounts(TimePoint now, const RepeatCount& others,
                                  size_t reporters) {
  others_ = others;
  reporters_ = reporters;
  reported_at_ = now;
}

RepeatCount RetryWindow::OwnReport(TimePoint now) {
  Expire(now);
  return RepeatCount{static_cast<int64_t>(requests_.size()),
                     static_cast<int64_t>(repeats_.size())};
}

bool RetryWindow::ConsumeRetryBudget(TimePoint now, size_t gateways) {
  if (!HasRetryBudget(now, gateways)) {
    return false;
  }
  repeats_.push_back(now);
  return true;
}

std::string RetryWindow::Describe(TimePoint now, size_t gateways) {
  Expire(now);
  return "repeats=" + std::to_string(repeats_.size()) +
         " requests=" + std::to_string(requests_.size()) +
         " others_repeats=" + std::to_string(others_.repeats_) +
         " others_requests=" + std::to_string(others_.requests_) +
         " reporters=" + std::to_string(reporters_) +
         " gateways=" + std::to_string(gateways);
}

}  // namespace gv
