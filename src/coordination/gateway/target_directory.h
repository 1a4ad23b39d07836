/** @file target_directory.h Table of the registered targets. Registrations may
 * arrive late, more than once and out of order. */
#pragma once

#include <array>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "state/target_registration_type.h"

namespace gv {

/** A target's newest registration and the time of its last heartbeat. */
struct DirectoryEntry {
  TargetRegistration target_;  ///< Newest registration of the target.
  TimePoint last_heartbeat_;   ///< Local time of the last heartbeat; for
                               ///< a departed target, of its departure.
  TimePoint warm_at_;          ///< Local time at which its warm-up ends.
  uint64_t hash_ = 0;          ///< Hash of the target's id; equal at all
                               ///< gateways.
  /** Set while the leader reports that heartbeats of the target stopped. */
  bool is_unreachable_ = false;
};

/**
 * A last-writer-wins table of targets. Rows of departed targets are kept for a
 * while, so that a late registration cannot make them ready again. Thread
 * safety: owned by one thread.
 */
class TargetDirectory {
 public:
  /** Effect of a registration on the table. */
  enum class Change : uint8_t {
    kNone,  ///< Ignored: it is older than the row, too old for a new row, or
            ///< a target that started later has the same address.
    kRefreshed,  ///< A heartbeat; only the sequence number is newer.
    kWarmUp,     ///< A heartbeat that tells how long the target is cold; passed
                 ///< on as kChanged is.
    kChanged,    ///< The target is new, or its state, start, address or service
                 ///< changed.
  };

  /** @return True if other gateways have to be told of such a change. */
  static bool IsPassedOn(Change change) {
    return change == Change::kWarmUp || change == Change::kChanged;
  }
  /** Sets whether heartbeats of cold targets are passed on to all gateways. */
  void SetPassesOnWarmUps(bool passes_on) { passes_on_warm_ups_ = passes_on; }

  /** Inserts or updates the row of a target from one registration. The age of
   * the registration counts from @p now backwards. */
  Change Merge(TimePoint now, const TargetRegistration& target);

  /**
   * Marks a ready target as draining, after it announced this in an answer. It
   * stays draining until it restarts.
   * @param start_ms The start of the target that answered.
   * @return False if the target is unknown, has started again since, or is
   * draining already or gone.
   */
  bool MarkDraining(const TargetId& id, uint64_t start_ms);

  /**
   * Marks a target as gone. A target that is not known, as its registration is
   * still on the way, gets a row for all starts until now.
   * @param wall_ms Wall time in milliseconds since 1970.
   * @return The changed row, or nullptr if the target is gone already.
   */
  const TargetRegistration* Depart(TimePoint now, const TargetId& id,
                                   uint64_t wall_ms);

  /** Records a heartbeat that another gateway received. It is ignored if the
   * target is unknown, has started anew since, or has a newer sequence number.
   */
  void Refresh(TimePoint now, const TargetId& id, uint64_t start_ms,
               uint64_t sequence);
  /** Sets the last heartbeat of all targets that are not gone to @p now. A new
   * leader calls this, as heartbeats went to the previous leader before. */
  void ResetHeartbeats(TimePoint now);

  /** Removes targets without a heartbeat for more than @p silence, and departed
   * ones after @p memory. @return Ids of the removed targets. */
  std::vector<TargetId> Expire(TimePoint now, Duration silence,
                               Duration memory);
  /** Removes departed targets after @p memory. */
  void ExpireDeparted(TimePoint now, Duration memory);
  /** Removes a target that another gateway removed; ignored if unknown. */
  void Drop(const TargetId& id);

  /** @return The entry, or nullptr if the target is unknown. */
  const DirectoryEntry* Find(const TargetId& id) const;
  /** @return True if the target is unknown, or unreachable by the leader's last
   * report. */
  bool IsUnreachable(const TargetId& id) const;
  /** @return True if the target is known and accepts new requests. */
  bool IsReady(const TargetId& id) const;
  /** @return True if a target is ready and its data centre is not evacuated. */
  bool MayBeUsed(const DirectoryEntry& entry) const {
    return entry.target_.state_ == RegistrationState::kReady &&
           !evacuated_.contains(entry.target_.data_centre_);
  }
  /** Sets the data centres whose targets may not be used. */
  void SetEvacuated(std::set<DataCentreId> data_centres);
  /** @return All rows by target id, departed targets included. */
  const std::map<TargetId, DirectoryEntry>& All() const { return entries_; }
  /** @return A counter that grows when a row is added, replaced or removed, or
   * its state changes; Refresh does not count. */
  uint64_t ChangeCount() const { return changes_; }
  /** Number of parts in which the tables of two gateways are compared. */
  static constexpr size_t kParts = 64;
  /** @return Hash over the ids, start times and states of all targets that are
   * not gone; equal at two gateways whose tables agree. */
  uint64_t Digest() const;
  /** @return The digest of each part of the table. */
  const std::array<uint64_t, kParts>& PartDigests() const { return digests_; }
  /** @return Index of the part that a target belongs to, below kParts. */
  static size_t PartOf(const DirectoryEntry& entry) {
    return entry.hash_ % kParts;
  }
  /** @return Targets that are not gone and whose last heartbeat is more than
   * @p time older than the newest one of any target. */
  std::vector<TargetId> Unreachable(Duration time) const;
  /** Replaces the set of unreachable targets; unknown ids are ignored. */
  void SetUnreachable(const std::vector<TargetId>& unreachable);
  /** @return All rows with their ages at @p now, to be sent to another gateway.
   */
  std::vector<TargetRegistration> Rows(TimePoint now) const;
  /** @return The row of a target with its age at @p now. @pre @p id is known.
   */
  TargetRegistration Row(TimePoint now, const TargetId& id) const;

 private:
  /** @return True if a target that started later has the same address. */
  bool IsAddressTaken(const TargetRegistration& target) const;
  /** Records @p target as the owner of its address, and marks the previous
   * owner as gone. */
  void MarkPreviousOwnerGone(const TargetRegistration& target);
  /** Forgets that the target of @p entry owns its address. */
  void ReleaseAddress(const DirectoryEntry& entry);
  void SetState(DirectoryEntry& entry, RegistrationState state);
  /** Adds an entry to the digest of its part, or removes it if it was added. */
  void ToggleDigest(const DirectoryEntry& entry);
  std::map<TargetId, DirectoryEntry>::iterator Erase(
      std::map<TargetId, DirectoryEntry>::iterator at);

  std::map<TargetId, DirectoryEntry> entries_;
  std::map<std::string, TargetId>
      by_address_;                          ///< Target that started last there.
  TimePoint newest_heartbeat_;              ///< Last heartbeat of any target.
  std::array<uint64_t, kParts> digests_{};  ///< Digest of each part.
  uint64_t changes_ = 0;
  std::set<DataCentreId> evacuated_;  ///< Not part of the digests.
  bool passes_on_warm_ups_ = false;   ///< Targets can be cold.
};

}  // namespace gv
