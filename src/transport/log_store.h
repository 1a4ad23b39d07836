/** @file log_store.h The data folder of one replica: identity, vote, snapshot
 * and log. */
#pragma once

#include <algorithm>
#include <boost/outcome/try.hpp>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "protocol/message.h"
#include "state/log_frame.h"
#include "transport/log_file.h"
#include "transport/posix_files.h"

namespace gv {

/**
 * Carries out disk operations in one folder. The snapshot file names the log
 * file that follows it, so that replacing the snapshot changes both in one
 * step. After the first failure every operation fails; only a restart, which
 * reads back what is durable, clears it.
 * Thread safety: one thread at a time. No exception leaves it.
 */
template <FileOperations Files>
class LogStore {
 public:
  /** @param files The operations; must outlive the store. */
  LogStore(Files& files, std::string folder)
      : files_(files), folder_(std::move(folder)) {}

  /**
   * Opens the folder.
   * @param wanted Owner of the folder, and the identity that an empty folder
   * gets.
   * @return What is durable; Reason::kStorage if the folder belongs to another
   * owner or a file is damaged, with file and offset.
   */
  Result<PersistedReplica> Open(const DiskIdentity& wanted) {
    BOOST_OUTCOME_TRY(files_.LockFolder(folder_));
    BOOST_OUTCOME_TRY(const DiskIdentity identity, LoadIdentity(wanted));
    PersistedReplica replica;
    replica.disk_ = identity.disk_;
    replica.bootstrap_ = identity.bootstrap_;
    BOOST_OUTCOME_TRY(LoadVote(replica));
    BOOST_OUTCOME_TRY(LoadSnapshot(replica));
    BOOST_OUTCOME_TRY(LoadLog(replica));
    return replica;
  }

  /**
   * Carries out @p operations in order, with one sync for each run of appends.
   * @return DiskSynced of the last one, or DiskFailed of the first that failed.
   */
  Message CarryOut(const std::vector<Message>& operations) {
    std::string records;
    for (const Message& operation : operations) {
      const Result<void> done = CarryOutOne(operation, records);
      if (!done.has_value()) {
        return Fail(done.error());
      }
    }
    const Result<void> flushed = Flush(records);
    if (!flushed.has_value()) {
      return Fail(flushed.error());
    }
    return DiskSynced{sequence_};
  }

  /** @return Bytes of a torn tail that Open() cut off. */
  uint64_t TornBytes() const { return torn_bytes_; }

 private:
  std::string Path(const std::string& name) const {
    return folder_ + "/" + name;
  }
  std::string LogPath() const {
    return Path("log-" + std::to_string(generation_));
  }

  Result<DiskIdentity> LoadIdentity(const DiskIdentity& wanted) {
    const std::string path = Path("identity");
    BOOST_OUTCOME_TRY(const auto bytes, files_.Read(path));
    if (!bytes.has_value()) {
      BOOST_OUTCOME_TRY(CheckNoLeftovers());
      BOOST_OUTCOME_TRY(files_.Replace(path, EncodeIdentity(wanted)));
      return wanted;
    }
    BOOST_OUTCOME_TRY(const DiskIdentity found, DecodeIdentity(*bytes, path));
    if (found.cluster_id_ != wanted.cluster_id_ ||
        found.node_ != wanted.node_) {
      return NotRun(Reason::kStorage,
                    path + ": the folder belongs to \"" + found.node_.Value() +
                        "\" of cluster \"" + found.cluster_id_ +
                        "\", not to \"" + wanted.node_.Value() +
                        "\" of cluster \"" + wanted.cluster_id_ + "\"");
    }
    return found;
  }

  /** A folder with data but without an identity is not an empty folder. */
  Result<void> CheckNoLeftovers() {
    for (const char* name : {"vote", "snapshot", "log-0"}) {
      BOOST_OUTCOME_TRY(const auto bytes, files_.Read(Path(name)));
      if (bytes.has_value()) {
        return NotRun(
            Reason::kStorage,
            Path("identity") + ": missing, but the folder has " + name);
      }
    }
    return boost::outcome_v2::success();
  }

  Result<void> LoadVote(PersistedReplica& replica) {
    const std::string path = Path("vote");
    replica.ready_ = false;
    BOOST_OUTCOME_TRY(const auto bytes, files_.Read(path));
    if (bytes.has_value()) {
      BOOST_OUTCOME_TRY(DiskVote vote, DecodeVote(*bytes, path));
      replica.term_ = vote.term_;
      replica.voted_for_ = std::move(vote.voted_for_);
      replica.ready_ = vote.ready_;
    }
    return boost::outcome_v2::success();
  }

