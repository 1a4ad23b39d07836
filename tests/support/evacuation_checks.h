/** @file evacuation_checks.h Which simulated gateways would send requests to a
 * data centre. */
#pragma once

#include <string>

#include "support/registry_group.h"

namespace gv {

/** @return True if a gateway would send requests to the data centre. */
inline bool MaySend(const RegistryGroup& group, const RegistryHost& host,
                    const std::string& data_centre) {
  return host.core_ && host.core_->HasLease(group.NowOf(host)) &&
         !host.core_->Evacuations().Contains(DataCentreId(data_centre));
}

/** @return The gateways that would send requests to the data centre. */
inline std::string Senders(const RegistryGroup& group,
                           const std::string& data_centre) {
  std::string names;
  for (const auto& [name, host] : group.hosts_) {
    names += MaySend(group, host, data_centre) ? name + " " : "";
  }
  return names;
}

}  // namespace gv
