/** @file team_base.h The settings of one team, read from its subtree. */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "state/ids_type.h"
#include "state/request_type.h"

namespace gv {

/** What one team may use. Thread safety: a value type. */
struct TeamSettings {
  TeamId team_;                    ///< The team.
  int64_t share_ = 1;              ///< Weight of its share of the fleet.
  int64_t tokens_per_second_ = 0;  ///< Limit over all entries; 0: none.
  int64_t concurrent_ = 0;         ///< Limit of requests in progress; 0: none.
  Priority top_priority_ =
      Priority::kInteractive;    ///< Most urgent priority it may ask for.
  std::vector<ModelId> models_;  ///< Models that it may call; empty: all.
  std::vector<std::string>
      key_hashes_;  ///< SHA-256 of its API keys, in lower-case hex.
  friend bool operator==(const TeamSettings&, const TeamSettings&) = default;
};

}  // namespace gv
