/** @file settings_change.h Edits of the settings tree, changes made of them,
 * and what became of a change. */
#pragma once

#include <string>
#include <vector>

#include "state/ids_type.h"
#include "state/verdict_type.h"

namespace gv {

/** One edit of one path of the settings tree. */
struct SettingsEdit {
  std::string path_;  ///< For example "teams.carvers.limits.tokens_per_second".
  std::string value_;    ///< New value as text; ignored if remove_ is set.
  bool remove_ = false;  ///< True if the path returns to its default.
  friend bool operator==(const SettingsEdit&, const SettingsEdit&) = default;
};

/** Command: change the tree if base_revision_ is still the newest. */
struct SettingsChange {
  ChangeId change_id_;  ///< Chosen by the operator; a resend carries the same.
  std::string author_;  ///< Who asks.
  std::string reason_;  ///< Why, for the history.
  Revision base_revision_;  ///< The revision that the change builds on; none
                            ///< for any.
  std::vector<SettingsEdit> edits_;  ///< All or none are applied.
};

/** One accepted change, for history, deltas and undo. */
struct SettingsRecord {
  Revision revision_;                  ///< The revision that the change made.
  ChangeId change_id_;                 ///< The operator's id.
  std::string author_;                 ///< Who changed.
  std::string reason_;                 ///< Why.
  int64_t cluster_ms_ = 0;             ///< Replicated clock at acceptance.
  std::vector<SettingsEdit> edits_;    ///< What changed.
  std::vector<SettingsEdit> inverse_;  ///< The values before.
};

/** The first answer to a change id; a resend gets the same. */
struct ChangeResult {
  ChangeId change_id_;     ///< The operator's id.
  uint64_t digest_ = 0;    ///< Hash of the change's contents.
  bool accepted_ = false;  ///< True if the change made a revision.
  Revision revision_;      ///< The revision made, or the newest one then.
  Reason reason_ = Reason::kNone;  ///< Why it was refused.
  std::string error_;              ///< For people, if refused.
  int64_t cluster_ms_ = 0;         ///< Replicated clock at the decision.
};

}  // namespace gv
