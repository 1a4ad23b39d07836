/** @file prefix_index.cc Which targets probably hold which prompt prefixes. */
#include "coordination/prefix_index.h"

#include <algorithm>

namespace gv {

void PrefixIndex::Apply(TargetSlot slot, const CacheReport& report) {
  TargetEpoch& target = epochs_[slot];
  if (target.started_ && report.sequence_ < target.next_sequence_) {
    return;
  }
  if (target.started_ && report.sequence_ > target.next_sequence_) {
    ++target.epoch_;
  }
  target.started_ = true;
  target.next_sequence_ = report.sequence_ + 1;
  for (const CacheChange& change : report.changes_) {
    if (change.evicted_) {
      Remove(change.prefix_hash_, slot);
    } else {
      Insert(change.prefix_hash_, slot, change.tokens_);
    }
  }
}

void PrefixIndex::Learn(TargetSlot slot, const std::vector<uint64_t>& hashes,
                        int64_t tokens) {
  const auto count = static_cast<int64_t>(hashes.size());
  for (int64_t i = 0; i < count; ++i) {
    Insert(hashes[static_cast<size_t>(i)], slot, tokens * (i + 1) / count);
  }
}

void PrefixIndex::Forget(TargetSlot slot) {
  TargetEpoch& target = epochs_[slot];
  ++target.epoch_;
  target.started_ = false;
}

void PrefixIndex::Find(const std::vector<uint64_t>& hashes,
                       std::vector<PrefixHolder>& found) const {
  found.clear();
  for (auto hash = hashes.rbegin(); hash != hashes.rend(); ++hash) {
    const auto entry = holders_.find(*hash);
    if (entry == holders_.end()) {
      continue;
    }
    for (const PrefixHolder& holder : entry->second) {
      if (IsLive(holder)) {
        found.push_back(holder);
      }
    }
    if (!found.empty()) {
      return;
    }
  }
}

bool PrefixIndex::IsLive(const PrefixHolder& holder) const {
  const auto target = epochs_.find(holder.slot_);
  return target != epochs_.end() && target->second.epoch_ == holder.epoch_;
}

void PrefixIndex::Insert(uint64_t hash, TargetSlot slot, int64_t tokens) {
  const PrefixHolder fresh{slot, epochs_[slot].epoch_, ++generation_, tokens};
  auto& list = holders_[hash];
  std::erase_if(list, [&](const PrefixHolder& holder) {
    return holder.slot_ == slot || !IsLive(holder);
  });
  if (list.size() >= kMaxHolders) {
    list.erase(list.begin());
  }
  list.push_back(fresh);
  if (holders_.size() > capacity_) {
    Shrink();
  }
}

void PrefixIndex::Remove(uint64_t hash, TargetSlot slot) {
  const auto entry = holders_.find(hash);
  if (entry == holders_.end()) {
    return;
  }
  std::erase_if(entry->second, [&](const PrefixHolder& holder) {
    return holder.slot_ == slot;
  });
  if (entry->second.empty()) {
    holders_.erase(entry);
  }
}

void PrefixIndex::Shrink() {
  const uint32_t keep_from = generation_ - static_cast<uint32_t>(capacity_ / 2);
  std::erase_if(holders_, [&](const auto& entry) {
    return entry.second.empty() || entry.second.back().generation_ < keep_from;
  });
}

}  // namespace gv
