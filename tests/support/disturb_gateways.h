/** @file disturb_gateways.h Random faults of simulated gateways. */
#pragma once

#include <cstdint>
#include <string>

namespace gv {

/**
 * Starts some stopped gateways, kills some, many at once now and then, and cuts
 * some off or joins them again. Call every 50 ms.
 * @param fleet Has Group() and Kill().
 * @param below Gives a random number below its argument.
 */
template <class Fleet, class Below>
void DisturbGateways(Fleet& fleet, Below below) {
  auto& group = fleet.Group();
  const bool herd = below(60) == 0;
  for (auto& [name, host] : group.hosts_) {
    if (!host.core_) {
      if (below(10) == 0) {
        group.Start(name);
      }
    } else if (herd ? below(3) > 0 : below(150) == 0) {
      fleet.Kill(name);
    } else if (below(100) == 0) {
      group.Isolate(name, below(2) == 0);
    }
  }
}

}  // namespace gv
