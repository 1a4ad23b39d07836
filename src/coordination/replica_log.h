/** @file replica_log.h The part of the replicated log that a replica keeps in
 * memory. */
#pragma once

#include <deque>
#include <optional>
#include <vector>

#include "protocol/control_messages.h"

namespace gv {

/**
 * Entries without a gap after a base position. Thread safety: control thread
 * only.
 */
class ReplicaLog {
 public:
  /** Drops everything and starts after @p index with @p term. */
  void Reset(LogIndex index, Term term);

  /** Appends @p entry. @pre Its index follows LastIndex(). */
  void Append(LogEntry entry);

  /** Removes the entry at @p from and all later ones. */
  void TruncateFrom(LogIndex from);

  /** Forgets entries up to @p index; they can no longer be sent. */
  void DropUpTo(LogIndex index);

  /** @return Index before the first entry in memory. */
  LogIndex BaseIndex() const { return base_index_; }
  /** @return Index of the last entry, or the base. */
  LogIndex LastIndex() const {
    return LogIndex(base_index_.Value() + entries_.size());
  }
  /** @return Term of the last entry, or of the base. */
  Term LastTerm() const {
    return entries_.empty() ? base_term_ : entries_.back().term_;
  }
  /** @return Term at @p index, or nothing if it is not in memory. */
  std::optional<Term> TermAt(LogIndex index) const;

  /** @return The entry. @pre BaseIndex() < index <= LastIndex(). */
  const LogEntry& At(LogIndex index) const {
    return entries_[index.Value() - base_index_.Value() - 1];
  }

  /**
   * Copies entries from @p from on, until @p max_bytes of payload are reached;
   * at least one if there is one. @pre BaseIndex() < from.
   */
  std::vector<LogEntry> Slice(LogIndex from, size_t max_bytes) const;

  /** @return Bytes of the entries in [@p from, @p to). */
  size_t Bytes(LogIndex from, LogIndex to) const;

  /** @return First index that has the same term as @p index, within memory. */
  LogIndex FirstOfTerm(LogIndex index) const;

 private:
  LogIndex base_index_;           ///< Index before the first entry.
  Term base_term_;                ///< Term at base_index_.
  std::deque<LogEntry> entries_;  ///< Entries after base_index_.
};

/** @return Size of an entry for batching, in bytes. Thread safety: pure. */
inline size_t EntryBytes(const LogEntry& entry) {
  constexpr size_t kEntryOverheadBytes = 16;
  return entry.payload_.size() + kEntryOverheadBytes;
}

}  // namespace gv
