/** @file evacuation_set.h Data centres whose targets get no further requests,
 * by order of an operator. */
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "state/ids_type.h"

namespace gv {

/** An order of an operator, or its withdrawal. */
struct EvacuationOrder {
  DataCentreId data_centre_;  ///< Which data centre.
  bool withdrawn_ = false;    ///< Requests may be sent there again.
};

/** Longest name of a data centre, in bytes. */
inline constexpr size_t kMaxDataCentreNameBytes = 64;

/** @return True if @p name has 1 to kMaxDataCentreNameBytes letters, digits,
 * '-', '_' and '.', so that it contains no separator of the encodings below.
 * Thread safety: pure. */
bool IsDataCentreName(std::string_view name);

/** @return The log entry of an order; its form differs from that of
 * configurations and of retries. Thread safety: pure. */
std::string EncodeEvacuationEntry(const EvacuationOrder& order);
/** @return The order of a log entry, or nothing if the entry is none. Thread
 * safety: pure. */
std::optional<EvacuationOrder> DecodeEvacuationEntry(std::string_view bytes);

/**
 * The evacuated data centres. Its revision is the index of the log entry that
 * changed it last, so that sets of different gateways can be compared. Thread
 * safety: owned by one thread.
 */
class EvacuationSet {
 public:
  /** Applies a committed order. @param revision Index of its log entry.
   * @return True if the set has changed. */
  bool Apply(const EvacuationOrder& order, uint64_t revision);
  /** Takes the place of an older set. @return False if @p other is not newer.
   */
  bool Replace(const EvacuationSet& other);
  /** @return True if targets of @p data_centre get no further requests. */
  bool Contains(const DataCentreId& data_centre) const {
    return data_centres_.contains(data_centre);
  }
  /** @return True if no data centre is evacuated. */
  bool Empty() const { return data_centres_.empty(); }
  const std::set<DataCentreId>& DataCentres() const { return data_centres_; }
  /** @return Zero before the first order; grows with each change. */
  uint64_t Revision() const { return revision_; }
  /** @return The data centres, separated by commas. */
  std::string Names() const;

  /** @return A set of @p names, as Names() gives them. */
  static EvacuationSet FromNames(uint64_t revision, std::string_view names);
  /** @return The head of a snapshot that holds this set; empty at revision
   * zero, so that snapshots without any order keep their earlier form. */
  std::string EncodeSnapshotHead() const;
  /** Reads the head of a snapshot and removes it from @p snapshot.
   * @return The set; nothing if the head is malformed. */
  static std::optional<EvacuationSet> TakeSnapshotHead(
      std::string_view& snapshot);

 private:
  std::set<DataCentreId> data_centres_;
  uint64_t revision_ = 0;
};

}  // namespace gv
