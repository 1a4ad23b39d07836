/** @file stream_order.h Puts the chunks of one attempt in order and proves that
 * the answer is whole. */
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "protocol/request_messages.h"

namespace gv {

/**
 * Reorders the chunks of one attempt. Duplicates are dropped; the end counts
 * only when every chunk before it has arrived. Thread safety: control thread.
 */
class StreamOrder {
 public:
  /**
   * Takes a chunk.
   * @return The chunks that are next in order now, maybe none.
   */
  std::vector<StreamChunk> Add(StreamChunk chunk);

  /** Takes the end mark; a second one is ignored. */
  void SetEnd(StreamEnd end);

  /** @return The end, once every chunk before it was given out. */
  const StreamEnd* WholeEnd() const;

  /** @return True if something later than a missing chunk has arrived. */
  bool HasGap() const;

  /** @return Number of chunks that arrived without a gap. */
  uint64_t Received() const { return next_; }

  /** @return True if nothing has arrived. */
  bool IsEmpty() const { return next_ == 0 && !HasGap(); }

  static constexpr size_t kMaxWaiting = 4096;  ///< Chunks kept out of order.

 private:
  uint64_t next_ = 0;                        ///< Sequence given out next.
  std::map<uint64_t, StreamChunk> waiting_;  ///< Out of order.
  std::optional<StreamEnd> end_;             ///< The end mark.
};

}  // namespace gv
