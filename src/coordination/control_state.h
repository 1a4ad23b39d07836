/** @file control_state.h The state that every control replica has: settings,
 * claims, owners of targets and the replicated clock. */
#pragma once

#include <string>
#include <string_view>

#include "coordination/claim_table.h"
#include "coordination/target_registry.h"
#include "state/settings_state.h"

namespace gv {

/** The replicated state. Thread safety: owned by the control thread. */
struct ControlState {
  SettingsState settings_;  ///< Tree, history, answers to change ids.
  ClaimTable claims_;       ///< At-most-once claims.
  TargetRegistry targets_;  ///< Owners and tokens; the rest is soft state.
  int64_t cluster_ms_ = 0;  ///< Replicated clock of the last command.
};

/** @return The state as versioned chunks. Thread safety: pure. */
std::string SaveControlState(const ControlState& state);

/** Reads what SaveControlState() wrote; unknown chunks are skipped.
 * @return The state, or Reason::kStorage with the chunk that is bad. */
Result<ControlState> LoadControlState(std::string_view bytes);

}  // namespace gv
