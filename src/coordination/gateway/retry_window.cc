/** @file retry_window.cc Sliding window of requests and repeats. */
#include "coordination/gateway/retry_window.h"

namespace gv {
namespace {

/** Kept free for repeats that the counting of others can't see. */
constexpr double kUsablePart = 0.8;
/** Up to this part of the bound any gateway may repeat; what others do until
 * their next report fits between this and kUsablePart. */
constexpr double kSharedPart = 0.6;
/** Reports pass several times in this time. */
constexpr Duration kFreshReport = 1_s;

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

bool RetryWindow::HasRepeat(TimePoint now, size_t gateways) {
  Expire(now);
  const bool knows_all =
      reporters_ + 1 >= gateways && now - reported_ <= kFreshReport;
  const auto repeats = static_cast<double>(repeats_.size()) + 1;
  const auto requests = static_cast<double>(requests_.size());
  const double bound =
      bounds_.ratio_ * (requests + static_cast<double>(others_.requests_)) +
      bounds_.slack_;
  const double all = repeats + static_cast<double>(others_.repeats_);
  if (knows_all && all <= kSharedPart * bound) {
    return true;
  }
  const double own_bound = bounds_.ratio_ * requests +
                           bounds_.slack_ / static_cast<double>(gateways);
  return repeats <= kUsablePart * own_bound && all <= kUsablePart * bound;
}

void RetryWindow::SetOthers(TimePoint now, const RepeatCount& others,
                            size_t reporters) {
  others_ = others;
  reporters_ = reporters;
  reported_ = now;
}

RepeatCount RetryWindow::Own(TimePoint now) {
  Expire(now);
  return RepeatCount{static_cast<int64_t>(requests_.size()),
                     static_cast<int64_t>(repeats_.size())};
}

bool RetryWindow::TakeRepeat(TimePoint now, size_t gateways) {
  if (!HasRepeat(now, gateways)) {
    return false;
  }
  repeats_.push_back(now);
  return true;
}

}  // namespace gv
