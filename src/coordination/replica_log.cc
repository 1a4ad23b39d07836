/** @file replica_log.cc Positions, slices and truncation of the log in memory.
 */
#include "coordination/replica_log.h"

#include <algorithm>
#include <utility>

namespace gv {

void ReplicaLog::Reset(LogIndex index, Term term) {
  base_index_ = index;
  base_term_ = term;
  entries_.clear();
}

void ReplicaLog::Append(LogEntry entry) {
  entries_.push_back(std::move(entry));
}

void ReplicaLog::TruncateFrom(LogIndex from) {
  while (LastIndex() >= from && !entries_.empty()) {
    entries_.pop_back();
  }
}

void ReplicaLog::DropUpTo(LogIndex index) {
  while (base_index_ < index && !entries_.empty()) {
    base_term_ = entries_.front().term_;
    base_index_ = entries_.front().index_;
    entries_.pop_front();
  }
}

std::optional<Term> ReplicaLog::TermAt(LogIndex index) const {
  if (index == base_index_) {
    return base_term_;
  }
  if (index < base_index_ || index > LastIndex()) {
    return std::nullopt;
  }
  return At(index).term_;
}

std::vector<LogEntry> ReplicaLog::Slice(LogIndex from, size_t max_bytes) const {
  std::vector<LogEntry> slice;
  size_t bytes = 0;
  for (LogIndex index = from; index <= LastIndex(); index = index.Next()) {
    const LogEntry& entry = At(index);
    bytes += EntryBytes(entry);
    if (!slice.empty() && bytes > max_bytes) {
      break;
    }
    slice.push_back(entry);
  }
  return slice;
}

size_t ReplicaLog::Bytes(LogIndex from, LogIndex to) const {
  size_t bytes = 0;
  const LogIndex first = std::max(from, base_index_.Next());
  const LogIndex end = std::min(to, LastIndex().Next());
  for (LogIndex index = first; index < end; index = index.Next()) {
    bytes += EntryBytes(At(index));
  }
  return bytes;
}

LogIndex ReplicaLog::FirstOfTerm(LogIndex index) const {
  const std::optional<Term> term = TermAt(index);
  while (index > base_index_ && TermAt(index.Previous()) == term) {
    index = index.Previous();
  }
  return index;
}

}  // namespace gv
