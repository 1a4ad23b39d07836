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

void LoadLedger::SetLeader(const NodeId& leader) {
  if (leader == leader_) {
    return;
  }
  leader_ = leader;
  for (auto& [target, own] : own_) {
    own.granted_requests_ = 0;
    own.granted_tokens_ = 0;
    own.granted_prefill_ms_ = 0;
  }
  for (const auto& [id, open] : work_) {
    AddGranted(open.work_, 1);
  }
}

bool LoadLedger::IsGranted(const PlacedWork& work) const {
  return !work.granted_by_.IsNone() && work.granted_by_ == leader_;
}

void LoadLedger::AddGranted(const PlacedWork& work, int64_t sign) {
  if (!IsGranted(work)) {
    return;
  }
  own_[work.parts_.front().target_].granted_requests_ += sign;
  for (const PrefillPart& part : work.parts_) {
    OwnLoad& own = own_[part.target_];
    own.granted_tokens_ += sign * part.tokens_;
    own.granted_prefill_ms_ += static_cast<double>(sign) * part.ms_;
  }
}

void LoadLedger::AddRemote(const Remote& remote, int64_t sign) {
  for (const TargetLoadRow& row : remote.load_.rows_) {
    const TargetId& target = row.target_;
    TargetLoadRow& sum = remote_sum_[target];
    sum.requests_ += sign * row.requests_;
    sum.prefill_ms_ += sign * row.prefill_ms_;
    sum.tokens_ += sign * row.tokens_;
    sum.granted_requests_ += sign * row.granted_requests_;
    sum.granted_tokens_ += sign * row.granted_tokens_;
    sum.granted_prefill_ms_ += sign * row.granted_prefill_ms_;
    if (sum.requests_ == 0 && sum.prefill_ms_ == 0 && sum.tokens_ == 0) {
      remote_sum_.erase(target);
    }
  }
}

WorkId LoadLedger::Begin(TimePoint now, const PlacedWork& work) {
  last_ = last_.Next();
  for (const PrefillPart& part : work.parts_) {
    OwnLoad& own = own_[part.target_];
    own.prefill_ms_ += part.ms_;
    own.tokens_ += part.tokens_;
  }
  ++own_[work.parts_.front().target_].requests_;
  AddGranted(work, 1);
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
    own.granted_prefill_ms_ -= IsGranted(found->second.work_) ? part.ms_ : 0;
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
  AddGranted(work, -1);
  short_streams_ -= work.is_short_ ? 1 : 0;
  long_tokens_ -= work.is_short_ ? 0 : work.parts_.front().tokens_;
  work_.erase(found);
}

const PlacedWork* LoadLedger::Find(WorkId id) const {
  const auto found = work_.find(id);
  return found == work_.end() ? nullptr : &found->second.work_;
}

bool LoadLedger::SettleOverdue(TimePoint now) {
  std::vector<WorkId> overdue;
  for (auto& [id, open] : work_) {
    if (now >= open.settle_) {
      open.settle_ = TimePoint::Never();
      overdue.push_back(id);
    }
  }
  for (const WorkId id : overdue) {
    FirstEvent(id);
  }
  return !overdue.empty();
}

void LoadLedger::SetRemote(TimePoint now, const NodeId& gateway,
                           const GatewayLoad& load) {
  const bool is_sum = load.summed_ > 0;
  if (is_sum && gateway != leader_) {
    return;
  }
  std::erase_if(remote_, [&](const auto& item) {
    const bool replaced =
        item.first == gateway || is_sum || item.second.load_.summed_ > 0;
    if (replaced) {
      AddRemote(item.second, -1);
    }
    return replaced;
  });
  Remote& remote = remote_[gateway];
  remote = Remote{now, load};
  AddRemote(remote, 1);
}

bool LoadLedger::HasSum() const {
  return remote_.size() == 1 && remote_.begin()->second.load_.summed_ > 0;
}

size_t LoadLedger::Reporters() const {
  return HasSum() ? static_cast<size_t>(remote_.begin()->second.load_.summed_)
                  : remote_.size();
}

void LoadLedger::ForgetRemote(TimePoint now, Duration age) {
  std::erase_if(remote_, [this, now, age](const auto& item) {
    const bool old = now - item.second.at_ > age;
    if (old) {
      AddRemote(item.second, -1);
    }
    return old;
  });
}

