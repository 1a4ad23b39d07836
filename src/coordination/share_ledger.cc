/** @file share_ledger.cc The leader's ledger of leased shares. */
#include "coordination/share_ledger.h"

#include <algorithm>

namespace gv {
namespace {

/** Of the limit, kept for equal floors of all asking entries, in percent. */
constexpr int64_t kFloorPercent = 20;
/** One grant is at most so many times the demand, so that what is not asked for
 * stays free for others. */
constexpr int64_t kDemandHeadroom = 2;
constexpr Duration kForgetAfter(30'000);  ///< Silence after which an entry's
                                          ///< demand no longer counts.

}  // namespace

void ShareLedger::StartTerm(TimePoint now, Duration lease) {
  teams_.clear();
  grants_from_ = now + lease;
}

void ShareLedger::Expire(TimePoint now, Holders& holders) {
  for (auto entry = holders.begin(); entry != holders.end();) {
    Holder& holder = entry->second;
    std::erase_if(holder.grants_, [&](const Grant& grant) {
      const bool expired = now >= grant.until_;
      if (expired) {
        holder.in_progress_ = std::max(holder.in_progress_, grant.concurrent_);
      }
      return expired;
    });
    const bool silent = now - holder.asked_at_ > kForgetAfter;
    entry = holder.grants_.empty() && silent ? holders.erase(entry)
                                             : std::next(entry);
  }
}

ShareLedger::Outstanding ShareLedger::HeldBy(const Holder& holder) {
  Outstanding held;
  held.concurrent_ = holder.in_progress_;
  for (const Grant& grant : holder.grants_) {
    held.tokens_ = std::max(held.tokens_, grant.tokens_);
    held.concurrent_ = std::max(held.concurrent_, grant.concurrent_);
  }
  return held;
}

int64_t ShareLedger::Part(int64_t limit, int64_t demand, int64_t all_demand,
                          size_t holders) {
  const auto count = static_cast<int64_t>(std::max<size_t>(1, holders));
  if (all_demand <= 0) {
    return limit / count;
  }
  const int64_t floor = limit * kFloorPercent / 100 / count;
  const int64_t by_demand = limit - floor * count;
  // Doubles keep the product of two large rates in range.
  const double part = static_cast<double>(by_demand) *
                      static_cast<double>(demand) /
                      static_cast<double>(all_demand);
  const int64_t share = floor + std::min(by_demand, static_cast<int64_t>(part));
  return std::min(share, std::max(floor, demand * kDemandHeadroom));
}

ShareGrant ShareLedger::Request(TimePoint now, const NodeId& entry,
                                const ShareRequest& request,
                                const TeamSettings& team, Revision revision,
                                Duration lease) {
  ShareGrant grant;
  grant.team_ = request.team_;
  grant.revision_ = revision;
  grant.sent_at_ms_ = request.sent_at_ms_;
  grant.duration_ = lease;
  if (now < grants_from_) {
    grant.duration_ = Duration(0);
    return grant;
  }
  Holders& holders = teams_[request.team_];
  Expire(now, holders);
  NoteDemand(now, request, holders[entry]);
  Divide(entry, holders, team, grant);
  grant.lease_ = LeaseId(next_lease_++);
  holders[entry].grants_.push_back(
      {now + lease, grant.tokens_per_second_, grant.concurrent_});
  return grant;
}

void ShareLedger::NoteDemand(TimePoint now, const ShareRequest& request,
                             Holder& holder) {
  holder.asked_at_ = now;
  if (request.sent_at_ms_ < holder.sent_at_ms_) {
    return;
  }
  holder.sent_at_ms_ = request.sent_at_ms_;
  holder.demand_tokens_ = std::max<int64_t>(0, request.tokens_per_second_);
  holder.demand_concurrent_ = std::max<int64_t>(0, request.concurrent_);
  holder.in_progress_ = std::max<int64_t>(0, request.in_progress_);
}

void ShareLedger::Divide(const NodeId& entry, const Holders& holders,
                         const TeamSettings& team, ShareGrant& grant) {
  Outstanding demand;
  Outstanding others;
  for (const auto& [node, holder] : holders) {
    demand.tokens_ += holder.demand_tokens_;
    demand.concurrent_ += holder.demand_concurrent_;
    if (node != entry) {
      const Outstanding held = HeldBy(holder);
      others.tokens_ += held.tokens_;
      others.concurrent_ += held.concurrent_;
    }
  }
  const Holder& own = holders.at(entry);
  const int64_t tokens = Part(team.tokens_per_second_, own.demand_tokens_,
                              demand.tokens_, holders.size());
  const int64_t concurrent = Part(team.concurrent_, own.demand_concurrent_,
                                  demand.concurrent_, holders.size());
  grant.tokens_per_second_ =
      std::clamp<int64_t>(team.tokens_per_second_ - others.tokens_, 0, tokens);
  grant.concurrent_ =
      std::clamp<int64_t>(team.concurrent_ - others.concurrent_, 0, concurrent);
}

ShareLedger::Outstanding ShareLedger::Leased(TimePoint now,
                                             const TeamId& team) {
  Holders& holders = teams_[team];
  Expire(now, holders);
  Outstanding sum;
  for (const auto& [node, holder] : holders) {
    const Outstanding held = HeldBy(holder);
    sum.tokens_ += held.tokens_;
    sum.concurrent_ += held.concurrent_;
  }
  return sum;
}

int64_t ShareLedger::LeasedTokens(TimePoint now, const TeamId& team) {
  return Leased(now, team).tokens_;
}

int64_t ShareLedger::LeasedConcurrent(TimePoint now, const TeamId& team) {
  return Leased(now, team).concurrent_;
}

bool ShareLedger::Settled(TimePoint now, const TeamId& team,
                          const TeamSettings& limit) {
  const bool tokens = limit.tokens_per_second_ == 0 ||
                      LeasedTokens(now, team) <= limit.tokens_per_second_;
  const bool concurrent = limit.concurrent_ == 0 ||
                          LeasedConcurrent(now, team) <= limit.concurrent_;
  return tokens && concurrent;
}

bool ShareLedger::Settled(TimePoint now, const TeamId& team,
                          int64_t tokens_per_second) {
  return tokens_per_second == 0 || LeasedTokens(now, team) <= tokens_per_second;
}

}  // namespace gv
