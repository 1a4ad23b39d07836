/** @file decode_protection.cc Limits of prefill beside urgent answers. */
#include "coordination/gateway/decode_protection.h"

#include <algorithm>

#include "coordination/gateway/engine_model.h"

namespace gv {
namespace {

/** Share of the pause between two events that one prefill may use up. The rest
 * is for short prompts that the same pass reads, and for the network. */
constexpr double kPauseShare = 0.7;
/** Shortest part of a prompt, in event intervals; shorter ones would need more
 * helpers than they save time. */
constexpr double kShortestPartIntervals = 0.5;

}  // namespace

std::optional<double> LongestPrefillBesideUrgent(const Service& service,
                                                 int64_t rank) {
  if (!service.engine_) {
    return std::nullopt;
  }
  const EngineProfile& engine = *service.engine_;
  const double interval_ms = EventIntervalMs(
      engine, engine.slots_, engine.slots_ * engine.usual_prompt_tokens_);
  std::optional<double> longest;
  for (const RankPause& other : service.ranks_) {
    if (other.rank_ >= rank || other.pause_ <= Duration()) {
      continue;
    }
    const double room_ms =
        (static_cast<double>(other.pause_.Ms()) - interval_ms) * kPauseShare;
    longest = std::min(longest.value_or(room_ms), room_ms);
  }
  if (longest) {
    longest = std::max(*longest, kShortestPartIntervals * interval_ms);
  }
  return longest;
}

}  // namespace gv
