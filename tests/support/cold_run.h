/** @file cold_run.h A target that is cold at times, and gateways with more
 * requests than it takes. */
#pragma once

#include <algorithm>
#include <random>
#include <string>
#include <vector>

#include "support/limit_fleet.h"

namespace gv {

inline constexpr double kColdOver = 1.5;  ///< The users' coldOver.
inline constexpr double kColdSlack = 5;   ///< The users' coldSlack.

/** @return Most of the sorted @p times in any span of @p length. */
inline int64_t MostWithin(const std::vector<TimePoint>& times,
                          Duration length) {
  int64_t most = 0;
  for (auto first = times.begin(), last = first; last != times.end(); ++last) {
    while (*last - *first >= length) {
      ++first;
    }
    most = std::max<int64_t>(most, last - first + 1);
  }
  return most;
}

/** Takes all permits for @p target that @p limits has at @p now, also those
 * ahead.
 * @param due Gets the times from which they may be used. */
inline void TakeAllPermits(TargetLimits& limits, TimePoint now,
                           const TargetId& target,
                           std::vector<TimePoint>& due) {
  constexpr size_t kMost = 1000;  // Without a limit there is no end.
  for (size_t i = 0; i < kMost; ++i) {
    const auto wait = limits.TakePermitWithin(now, target, 10_s);
    if (!wait) {
      return;
    }
    due.push_back(now + *wait);
  }
}

/** A target that is cold at times and registers at random gateways, and the
 * gateways. */
class ColdRun {
 public:
  static constexpr Duration kStep = 50_ms;
  /** Between two registrations of the target. */
  static constexpr Duration kHeartbeat = 500_ms;

  ColdRun(double rate, uint64_t seed, size_t without = 3)
      : rate_(rate), random_(seed), fleet_(3, without, seed) {
    fleet_.SetColdBounds(ColdBounds{rate, 3_s});
    fleet_.Run(5_s);
  }

  LimitFleet& Fleet() { return fleet_; }
  RegistryGroup& Group() { return fleet_.Group(); }
  TimePoint Now() { return Group().now_; }
  void Kill(const std::string& gateway) { fleet_.Kill(gateway); }
  uint64_t Below(uint64_t bound) { return random_() % bound; }

  /** The target starts and is cold for @p time. */
  void StartTarget(Duration time) {
    ++start_;
    sequence_ = 0;
    BecomeCold(time);
    counted_from_ = Now();
  }
  /** The target is cold for @p time from now on and says so. */
  void BecomeCold(Duration time) {
    cold_until_ = Now() + time;
    Register();
  }
  /** The target registers at a random gateway that runs, if there is one. */
  void Register() {
    auto host = Group().hosts_.begin();
    std::advance(host, Below(Group().hosts_.size()));
    next_heartbeat_ = Now() + kHeartbeat;
    if (host->second.core_ &&
        host->second.core_->HasRecentStatus(Group().NowOf(host->second))) {
      RegisterAt(host->first, std::max(Duration(), cold_until_ - Now()));
    }
  }
  void RegisterAt(const std::string& gateway, Duration remaining) {
    TargetRegistration target =
        MakeTarget(fleet_.Target().Value(), start_, ++sequence_);
    target.warm_up_ = remaining;
    Group().Register(gateway, target);
  }
  /** Counts from now on. Between a statement and this moment gateways hear of
   * it. */
  void CountFromNow() { counted_from_ = Now(); }
  /** All gateways have more requests than a cold target takes. */
  void Step(bool registers = true) {
    if (registers && Now() >= next_heartbeat_) {
      Register();
    }
    fleet_.WantEach();
    fleet_.WantEach();
    fleet_.PlaceAtLeaders(static_cast<int>(rate_));
    fleet_.Run(kStep);
  }
  void Steps(Duration time) {
    for (const TimePoint end = Now() + time; Now() < end;) {
      Step();
    }
  }
  /** @return Requests that count: those while the target is cold. */
  std::vector<TimePoint> Counted() {
    std::vector<TimePoint> counted;
    for (const TimePoint at : fleet_.ArrivedAt()) {
      if (at >= counted_from_ && at < cold_until_) {
        counted.push_back(at);
      }
    }
    return counted;
  }
  /** @return Most requests in any second beyond the hard bound; negative or
   * zero while it holds. */
  double Excess() {
    return static_cast<double>(MostWithin(Counted(), 1_s)) - kColdOver * rate_ -
           kColdSlack;
  }
  bool AllLimited() {
    return std::all_of(
        Group().hosts_.begin(), Group().hosts_.end(), [this](auto& item) {
          return !item.second.core_ || fleet_.IsLimited(item.first);
        });
  }
  bool NoneLimited() {
    return std::none_of(
        Group().hosts_.begin(), Group().hosts_.end(), [this](auto& item) {
          return item.second.core_ && fleet_.IsLimited(item.first);
        });
  }

 private:
  double rate_;
  std::mt19937_64 random_;
  LimitFleet fleet_;
  uint64_t start_ = 0;
  uint64_t sequence_ = 0;
  TimePoint cold_until_;
  TimePoint counted_from_;
  TimePoint next_heartbeat_;
};

}  // namespace gv
