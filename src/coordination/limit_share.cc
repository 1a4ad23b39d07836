/** @file limit_share.cc An entry's leased shares of team limits. */
#include "coordination/limit_share.h"

#include <algorithm>
#include <cmath>

namespace gv {
namespace {

constexpr int64_t kMsPerSecond = 1000;
constexpr Duration kAskInterval(500);     ///< Regular renewal.
constexpr Duration kUrgentInterval(100);  ///< Renewal under pressure.
constexpr Duration kIdleAfter(20'000);    ///< A share is given up after.
constexpr Duration kBurst(1'000);         ///< Rate that may be saved up.
constexpr Duration kRefusedRetryAfter(1'000);
constexpr double kSmoothing = 0.5;  ///< Weight of the newest period.

}  // namespace

void LimitShares::Fill(TimePoint now, Share& share) {
  const TimePoint end = std::min(now, share.valid_until_);
  if (end > share.filled_at_) {
    const double rate = static_cast<double>(share.grant_.tokens_per_second_);
    const double burst = rate * static_cast<double>(kBurst.Ms()) / kMsPerSecond;
    share.balance_ += rate *
                      static_cast<double>((end - share.filled_at_).Ms()) /
                      kMsPerSecond;
    share.balance_ = std::min(share.balance_, burst);
  }
  share.filled_at_ = std::max(share.filled_at_, now);
}

LimitAnswer LimitShares::Start(TimePoint now, const TeamSettings& team,
                               int64_t tokens) {
  if (!IsLimited(team)) {
    return LimitAnswer::kYes;
  }
  Share& share = shares_[team.team_];
  share.has_rate_ = team.tokens_per_second_ > 0;
  share.has_concurrent_ = team.concurrent_ > 0;
  share.used_at_ = now;
  if (now >= share.valid_until_) {
    share.urgent_ = true;
    return LimitAnswer::kWait;
  }
  Fill(now, share);
  const bool rate_ok = !share.has_rate_ || share.balance_ > 0;
  const bool place_ok =
      !share.has_concurrent_ || share.in_progress_ < share.grant_.concurrent_;
  share.demand_tokens_ += tokens;
  if (!rate_ok || !place_ok) {
    share.refused_ += 1;
    share.urgent_ = true;
    return LimitAnswer::kRefused;
  }
  share.balance_ -= static_cast<double>(tokens);
  share.in_progress_ += 1;
  return LimitAnswer::kYes;
}

void LimitShares::End(const TeamId& team, int64_t unused_tokens) {
  const auto entry = shares_.find(team);
  if (entry != shares_.end() && entry->second.in_progress_ > 0) {
    entry->second.in_progress_ -= 1;
    entry->second.balance_ += static_cast<double>(unused_tokens);
  }
}

Duration LimitShares::RetryAfter(TimePoint now,
                                 const TeamSettings& team) const {
  const auto entry = shares_.find(team.team_);
  if (entry == shares_.end() || now >= entry->second.valid_until_ ||
      entry->second.balance_ > 0 ||
      entry->second.grant_.tokens_per_second_ <= 0) {
    return kRefusedRetryAfter;
  }
  const double rate =
      static_cast<double>(entry->second.grant_.tokens_per_second_);
  const double wait = -entry->second.balance_ / rate * kMsPerSecond;
  return std::max(kRefusedRetryAfter, Duration(std::llround(wait)));
}

void LimitShares::OnGrant(TimePoint now, const ShareGrant& grant) {
  const auto entry = shares_.find(grant.team_);
  if (entry == shares_.end()) {
    return;
  }
  Share& share = entry->second;
  // A new leader that still waits grants nothing and takes nothing away.
  const bool empty = grant.duration_ == Duration(0);
  if (empty || grant.sent_at_ms_ <= share.grant_.sent_at_ms_ ||
      grant.sent_at_ms_ > now.Ms()) {
    return;
  }
  Fill(now, share);
  share.grant_ = grant;
  // Clocks may drift: the holder uses nine tenths of the lease.
  share.valid_until_ = TimePoint(grant.sent_at_ms_) + grant.duration_ * 9 / 10;
}

void LimitShares::OnTick(TimePoint now, const NodeId& leader, Outbox& out) {
  for (auto& [team, share] : shares_) {
    const bool idle =
        share.in_progress_ == 0 && now - share.used_at_ > kIdleAfter;
    const Duration interval = share.urgent_ ? kUrgentInterval : kAskInterval;
    const bool first = share.asked_at_ == TimePoint();
    if (!idle && (first || now - share.asked_at_ >= interval)) {
      Ask(now, team, share, leader, out);
    }
  }
}

void LimitShares::Ask(TimePoint now, const TeamId& team, Share& share,
                      const NodeId& leader, Outbox& out) {
  const Duration period = now - share.period_start_;
  if (period >= kAskInterval) {
    const double rate = static_cast<double>(share.demand_tokens_) *
                        kMsPerSecond / static_cast<double>(period.Ms());
    share.demand_rate_ += kSmoothing * (rate - share.demand_rate_);
  }
  const double current =
      std::max(share.demand_rate_, static_cast<double>(share.demand_tokens_));
  if (!leader.IsNone()) {
    ShareRequest request;
    request.team_ = team;
    request.tokens_per_second_ = std::llround(std::ceil(current));
    request.concurrent_ = share.in_progress_ + share.refused_ + 1;
    request.sent_at_ms_ = now.Ms();
    request.in_progress_ = share.in_progress_;
    out.Send({leader, Port::kControl}, request);
  }
  if (period >= kAskInterval) {
    share.demand_tokens_ = 0;
    share.refused_ = 0;
    share.period_start_ = now;
  }
  share.asked_at_ = now;
  share.urgent_ = false;
}

}  // namespace gv
