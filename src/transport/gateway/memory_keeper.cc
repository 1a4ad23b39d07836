/** @file memory_keeper.cc Finds and ends what holds too much memory. */
#include "transport/gateway/memory_keeper.h"

#include <boost/asio/post.hpp>

namespace gv {
namespace {

/** Differences in bytes that need not be exact. With 16 KiB, the heads that a
 * crowd of connections left unfinished counted for nothing. */
constexpr size_t kGranularity = 1UL << 10;
/** Larger buffers are given back once they are empty. */
constexpr size_t kMostKeptBuffer = 64UL << 10;

}  // namespace

void ShrinkIfEmpty(std::string& buffer) {
  if (buffer.empty() && buffer.capacity() > kMostKeptBuffer) {
    buffer.shrink_to_fit();
  }
}

HolderId MemoryKeeper::Add(HolderKind kind, std::function<void()> end) {
  const HolderId id = held_.Add(kind);
  ends_[id] = std::move(end);
  return id;
}

void MemoryKeeper::Set(HolderId id, size_t bytes) {
  held_.Set(id, bytes);
  if (held_.IsOver() && !ending_) {
    ending_ = true;
    boost::asio::post(io_, [this]() { EndExcess(); });
  }
}

void MemoryKeeper::Remove(HolderId id) {
  held_.Remove(id);
  ends_.erase(id);
}

void MemoryKeeper::EndExcess() {
  ending_ = false;
  // Each holder once at most, as one that is ended may begin anew.
  for (size_t left = ends_.size(); left > 0; --left) {
    const auto excess = held_.TakeExcess();
    if (!excess) {
      return;
    }
    on_excess_(*excess);
    // A copy, as the call may remove its holder.
    const std::function<void()> end = ends_.at(excess->id_);
    end();
  }
}

void MemoryHolder::Set(size_t bytes) {
  const size_t difference = bytes > bytes_ ? bytes - bytes_ : bytes_ - bytes;
  if (difference >= kGranularity || (bytes == 0 && bytes_ > 0)) {
    bytes_ = bytes;
    keeper_.Set(id_, bytes);
  }
}

}  // namespace gv
