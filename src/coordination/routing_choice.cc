/** @file routing_choice.cc Chooses the target of one attempt. */
#include "coordination/routing_choice.h"

#include <algorithm>

namespace gv {
namespace {

constexpr int64_t kMsPerSecond = 1000;
constexpr int64_t kRemoteCostMs = 10;  ///< Round trip to another data centre.
/** Expected wait for the chunk that an engine processes for a long prompt. */
constexpr int64_t kLongChunkCostMs = 20;
constexpr int64_t kStreamCostMs = 1;  ///< Longer step for each stream.
constexpr int64_t kShortWindowMs = 120;
constexpr int64_t kMediumWindowMs = 250;
constexpr int64_t kLongWindowMs = 250;
/** Cached prefixes may be gone already, so they count in part, in percent. */
constexpr int64_t kCacheTrustPercent = 80;

/** @return Prompt tokens that this entry sent and that are not processed. */
int64_t StartTokens(const TargetRecord& target) {
  int64_t tokens = 0;
  for (const int64_t lane : target.own_prefill_) {
    tokens += lane;
  }
  return tokens;
}

}  // namespace

int64_t RoutingPolicy::WindowMs(Lane lane) {
  constexpr std::array<int64_t, kLaneCount> kWindows{
      kShortWindowMs, kMediumWindowMs, kLongWindowMs};
  return kWindows[LaneIndex(lane)];
}

std::optional<RoutingChoice> RoutingPolicy::Choose(TimePoint now,
                                                   const TargetView& view,
                                                   const ModelPool& pool,
                                                   const RoutingNeed& need) {
  view.Prefixes().Find(need.spec_->prefix_hashes_, holders_);
  std::optional<RoutingChoice> best;
  if (pool.slots_.size() <= kScanLimit) {
    for (const TargetSlot slot : pool.slots_) {
      Consider(now, view, need, slot, CachedAt(slot), best);
    }
    return best;
  }
  for (const PrefixHolder& holder : holders_) {
    if (view.At(holder.slot_).info_.model_ == need.spec_->model_) {
      Consider(now, view, need, holder.slot_, holder.tokens_, best);
    }
  }
  const auto local = pool.by_centre_.find(home_);
  if (local != pool.by_centre_.end()) {
    Sample(now, view, need, local->second, kLocalSamples, best);
  }
  Sample(now, view, need, pool.slots_, kRemoteSamples, best);
  return best;
}

TargetSlot RoutingPolicy::Roomiest(TimePoint now, const TargetView& view,
                                   const ModelPool& pool, int64_t tokens) {
  TargetSlot best;
  int64_t best_score = 0;
  const size_t count = std::min(pool.slots_.size(), kScanLimit);
  const size_t start = random_() % pool.slots_.size();
  for (size_t i = 0; i < count; ++i) {
    const TargetSlot slot = pool.slots_[(start + i) % pool.slots_.size()];
    const TargetRecord& target = view.At(slot);
    const int64_t used = target.own_tokens_ + target.others_memory_;
    const int64_t room = target.info_.memory_tokens_ - used - tokens;
    const int64_t prefill =
        StartTokens(target) + std::max<int64_t>(0, target.others_prefill_);
    const int64_t score = (room < 0 ? room : 0) - prefill;
    if (view.IsOpen(now, target) && (best.IsNone() || score > best_score)) {
      best = slot;
      best_score = score;
    }
  }
  return best;
}

void RoutingPolicy::Sample(TimePoint now, const TargetView& view,
                           const RoutingNeed& need,
                           const std::vector<TargetSlot>& from, size_t count,
                           std::optional<RoutingChoice>& best) {
  for (size_t i = 0; i < count; ++i) {
    const TargetSlot slot = from[random_() % from.size()];
    Consider(now, view, need, slot, CachedAt(slot), best);
  }
}

int64_t RoutingPolicy::CachedAt(TargetSlot slot) const {
  for (const PrefixHolder& holder : holders_) {
    if (holder.slot_ == slot) {
      return holder.tokens_;
    }
  }
  return 0;
}

void RoutingPolicy::Consider(TimePoint now, const TargetView& view,
                             const RoutingNeed& need, TargetSlot slot,
                             int64_t cached,
                             std::optional<RoutingChoice>& best) const {
  if (slot == need.exclude_ || !view.CanTake(now, slot, need.tokens_)) {
    return;
  }
  const TargetRecord& target = view.At(slot);
  const int64_t delay = view.StartDelayMs(now, target, need.lane_);
  const size_t long_lane = LaneIndex(Lane::kLong);
  const bool own_long = target.own_prefill_[long_lane] > 0;
  if (delay > WindowMs(need.lane_) || (need.lane_ == Lane::kLong && own_long)) {
    return;
  }
  const int64_t rate =
      std::max<int64_t>(1, target.info_.prefill_tokens_per_second_);
  const int64_t hit =
      std::min(cached, need.spec_->prompt_tokens_) * kCacheTrustPercent / 100;
  int64_t cost = delay;
  cost += (need.spec_->prompt_tokens_ - hit) * kMsPerSecond / rate;
  cost += (target.own_streams_ + target.others_streams_) * kStreamCostMs;
  cost += own_long ? kLongChunkCostMs : 0;
  cost += target.info_.data_centre_ == home_ ? 0 : kRemoteCostMs;
  if (!best || cost < best->cost_ms_) {
    best = RoutingChoice{slot, cost, cached};
  }
}

}  // namespace gv
