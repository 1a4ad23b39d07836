/** @file file_disk.h The disk of a control process: a thread that writes and
 * syncs. */
#pragma once

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "transport/log_store.h"
#include "transport/posix_files.h"

namespace gv {

class FileDisk;

/** An opened data folder. */
struct LoadedDisk {
  std::unique_ptr<FileDisk> disk_;  ///< Takes the operations.
  PersistedReplica replica_;        ///< For the ReplicaCore.
  uint64_t torn_bytes_ = 0;  ///< Unsynced bytes of a crash that were cut off.
};

/**
 * Carries out the messages for Port::kDisk on a thread of its own. All
 * operations that are queued while a sync runs share the next one.
 * Thread safety: Submit() from any thread. No exception leaves it.
 */
class FileDisk {
 public:
  /**
   * Opens or sets up a data folder.
   * @param bootstrap True if an empty folder may belong to the first start of
   * the cluster. It does if all initial members are empty at that time; if not,
   * or without bootstrap, the replica has to be added to the group and learns
   * before it votes. The flag may stay set after the first start.
   * @return The disk and what it holds; Reason::kStorage with file and offset
   * if the folder is damaged, locked or belongs to another process.
   */
  static Result<LoadedDisk> Open(const std::string& folder,
                                 const std::string& cluster_id,
                                 const NodeId& node, bool bootstrap);

  /** Waits until all submitted operations are done. */
  ~FileDisk();
  FileDisk(const FileDisk&) = delete;
  FileDisk& operator=(const FileDisk&) = delete;

  /**
   * Starts the thread.
   * @param callback Gets DiskSynced and DiskFailed, on the disk's thread.
   * @pre Called once, before Submit().
   */
  void Start(std::function<void(Message)> callback);

  /** Queues an operation; never blocks on the disk. */
  void Submit(Envelope operation);

 private:
  explicit FileDisk(const std::string& folder);
  void Run();

  PosixFiles files_;                       ///< Used by the thread only.
  LogStore<PosixFiles> store_;             ///< Used by the thread only.
  std::function<void(Message)> callback_;  ///< Set by Start().
  std::mutex mutex_;                       ///< Guards the members below.
  std::condition_variable wake_;           ///< Signals queue_ or stopping_.
  std::vector<Message> queue_;             ///< Operations that wait.
  bool stopping_ = false;                  ///< Set by the destructor.
  std::thread thread_;                     ///< Started by Start().
};

}  // namespace gv
