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

}  // namespace

WorkId LoadLedger::Begin(TimePoint now, const PlacedWork& work) {
  last_ = last_.Next();
  double sum = 0;
  for (const PrefillPart& part : work.parts_) {
    OwnLoad& own = own_[part.target_];
    own.busy_until_ = std::max(own.busy_until_, now) +
                      Duration(static_cast<int64_t>(std::ceil(part.ms_)));
    own.tokens_ += part.tokens_;
    sum += part.ms_;
  }
  ++own_[work.parts_.front().target_].requests_;
  if (work.is_short_) {
    ++short_streams_;
  } else {
    std::erase_if(long_prefill_, [now](const Span& span) {
      return now - span.start_ > kRateSpan;
    });
    long_prefill_.push_back(Span{now, sum});
  }
  work_.emplace(last_, work);
  return last_;
}

void LoadLedger::End(WorkId id) {
  const auto found = work_.find(id);
  if (found == work_.end()) {
    return;
  }
  const PlacedWork& work = found->second;
  for (const PrefillPart& part : work.parts_) {
    own_[part.target_].tokens_ -= part.tokens_;
  }
  --own_[work.parts_.front().target_].requests_;
  short_streams_ -= work.is_short_ ? 1 : 0;
  work_.erase(found);
}

void LoadLedger::SetRemote(TimePoint now, const NodeId& gateway,
                           const GatewayLoad& load) {
  Remote& remote = remote_[gateway];
  remote = Remote{now, {}, load.short_streams_, load.long_prefill_ms_};
  for (const TargetLoadRow& row : load.rows_) {
    remote.rows_[row.target_] = row;
  }
}

void LoadLedger::ForgetRemote(TimePoint now, Duration age) {
  std::erase_if(remote_, [now, age](const auto& item) {
    return now - item.second.at_ > age;
  });
}

TargetLoad LoadLedger::At(TimePoint now, const TargetId& target) const {
  TargetLoad load;
  if (const auto own = own_.find(target); own != own_.end()) {
    load.requests_ = own->second.requests_;
    load.tokens_ = own->second.tokens_;
    const Duration left = own->second.busy_until_ - now;
    load.prefill_ms_ = static_cast<double>(std::max<int64_t>(0, left.Ms()));
  }
  for (const auto& [gateway, remote] : remote_) {
    const auto row = remote.rows_.find(target);
    if (row == remote.rows_.end()) {
      continue;
    }
    load.requests_ += row->second.requests_;
    load.tokens_ += row->second.tokens_;
    const int64_t left = row->second.prefill_ms_ - (now - remote.at_).Ms();
    load.prefill_ms_ += static_cast<double>(std::max<int64_t>(0, left));
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
  std::erase_if(own_, [now](const auto& item) {
    return item.second.requests_ == 0 && item.second.tokens_ == 0 &&
           item.second.busy_until_ <= now;
  });
  for (const auto& [target, own] : own_) {
    const int64_t left = std::max<int64_t>(0, (own.busy_until_ - now).Ms());
    load.rows_.push_back(
        TargetLoadRow{target, own.requests_, left, own.tokens_});
  }
  load.short_streams_ = short_streams_;
  load.long_prefill_ms_ = static_cast<int64_t>(OwnLongPrefillMs(now));
  return load;
}

int64_t LoadLedger::ShortStreams() const {
  int64_t sum = short_streams_;
  for (const auto& [gateway, remote] : remote_) {
    sum += remote.short_streams_;
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
