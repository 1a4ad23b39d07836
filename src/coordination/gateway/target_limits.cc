/** @file target_limits.cc Token buckets of targets that name a limit. */
#include "coordination/gateway/target_limits.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace gv {
namespace {

/** A target that names less still gets a request in five seconds, as only its
 * answers tell when the limit is over. */
constexpr double kLeastPerSecond = 0.2;
constexpr double kMostPerSecond = 1e6;
/** Permits that accumulate, in seconds of the limit; at least one. */
constexpr double kBurstSeconds = 0.25;
constexpr double kMsPerSecond = 1000;
/** A limit that another gateway says is over must have been named this long
 * before, as the ages of reports do not include their delays. */
constexpr Duration kReportDelay = 250_ms;
/** An unchanged limit is reported again, in case a message was lost or the
 * leader is new. */
constexpr Duration kReportPeriod = 1_s;
/** Shares of a cold target's rate at which permits are given out. Permits are
 * used some time after they are given; below 0.9 the sum of any second stays
 * within the rate if that time varies by less than 110 ms. */
constexpr double kColdShare = 0.75;
constexpr double kLateColdShare = 0.9;
/** Last part of the cold time, over which the share rises. */
constexpr Duration kColdRise = 1_s;
/** After a target is warm it gets this multiple of its cold rate for a while.
 */
constexpr double kColdRampFactor = 2;
constexpr Duration kColdRamp = 1_s;
/** Permits of a cold target that accumulate beside one, in seconds of its rate.
 * The leader places prompts every 50 ms; a smaller bucket would lose what
 * accrues between. */
constexpr double kColdBurstSeconds = 0.05;
/** Latest return of a caller that was refused. */
constexpr Duration kMaxReturn = 10_s;

Duration TimeForTokens(double tokens, double per_second) {
  return Duration(static_cast<int64_t>(
      std::ceil(std::max(0.0, tokens) / per_second * kMsPerSecond)));
}

}  // namespace

const TargetLimits::State* TargetLimits::FindLimited(
    const TargetId& target) const {
  if (limited_ == 0) {
    return nullptr;
  }
  const auto found = states_.find(target);
  return found == states_.end() || !found->second.per_second_ ? nullptr
                                                              : &found->second;
}

bool TargetLimits::SetNamed(TimePoint now, State& state,
                            std::optional<double> per_second) {
  if (per_second) {
    per_second = std::clamp(*per_second, kLeastPerSecond, kMostPerSecond);
  }
  // A named limit above that of a cold target has to be passed on as well.
  const bool changed = state.named_ != per_second;
  state.named_ = per_second;
  SetLimit(now, state);
  return changed;
}

double TargetLimits::ColdRate(TimePoint now, const State& state) {
  const Duration left = state.cold_until_ - now;
  if (left <= Duration()) {
    return *state.cold_ * kColdRampFactor;
  }
  const double risen =
      1 - std::min(1.0, static_cast<double>(left.Ms()) /
                            static_cast<double>(kColdRise.Ms()));
  return *state.cold_ * (kColdShare + risen * (kLateColdShare - kColdShare));
}

void TargetLimits::SetLimit(TimePoint now, State& state) {
  std::optional<double> per_second = state.named_;
  if (state.cold_) {
    const double cold = std::max(kLeastPerSecond, ColdRate(now, state));
    per_second = std::min(per_second.value_or(cold), cold);
  }
  if (state.per_second_ == per_second) {
    return;
  }
  if (state.per_second_ && per_second) {
    state.tokens_ = TokensAt(now, state);
  } else {
    state.tokens_ = 0;
    limited_ += per_second ? 1 : 0;
    limited_ -= state.per_second_ ? 1 : 0;
  }
  state.filled_at_ = now;
  state.per_second_ = per_second;
}

void TargetLimits::SetCold(TimePoint now, const TargetId& target,
                           double per_second, TimePoint until) {
  if (until <= now) {
    const auto found = states_.find(target);
    if (found != states_.end() && found->second.cold_) {
      found->second.cold_until_ = std::min(found->second.cold_until_, now);
    }
    return;
  }
  State& state = states_[target];
  cold_count_ += state.cold_ ? 0 : 1;
  state.cold_ = std::clamp(per_second, kLeastPerSecond, kMostPerSecond);
  state.cold_until_ = until;
  SetLimit(now, state);
}

std::vector<ColdChange> TargetLimits::AdvanceCold(TimePoint now) {
  std::vector<ColdChange> changes;
  if (cold_count_ == 0) {
    return changes;
  }
  for (auto& [target, state] : states_) {
    if (!state.cold_) {
      continue;
    }
    const bool is_cold = now < state.cold_until_;
    if (is_cold != std::exchange(state.is_cold_known_, is_cold)) {
      changes.push_back({target, is_cold, *state.cold_,
                         std::max(Duration(), state.cold_until_ - now)});
    }
    if (now >= state.cold_until_ + kColdRamp) {
      state.cold_.reset();
      --cold_count_;
    }
    SetLimit(now, state);
  }
  return changes;
}

size_t TargetLimits::ColdCount(TimePoint now) const {
  if (cold_count_ == 0) {
    return 0;
  }
  return static_cast<size_t>(
      std::count_if(states_.begin(), states_.end(), [now](const auto& item) {
        return item.second.cold_ && now < item.second.cold_until_;
      }));
}

