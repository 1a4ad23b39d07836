/** @file timeline_file.cc Writes and reads time line files. */
#include "transport/timeline_file.h"

#include <cstdio>
#include <utility>

#include "state/timeline_codec.h"

namespace gv {

TimelineWriter::TimelineWriter(std::string path, size_t ring_capacity,
                               size_t max_file_bytes)
    : path_(std::move(path)),
      ring_capacity_(ring_capacity),
      max_file_bytes_(max_file_bytes) {
  if (!path_.empty()) {
    file_.open(path_, std::ios::app | std::ios::ate | std::ios::binary);
    const auto size = file_.tellp();
    file_bytes_ = size > 0 ? static_cast<size_t>(size) : 0;
  }
}

void TimelineWriter::Write(const Event& event) {
  const std::string line = EventToLine(event) + "\n";
  const std::lock_guard lock(mutex_);
  ring_.push_back(event);
  if (ring_.size() > ring_capacity_) {
    ring_.pop_front();
  }
  if (!path_.empty()) {
    Append(line);
  }
}

std::vector<Event> TimelineWriter::Recent() const {
  const std::lock_guard lock(mutex_);
  return {ring_.begin(), ring_.end()};
}

size_t TimelineWriter::LostLines() const {
  const std::lock_guard lock(mutex_);
  return lost_lines_;
}

void TimelineWriter::Append(const std::string& line) {
  if (file_bytes_ > 0 && file_bytes_ + line.size() > max_file_bytes_) {
    Rotate();
  }
  file_ << line << std::flush;
  if (!file_) {
    ++lost_lines_;
    file_.clear();
    return;
  }
  file_bytes_ += line.size();
}

void TimelineWriter::Rotate() {
  file_.close();
  const std::string older = path_ + ".1";
  const bool renamed = std::rename(path_.c_str(), older.c_str()) == 0;
  file_.open(path_,
             std::ios::binary | (renamed ? std::ios::app : std::ios::trunc));
  file_bytes_ = 0;
}

TimelineFile ReadTimelineFile(const std::string& path) {
  TimelineFile result;
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    result.faults_.push_back(path + ": cannot be read");
    return result;
  }
  std::string line;
  for (size_t number = 1; std::getline(file, line); ++number) {
    auto event = EventFromLine(line);
    if (event) {
      result.events_.push_back(std::move(event.value()));
    } else {
      result.faults_.push_back(path + ":" + std::to_string(number) + ": " +
                               event.error().detail_);
    }
  }
  return result;
}

}  // namespace gv
