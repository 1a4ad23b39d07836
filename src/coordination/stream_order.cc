/** @file stream_order.cc Puts the chunks of one attempt in order. */
#include "coordination/stream_order.h"

#include <utility>

namespace gv {

std::vector<StreamChunk> StreamOrder::Add(StreamChunk chunk) {
  std::vector<StreamChunk> ready;
  const uint64_t sequence = chunk.sequence_;
  if (sequence < next_ || waiting_.size() >= kMaxWaiting) {
    return ready;
  }
  waiting_.emplace(sequence, std::move(chunk));
  while (!waiting_.empty() && waiting_.begin()->first == next_) {
    ready.push_back(std::move(waiting_.begin()->second));
    waiting_.erase(waiting_.begin());
    ++next_;
  }
  return ready;
}

void StreamOrder::SetEnd(StreamEnd end) {
  if (!end_) {
    end_ = std::move(end);
  }
}

const StreamEnd* StreamOrder::WholeEnd() const {
  return end_ && end_->sequence_ == next_ ? &*end_ : nullptr;
}

bool StreamOrder::HasGap() const {
  return !waiting_.empty() || (end_ && end_->sequence_ > next_);
}

}  // namespace gv