bool TargetLimits::OnNamed(TimePoint now, const TargetId& target,
                           double per_second) {
  State& state = states_[target];
  state.heard_at_ = now;
  return SetNamed(now, state, per_second);
}

bool TargetLimits::OnNotNamed(TimePoint now, const TargetId& target,
                              TimePoint sent) {
  const auto found = states_.find(target);
  if (found == states_.end() || sent <= found->second.heard_at_) {
    return false;
  }
  found->second.over_at_ = std::max(found->second.over_at_, sent);
  return SetNamed(now, found->second, std::nullopt);
}

bool TargetLimits::Merge(TimePoint now, const TargetLimitRow& row) {
  const TimePoint at = now - row.age_;
  if (row.is_over_) {
    const auto found = states_.find(row.target_);
    if (found == states_.end() ||
        at <= found->second.heard_at_ + kReportDelay) {
      return false;
    }
    found->second.over_at_ = std::max(found->second.over_at_, at);
    return SetNamed(now, found->second, std::nullopt);
  }
  State& state = states_[row.target_];
  if (at <= state.heard_at_ || at <= state.over_at_) {
    return false;
  }
  state.heard_at_ = at;
  return SetNamed(now, state, row.per_second_);
}

bool TargetLimits::IsLimited(const TargetId& target) const {
  return FindLimited(target) != nullptr;
}

std::optional<TargetLimitRow> TargetLimits::Row(TimePoint now,
                                                const TargetId& target) const {
  const auto found = states_.find(target);
  // A target may have a state without ever having named a limit, as it is cold.
  if (found == states_.end() ||
      (!found->second.named_ && found->second.over_at_ == TimePoint())) {
    return std::nullopt;
  }
  const State& state = found->second;
  const bool is_over = !state.named_;
  return TargetLimitRow{target, state.named_.value_or(0), is_over,
                        now - (is_over ? state.over_at_ : state.heard_at_)};
}

TargetLimitRow TargetLimits::AskRow(TimePoint now,
                                    const TargetId& target) const {
  return Row(now, target)
      .value_or(TargetLimitRow{target, 0, true, kNeverNamed});
}

bool TargetLimits::NeedsReport(TimePoint now, const TargetId& target) {
  const auto found = states_.find(target);
  if (found == states_.end() ||
      now - found->second.reported_at_ < kReportPeriod) {
    return false;
  }
  found->second.reported_at_ = now;
  return true;
}

void TargetLimits::SetGranting(TimePoint now, bool granting) {
  if (granting == granting_) {
    return;
  }
  granting_ = granting;
  for (auto& [target, state] : states_) {
    state.tokens_ = 0;
    state.filled_at_ = now;
  }
}

double TargetLimits::Burst(const State& state) {
  return state.cold_ ? 1 + *state.per_second_ * kColdBurstSeconds
                     : std::max(1.0, *state.per_second_ * kBurstSeconds);
}

double TargetLimits::TokensAt(TimePoint now, const State& state) const {
  const double burst = Burst(state);
  const double gained = static_cast<double>((now - state.filled_at_).Ms()) /
                        kMsPerSecond * *state.per_second_;
  return std::min(burst, state.tokens_ + gained);
}

bool TargetLimits::HasPermit(TimePoint now, const TargetId& target) const {
  const State* state = FindLimited(target);
  return state == nullptr || (granting_ && TokensAt(now, *state) >= 1);
}

void TargetLimits::TakePermit(TimePoint now, const TargetId& target) {
  if (IsLimited(target)) {
    State& state = states_[target];
    state.tokens_ = TokensAt(now, state) - 1;
    state.filled_at_ = now;
  }
}

Duration TargetLimits::UntilPermit(TimePoint now,
                                   const TargetId& target) const {
  const State* state = FindLimited(target);
  return state == nullptr
             ? Duration()
             : TimeForTokens(1 - TokensAt(now, *state), *state->per_second_);
}

std::optional<Duration> TargetLimits::TakePermitWithin(TimePoint now,
                                                       const TargetId& target,
                                                       Duration longest_wait) {
  const Duration wait = UntilPermit(now, target);
  const State* state = FindLimited(target);
  const Duration most =
      state != nullptr && state->cold_ ? kMaxColdPermitWait : kMaxPermitWait;
  if (!granting_ || wait > std::min(longest_wait, most)) {
    return std::nullopt;
  }
  TakePermit(now, target);
  return wait;
}

Duration TargetLimits::NextReturn(TimePoint now, const TargetId& target) {
  if (!IsLimited(target)) {
    return Duration();
  }
  State& state = states_[target];
  const TimePoint earliest = now + UntilPermit(now, target);
  const Duration apart = TimeForTokens(1, *state.per_second_);
  state.next_return_ = std::min(std::max(earliest, state.next_return_ + apart),
                                now + kMaxReturn);
  return state.next_return_ - now;
}

bool TargetLimits::KeepsOnePermit(const TargetId& target) const {
  const State* state = FindLimited(target);
  return state == nullptr || (!state->cold_ && Burst(*state) < 2);
}

double TargetLimits::PerSecond(const TargetId& target) const {
  const State* state = FindLimited(target);
  return state == nullptr ? 0 : *state->per_second_;
}

}  // namespace gv
