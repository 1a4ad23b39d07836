/** @file event_splitter.h Splits a stream of server-sent events into complete
 * events, also if several targets deliver parts of the stream. */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace gv {

/**
 * Splits bytes of a stream at event boundaries. Only complete events are
 * returned, each id once and without a gap between ids. Thread safety: owned by
 * one thread.
 */
class EventSplitter {
 public:
  /** @param last_id Id of the last event that the caller already has, or
   * nothing.
   */
  explicit EventSplitter(std::optional<uint64_t> last_id) : last_id_(last_id) {}

  /** Appends bytes of the stream. @return The events that they complete,
   * without those that the caller has; empty after a gap. */
  std::string Add(std::string_view bytes);
  /** Discards an incomplete event, before another target resumes the stream. */
  void DiscardPartialEvent() { partial_event_.clear(); }
  /** @return Id of the last event returned; before the first, the id given to
   * the constructor. */
  std::optional<uint64_t> LastId() const { return last_id_; }
  /** @return Number of returned events with an id. */
  uint64_t Count() const { return count_; }
  /** @return Number of returned events with or without an id, but without
   * comments. It grows while the target makes progress. */
  uint64_t Progress() const { return progress_; }
  /** @return Size of the incomplete event at the end, in bytes. */
  size_t PartialEventBytes() const { return partial_event_.size(); }
  /** @return True if an event id was missing from the sequence. */
  bool HasGap() const { return has_gap_; }
  /** @return True if the stream so far ends with a complete event. */
  bool EndsWithCompleteEvent() const { return partial_event_.empty(); }

 private:
  /** Counts a complete event, or finds a gap. @return True if the event is to
   * be returned. */
  bool AcceptEvent(std::string_view event);

  std::optional<uint64_t> last_id_;  ///< Id of the last event returned.
  std::string partial_event_;        ///< Bytes of an incomplete event.
  uint64_t count_ = 0;               ///< Returned events with an id.
  uint64_t progress_ = 0;            ///< Returned events but comments.
  bool has_gap_ = false;             ///< An id was missing.
};

}  // namespace gv
