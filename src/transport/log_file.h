/** @file log_file.h What the files of a data folder contain. */
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "coordination/replica_type.h"
#include "state/verdict_type.h"

namespace gv {

/** Content of the identity file: whose folder this is. */
struct DiskIdentity {
  std::string cluster_id_;  ///< The cluster.
  NodeId node_;             ///< The process.
  Incarnation disk_;        ///< Tells a replaced disk from the lost one.
  bool bootstrap_ = false;  ///< True if it took part in the first start.
};

/** Content of the vote file. */
struct DiskVote {
  Term term_;           ///< Current term.
  NodeId voted_for_;    ///< Vote in this term, or none.
  bool ready_ = false;  ///< True if the disk takes part in the first start.
};

/** Head of the snapshot file. */
struct SnapshotHead {
  LogIndex last_index_;      ///< Last index that it covers.
  Term last_term_;           ///< Term of that entry.
  uint64_t generation_ = 0;  ///< The log file that follows this snapshot.
};

/** The snapshot file. */
struct SnapshotFile {
  SnapshotHead head_;  ///< Position.
  std::string data_;   ///< The snapshot.
};

/** Encodings of the small files; the decoders give Reason::kStorage with the
 * file's name. Thread safety: pure. */
std::string EncodeIdentity(const DiskIdentity& identity);
Result<DiskIdentity> DecodeIdentity(std::string_view bytes,
                                    const std::string& name);
std::string EncodeVote(const DiskVote& vote);
Result<DiskVote> DecodeVote(std::string_view bytes, const std::string& name);
std::string EncodeSnapshotFile(const SnapshotFile& file);
Result<SnapshotFile> DecodeSnapshotFile(std::string_view bytes,
                                        const std::string& name);

/** Appends the record "remove @p from and all later entries". */
void AppendTruncateRecord(LogIndex from, std::string& out);

/** Appends the record of one entry. */
void AppendEntryRecord(const LogEntry& entry, std::string& out);

/** Entries of a log file, and how much of the file is intact. */
struct LogContent {
  std::vector<LogEntry> entries_;  ///< Without a gap after the base.
  uint64_t valid_bytes_ = 0;       ///< The file is to be cut to this length.
};

/**
 * Reads a log file.
 * @param base Index before the first entry.
 * @return Its entries without a torn tail, or Reason::kStorage with file and
 * offset. Thread safety: pure.
 */
Result<LogContent> ReadLog(std::string_view bytes, LogIndex base,
                           const std::string& name);

}  // namespace gv
