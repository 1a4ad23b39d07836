/** @file target_directory.cc Merges registrations of targets. */
#include "coordination/gateway/target_directory.h"

#include <xxhash.h>

#include <algorithm>

namespace gv {
namespace {

/** Rows that others have held for longer are about to expire there. */
constexpr Duration kMostAge = 8_s;

}  // namespace

bool TargetDirectory::IsAddressTaken(const TargetRegistration& target) const {
  const auto found = by_address_.find(target.address_);
  if (found == by_address_.end() || found->second == target.id_) {
    return false;
  }
  const DirectoryEntry* other = Find(found->second);
  return other != nullptr && other->target_.start_ms_ > target.start_ms_;
}

void TargetDirectory::RetireOthersAt(const TargetRegistration& target) {
  const auto found = by_address_.find(target.address_);
  if (found != by_address_.end() && found->second != target.id_) {
    const auto other = entries_.find(found->second);
    if (other != entries_.end()) {
      other->second.target_.state_ = RegistrationState::kGone;
    }
  }
  by_address_[target.address_] = target.id_;
}

TargetDirectory::Change TargetDirectory::Merge(
    TimePoint now, const TargetRegistration& target) {
  if (IsAddressTaken(target)) {
    return Change::kNone;
  }
  const TimePoint heard = now - target.age_;
  const DirectoryEntry fresh{target, heard, heard + target.warm_up_};
  newest_heard_ = std::max(newest_heard_, heard);
  const auto found = entries_.find(target.id_);
  if (found == entries_.end()) {
    if (target.age_ > kMostAge) {
      return Change::kNone;
    }
    if (target.state_ != RegistrationState::kGone) {
      RetireOthersAt(target);
    }
    entries_[target.id_] = fresh;
    return Change::kChanged;
  }
  DirectoryEntry& entry = found->second;
  if (!IsNewer(target, entry.target_)) {
    return Change::kNone;
  }
  const bool same = entry.target_.state_ == target.state_ &&
                    entry.target_.start_ms_ == target.start_ms_ &&
                    entry.target_.address_ == target.address_ &&
                    entry.target_.service_ == target.service_;
  entry = fresh;
  if (same) {
    return Change::kRefreshed;
  }
  if (target.state_ != RegistrationState::kGone) {
    RetireOthersAt(target);
  }
  return Change::kChanged;
}

const TargetRegistration* TargetDirectory::Depart(TimePoint now,
                                                  const TargetId& id) {
  const auto found = entries_.find(id);
  if (found == entries_.end() ||
      found->second.target_.state_ == RegistrationState::kGone) {
    return nullptr;
  }
  found->second.target_.state_ = RegistrationState::kGone;
  found->second.heard_ = now;
  return &found->second.target_;
}

std::vector<TargetId> TargetDirectory::Expire(TimePoint now, Duration silence,
                                              Duration memory) {
  std::vector<TargetId> dropped;
  for (auto it = entries_.begin(); it != entries_.end();) {
    const DirectoryEntry& entry = it->second;
    const bool gone = entry.target_.state_ == RegistrationState::kGone;
    if (now - entry.heard_ <= (gone ? memory : silence)) {
      ++it;
      continue;
    }
    const auto at = by_address_.find(entry.target_.address_);
    if (at != by_address_.end() && at->second == it->first) {
      by_address_.erase(at);
    }
    dropped.push_back(it->first);
    it = entries_.erase(it);
  }
  return dropped;
}

const DirectoryEntry* TargetDirectory::Find(const TargetId& id) const {
  const auto found = entries_.find(id);
  return found == entries_.end() ? nullptr : &found->second;
}

uint64_t TargetDirectory::Digest() const {
  uint64_t digest = 0;
  for (const auto& [id, entry] : entries_) {
    if (entry.target_.state_ == RegistrationState::kGone) {
      continue;
    }
    const std::string text = id.Value() + "|" +
                             std::to_string(entry.target_.start_ms_) + "|" +
                             std::to_string(int(entry.target_.state_));
    digest ^= XXH3_64bits(text.data(), text.size());
  }
  return digest;
}

bool TargetDirectory::IsStale(const TargetId& id, Duration time) const {
  return newest_heard_ - entries_.at(id).heard_ > time;
}

std::vector<TargetRegistration> TargetDirectory::Rows(TimePoint now) const {
  std::vector<TargetRegistration> rows;
  rows.reserve(entries_.size());
  for (const auto& [id, entry] : entries_) {
    rows.push_back(Row(now, id));
  }
  return rows;
}

TargetRegistration TargetDirectory::Row(TimePoint now,
                                        const TargetId& id) const {
  const DirectoryEntry& entry = entries_.at(id);
  TargetRegistration row = entry.target_;
  row.age_ = now - entry.heard_;
  return row;
}

}  // namespace gv
