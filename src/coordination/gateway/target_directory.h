/** @file target_directory.h All announced targets, merged from registrations
 * that arrive late, twice and out of order. */
#pragma once

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
   * Marks a target as gone.
   * @return The row that was changed, or nothing if it is unknown or gone.
   */
  const TargetRegistration* Depart(TimePoint now, const TargetId& id);

  /** Drops targets that were not heard of for @p silence, and departed ones
   * after @p memory. @return Ids of the dropped ones. */
  std::vector<TargetId> Expire(TimePoint now, Duration silence,
                               Duration memory);

  /** @return The entry, or nullptr. */
  const DirectoryEntry* Find(const TargetId& id) const;
  /** @return True if others still register but this one has not for @p time.
   * @pre @p id is known. */
  bool IsStale(const TargetId& id, Duration time) const;
  /** @return All rows. */
  const std::map<TargetId, DirectoryEntry>& All() const { return entries_; }
  /** @return Hash of the ids, starts and states of all that are not gone; equal
   * for equal tables. */
  uint64_t Digest() const;
  /** @return All rows for another gateway, with their ages. */
  std::vector<TargetRegistration> Rows(TimePoint now) const;
  /** @return One row with its age. @pre @p id is known. */
  TargetRegistration Row(TimePoint now, const TargetId& id) const;

 private:
  bool IsAddressTaken(const TargetRegistration& target) const;
  void RetireOthersAt(const TargetRegistration& target);

  std::map<TargetId, DirectoryEntry> entries_;  ///< By id.
  std::map<std::string, TargetId> by_address_;  ///< Latest start there.
  TimePoint newest_heard_;                      ///< Of all registrations.
};

}  // namespace gv