  Result<void> LoadSnapshot(PersistedReplica& replica) {
    const std::string path = Path("snapshot");
    BOOST_OUTCOME_TRY(const auto bytes, files_.Read(path));
    if (bytes.has_value()) {
      BOOST_OUTCOME_TRY(SnapshotFile file, DecodeSnapshotFile(*bytes, path));
      replica.snapshot_index_ = file.head_.last_index_;
      replica.snapshot_term_ = file.head_.last_term_;
      replica.snapshot_ = std::move(file.data_);
      base_ = file.head_.last_index_;
      generation_ = file.head_.generation_;
    }
    return boost::outcome_v2::success();
  }

  Result<void> LoadLog(PersistedReplica& replica) {
    BOOST_OUTCOME_TRY(const auto bytes, files_.Read(LogPath()));
    if (!bytes.has_value() && generation_ > 0) {
      return NotRun(Reason::kStorage, LogPath() + ": the file is missing");
    }
    const std::string content_bytes = bytes.value_or(std::string());
    BOOST_OUTCOME_TRY(LogContent content,
                      ReadLog(content_bytes, base_, LogPath()));
    torn_bytes_ = content_bytes.size() - content.valid_bytes_;
    BOOST_OUTCOME_TRY(files_.OpenLog(LogPath(), content.valid_bytes_));
    if (generation_ > 0) {
      files_.Remove(Path("log-" + std::to_string(generation_ - 1)));
    }
    entries_ = std::move(content.entries_);
    replica.entries_ = entries_;
    return boost::outcome_v2::success();
  }

  Result<void> CarryOutOne(const Message& operation, std::string& records) {
    if (!failure_.empty()) {
      return NotRun(Reason::kStorage, failure_);
    }
    if (const auto* append = std::get_if<DiskAppend>(&operation)) {
      sequence_ = append->sequence_;
      return Append(*append, records);
    }
    BOOST_OUTCOME_TRY(Flush(records));
    if (const auto* vote = std::get_if<DiskSaveVote>(&operation)) {
      sequence_ = vote->sequence_;
      return files_.Replace(
          Path("vote"),
          EncodeVote(DiskVote{vote->term_, vote->voted_for_, vote->ready_}));
    }
    if (const auto* snapshot = std::get_if<DiskSaveSnapshot>(&operation)) {
      sequence_ = snapshot->sequence_;
      return SaveSnapshot(*snapshot);
    }
    return boost::outcome_v2::success();
  }

  Result<void> Append(const DiskAppend& append, std::string& records) {
    if (!append.truncate_from_.IsNone()) {
      AppendTruncateRecord(append.truncate_from_, records);
      std::erase_if(entries_, [&append](const LogEntry& entry) {
        return entry.index_ >= append.truncate_from_;
      });
    }
    for (const LogEntry& entry : append.entries_) {
      AppendEntryRecord(entry, records);
      entries_.push_back(entry);
    }
    constexpr size_t kFlushBytes = kMaxFrameBytes / 4;
    return records.size() < kFlushBytes ? boost::outcome_v2::success()
                                        : Flush(records);
  }

  Result<void> Flush(std::string& records) {
    if (records.empty()) {
      return boost::outcome_v2::success();
    }
    std::string frame;
    AppendFrame(records, frame);
    records.clear();
    return files_.AppendLog(frame);
  }

  /** Writes the next log, then switches to it by replacing the snapshot. */
  Result<void> SaveSnapshot(const DiskSaveSnapshot& snapshot) {
    std::erase_if(entries_, [&snapshot](const LogEntry& entry) {
      return snapshot.drop_log_ || entry.index_ <= snapshot.last_index_;
    });
    const std::string old_log = LogPath();
    ++generation_;
    BOOST_OUTCOME_TRY(files_.OpenLog(LogPath(), 0));
    std::string records;
    for (const LogEntry& entry : entries_) {
      AppendEntryRecord(entry, records);
    }
    BOOST_OUTCOME_TRY(Flush(records));
    const SnapshotHead head{snapshot.last_index_, snapshot.last_term_,
                            generation_};
    BOOST_OUTCOME_TRY(
        files_.Replace(Path("snapshot"),
                       EncodeSnapshotFile(SnapshotFile{head, snapshot.data_})));
    base_ = snapshot.last_index_;
    files_.Remove(old_log);
    return boost::outcome_v2::success();
  }

  Message Fail(const Verdict& verdict) {
    failure_ = verdict.detail_;
    return DiskFailed{sequence_, failure_};
  }

  Files& files_;                   ///< The operations.
  std::string folder_;             ///< The data folder.
  uint64_t generation_ = 0;        ///< Number of the log file.
  LogIndex base_;                  ///< Last index of the snapshot.
  std::vector<LogEntry> entries_;  ///< Entries of the log file.
  uint64_t sequence_ = 0;          ///< Last operation begun.
  uint64_t torn_bytes_ = 0;        ///< Cut off by Open().
  std::string failure_;            ///< The first failure, or empty.
};

}  // namespace gv
