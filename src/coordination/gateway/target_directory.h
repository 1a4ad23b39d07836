/** @file target_directory.h All announced targets, merged from registrations
 * that arrive late, twice and out of order. */
#pragma once

#include <array>
#include <map>
#include <string>
#include <vector>

#include "state/target_registration_type.h"

namespace gv {

/** One target and when it was last heard of. */
struct DirectoryEntry {
  TargetRegistration target_;  ///< Newest registration.
  TimePoint heard_;            ///< When a newer registration last arrived.
  TimePoint warm_at_;          ///< When its warm-up ends.
  uint64_t hash_ = 0;          ///< Of the id; a place that all gateways share.
  bool is_silent_ = false;     ///< It misses registrations, as the leader says.
};

/**
 * A last-writer-wins table. Departed targets stay as rows for a while, so that
 * a late registration cannot bring them back. Thread safety: owned by one
 * thread.
 */
class TargetDirectory {
 public:
  /** What a registration did. */
  enum class Change : uint8_t {
    kNone,       ///< It was older, or its address belongs to a later start.
    kRefreshed,  ///< Only its sequence is newer.
    kChanged,    ///< Something that routing depends on has changed.
  };

  /** Takes in one registration. */
  Change Merge(TimePoint now, const TargetRegistration& target);

  /**
   * Marks a target as leaving, as it said in an answer. It stays so until it
   * starts anew.
   * @return False if it is unknown or was known to leave before.
   */
  bool Leave(const TargetId& id);

  /**
   * Marks a target as gone.
   * @return The row that was changed, or nothing if it is unknown or gone.
   */
  const TargetRegistration* Depart(TimePoint now, const TargetId& id);

  /** A target was heard of again elsewhere; ignored if it is unknown or the
   * registration is old. */
  void Refresh(TimePoint now, const TargetId& id, uint64_t start_ms,
               uint64_t sequence);
  /** Counts all targets as heard of now, as this gateway begins to judge their
   * silence. */
  void HearAll(TimePoint now);

  /** Drops targets that were not heard of for @p silence, and departed ones
   * after @p memory. @return Ids of the dropped ones. */
  std::vector<TargetId> Expire(TimePoint now, Duration silence,
                               Duration memory);
  /** Drops departed targets after @p memory. */
  void ExpireDeparted(TimePoint now, Duration memory);
  /** Drops a target that another gateway has dropped. */
  void Drop(const TargetId& id);

  /** @return The entry, or nullptr. */
  const DirectoryEntry* Find(const TargetId& id) const;
  /** @return True if the target is unknown or misses registrations. */
  bool IsSilent(const TargetId& id) const;
  /** @return True if the target is known and takes new work. */
  bool IsReady(const TargetId& id) const;
  /** @return All rows. */
  const std::map<TargetId, DirectoryEntry>& All() const { return entries_; }
  /** @return A number that grows with every change of a row but its age. */
  uint64_t Changes() const { return changes_; }
  /** Parts in which two tables are compared. */
  static constexpr size_t kParts = 64;
  /** @return Hash of the ids, starts and states of all that are not gone; equal
   * for equal tables. */
  uint64_t Digest() const;
  /** @return The same for each part of the table. */
  const std::array<uint64_t, kParts>& PartDigests() const { return digests_; }
  /** @return The part that a target belongs to. */
  static size_t PartOf(const DirectoryEntry& entry) {
    return entry.hash_ % kParts;
  }
  /** @return Targets that were not heard of for @p time, while others were. */
  std::vector<TargetId> Silent(Duration time) const;
  /** Replaces the targets that count as silent. */
  void SetSilent(const std::vector<TargetId>& silent);
  /** @return All rows for another gateway, with their ages. */
  std::vector<TargetRegistration> Rows(TimePoint now) const;
  /** @return One row with its age. @pre @p id is known. */
  TargetRegistration Row(TimePoint now, const TargetId& id) const;

 private:
  bool IsAddressTaken(const TargetRegistration& target) const;
  void RetireOthersAt(const TargetRegistration& target);
  void SetState(DirectoryEntry& entry, RegistrationState state);
  void ToggleDigest(const DirectoryEntry& entry);
  std::map<TargetId, DirectoryEntry>::iterator Erase(
      std::map<TargetId, DirectoryEntry>::iterator at);

  std::map<TargetId, DirectoryEntry> entries_;  ///< By id.
  std::map<std::string, TargetId> by_address_;  ///< Latest start there.
  TimePoint newest_heard_;                      ///< Of all registrations.
  std::array<uint64_t, kParts> digests_{};      ///< Of each part.
  uint64_t changes_ = 0;                        ///< For Changes().
};

}  // namespace gv
