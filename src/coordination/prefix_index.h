/** @file prefix_index.h Which targets probably hold which prompt prefixes. */
#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "coordination/entry_type.h"
#include "protocol/target_messages.h"

namespace gv {

/** A target that probably holds a prefix. */
struct PrefixHolder {
  TargetSlot slot_;     ///< The target.
  uint32_t epoch_ = 0;  ///< Holder is stale if the target's epoch moved on.
  uint32_t generation_ = 0;  ///< Orders insertions, for eviction.
  int64_t tokens_ = 0;       ///< Length of the prefix.
};

/**
 * Maps prefix hashes to targets. It is a hint: a lost event or a stale entry
 * changes only where a request goes, never its outcome. A gap in a target's
 * reports drops all that was known of it. Thread safety: control thread only.
 */
class PrefixIndex {
 public:
  /** @param capacity Most prefixes that are kept. */
  explicit PrefixIndex(size_t capacity = 65'536) : capacity_(capacity) {}

  /** Applies a report of one target; duplicates are ignored. */
  void Apply(TargetSlot slot, const CacheReport& report);

  /** Notes that a target processed a prompt with these prefixes. */
  void Learn(TargetSlot slot, const std::vector<uint64_t>& hashes,
             int64_t tokens);

  /** Drops all that is known of a target. */
  void Forget(TargetSlot slot);

  /**
   * Finds holders of the longest known prefix.
   * @param hashes Hashes of growing prefixes of the prompt.
   * @param found Receives at most kMaxHolders live holders.
   */
  void Find(const std::vector<uint64_t>& hashes,
            std::vector<PrefixHolder>& found) const;

  size_t size() const { return holders_.size(); }

  static constexpr size_t kMaxHolders = 4;  ///< Holders kept for one prefix.

 private:
  struct TargetEpoch {
    uint32_t epoch_ = 1;          ///< Grows when all is forgotten.
    uint64_t next_sequence_ = 0;  ///< Sequence that the next report must have.
    bool started_ = false;        ///< True after the first report.
  };

  void Insert(uint64_t hash, TargetSlot slot, int64_t tokens);
  void Remove(uint64_t hash, TargetSlot slot);
  void Shrink();
  bool IsLive(const PrefixHolder& holder) const;

  size_t capacity_;          ///< Most prefixes.
  uint32_t generation_ = 0;  ///< Counts insertions.
  std::unordered_map<uint64_t, std::vector<PrefixHolder>>
      holders_;                                         ///< By prefix hash.
  std::unordered_map<TargetSlot, TargetEpoch> epochs_;  ///< By target.
};

}  // namespace gv