TargetLoad LoadLedger::At(const TargetId& target) const {
  TargetLoad load;
  if (const auto own = own_.find(target); own != own_.end()) {
    load.requests_ = own->second.requests_;
    load.tokens_ = own->second.tokens_;
    load.prefill_ms_ = own->second.prefill_ms_;
  }
  if (const auto sum = remote_sum_.find(target); sum != remote_sum_.end()) {
    load.requests_ += sum->second.requests_;
    load.tokens_ += sum->second.tokens_;
    load.prefill_ms_ += static_cast<double>(sum->second.prefill_ms_);
  }
  return load;
}

TargetLoad LoadLedger::NotGranted(const TargetId& target) const {
  TargetLoad load;
  if (const auto own = own_.find(target); own != own_.end()) {
    load.requests_ = own->second.requests_ - own->second.granted_requests_;
    load.tokens_ = own->second.tokens_ - own->second.granted_tokens_;
    load.prefill_ms_ = std::max(
        0.0, own->second.prefill_ms_ - own->second.granted_prefill_ms_);
  }
  if (const auto sum = remote_sum_.find(target); sum != remote_sum_.end()) {
    load.requests_ += sum->second.requests_ - sum->second.granted_requests_;
    load.tokens_ += sum->second.tokens_ - sum->second.granted_tokens_;
    load.prefill_ms_ += static_cast<double>(std::max<int64_t>(
        0, sum->second.prefill_ms_ - sum->second.granted_prefill_ms_));
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
    load.rows_.push_back(
        TargetLoadRow{target, own.requests_, std::lround(own.prefill_ms_),
                      own.tokens_, own.granted_requests_, own.granted_tokens_,
                      std::lround(own.granted_prefill_ms_)});
  }
  load.short_streams_ = short_streams_;
  load.long_prefill_ms_ = static_cast<int64_t>(OwnLongPrefillMs(now));
  load.long_tokens_ = long_tokens_;
  return load;
}

void LoadLedger::DropGranted(GatewayLoad& load) {
  std::erase_if(load.rows_, [](const TargetLoadRow& row) {
    return row.requests_ == row.granted_requests_ &&
           row.tokens_ == row.granted_tokens_ &&
           row.prefill_ms_ <= row.granted_prefill_ms_;
  });
}

LoadLedger::HomeSpan LoadLedger::HomeOf(const NodeId& self) const {
  if (HasSum()) {
    const auto all = static_cast<double>(gateways_);
    const auto place = static_cast<double>(place_);
    return HomeSpan{place / all, (place + 1) / all};
  }
  const double own = static_cast<double>(short_streams_) + 1;
  double before = 0;
  double sum = own;
  for (const auto& [gateway, remote] : remote_) {
    const double weight = static_cast<double>(remote.load_.short_streams_) + 1;
    sum += weight;
    before += gateway < self ? weight : 0;
  }
  return HomeSpan{before / sum, (before + own) / sum};
}

bool LoadLedger::IsPicked(const NodeId& self, uint64_t hash) const {
  if (HasSum()) {
    return hash % gateways_ == place_;
  }
  const auto before =
      std::count_if(remote_.begin(), remote_.end(),
                    [&self](const auto& item) { return item.first < self; });
  return hash % (remote_.size() + 1) == static_cast<uint64_t>(before);
}

RepeatCount LoadLedger::RemoteRepeats(const std::string& service) const {
  RepeatCount sum;
  for (const auto& [gateway, remote] : remote_) {
    for (const ServiceRepeats& row : remote.load_.repeats_) {
      if (row.service_ == service) {
        sum.requests_ += row.requests_;
        sum.repeats_ += row.repeats_;
      }
    }
  }
  return sum;
}

int64_t LoadLedger::ShortStreams() const {
  int64_t sum = short_streams_;
  for (const auto& [gateway, remote] : remote_) {
    sum += remote.load_.short_streams_;
  }
  return sum;
}

int64_t LoadLedger::LongTokens() const {
  int64_t sum = long_tokens_;
  for (const auto& [gateway, remote] : remote_) {
    sum += remote.load_.long_tokens_;
  }
  return sum;
}

double LoadLedger::LongPrefillMs(TimePoint now) const {
  double sum = OwnLongPrefillMs(now);
  for (const auto& [gateway, remote] : remote_) {
    sum += static_cast<double>(remote.load_.long_prefill_ms_);
  }
  return sum;
}

}  // namespace gv
