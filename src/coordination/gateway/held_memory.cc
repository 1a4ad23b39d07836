/** @file held_memory.cc Adds up what holders hold. */
#include "coordination/gateway/held_memory.h"

#include <algorithm>
#include <utility>

namespace gv {

HolderId HeldMemory::Add(HolderKind kind) {
  last_ = last_.Next();
  holders_[last_] = Holder{kind, 0};
  return last_;
}

void HeldMemory::Set(HolderId id, size_t bytes) {
  Holder& holder = holders_.at(id);
  total_ += bytes;
  total_ -= holder.bytes_;
  holder.bytes_ = bytes;
}

void HeldMemory::Remove(HolderId id) {
  const auto found = holders_.find(id);
  if (found != holders_.end()) {
    total_ -= found->second.bytes_;
    holders_.erase(found);
  }
}

std::optional<ExcessHolder> HeldMemory::TakeExcess() {
  if (!IsOver()) {
    return std::nullopt;
  }
  const auto most = std::max_element(holders_.begin(), holders_.end(),
                                     [](const auto& a, const auto& b) {
                                       return a.second.bytes_ < b.second.bytes_;
                                     });
  Holder& holder = most->second;
  const ExcessHolder excess{most->first, holder.kind_, holder.bytes_, total_};
  total_ -= std::exchange(holder.bytes_, 0);
  return excess;
}

}  // namespace gv
