/** @file settings_tree.h The settings tree: validated paths, typed reads, and
 * the settings of teams. */
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "state/ids_type.h"
#include "state/save_chunk.h"
#include "state/settings_change.h"
#include "state/settings_type.h"
#include "state/team_base.h"
#include "state/verdict_type.h"

namespace gv {

/** @return The row that describes @p path, or null. Thread safety: pure. */
const SettingRow* FindSettingRow(std::string_view path);

/**
 * Tests one edit against the settings table.
 * @return Nothing, or Reason::kBadRequest with path, value and reason.
 * Thread safety: pure.
 */
Result<void> TestEdit(const SettingsEdit& edit);

/**
 * The settings tree at one revision. Paths without a value have the default of
 * their row. Thread safety: owned by the control thread.
 */
class SettingsTree {
 public:
  /** @return The settings of a team, or null; valid until the next change. */
  const TeamSettings* Team(const TeamId& team) const;
  /** @return The team with this key (SHA-256, lower-case hex), or null. */
  const TeamSettings* TeamByKeyHash(const std::string& hash) const;
  /** @return All teams, by name. */
  std::vector<TeamId> Teams() const;
  /** @return The revision of the tree; none before the first change. */
  Revision CurrentRevision() const { return revision_; }

  /** @return The number at a path, or its default. @pre A row matches. */
  int64_t Int(std::string_view path) const;
  /** @return The text at a path, or its default. @pre A row matches. */
  std::string Text(std::string_view path) const;
  /** @return The flag at a path, or its default. @pre A row matches. */
  bool Flag(std::string_view path) const;
  /** @return The value at a path if it differs from the default. */
  std::optional<std::string> Stored(std::string_view path) const;

  /**
   * Tests edits against the settings table and against the tree.
   * @return Nothing, or the first failure with path, value and reason.
   */
  Result<void> Test(const std::vector<SettingsEdit>& edits) const;

  /**
   * Tests that no edit gives a team a key that another team has. It depends on
   * no table.
   */
  Result<void> TestKeys(const std::vector<SettingsEdit>& edits) const;

  /**
   * Applies edits that were tested where they were accepted. It depends on no
   * table, so that processes of neighbouring versions get the same tree.
   * @pre @p to is above CurrentRevision().
   */
  void Apply(const std::vector<SettingsEdit>& edits, Revision to);

  /** Replaces the tree by what Dump() gave. */
  void Replace(const std::vector<SettingsEdit>& edits, Revision revision);

  /** @return Edits that make an empty tree equal to this one, by path. */
  std::vector<SettingsEdit> Dump() const;
  /** @return As Dump(), only paths that begin with @p prefix. */
  std::vector<SettingsEdit> Dump(std::string_view prefix) const;

  /** @return Edits that undo @p edits, to be applied after them. */
  std::vector<SettingsEdit> Inverse(
      const std::vector<SettingsEdit>& edits) const;

  /** @return The tree as a versioned chunk. */
  SaveChunk Save() const;
  /** Replaces the tree by a saved one. @return Reason::kStorage if it is bad.
   */
  Result<void> Load(const SaveChunk& chunk);

 private:
  using ValueMap = std::map<std::string, std::string, std::less<>>;

  void Store(const SettingsEdit& edit);
  void RebuildTeam(const std::string& name);
  void RebuildAllTeams();

  ValueMap values_;                       ///< Stored values by path.
  std::map<TeamId, TeamSettings> teams_;  ///< Read from values_.
  std::map<std::string, TeamId> keys_;    ///< Owners of key hashes.
  Revision revision_;                     ///< Of values_.
};

}  // namespace gv
