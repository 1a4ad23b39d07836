/** @file in_force.cc Counts leases by the revision that they were granted at.
 */
#include "coordination/in_force.h"

#include <algorithm>
#include <iterator>

namespace gv {

void InForceBook::StartTerm(TimePoint now, Duration outstanding) {
  holders_.clear();
  earlier_leases_end_ = now + outstanding;
}

void InForceBook::OnGrant(TimePoint now, const Endpoint& holder,
                          Revision revision, Duration length) {
  std::vector<GrantedLease>& leases = holders_[holder].leases_;
  std::erase_if(leases, [now](const auto& lease) { return lease.end_ <= now; });
  const TimePoint end = now + length;
  if (!leases.empty() && leases.back().revision_ == revision) {
    leases.back().end_ = std::max(leases.back().end_, end);
    return;
  }
  leases.push_back(GrantedLease{revision, end});
}

void InForceBook::OnConfirm(const Endpoint& holder, Revision revision) {
  Holder& known = holders_[holder];
  known.confirmed_ = std::max(known.confirmed_, revision);
}

void InForceBook::OnRestart(const Endpoint& holder) {
  holders_[holder].confirmed_ = Revision();
}

Revision InForceBook::ServedFrom(TimePoint now, const Holder& holder,
                                 Revision newest) {
  Revision oldest = newest;
  for (const GrantedLease& lease : holder.leases_) {
    if (lease.end_ > now) {
      oldest = std::min(oldest, lease.revision_);
    }
  }
  return std::max(oldest, std::min(holder.confirmed_, newest));
}

bool InForceBook::MayServeBefore(TimePoint now, const Holder& holder,
                                 Revision revision) {
  return ServedFrom(now, holder, revision) < revision;
}

Revision InForceBook::Newest(TimePoint now, Revision newest) const {
  if (now < earlier_leases_end_) {
    return Revision();
  }
  Revision in_force = newest;
  for (const auto& [node, holder] : holders_) {
    in_force = std::min(in_force, ServedFrom(now, holder, newest));
  }
  return in_force;
}

bool InForceBook::IsInForce(TimePoint now, Revision revision) const {
  return now >= earlier_leases_end_ && Newest(now, revision) == revision;
}

std::vector<Endpoint> InForceBook::Missing(TimePoint now,
                                           Revision revision) const {
  std::vector<Endpoint> missing;
  for (const auto& [node, holder] : holders_) {
    if (MayServeBefore(now, holder, revision)) {
      missing.push_back(node);
    }
  }
  return missing;
}

Duration InForceBook::EarlierLeasesLeft(TimePoint now) const {
  return std::max(Duration(), earlier_leases_end_ - now);
}

bool InForceBook::HasLease(TimePoint now, const Endpoint& holder) const {
  const auto it = holders_.find(holder);
  return it != holders_.end() &&
         std::any_of(it->second.leases_.begin(), it->second.leases_.end(),
                     [now](const auto& lease) { return lease.end_ > now; });
}

void InForceBook::DropExpired(TimePoint now) {
  for (auto it = holders_.begin(); it != holders_.end();) {
    it = HasLease(now, it->first) ? std::next(it) : holders_.erase(it);
  }
}

}  // namespace gv
