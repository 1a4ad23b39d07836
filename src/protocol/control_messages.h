/** @file control_messages.h Messages between control processes and of their
 * local disk. */
#pragma once

#include <string>
#include <vector>

#include "state/clock_type.h"
#include "state/ids_type.h"

namespace gv {

/** What a log entry carries. */
enum class EntryKind : uint8_t { kNoop, kCommand, kMembership };

/** One entry of the replicated log. */
struct LogEntry {
  LogIndex index_;                     ///< Position in the log.
  Term term_;                          ///< Term of the leader that wrote it.
  EntryKind kind_ = EntryKind::kNoop;  ///< What the payload is.
  std::string payload_;                ///< Encoded command or membership.
  friend bool operator==(const LogEntry&, const LogEntry&) = default;
};

/** Asks for a vote, or with pre_vote_ asks whether a vote would be granted. */
struct VoteRequest {
  Term term_;              ///< The candidate's (prospective) term.
  LogIndex last_index_;    ///< Last index in the candidate's log.
  Term last_term_;         ///< Term of that entry.
  bool pre_vote_ = false;  ///< True if nothing is to be recorded.
};

/** Answers a VoteRequest. */
struct VoteReply {
  Term term_;              ///< The voter's term.
  bool pre_vote_ = false;  ///< Copied from the request.
  bool granted_ = false;   ///< True if the vote is given.
  Incarnation disk_;       ///< Identity of the voter's disk.
  bool fresh_ = false;     ///< True if the voter has no term and no log.
  bool ready_ = false;     ///< True if the voter takes part in the first start.
};

/** Leader to follower: entries, commit index, heartbeat. */
struct AppendRequest {
  Term term_;                ///< The leader's term.
  LogIndex previous_index_;  ///< Index before the first entry.
  Term previous_term_;       ///< Term at that index.
  LogIndex commit_index_;    ///< Everything up to here is committed.
  uint64_t round_ = 0;  ///< Heartbeat round, for the leader lease and reads.
  std::vector<LogEntry>
      entries_;  ///< Entries to append; empty for a heartbeat.
};

/** Answers an AppendRequest after the entries are synced. */
struct AppendReply {
  Term term_;             ///< The follower's term.
  bool success_ = false;  ///< False if the previous entry did not match.
  LogIndex
      match_index_;     ///< Last index known to match, or where to retry from.
  uint64_t round_ = 0;  ///< Copied from the request.
  Incarnation disk_;    ///< Identity of the follower's disk.
};

/** One bounded part of a snapshot. */
struct SnapshotChunk {
  Term term_;            ///< The leader's term.
  LogIndex last_index_;  ///< Last index that the snapshot covers.
  Term last_term_;       ///< Term of that entry.
  uint64_t offset_ = 0;  ///< Offset of data_ in the whole snapshot, in bytes.
  uint64_t total_ = 0;   ///< Size of the whole snapshot, in bytes.
  std::string data_;     ///< The bytes.
};

/** Answers a SnapshotChunk. */
struct SnapshotReply {
  Term term_;                 ///< The follower's term.
  LogIndex last_index_;       ///< Which snapshot.
  uint64_t next_offset_ = 0;  ///< Bytes received without a gap.
  Incarnation disk_;          ///< Identity of the follower's disk.
};

/** To the local disk: make the vote durable. */
struct DiskSaveVote {
  uint64_t sequence_ = 0;  ///< Matches DiskSynced.
  Term term_;              ///< Current term.
  NodeId voted_for_;   ///< Candidate that got the vote in this term, or none.
  bool ready_ = true;  ///< True if the disk takes part in the first start.
};

/** To the local disk: cut the log before first index of entries if it exists,
 * append, sync. */
struct DiskAppend {
  uint64_t sequence_ = 0;   ///< Matches DiskSynced.
  LogIndex truncate_from_;  ///< Remove this index and all later ones first;
                            ///< none for none.
  std::vector<LogEntry> entries_;  ///< Entries to append.
};

/** To the local disk: replace the snapshot atomically and drop the log up to
 * its last index. */
struct DiskSaveSnapshot {
  uint64_t sequence_ = 0;  ///< Matches DiskSynced.
  LogIndex last_index_;    ///< Last index that the snapshot covers.
  Term last_term_;         ///< Term of that entry.
  std::string data_;       ///< The encoded snapshot.
  bool drop_log_ = false;  ///< True if the log after last_index_ contradicts
                           ///< the snapshot: it goes in the same step.
};

/** From the local disk: everything up to this sequence is synced. */
struct DiskSynced {
  uint64_t sequence_ = 0;  ///< Sequence of the last synced operation.
};

/** From the local disk: a write or sync failed; nothing after it may be
 * acknowledged. */
struct DiskFailed {
  uint64_t sequence_ = 0;  ///< Sequence of the failed operation.
  std::string detail_;     ///< File and reason.
};

}  // namespace gv
