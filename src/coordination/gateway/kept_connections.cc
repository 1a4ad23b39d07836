/** @file kept_connections.cc Idle connections of gateways to engines. */
#include "coordination/gateway/kept_connections.h"

namespace gv {
namespace {

/** Time for which a connection counts as idle and open. It is below the
 * shortest time for which targets keep idle connections, less the margin of the
 * connection pool. */
constexpr Duration kIdleTime = 3500_ms;

}  // namespace

void IdleConnections::OnPlaced(const NodeId& gateway, const TargetId& target) {
  const auto found = gateways_.find(gateway);
  if (found == gateways_.end()) {
    return;
  }
  const auto idle = found->second.find(target);
  if (idle != found->second.end() && --idle->second.count_ <= 0) {
    found->second.erase(idle);
  }
}

void IdleConnections::OnEnded(TimePoint now, const NodeId& gateway,
                              const TargetId& target) {
  Idle& idle = gateways_[gateway][target];
  ++idle.count_;
  idle.until_ = now + kIdleTime;
}

std::vector<TargetId> IdleConnections::TargetsOf(TimePoint now,
                                                 const NodeId& gateway) {
  std::vector<TargetId> targets;
  const auto found = gateways_.find(gateway);
  if (found == gateways_.end()) {
    return targets;
  }
  std::erase_if(found->second,
                [now](const auto& item) { return now >= item.second.until_; });
  targets.reserve(found->second.size());
  for (const auto& [target, idle] : found->second) {
    targets.push_back(target);
  }
  return targets;
}

}  // namespace gv
