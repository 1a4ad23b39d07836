/** @file credit_ledger.cc Fair division of a target's capacity. */
#include "coordination/credit_ledger.h"

#include <algorithm>

namespace gv {
namespace {

/**
 * @return The fair part of @p capacity for one of @p entries entries: its
 * demand and an equal part of what is left over, or a part in proportion to
 * demand when the sum of all demands does not fit.
 */
int64_t FairPart(int64_t capacity, int64_t demand, int64_t all_demand,
                 int64_t entries) {
  if (capacity <= 0) {
    return 0;
  }
  if (all_demand <= capacity) {
    return demand + (capacity - all_demand) / entries;
  }
  const double part = static_cast<double>(demand) /
                      static_cast<double>(all_demand) *
                      static_cast<double>(capacity);
  return static_cast<int64_t>(part);
}

}  // namespace

Capacity CreditLedger::Largest(TimePoint now, const Account& account) {
  Capacity largest;
  for (const Granted& grant : account.grants_) {
    if (now < grant.expires_) {
      largest.tokens_ = std::max(largest.tokens_, grant.amount_.tokens_);
      largest.streams_ = std::max(largest.streams_, grant.amount_.streams_);
    }
  }
  return largest;
}

void CreditLedger::Forget(TimePoint now) {
  for (auto it = accounts_.begin(); it != accounts_.end();) {
    auto& grants = it->second.grants_;
    while (!grants.empty() && grants.front().expires_ <= now) {
      grants.pop_front();
    }
    it = grants.empty() ? accounts_.erase(it) : std::next(it);
  }
}

void CreditLedger::Acknowledge(const NodeId& entry, uint64_t sequence) {
  const auto it = accounts_.find(entry);
  if (it != accounts_.end()) {
    std::erase_if(it->second.grants_, [sequence](const Granted& grant) {
      return grant.sequence_ < sequence;
    });
  }
}

Capacity CreditLedger::Outstanding(TimePoint now) const {
  Capacity sum;
  for (const auto& [entry, account] : accounts_) {
    const Capacity largest = Largest(now, account);
    sum.tokens_ += largest.tokens_;
    sum.streams_ += largest.streams_;
  }
  return sum;
}

Capacity CreditLedger::Grant(TimePoint now, const NodeId& entry,
                             const Capacity& demand, uint64_t sequence) {
  Forget(now);
  Account& account = accounts_[entry];
  account.demand_ = demand;
  Capacity all_demand;
  for (const auto& [name, other] : accounts_) {
    all_demand.tokens_ += other.demand_.tokens_;
    all_demand.streams_ += other.demand_.streams_;
  }
  const auto entries = static_cast<int64_t>(accounts_.size());
  const Capacity own = Largest(now, account);
  const Capacity all = Outstanding(now);
  const Capacity free{capacity_.tokens_ - (all.tokens_ - own.tokens_),
                      capacity_.streams_ - (all.streams_ - own.streams_)};
  Capacity grant{
      FairPart(capacity_.tokens_, demand.tokens_, all_demand.tokens_, entries),
      FairPart(capacity_.streams_, demand.streams_, all_demand.streams_,
               entries)};
  grant.tokens_ = std::max<int64_t>(0, std::min(grant.tokens_, free.tokens_));
  grant.streams_ =
      std::max<int64_t>(0, std::min(grant.streams_, free.streams_));
  account.grants_.push_back(Granted{grant, now + kCreditDuration, sequence});
  return grant;
}

}  // namespace gv
