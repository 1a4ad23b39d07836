/** @file target_directory.cc Table of the registered targets. */
#include "coordination/gateway/target_directory.h"

#include <xxhash.h>

#include <algorithm>

namespace gv {
namespace {

/** Oldest age at which a registration adds a row: gateways that have held the
 * row for longer are about to remove it. */
constexpr Duration kMaxNewRowAge = 8_s;
/** A warm-up that ends earlier than stated before, by less than this, is no
 * news, as heartbeats are delayed. */
constexpr Duration kWarmUpJitter = 1_s;

}  // namespace

bool TargetDirectory::IsAddressTaken(const TargetRegistration& target) const {
  const auto found = by_address_.find(target.address_);
  if (found == by_address_.end() || found->second == target.id_) {
    return false;
  }
  const DirectoryEntry* other = Find(found->second);
  return other != nullptr && other->target_.start_ms_ > target.start_ms_;
}

void TargetDirectory::ToggleDigest(const DirectoryEntry& entry) {
  ++changes_;
  const TargetRegistration& target = entry.target_;
  if (target.state_ == RegistrationState::kGone) {
    return;
  }
  const std::array<uint64_t, 3> fields{entry.hash_, target.start_ms_,
                                       static_cast<uint64_t>(target.state_)};
  digests_[PartOf(entry)] ^= XXH3_64bits(fields.data(), sizeof(fields));
}

void TargetDirectory::SetState(DirectoryEntry& entry, RegistrationState state) {
  ToggleDigest(entry);
  entry.target_.state_ = state;
  ToggleDigest(entry);
}

void TargetDirectory::MarkPreviousOwnerGone(const TargetRegistration& target) {
  const auto found = by_address_.find(target.address_);
  if (found != by_address_.end() && found->second != target.id_) {
    const auto other = entries_.find(found->second);
    if (other != entries_.end()) {
      SetState(other->second, RegistrationState::kGone);
    }
  }
  by_address_[target.address_] = target.id_;
}

TargetDirectory::Change TargetDirectory::Merge(
    TimePoint now, const TargetRegistration& target) {
  if (IsAddressTaken(target)) {
    return Change::kNone;
  }
  const TimePoint sent_at = now - target.age_;
  const std::string& id = target.id_.Value();
  const DirectoryEntry updated{target, sent_at, sent_at + target.warm_up_,
                               XXH3_64bits(id.data(), id.size()), false};
  newest_heartbeat_ = std::max(newest_heartbeat_, sent_at);
  const auto found = entries_.find(target.id_);
  if (found == entries_.end()) {
    // A departure adds a row at any age; without the row a delayed registration
    // would make the target ready again.
    if (target.age_ > kMaxNewRowAge &&
        target.state_ != RegistrationState::kGone) {
      return Change::kNone;
    }
    if (target.state_ != RegistrationState::kGone) {
      MarkPreviousOwnerGone(target);
    }
    entries_[target.id_] = updated;
    ToggleDigest(updated);
    return Change::kChanged;
  }
  DirectoryEntry& entry = found->second;
  if (!IsNewer(target, entry.target_)) {
    return Change::kNone;
  }
  // The digests do not cover warm-ups, so a lost message is made good by the
  // next heartbeat: each one of a cold target is passed on.
  const bool tells_warm_up =
      passes_on_warm_ups_ &&
      (updated.warm_at_ > now || entry.warm_at_ > now + kWarmUpJitter);
  const bool unchanged = entry.target_.state_ == target.state_ &&
                         entry.target_.start_ms_ == target.start_ms_ &&
                         entry.target_.address_ == target.address_ &&
                         entry.target_.service_ == target.service_;
  ToggleDigest(entry);
  if (entry.target_.address_ != target.address_) {
    ReleaseAddress(entry);
  }
  entry = updated;
  ToggleDigest(entry);
  if (unchanged) {
    return tells_warm_up ? Change::kWarmUp : Change::kRefreshed;
  }
  if (target.state_ != RegistrationState::kGone) {
    MarkPreviousOwnerGone(target);
  }
  return Change::kChanged;
}

void TargetDirectory::Refresh(TimePoint now, const TargetId& id,
                              uint64_t start_ms, uint64_t sequence) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) {
    return;
  }
  DirectoryEntry& entry = found->second;
  if (entry.target_.start_ms_ == start_ms &&
      entry.target_.sequence_ < sequence) {
    entry.target_.sequence_ = sequence;
    entry.last_heartbeat_ = std::max(entry.last_heartbeat_, now);
    newest_heartbeat_ = std::max(newest_heartbeat_, now);
    entry.is_unreachable_ = false;
  }
}

