/** @file registry_cold.cc Targets that are cold: what they state in their
 * registrations limits the requests of all gateways together. */
#include <algorithm>

#include "coordination/gateway/registry_core.h"

namespace gv {

void RegistryCore::SetColdServices(TimePoint now,
                                   std::map<std::string, ColdBounds> services) {
  if (cold_services_ == services) {
    return;
  }
  cold_services_ = std::move(services);
  targets_.SetPassesOnWarmUps(!cold_services_.empty());
  for (const auto& [id, entry] : targets_.All()) {
    UpdateCold(now, entry);
  }
}

TargetDirectory::Change RegistryCore::MergeTarget(
    TimePoint now, const TargetRegistration& target) {
  const TargetDirectory::Change change = targets_.Merge(now, target);
  const DirectoryEntry* entry = targets_.Find(target.id_);
  if (change != TargetDirectory::Change::kNone && entry != nullptr) {
    UpdateCold(now, *entry);
  }
  return change;
}

void RegistryCore::UpdateCold(TimePoint now, const DirectoryEntry& entry) {
  const auto service = cold_services_.find(entry.target_.service_);
  if (service != cold_services_.end()) {
    limits_.SetCold(now, entry.target_.id_, service->second.per_second_,
                    entry.warm_at_);
  }
}

TargetRegistration RegistryCore::WithWarmUp(TimePoint now,
                                            TargetRegistration target) const {
  if (target.warm_up_ >= Duration()) {
    return target;
  }
  target.warm_up_ = Duration();
  const DirectoryEntry* entry = targets_.Find(target.id_);
  const auto service = cold_services_.find(target.service_);
  if (entry != nullptr && entry->target_.start_ms_ >= target.start_ms_) {
    target.warm_up_ = std::max(Duration(), entry->warm_at_ - now);
  } else if (service != cold_services_.end()) {
    target.warm_up_ = service->second.start_;
  }
  return target;
}

void RegistryCore::TickCold(TimePoint now, Outbox& out) {
  for (const ColdChange& change : limits_.AdvanceCold(now)) {
    Event event;
    event.id_ = change.is_cold_ ? EventId::kTargetCold : EventId::kTargetWarm;
    event.target_ = change.target_;
    event.detail_ = "per_second=" + std::to_string(change.per_second_) +
                    " left_ms=" + std::to_string(change.left_.Ms());
    out.Record(std::move(event));
  }
}

}  // namespace gv
