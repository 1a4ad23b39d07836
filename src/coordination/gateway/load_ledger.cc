/** @file load_ledger.cc Adds up work by target. */
#include "coordination/gateway/load_ledger.h"

#include <algorithm>
#include <cmath>

namespace gv {
namespace {

/** Over which the rate of long prefill is taken; bursts last several seconds.
 */
constexpr Duration kRateSpan = 2_s;
constexpr double kMsPerSecond = 1000;
/** Predictions are right within a factor of two. */
constexpr int64_t kOverdue = 2;
constexpr Duration kLeastOverdue = 200_ms;

}  // namespace

WorkId LoadLedger::Begin(TimePoint now, const PlacedWork& work) {
  last_ = last_.Next();
  for (const PrefillPart& part : work.parts_) {
    OwnLoad& own = own_[part.target_];
    own.prefill_ms_ += part.ms_;
    own.tokens_ += part.tokens_;
  }
  ++own_[work.parts_.front().target_].requests_;
  if (work.is_short_) {
    ++short_streams_;
  } else {
    long_tokens_ += work.parts_.front().tokens_;
  }
  const auto predicted = static_cast<int64_t>(work.wait_ms_);
  work_.emplace(last_, OpenWork{work, now + Duration(predicted) * kOverdue +
                                          kLeastOverdue});
  return last_;
}

void LoadLedger::NoteLongDemand(TimePoint now, double prefill_ms) {
  std::erase_if(long_prefill_, [now](const Span& span) {
    return now - span.start_ > kRateSpan;
  });
  long_prefill_.push_back(Span{now, prefill_ms});
}

void LoadLedger::FirstEvent(WorkId id) {
  const auto found = work_.find(id);
  if (found == work_.end()) {
    return;
  }
  for (PrefillPart& part : found->second.work_.parts_) {
    OwnLoad& own = own_[part.target_];
    own.prefill_ms_ = std::max(0.0, own.prefill_ms_ - part.ms_);
    part.ms_ = 0;
  }
}

void LoadLedger::End(WorkId id) {
  FirstEvent(id);
  const auto found = work_.find(id);
  if (found == work_.end()) {
    return;
  }
  const PlacedWork& work = found->second.work_;
  for (const PrefillPart& part : work.parts_) {
    own_[part.target_].tokens_ -= part.tokens_;
  }
  --own_[work.parts_.front().target_].requests_;
  short_streams_ -= work.is_short_ ? 1 : 0;
  long_tokens_ -= work.is_short_ ? 0 : work.parts_.front().tokens_;
  work_.erase(found);
}

void LoadLedger::SettleOverdue(TimePoint now) {
  std::vector<WorkId> overdue;
  for (const auto& [id, open] : work_) {
    if (now >= open.settle_) {
      overdue.push_back(id);
    }
  }
  for (const WorkId id : overdue) {
    FirstEvent(id);
  }
}

void LoadLedger::SetRemote(TimePoint now, const NodeId& gateway,
                           const GatewayLoad& load) {
  Remote& remote = remote_[gateway];
  remote = Remote{
      now, {}, load.short_streams_, load.long_prefill_ms_, load.long_tokens_};
  for (const TargetLoadRow& row : load.rows_) {
    remote.rows_[row.target_] = row;
  }
}

void LoadLedger::ForgetRemote(TimePoint now, Duration age) {
  std::erase_if(remote_, [now, age](const auto& item) {
    return now - item.second.at_ > age;
  });
}

TargetLoad LoadLedger::At(const TargetId& target) const {
  TargetLoad load;
  if (const auto own = own_.find(target); own != own_.end()) {
    load.requests_ = own->second.requests_;
    load.tokens_ = own->second.tokens_;
    load.prefill_ms_ = own->second.prefill_ms_;
  }
  for (const auto& [gateway, remote] : remote_) {
    const auto row = remote.rows_.find(target);
    if (row == remote.rows_.end()) {
      continue;
    }
    load.requests_ += row->second.requests_;
    load.tokens_ += row->second.tokens_;
    load.prefill_ms_ += static_cast<double>(row->second.prefill_ms_);
  }
  return load;
}

double LoadLedger::OwnLongPrefillMs(TimePoint now) const {
  double sum = 0;
  for (const Span& span : long_prefill_) {
    sum += now - span.start_ <= kRateSpan ? span.ms_ : 0;
  }
  return sum * kMsPerSecond / static_cast<double>(kRateSpan.Ms());
}

GatewayLoad LoadLedger::Own(TimePoint now) {
  GatewayLoad load;
  std::erase_if(own_, [](const auto& item) {
    return item.second.requests_ == 0 && item.second.tokens_ == 0 &&
           item.second.prefill_ms_ < 1;
  });
  for (const auto& [target, own] : own_) {
    load.rows_.push_back(TargetLoadRow{
        target, own.requests_, std::lround(own.prefill_ms_), own.tokens_});
  }
  load.short_streams_ = short_streams_;
  load.long_prefill_ms_ = static_cast<int64_t>(OwnLongPrefillMs(now));
  load.long_tokens_ = long_tokens_;
  return load;
}

LoadLedger::HomeSpan LoadLedger::HomeOf(const NodeId& self) const {
  const double own = static_cast<double>(short_streams_) + 1;
  double before = 0;
  double sum = own;
  for (const auto& [gateway, remote] : remote_) {
    const double weight = static_cast<double>(remote.short_streams_) + 1;
    sum += weight;
    before += gateway < self ? weight : 0;
  }
  return HomeSpan{before / sum, (before + own) / sum};
}

bool LoadLedger::IsPicked(const NodeId& self, uint64_t hash) const {
  const auto before =
      std::count_if(remote_.begin(), remote_.end(),
                    [&self](const auto& item) { return item.first < self; });
  return hash % (remote_.size() + 1) == static_cast<uint64_t>(before);
}

int64_t LoadLedger::ShortStreams() const {
  int64_t sum = short_streams_;
  for (const auto& [gateway, remote] : remote_) {
    sum += remote.short_streams_;
  }
  return sum;
}

int64_t LoadLedger::LongTokens() const {
  int64_t sum = long_tokens_;
  for (const auto& [gateway, remote] : remote_) {
    sum += remote.long_tokens_;
  }
  return sum;
}

double LoadLedger::LongPrefillMs(TimePoint now) const {
  double sum = OwnLongPrefillMs(now);
  for (const auto& [gateway, remote] : remote_) {
    sum += static_cast<double>(remote.long_prefill_ms_);
  }
  return sum;
}

}  // namespace gv
