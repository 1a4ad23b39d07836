/** @file settings_state.h The replicated settings: tree, history, and the first
 * answers to change ids. */
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "state/save_chunk.h"
#include "state/settings_change.h"
#include "state/settings_tree.h"

namespace gv {

/**
 * Executes settings changes the same way on every replica. It depends only on
 * the commands and the replicated clock in them. Thread safety: owned by the
 * control thread.
 */
class SettingsState {
 public:
  /**
   * Tests a change before it is proposed: the table, the tree, and the change
   * id. A known change id passes, because its first answer will be repeated.
   */
  Result<void> Test(const SettingsChange& change) const;

  /**
   * Executes a committed change, or finds the first answer to its change id.
   * @param cluster_ms The replicated clock of the command.
   * @return What became of the change.
   */
  ChangeResult Execute(int64_t cluster_ms, const SettingsChange& change);

  /**
   * @return The first answer to the change's id, a conflict if that id was used
   * for another change, or nothing if the id is unknown. A change without edits
   * only asks.
   */
  std::optional<ChangeResult> FirstAnswer(const SettingsChange& change) const;

  /** @return The first answer to a change id, or null if unknown or expired. */
  const ChangeResult* FindResult(const ChangeId& id) const;

  const SettingsTree& Tree() const { return tree_; }
  /** @return The record that made a revision, or null if history is shorter. */
  const SettingsRecord* Record(Revision revision) const;
  /** @return All kept records, oldest first. */
  const std::deque<SettingsRecord>& History() const { return history_; }

  /**
   * @return The last edit of each path that changed after @p from, or nothing
   * if history does not reach back to it.
   */
  std::optional<std::vector<SettingsEdit>> EditsSince(Revision from) const;

  /**
   * @return The edits that undo one revision, or Reason::kConflict if a path
   * was changed again later, or Reason::kBadRequest if history is shorter.
   */
  Result<std::vector<SettingsEdit>> UndoEdits(Revision revision) const;

  /**
   * @return The longest lease that may be outstanding of the kind whose length
   * is set at @p path: the present length, or an earlier longer one.
   */
  Duration LongestLease(std::string_view path, int64_t cluster_ms) const;

  /** Appends the chunks of this state to a snapshot. */
  void Save(std::string& out) const;
  /** Reads one chunk. @return False if the chunk is not of this state. */
  Result<bool> Load(const SaveChunk& chunk);

 private:
  /** A lease length that was lowered. */
  struct LoweredLease {
    std::string path_;        ///< The setting.
    int64_t old_ms_ = 0;      ///< The longer length, in milliseconds.
    int64_t cluster_ms_ = 0;  ///< Replicated clock when it was lowered.
  };

  ChangeResult Decide(int64_t cluster_ms, const SettingsChange& change);
  void Accept(int64_t cluster_ms, const SettingsChange& change);
  std::string WinnerText(Revision base) const;
  void NoteLoweredLeases(int64_t cluster_ms, const SettingsRecord& record);
  void DropExpired(int64_t cluster_ms);
  void NumberResults();

  SettingsTree tree_;                     ///< The newest revision.
  std::deque<SettingsRecord> history_;    ///< Oldest first.
  std::deque<ChangeResult> results_;      ///< Oldest first.
  uint64_t first_result_ = 0;             ///< Number of results_.front().
  std::map<ChangeId, uint64_t> numbers_;  ///< Numbers of results by id.
  std::vector<LoweredLease> lowered_;     ///< May still be outstanding.
};

}  // namespace gv
