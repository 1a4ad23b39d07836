/** @file target_limits.cc Token buckets of targets that name a limit. */
#include "coordination/gateway/target_limits.h"

#include <algorithm>
#include <cmath>

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
/** After a target is warm it gets this multiple of its cold rate for a while.
 */
constexpr double kColdRampFactor = 2;
constexpr Duration kColdRamp = 1_s;
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
  state.named_ = per_second;
  return SetLimit(now, state);
}

bool TargetLimits::SetLimit(TimePoint now, State& state) {
  std::optional<double> per_second = state.named_;
  if (state.cold_) {
    per_second = std::min(per_second.value_or(*state.cold_), *state.cold_);
  }
  if (state.per_second_ == per_second) {
    return false;
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
  return true;
}

void TargetLimits::SetCold(TimePoint now, const TargetId& target,
                           double per_second, TimePoint until) {
  if (until <= now) {
    return;
  }
  State& state = states_[target];
  cold_count_ += state.cold_ ? 0 : 1;
  state.cold_ = std::clamp(per_second, kLeastPerSecond, kMostPerSecond);
  state.cold_until_ = until;
  state.is_warming_ = false;
  SetLimit(now, state);
}

void TargetLimits::EndCold(TimePoint now) {
  if (cold_count_ == 0) {
    return;
  }
  for (auto& [target, state] : states_) {
    if (!state.cold_ || now < state.cold_until_) {
      continue;
    }
    if (now >= state.cold_until_ + kColdRamp) {
      state.cold_.reset();
      --cold_count_;
    } else if (!state.is_warming_) {
      state.cold_ = *state.cold_ * kColdRampFactor;
    }
    state.is_warming_ = state.cold_.has_value();
    SetLimit(now, state);
  }
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
  if (found == states_.end()) {
    return std::nullopt;
  }
  const State& state = found->second;
  const bool is_over = !state.named_;
  return TargetLimitRow{target, state.named_.value_or(0), is_over,
                        now - (is_over ? state.over_at_ : state.heard_at_)};
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

double TargetLimits::TokensAt(TimePoint now, const State& state) const {
  const double burst = std::max(1.0, *state.per_second_ * kBurstSeconds);
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
  if (!granting_ || wait > std::min(longest_wait, kMaxPermitWait)) {
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
  return PerSecond(target) * kBurstSeconds < 2;
}

double TargetLimits::PerSecond(const TargetId& target) const {
  const State* state = FindLimited(target);
  return state == nullptr ? 0 : *state->per_second_;
}

}  // namespace gv
