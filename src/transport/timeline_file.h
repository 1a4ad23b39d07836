/** @file timeline_file.h The time line of one process: a bounded ring in memory
 * and a file. */
#pragma once

#include <deque>
#include <fstream>
#include <mutex>
#include <string>
#include <vector>

#include "state/event_type.h"

namespace gv {

/**
 * Keeps the newest events in memory and appends all of them to a file, one JSON
 * object a line. Thread safety: every method may be called from any thread.
 */
class TimelineWriter {
 public:
  /**
   * @param path File to append to; empty for the ring alone.
   * @param ring_capacity Number of events kept in memory.
   * @param max_file_bytes Size at which the file is renamed to PATH.1 and begun
   * anew, which bounds the disk space to twice this size.
   */
  TimelineWriter(std::string path, size_t ring_capacity,
                 size_t max_file_bytes = kDefaultMaxFileBytes);

  /** Keeps one event. A failed write drops the line from the file only. */
  void Write(const Event& event);

  /** @return The newest events, oldest first. */
  std::vector<Event> Recent() const;

  /** @return Number of lines that could not be written to the file. */
  size_t LostLines() const;

  static constexpr size_t kDefaultMaxFileBytes = size_t{64} << 20;  ///< Bytes.

 private:
  void Append(const std::string& line);
  void Rotate();

  const std::string path_;       ///< Empty if there is no file.
  const size_t ring_capacity_;   ///< Events kept in memory.
  const size_t max_file_bytes_;  ///< Size at which the file is rotated.
  mutable std::mutex mutex_;     ///< Guards everything below.
  std::deque<Event> ring_;       ///< Newest events, oldest first.
  std::ofstream file_;           ///< Closed if path_ is empty.
  size_t file_bytes_ = 0;        ///< Size of the file.
  size_t lost_lines_ = 0;        ///< Lines that could not be written.
};

/** What was read from one time line file. */
struct TimelineFile {
  std::vector<Event> events_;        ///< In the order of the file.
  std::vector<std::string> faults_;  ///< "FILE:LINE: reason" of bad lines.
};

/**
 * Reads a time line file. A bad line, such as one cut off by a crash, is
 * reported and skipped.
 * @return The events, and a fault with the file's name if it cannot be read.
 * Thread safety: any thread.
 */
TimelineFile ReadTimelineFile(const std::string& path);

}  // namespace gv
