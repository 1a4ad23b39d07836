/** @file routing_choice.h Chooses the target of one attempt. */
#pragma once

#include <optional>
#include <random>
#include <vector>

#include "coordination/entry_type.h"
#include "coordination/target_view.h"

namespace gv {

/** What a choice is made for. */
struct RoutingNeed {
  const RequestSpec* spec_ = nullptr;  ///< The request.
  Lane lane_ = Lane::kShort;           ///< Its lane.
  int64_t tokens_ = 0;                 ///< KV tokens that it needs.
  TargetSlot exclude_;  ///< Target that just failed for it, or none.
};

/** A chosen target. */
struct RoutingChoice {
  TargetSlot slot_;            ///< The target.
  int64_t cost_ms_ = 0;        ///< Expected time to the first token.
  int64_t cached_tokens_ = 0;  ///< Prompt tokens that it probably holds.
};

/**
 * Scores targets by expected time to first token: own work in progress, lagging
 * load of others, cached prefix and distance. Small pools are scanned; from
 * larger ones a fixed number is sampled, so that the cost of a decision does
 * not grow with the fleet. Thread safety: control thread only.
 */
class RoutingPolicy {
 public:
  /** @param home Data centre of the entry. @param seed Seed for sampling. */
  RoutingPolicy(DataCentreId home, uint64_t seed)
      : home_(std::move(home)), random_(seed) {}

  /** @return The best target that may take the request now, or nothing. */
  std::optional<RoutingChoice> Choose(TimePoint now, const TargetView& view,
                                      const ModelPool& pool,
                                      const RoutingNeed& need);

  /** @return The target that can soonest give memory to a long prompt, or
   * none. */
  TargetSlot Roomiest(TimePoint now, const TargetView& view,
                      const ModelPool& pool, int64_t tokens);

  /** @return Longest start delay at which a lane is still sent, in ms. */
  static int64_t WindowMs(Lane lane);

  static constexpr size_t kScanLimit = 64;     ///< Larger pools are sampled.
  static constexpr size_t kLocalSamples = 16;  ///< From the own data centre.
  static constexpr size_t kRemoteSamples = 8;  ///< From the whole pool.

 private:
  void Consider(TimePoint now, const TargetView& view, const RoutingNeed& need,
                TargetSlot slot, int64_t cached,
                std::optional<RoutingChoice>& best) const;
  void Sample(TimePoint now, const TargetView& view, const RoutingNeed& need,
              const std::vector<TargetSlot>& from, size_t count,
              std::optional<RoutingChoice>& best);
  int64_t CachedAt(TargetSlot slot) const;

  DataCentreId home_;                  ///< Data centre of the entry.
  std::minstd_rand random_;            ///< For sampling.
  std::vector<PrefixHolder> holders_;  ///< Holders of the prompt's prefix.
};

}  // namespace gv
