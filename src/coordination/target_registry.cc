/** @file target_registry.cc Owners, tokens and life of targets. */
#include "coordination/target_registry.h"

#include <algorithm>
#include <utility>

namespace gv {
namespace {

constexpr uint32_t kChunkVersion = 1;
constexpr Duration kScanPeriod(100);  // Between searches for silent targets.
constexpr size_t kMaxEarlier = 8;     // Earlier owners kept for a target.
constexpr int kTermShift = 32;        // Versions of one term fit below.

Event TargetEvent(EventId id, const TargetId& target, std::string detail) {
  Event event;
  event.id_ = id;
  event.target_ = target;
  event.detail_ = std::move(detail);
  return event;
}

}  // namespace

void TargetRegistry::StartTerm(TimePoint now, Term term) {
  active_ = true;
  active_at_ = now;
  version_ = std::max(version_ + 1, (term.Value() << kTermShift) + 1);
  oldest_delta_ = version_;
  journal_.clear();
  ResumeRecords(now);
}

void TargetRegistry::ResumeRecords(TimePoint now) {
  wanted_.clear();
  for (auto& [target, record] : records_) {
    record.heard_at_ = now;
    record.predecessor_until_ = now + kOwnerLease;
    record.proposed_ = false;
    if (!record.listed_ && !record.owner_.info_.token_.IsNone()) {
      TargetInfo info = record.owner_.info_;
      info.state_ = TargetState::kServing;
      Show(record, info);
    }
  }
}

void TargetRegistry::NoteTime(TimePoint now) {
  const bool resumed = !active_ || now - active_at_ > kTargetLease;
  active_ = true;
  active_at_ = now;
  if (resumed) {
    ResumeRecords(now);
  }
}

bool TargetRegistry::IsOwner(const Record& record, const TargetInfo& info) {
  const TargetInfo& owner = record.owner_.info_;
  return !owner.token_.IsNone() && owner.agent_ == info.agent_ &&
         owner.incarnation_ == info.incarnation_;
}

bool TargetRegistry::MayOwn(TimePoint now, const Record& record,
                            const TargetInfo& info) {
  const TargetInfo& owner = record.owner_.info_;
  if (info.state_ == TargetState::kGone) {
    return false;
  }
  if (owner.token_.IsNone()) {
    return true;
  }
  if (owner.agent_ == info.agent_) {
    return info.incarnation_ > owner.incarnation_;
  }
  const auto& earlier = record.owner_.earlier_;
  const auto known = std::find_if(
      earlier.begin(), earlier.end(),
      [&info](const EarlierOwner& row) { return row.agent_ == info.agent_; });
  if (known == earlier.end() || known->incarnation_ < info.incarnation_) {
    return true;
  }
  const bool owner_gone = record.left_ || now - record.heard_at_ >= kOwnerLease;
  return known->incarnation_ == info.incarnation_ && owner_gone;
}

void TargetRegistry::OnAnnounce(TimePoint now, const NodeId& agent,
                                const TargetAnnounce& announce, Outbox& out) {
  NoteTime(now);
  TargetInfo info = announce.info_;
  info.agent_ = agent;
  Record& record = records_[info.target_];
  if (IsOwner(record, info)) {
    HearOwner(now, record, announce, out);
  } else if (MayOwn(now, record, info)) {
    Want(now, record, std::move(info));
  } else if (!record.owner_.info_.token_.IsNone()) {
    SendAdmit(now, agent, record, out);
  }
}

void TargetRegistry::HearOwner(TimePoint now, Record& record,
                               const TargetAnnounce& announce, Outbox& out) {
  record.heard_at_ = now;
  const TargetInfo& owner = record.owner_.info_;
  TargetInfo info = announce.info_;
  info.agent_ = owner.agent_;
  record.left_ = info.state_ == TargetState::kGone;
  if (record.left_) {
    out.Record(TargetEvent(EventId::kTargetGone, info.target_, "left"));
    Hide(info.target_, record);
    return;
  }
  if (info.token_ != owner.token_) {
    SendAdmit(now, owner.agent_, record, out);
  } else if (announce.wants_new_token_) {
    Want(now, record, info);
  }
  Show(record, std::move(info));
}

void TargetRegistry::Want(TimePoint now, Record& record, TargetInfo info) {
  if (record.proposed_ && now - record.proposed_at_ < kTokenRetry) {
    return;
  }
  record.proposed_ = true;
  record.proposed_at_ = now;
  info.token_ = record.owner_.info_.token_;
  wanted_.push_back(std::move(info));
}

std::vector<TargetInfo> TargetRegistry::TakeTokenWanted() {
  return std::exchange(wanted_, {});
}

void TargetRegistry::ApplyToken(const TargetInfo& info, FencingToken token) {
  Record& record = records_[info.target_];
  TargetInfo& owner = record.owner_.info_;
  if (info.token_ != owner.token_) {
    return;
  }
  if (info.state_ == TargetState::kGone) {
    Forget(info.target_);
    return;
  }
  const bool renewed = IsOwner(record, info);
  if (!renewed && !owner.token_.IsNone()) {
    ReplaceOwner(record, info);
  }
  owner = info;
  owner.token_ = token;
  record.heard_at_ = std::max(record.heard_at_, active_at_);
  record.left_ = false;
  record.proposed_ = false;
  admits_due_.push_back(info.target_);
  if (active_) {
    Show(record, renewed && record.listed_ ? record.shown_ : owner);
  }
}

void TargetRegistry::ReplaceOwner(Record& record, const TargetInfo& info) {
  const TargetInfo& owner = record.owner_.info_;
  auto& earlier = record.owner_.earlier_;
  std::erase_if(earlier, [&](const EarlierOwner& row) {
    return row.agent_ == info.agent_ || row.agent_ == owner.agent_;
  });
  if (owner.agent_ != info.agent_) {
    earlier.push_back(EarlierOwner{owner.agent_, owner.incarnation_});
  }
  if (earlier.size() > kMaxEarlier) {
    earlier.erase(earlier.begin());
  }
  record.predecessor_until_ =
      record.left_ ? TimePoint() : record.heard_at_ + kOwnerLease;
}

void TargetRegistry::SendAdmit(TimePoint now, const NodeId& agent,
                               const Record& record, Outbox& out) {
  const TargetInfo& owner = record.owner_.info_;
  const Duration wait = std::max(Duration(), record.predecessor_until_ - now);
  out.Send(Endpoint{agent, Port::kAgent},
           TargetAdmit{owner.target_, owner.incarnation_, owner.token_, wait});
}

void TargetRegistry::OnTick(TimePoint now, Outbox& out) {
  NoteTime(now);
  for (const TargetId& target : std::exchange(admits_due_, {})) {
    const auto it = records_.find(target);
    if (it == records_.end()) {
      continue;
    }
    const NodeId& agent = it->second.owner_.info_.agent_;
    SendAdmit(now, agent, it->second, out);
    out.Record(TargetEvent(EventId::kTargetAdmitted, target, agent.Value()));
  }
  if (now - scanned_at_ < kScanPeriod) {
    return;
  }
  scanned_at_ = now;
  for (auto& [target, record] : records_) {
    if (!record.owner_.info_.token_.IsNone()) {
      FailSilent(now, target, record, out);
    }
  }
}

void TargetRegistry::FailSilent(TimePoint now, const TargetId& target,
                                Record& record, Outbox& out) {
  const Duration silent = now - record.heard_at_;
  if (record.listed_ && silent > kTargetLease) {
    out.Record(TargetEvent(EventId::kTargetGone, target, "silent"));
    Hide(target, record);
  }
  if (silent > kTargetMemory) {
    TargetInfo gone = record.owner_.info_;
    gone.state_ = TargetState::kGone;
    Want(now, record, std::move(gone));
  }
}

void TargetRegistry::Note(const TargetId& target, Record& record) {
  journal_.erase(record.changed_);
  record.changed_ = ++version_;
  journal_[record.changed_] = target;
}

void TargetRegistry::Show(Record& record, TargetInfo info) {
  info.token_ = record.owner_.info_.token_;
  if (draining_.contains(info.target_)) {
    info.state_ = TargetState::kDraining;
  }
  if (record.listed_ && record.shown_ == info) {
    return;
  }
  record.shown_ = std::move(info);
  record.listed_ = true;
  Note(record.shown_.target_, record);
}

void TargetRegistry::Hide(const TargetId& target, Record& record) {
  if (std::exchange(record.listed_, false)) {
    Note(target, record);
  }
}

void TargetRegistry::Forget(const TargetId& target) {
  const auto it = records_.find(target);
  Hide(target, it->second);
  oldest_delta_ = std::max(oldest_delta_, it->second.changed_);
  journal_.erase(it->second.changed_);
  records_.erase(it);
}

std::optional<TargetUpdate> TargetRegistry::UpdateSince(
    uint64_t version) const {
  if (version == version_) {
    return std::nullopt;
  }
  const bool full = version < oldest_delta_ || version > version_;
  TargetUpdate update;
  update.from_version_ = full ? 0 : version;
  update.to_version_ = version_;
  if (full) {
    update.changed_ = All();
    return update;
  }
  for (auto it = journal_.upper_bound(version); it != journal_.end(); ++it) {
    const Record& record = records_.at(it->second);
    if (record.listed_) {
      update.changed_.push_back(record.shown_);
    } else {
      update.removed_.push_back(it->second);
    }
  }
  return update;
}

void TargetRegistry::SetDraining(const TargetId& target, bool draining) {
  const bool changed =
      draining ? draining_.insert(target).second : draining_.erase(target) > 0;
  const auto it = records_.find(target);
  if (!changed || it == records_.end() || !it->second.listed_) {
    return;
  }
  TargetInfo info = it->second.shown_;
  info.state_ = TargetState::kServing;
  Show(it->second, std::move(info));
}

std::vector<TargetInfo> TargetRegistry::All() const {
  std::vector<TargetInfo> all;
  for (const auto& [target, record] : records_) {
    if (record.listed_) {
      all.push_back(record.shown_);
    }
  }
  return all;
}

void TargetRegistry::Save(std::string& out) const {
  std::vector<OwnerRow> rows;
  for (const auto& [target, record] : records_) {
    if (!record.owner_.info_.token_.IsNone()) {
      rows.push_back(record.owner_);
    }
  }
  AppendChunk(MakeChunk(kChunkTag, kChunkVersion, rows), out);
}

Result<void> TargetRegistry::Load(const SaveChunk& chunk) {
  auto rows = ReadRows<OwnerRow>(chunk);
  if (!rows.has_value()) {
    return rows.error();
  }
  records_.clear();
  wanted_.clear();
  journal_.clear();
  admits_due_.clear();
  active_ = false;
  oldest_delta_ = ++version_;
  for (OwnerRow& row : rows.value()) {
    Record& record = records_[row.info_.target_];
    record.owner_ = std::move(row);
  }
  return boost::outcome_v2::success();
}

}  // namespace gv
