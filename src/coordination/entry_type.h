/** @file entry_type.h Ids, constants and small types of the entry. */
#pragma once

#include <array>
#include <string>
#include <vector>

#include "protocol/request_messages.h"
#include "state/clock_type.h"
#include "state/ids_type.h"

namespace gv {

/** Position of a target in the entry's pool of targets. */
using TargetSlot = TypedId<struct TargetSlotTag>;

/** Prompts of one length band wait and run together. */
enum class Lane : uint8_t { kShort, kMedium, kLong };

inline constexpr size_t kLaneCount = 3;
inline constexpr int64_t kShortPromptTokens = 8'000;  ///< Upper bound, short.
inline constexpr int64_t kMediumPromptTokens =
    60'000;  ///< Upper bound, medium.

inline constexpr Duration kDeadlineMargin(
    20);  ///< The caller gets its end this long before its deadline.
inline constexpr Duration kLongestPause(5'000);  ///< Of one stream.
inline constexpr double kOutputSafety = 1.3;     ///< Over the learnt output.

/** Where an entry runs and which control processes it talks to. */
struct EntrySettings {
  NodeId self_;                        ///< This process.
  Incarnation incarnation_;            ///< Of this process.
  VmId vm_;                            ///< VM of this process.
  DataCentreId data_centre_;           ///< Data centre of this process.
  std::string address_;                ///< "IP:port" for peers.
  std::vector<NodeId> control_nodes_;  ///< All control processes.
};

/** @return The lane of a prompt by its length. Thread safety: pure. */
inline Lane LaneOf(int64_t prompt_tokens) {
  if (prompt_tokens <= kShortPromptTokens) {
    return Lane::kShort;
  }
  return prompt_tokens <= kMediumPromptTokens ? Lane::kMedium : Lane::kLong;
}

/** @return The index of a lane in arrays. Thread safety: pure. */
constexpr size_t LaneIndex(Lane lane) { return static_cast<size_t>(lane); }

/** @return KV tokens that a request may need. Thread safety: pure. */
inline int64_t KvTokens(const RequestSpec& spec) {
  return spec.prompt_tokens_ + spec.max_output_tokens_;
}

}  // namespace gv
