/** @file load_ledger.cc Adds up the load of each target. */
#include "coordination/gateway/load_ledger.h"

#include <algorithm>
#include <cmath>

namespace gv {
namespace {

/** Window over which the demand for long prefill is averaged. It is shorter
 * than bursts, which last several seconds. */
constexpr Duration kDemandWindow = 2_s;
constexpr double kMsPerSecond = 1000;
/** Predictions of the time to the first event are right within a factor of two.
 * A first event is overdue after this multiple of the prediction and the delay
 * below. */
constexpr int64_t kOverdueFactor = 2;
constexpr Duration kOverdueDelay = 200_ms;

}  // namespace

void LoadLedger::SetLeader(const NodeId& leader) {
  if (leader == leader_) {
    return;
  }
  leader_ = leader;
  for (auto& [target, own] : own_loads_) {
    own.granted_requests_ = 0;
    own.granted_tokens_ = 0;
    own.granted_prefill_ms_ = 0;
  }
  for (const auto& [id, open] : open_requests_) {
    AddToGranted(open.request_, 1);
  }
}

bool LoadLedger::IsPlacedByLeader(const PlacedRequest& request) const {
  return !request.placed_by_.IsNone() && request.placed_by_ == leader_;
}

void LoadLedger::AddToGranted(const PlacedRequest& request, int64_t sign) {
  if (!IsPlacedByLeader(request)) {
    return;
  }
  own_loads_[request.parts_.front().target_].granted_requests_ += sign;
  for (const PrefillPart& part : request.parts_) {
    OwnLoad& own = own_loads_[part.target_];
    own.granted_tokens_ += sign * part.tokens_;
    own.granted_prefill_ms_ += static_cast<double>(sign) * part.prefill_ms_;
  }
}

void LoadLedger::AddReport(const GatewayReport& report, int64_t sign) {
  for (const TargetLoadRow& row : report.load_.rows_) {
    const TargetId& target = row.target_;
    TargetLoadRow& sum = report_sums_[target];
    sum.requests_ += sign * row.requests_;
    sum.prefill_ms_ += sign * row.prefill_ms_;
    sum.tokens_ += sign * row.tokens_;
    sum.granted_requests_ += sign * row.granted_requests_;
    sum.granted_tokens_ += sign * row.granted_tokens_;
    sum.granted_prefill_ms_ += sign * row.granted_prefill_ms_;
    if (sum.requests_ == 0 && sum.prefill_ms_ == 0 && sum.tokens_ == 0) {
      report_sums_.erase(target);
    }
  }
}

PlacedRequestId LoadLedger::Begin(TimePoint now, const PlacedRequest& request) {
  last_id_ = last_id_.Next();
  for (const PrefillPart& part : request.parts_) {
    OwnLoad& own = own_loads_[part.target_];
    own.prefill_ms_ += part.prefill_ms_;
    own.tokens_ += part.tokens_;
  }
  ++own_loads_[request.parts_.front().target_].requests_;
  AddToGranted(request, 1);
  if (request.is_short_) {
    ++short_streams_;
  } else {
    long_tokens_ += request.parts_.front().tokens_;
  }
  const auto predicted = static_cast<int64_t>(request.wait_ms_);
  open_requests_.emplace(
      last_id_,
      OpenRequest{request,
                  now + Duration(predicted) * kOverdueFactor + kOverdueDelay});
  return last_id_;
}

void LoadLedger::AddLongDemand(TimePoint now, double prefill_ms) {
  std::erase_if(long_demands_, [now](const LongDemand& demand) {
    return now - demand.arrived_ > kDemandWindow;
  });
  long_demands_.push_back(LongDemand{now, prefill_ms});
}

void LoadLedger::OnFirstEvent(PlacedRequestId id) {
  const auto found = open_requests_.find(id);
  if (found == open_requests_.end()) {
    return;
  }
  for (PrefillPart& part : found->second.request_.parts_) {
    OwnLoad& own = own_loads_[part.target_];
    own.prefill_ms_ = std::max(0.0, own.prefill_ms_ - part.prefill_ms_);
    own.granted_prefill_ms_ -=
        IsPlacedByLeader(found->second.request_) ? part.prefill_ms_ : 0;
    part.prefill_ms_ = 0;
  }
}

void LoadLedger::End(PlacedRequestId id) {
  OnFirstEvent(id);
  const auto found = open_requests_.find(id);
  if (found == open_requests_.end()) {
    return;
  }
  const PlacedRequest& request = found->second.request_;
  for (const PrefillPart& part : request.parts_) {
    own_loads_[part.target_].tokens_ -= part.tokens_;
  }
  --own_loads_[request.parts_.front().target_].requests_;
  AddToGranted(request, -1);
  short_streams_ -= request.is_short_ ? 1 : 0;
  long_tokens_ -= request.is_short_ ? 0 : request.parts_.front().tokens_;
  open_requests_.erase(found);
}

const PlacedRequest* LoadLedger::Find(PlacedRequestId id) const {
  const auto found = open_requests_.find(id);
  return found == open_requests_.end() ? nullptr : &found->second.request_;
}

bool LoadLedger::ExpireOverduePrefill(TimePoint now) {
  std::vector<PlacedRequestId> overdue;
  for (auto& [id, open] : open_requests_) {
    if (now >= open.overdue_at_) {
      open.overdue_at_ = TimePoint::Never();
      overdue.push_back(id);
    }
  }
  for (const PlacedRequestId id : overdue) {
    OnFirstEvent(id);
  }
  return !overdue.empty();
}

void LoadLedger::SetReport(TimePoint now, const NodeId& gateway,
                           const GatewayLoad& load) {
  const bool is_sum = load.summed_ > 0;
  if (is_sum && gateway != leader_) {
    return;
  }
  std::erase_if(reports_, [&](const auto& item) {
    const bool replaced =
        item.first == gateway || is_sum || item.second.load_.summed_ > 0;
    if (replaced) {
      AddReport(item.second, -1);
    }
    return replaced;
  });
  GatewayReport& report = reports_[gateway];
  report = GatewayReport{now, load};
  AddReport(report, 1);
}

bool LoadLedger::HasSum() const {
  return reports_.size() == 1 && reports_.begin()->second.load_.summed_ > 0;
}

size_t LoadLedger::ReporterCount() const {
  return HasSum() ? static_cast<size_t>(reports_.begin()->second.load_.summed_)
                  : reports_.size();
}

void LoadLedger::RemoveOldReports(TimePoint now, Duration age) {
  std::erase_if(reports_, [this, now, age](const auto& item) {
    const bool old = now - item.second.received_ > age;
    if (old) {
      AddReport(item.second, -1);
    }
    return old;
  });
}

TargetLoad LoadLedger::At(const TargetId& target) const {
  TargetLoad load;
  if (const auto own = own_loads_.find(target); own != own_loads_.end()) {
    load.requests_ = own->second.requests_;
    load.tokens_ = own->second.tokens_;
    load.prefill_ms_ = own->second.prefill_ms_;
  }
  if (const auto sum = report_sums_.find(target); sum != report_sums_.end()) {
    load.requests_ += sum->second.requests_;
    load.tokens_ += sum->second.tokens_;
    load.prefill_ms_ += static_cast<double>(sum->second.prefill_ms_);
  }
  return load;
}

TargetLoad LoadLedger::LoadNotPlacedByLeader(const TargetId& target) const {
  TargetLoad load;
  if (const auto own = own_loads_.find(target); own != own_loads_.end()) {
    load.requests_ = own->second.requests_ - own->second.granted_requests_;
    load.tokens_ = own->second.tokens_ - own->second.granted_tokens_;
    load.prefill_ms_ = std::max(
        0.0, own->second.prefill_ms_ - own->second.granted_prefill_ms_);
  }
  if (const auto sum = report_sums_.find(target); sum != report_sums_.end()) {
    load.requests_ += sum->second.requests_ - sum->second.granted_requests_;
    load.tokens_ += sum->second.tokens_ - sum->second.granted_tokens_;
    load.prefill_ms_ += static_cast<double>(std::max<int64_t>(
        0, sum->second.prefill_ms_ - sum->second.granted_prefill_ms_));
  }
  return load;
}

double LoadLedger::OwnLongPrefillMsPerSecond(TimePoint now) const {
  double sum = 0;
  for (const LongDemand& demand : long_demands_) {
    sum += now - demand.arrived_ <= kDemandWindow ? demand.prefill_ms_ : 0;
  }
  return sum * kMsPerSecond / static_cast<double>(kDemandWindow.Ms());
}

GatewayLoad LoadLedger::OwnReport(TimePoint now) {
  GatewayLoad load;
  std::erase_if(own_loads_, [](const auto& item) {
    return item.second.requests_ == 0 && item.second.tokens_ == 0 &&
           item.second.prefill_ms_ < 1;
  });
  for (const auto& [target, own] : own_loads_) {
    load.rows_.push_back(
        TargetLoadRow{target, own.requests_, std::lround(own.prefill_ms_),
                      own.tokens_, own.granted_requests_, own.granted_tokens_,
                      std::lround(own.granted_prefill_ms_)});
  }
  load.short_streams_ = short_streams_;
  load.long_prefill_ms_ = static_cast<int64_t>(OwnLongPrefillMsPerSecond(now));
  load.long_tokens_ = long_tokens_;
  return load;
}

void LoadLedger::RemoveRowsPlacedByLeader(GatewayLoad& load) {
  std::erase_if(load.rows_, [](const TargetLoadRow& row) {
    return row.requests_ == row.granted_requests_ &&
           row.tokens_ == row.granted_tokens_ &&
           row.prefill_ms_ <= row.granted_prefill_ms_;
  });
}

LoadLedger::EngineRange LoadLedger::PreferredRange(const NodeId& self) const {
  if (HasSum()) {
    const auto all = static_cast<double>(gateway_count_);
    const auto index = static_cast<double>(gateway_index_);
    return EngineRange{index / all, (index + 1) / all};
  }
  const double own = static_cast<double>(short_streams_) + 1;
  double before = 0;
  double sum = own;
  for (const auto& [gateway, report] : reports_) {
    const double weight = static_cast<double>(report.load_.short_streams_) + 1;
    sum += weight;
    before += gateway < self ? weight : 0;
  }
  return EngineRange{before / sum, (before + own) / sum};
}

bool LoadLedger::IsChosenByHash(const NodeId& self, uint64_t hash) const {
  if (HasSum()) {
    return hash % gateway_count_ == gateway_index_;
  }
  const auto before =
      std::count_if(reports_.begin(), reports_.end(),
                    [&self](const auto& item) { return item.first < self; });
  return hash % (reports_.size() + 1) == static_cast<uint64_t>(before);
}

int64_t LoadLedger::ShortStreams() const {
  int64_t sum = short_streams_;
  for (const auto& [gateway, report] : reports_) {
    sum += report.load_.short_streams_;
  }
  return sum;
}

int64_t LoadLedger::LongTokens() const {
  int64_t sum = long_tokens_;
  for (const auto& [gateway, report] : reports_) {
    sum += report.load_.long_tokens_;
  }
  return sum;
}

double LoadLedger::LongPrefillMsPerSecond(TimePoint now) const {
  double sum = OwnLongPrefillMsPerSecond(now);
  for (const auto& [gateway, report] : reports_) {
    sum += static_cast<double>(report.load_.long_prefill_ms_);
  }
  return sum;
}

}  // namespace gv