void TargetDirectory::ResetHeartbeats(TimePoint now) {
  newest_heartbeat_ = now;
  for (auto& [id, entry] : entries_) {
    if (entry.target_.state_ != RegistrationState::kGone) {
      entry.last_heartbeat_ = now;
    }
  }
}

bool TargetDirectory::MarkDraining(const TargetId& id, uint64_t start_ms) {
  const auto found = entries_.find(id);
  if (found == entries_.end() || found->second.target_.start_ms_ != start_ms ||
      found->second.target_.state_ != RegistrationState::kReady) {
    return false;
  }
  SetState(found->second, RegistrationState::kDraining);
  return true;
}

bool TargetDirectory::IsReady(const TargetId& id) const {
  const DirectoryEntry* entry = Find(id);
  return entry != nullptr && MayBeUsed(*entry);
}

void TargetDirectory::SetEvacuated(std::set<DataCentreId> data_centres) {
  if (evacuated_ != data_centres) {
    evacuated_ = std::move(data_centres);
    ++changes_;
  }
}

const TargetRegistration* TargetDirectory::Depart(TimePoint now,
                                                  const TargetId& id,
                                                  uint64_t wall_ms) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) {
    TargetRegistration departed;
    departed.id_ = id;
    departed.state_ = RegistrationState::kGone;
    departed.start_ms_ = wall_ms;
    Merge(now, departed);
    return &entries_.at(id).target_;
  }
  if (found->second.target_.state_ == RegistrationState::kGone) {
    return nullptr;
  }
  SetState(found->second, RegistrationState::kGone);
  found->second.last_heartbeat_ = now;
  return &found->second.target_;
}

void TargetDirectory::ReleaseAddress(const DirectoryEntry& entry) {
  const auto address = by_address_.find(entry.target_.address_);
  if (address != by_address_.end() && address->second == entry.target_.id_) {
    by_address_.erase(address);
  }
}

std::map<TargetId, DirectoryEntry>::iterator TargetDirectory::Erase(
    std::map<TargetId, DirectoryEntry>::iterator at) {
  ReleaseAddress(at->second);
  ToggleDigest(at->second);
  return entries_.erase(at);
}

std::vector<TargetId> TargetDirectory::Expire(TimePoint now, Duration silence,
                                              Duration memory) {
  std::vector<TargetId> removed;
  for (auto it = entries_.begin(); it != entries_.end();) {
    const DirectoryEntry& entry = it->second;
    const bool gone = entry.target_.state_ == RegistrationState::kGone;
    if (now - entry.last_heartbeat_ <= (gone ? memory : silence)) {
      ++it;
      continue;
    }
    removed.push_back(it->first);
    it = Erase(it);
  }
  return removed;
}

void TargetDirectory::ExpireDeparted(TimePoint now, Duration memory) {
  for (auto it = entries_.begin(); it != entries_.end();) {
    const DirectoryEntry& entry = it->second;
    const bool expired = entry.target_.state_ == RegistrationState::kGone &&
                         now - entry.last_heartbeat_ > memory;
    it = expired ? Erase(it) : std::next(it);
  }
}

void TargetDirectory::Drop(const TargetId& id) {
  const auto found = entries_.find(id);
  if (found != entries_.end()) {
    Erase(found);
  }
}

const DirectoryEntry* TargetDirectory::Find(const TargetId& id) const {
  const auto found = entries_.find(id);
  return found == entries_.end() ? nullptr : &found->second;
}

uint64_t TargetDirectory::Digest() const {
  return XXH3_64bits(digests_.data(), sizeof(digests_));
}

std::vector<TargetId> TargetDirectory::Unreachable(Duration time) const {
  std::vector<TargetId> unreachable;
  for (const auto& [id, entry] : entries_) {
    if (entry.target_.state_ != RegistrationState::kGone &&
        newest_heartbeat_ - entry.last_heartbeat_ > time) {
      unreachable.push_back(id);
    }
  }
  return unreachable;
}

void TargetDirectory::SetUnreachable(const std::vector<TargetId>& unreachable) {
  for (auto& [id, entry] : entries_) {
    entry.is_unreachable_ = false;
  }
  for (const TargetId& id : unreachable) {
    const auto found = entries_.find(id);
    if (found != entries_.end()) {
      found->second.is_unreachable_ = true;
    }
  }
}

bool TargetDirectory::IsUnreachable(const TargetId& id) const {
  const DirectoryEntry* entry = Find(id);
  return entry == nullptr || entry->is_unreachable_;
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
  row.age_ = now - entry.last_heartbeat_;
  // Heartbeats that came by way of other gateways state no warm-up.
  row.warm_up_ = std::max(Duration(), entry.warm_at_ - entry.last_heartbeat_);
  return row;
}

}  // namespace gv
