/** @file target_view.cc What an entry knows about targets. */
#include "coordination/target_view.h"

#include <algorithm>
#include <unordered_set>

namespace gv {
namespace {

constexpr int64_t kMsPerSecond = 1000;
/** Prefill of other entries that can stand before a short prompt: the engine
 * runs short prompts first, so only the chunk in progress counts. */
constexpr int64_t kOthersAheadOfShort = 512;
constexpr int64_t kDefaultPrefillRate = 10'000;  ///< Tokens a second.

int64_t PrefillRate(const TargetRecord& target) {
  const int64_t announced = target.info_.prefill_tokens_per_second_;
  return announced > 0 ? announced : kDefaultPrefillRate;
}

}  // namespace

bool TargetView::Apply(TimePoint now, const TargetUpdate& update,
                       std::vector<TargetSlot>& lost) {
  const bool full = update.from_version_ == 0;
  if (!full && update.from_version_ != version_) {
    return false;
  }
  if (full) {
    std::unordered_set<TargetId> listed;
    for (const TargetInfo& info : update.changed_) {
      listed.insert(info.target_);
    }
    std::vector<TargetId> missing;
    for (const auto& [target, slot] : slots_) {
      if (!listed.contains(target)) {
        missing.push_back(target);
      }
    }
    for (const TargetId& target : missing) {
      Drop(target, lost);
    }
  }
  for (const TargetInfo& info : update.changed_) {
    Put(now, info, lost);
  }
  for (const TargetId& target : update.removed_) {
    Drop(target, lost);
  }
  version_ = update.to_version_;
  RebuildPools();
  return true;
}

void TargetView::Put(TimePoint now, const TargetInfo& info,
                     std::vector<TargetSlot>& lost) {
  if (info.state_ == TargetState::kGone) {
    Drop(info.target_, lost);
    return;
  }
  TargetSlot slot = Find(info.target_);
  if (slot.IsNone()) {
    if (free_.empty()) {
      records_.emplace_back();
      slot = TargetSlot(records_.size());
    } else {
      slot = free_.back();
      free_.pop_back();
    }
    slots_[info.target_] = slot;
    records_[slot.Value() - 1] = TargetRecord{};
    At(slot).heard_at_ = now;
  }
  TargetRecord& record = At(slot);
  if (record.known_ && record.info_.incarnation_ != info.incarnation_) {
    lost.push_back(slot);
    prefixes_.Forget(slot);
    record.credit_ = CreditGrant{};
    record.credit_until_ = TimePoint();
    record.hello_at_ = TimePoint();
    record.heard_at_ = now;
  }
  record.info_ = info;
  record.known_ = true;
}

void TargetView::Drop(const TargetId& target, std::vector<TargetSlot>& lost) {
  const auto entry = slots_.find(target);
  if (entry == slots_.end()) {
    return;
  }
  const TargetSlot slot = entry->second;
  lost.push_back(slot);
  prefixes_.Forget(slot);
  slots_.erase(entry);
  At(slot).known_ = false;
  At(slot).credit_until_ = TimePoint();
  // The slot is used again only when no attempt counts on it.
  if (At(slot).own_streams_ == 0 && At(slot).own_tokens_ == 0) {
    free_.push_back(slot);
  }
}

void TargetView::RebuildPools() {
  pools_.clear();
  for (size_t i = 0; i < records_.size(); ++i) {
    const TargetRecord& record = records_[i];
    if (!record.known_) {
      continue;
    }
    ModelPool& pool = pools_[record.info_.model_];
    pool.slots_.push_back(TargetSlot(i + 1));
    pool.by_centre_[record.info_.data_centre_].push_back(TargetSlot(i + 1));
    pool.kind_ = record.info_.kind_;
    pool.largest_memory_ =
        std::max(pool.largest_memory_, record.info_.memory_tokens_);
    if (record.info_.state_ == TargetState::kServing) {
      pool.prefill_rate_ += record.info_.prefill_tokens_per_second_;
    }
  }
}

void TargetView::OnCredit(TimePoint now, const CreditGrant& grant) {
  const TargetSlot slot = Find(grant.target_);
  if (slot.IsNone()) {
    return;
  }
  TargetRecord& record = At(slot);
  if (grant.incarnation_ != record.info_.incarnation_) {
    return;
  }
  record.heard_at_ = now;
  if (grant.sequence_ <= record.credit_.sequence_) {
    return;
  }
  record.credit_ = grant;
  // The grant counts from when the entry asked; clocks may drift.
  const TimePoint from =
      grant.sent_at_ms_ > 0 ? TimePoint(grant.sent_at_ms_) : now;
  record.credit_until_ = std::min(from, now) + grant.duration_ * 9 / 10;
}

void TargetView::OnLoad(TimePoint now, const LoadReport& report) {
  const TargetSlot slot = Find(report.target_);
  if (slot.IsNone()) {
    return;
  }
  TargetRecord& record = At(slot);
  record.heard_at_ = now;
  int64_t own = 0;
  for (const int64_t tokens : record.own_prefill_) {
    own += tokens;
  }
  record.others_prefill_ =
      std::max<int64_t>(0, report.queued_prefill_tokens_ - own);
  record.others_streams_ =
      std::max<int64_t>(0, report.running_streams_ - record.own_streams_);
  record.others_memory_ =
      std::max<int64_t>(0, report.used_memory_tokens_ - record.own_tokens_);
  record.load_at_ = now - report.age_;
}

void TargetView::OnCache(const CacheReport& report) {
  const TargetSlot slot = Find(report.target_);
  if (!slot.IsNone()) {
    prefixes_.Apply(slot, report);
  }
}

bool TargetView::IsOpen(TimePoint now, const TargetRecord& target) const {
  return target.known_ && target.info_.state_ == TargetState::kServing &&
         target.credit_.state_ == TargetState::kServing &&
         now < target.credit_until_ && now >= target.avoid_until_;
}

bool TargetView::CanTake(TimePoint now, TargetSlot slot, int64_t tokens) const {
  const TargetRecord& target = At(slot);
  if (!IsOpen(now, target) ||
      target.own_streams_ + 1 > target.credit_.streams_) {
    return false;
  }
  return target.info_.kind_ == TargetKind::kService ||
         target.own_tokens_ + tokens <= target.credit_.tokens_;
}

void TargetView::Reserve(TargetUse& use) {
  TargetRecord& target = At(use.slot_);
  target.own_tokens_ += use.tokens_;
  target.own_streams_ += 1;
  target.own_count_[LaneIndex(use.lane_)] += 1;
  target.own_prefill_[LaneIndex(use.lane_)] += use.prefill_;
  target.kept_alive_ = true;
  use.prefilling_ = true;
  use.paused_ = false;
}

void TargetView::PrefillDone(TargetUse& use) {
  if (use.prefilling_) {
    At(use.slot_).own_prefill_[LaneIndex(use.lane_)] -= use.prefill_;
    use.prefilling_ = false;
  }
}

void TargetView::SetPaused(TargetUse& use, bool paused) {
  if (use.paused_ != paused) {
    At(use.slot_).own_streams_ += paused ? -1 : 1;
    use.paused_ = paused;
  }
}

void TargetView::Release(TargetUse& use) {
  if (use.slot_.IsNone()) {
    return;
  }
  PrefillDone(use);
  SetPaused(use, false);
  TargetRecord& target = At(use.slot_);
  target.own_tokens_ -= use.tokens_;
  target.own_streams_ -= 1;
  target.own_count_[LaneIndex(use.lane_)] -= 1;
  if (!target.known_ && target.own_streams_ == 0) {
    free_.push_back(use.slot_);
  }
  use = TargetUse{};
}

int64_t TargetView::OthersPrefill(TimePoint now,
                                  const TargetRecord& target) const {
  const int64_t processed =
      (now - target.load_at_).Ms() * PrefillRate(target) / kMsPerSecond;
  return std::max<int64_t>(0, target.others_prefill_ - processed);
}

int64_t TargetView::StartDelayMs(TimePoint now, const TargetRecord& target,
                                 Lane lane) const {
  int64_t ahead = 0;
  for (size_t i = 0; i <= LaneIndex(lane); ++i) {
    ahead += target.own_prefill_[i];
  }
  int64_t others = OthersPrefill(now, target);
  if (lane == Lane::kShort) {
    others = std::min(others, kOthersAheadOfShort);
  }
  return (ahead + others) * kMsPerSecond / PrefillRate(target);
}

TargetSlot TargetView::Find(const TargetId& target) const {
  const auto entry = slots_.find(target);
  return entry == slots_.end() ? TargetSlot() : entry->second;
}

const ModelPool* TargetView::Pool(const ModelId& model) const {
  const auto entry = pools_.find(model);
  return entry == pools_.end() ? nullptr : &entry->second;
}

}  // namespace gv
