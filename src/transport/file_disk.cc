/** @file file_disk.cc The queue and the thread of a disk. */
#include "transport/file_disk.h"

#include <chrono>
#include <utility>

namespace gv {
namespace {

/** @return An identity that no earlier disk of this process has had. */
Incarnation NewDiskIdentity() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return Incarnation(static_cast<uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch)
          .count()));
}

}  // namespace

FileDisk::FileDisk(const std::string& folder) : store_(files_, folder) {}

Result<LoadedDisk> FileDisk::Open(const std::string& folder,
                                  const std::string& cluster_id,
                                  const NodeId& node, bool bootstrap) {
  std::unique_ptr<FileDisk> disk(new FileDisk(folder));
  const DiskIdentity wanted{cluster_id, node, NewDiskIdentity(), bootstrap};
  BOOST_OUTCOME_TRY(PersistedReplica replica, disk->store_.Open(wanted));
  LoadedDisk loaded;
  loaded.torn_bytes_ = disk->store_.TornBytes();
  loaded.disk_ = std::move(disk);
  loaded.replica_ = std::move(replica);
  return loaded;
}

FileDisk::~FileDisk() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_one();
  if (thread_.joinable()) {
    thread_.join();
  }
}

void FileDisk::Start(std::function<void(Message)> callback) {
  callback_ = std::move(callback);
  thread_ = std::thread([this]() { Run(); });
}

void FileDisk::Submit(Envelope operation) {
  {
    const std::lock_guard lock(mutex_);
    queue_.push_back(std::move(operation.body_));
  }
  wake_.notify_one();
}

void FileDisk::Run() {
  while (true) {
    std::vector<Message> operations;
    {
      std::unique_lock lock(mutex_);
      wake_.wait(lock, [this]() { return stopping_ || !queue_.empty(); });
      operations.swap(queue_);
    }
    if (operations.empty()) {
      return;
    }
    callback_(store_.CarryOut(operations));
  }
}

}  // namespace gv
