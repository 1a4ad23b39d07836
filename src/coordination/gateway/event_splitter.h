/** @file event_splitter.h Cuts a stream of server-sent events into whole events
 * and keeps their order over several targets. */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace gv {

/**
 * Lets only whole events through, each id once. Thread safety: owned by one
 * thread.
 */
class EventSplitter {
 public:
  /** @param last Last event that the caller already has, or nothing. */
  explicit EventSplitter(std::optional<uint64_t> last) : last_(last) {}

  /** Takes in bytes. @return Whole events that the caller lacks. */
  std::string Add(std::string_view bytes);
  /** Drops a half event, before another target goes on. */
  void Restart() { rest_.clear(); }
  /** @return Id of the last event passed on, or what the caller had. */
  std::optional<uint64_t> Last() const { return last_; }
  /** @return Events passed on. */
  uint64_t Count() const { return count_; }
  /** @return Events passed on, also those without an id, but no comments; it
   * grows as long as the target makes progress. */
  uint64_t Progress() const { return progress_; }
  /** @return Bytes held of an event that has not ended. */
  size_t HeldBytes() const { return rest_.size(); }
  /** @return True if an event was skipped over, so that one is missing. */
  bool HasGap() const { return gap_; }
  /** @return True if nothing of an unfinished event is held. */
  bool IsWhole() const { return rest_.empty(); }

 private:
  bool Admit(std::string_view event);

  std::optional<uint64_t> last_;  ///< Last id passed on.
  std::string rest_;              ///< Begin of an event.
  uint64_t count_ = 0;            ///< Events passed on.
  uint64_t progress_ = 0;         ///< For Progress().
  bool gap_ = false;              ///< An id is missing.
};

}  // namespace gv
