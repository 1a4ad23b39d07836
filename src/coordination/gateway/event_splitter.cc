/** @file event_splitter.cc Splits a stream into events and parses their ids.
 */
#include "coordination/gateway/event_splitter.h"

#include <algorithm>
#include <charconv>

namespace gv {
namespace {

constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kIdField = "id:";

/** @return The id of an event, or nothing if it has none or it is no number. */
std::optional<uint64_t> ParseEventId(std::string_view event) {
  while (!event.empty()) {
    const size_t line_end = event.find('\n');
    std::string_view line = event.substr(0, line_end);
    if (line.substr(0, kIdField.size()) == kIdField) {
      line.remove_prefix(kIdField.size());
      while (!line.empty() && line.front() == ' ') {
        line.remove_prefix(1);
      }
      uint64_t id = 0;
      const auto [end, error] =
          std::from_chars(line.data(), line.data() + line.size(), id);
      return error == std::errc() ? std::optional<uint64_t>(id) : std::nullopt;
    }
    event = line_end == std::string_view::npos ? std::string_view()
                                               : event.substr(line_end + 1);
  }
  return std::nullopt;
}

/** @return True if all lines of an event are comments or empty. */
bool IsComment(std::string_view event) {
  while (!event.empty()) {
    if (event.front() != ':' && event.front() != '\n') {
      return false;
    }
    event.remove_prefix(std::min(event.size(), event.find('\n') + 1));
  }
  return true;
}

}  // namespace

bool EventSplitter::AcceptEvent(std::string_view event) {
  const std::optional<uint64_t> id = ParseEventId(event);
  if (!id) {
    progress_ += IsComment(event) ? 0 : 1;
    return true;
  }
  if (last_id_ && *id <= *last_id_) {
    return false;
  }
  if (last_id_ && *id != *last_id_ + 1) {
    has_gap_ = true;
    return false;
  }
  last_id_ = id;
  ++count_;
  ++progress_;
  return true;
}

std::string EventSplitter::Add(std::string_view bytes) {
  partial_event_ += bytes;
  std::string complete_events;
  size_t begin = 0;
  while (!has_gap_) {
    const size_t end = partial_event_.find(kEventEnd, begin);
    if (end == std::string::npos) {
      break;
    }
    const std::string_view event(partial_event_.data() + begin,
                                 end + kEventEnd.size() - begin);
    if (AcceptEvent(event)) {
      complete_events += event;
    }
    begin = end + kEventEnd.size();
  }
  partial_event_.erase(0, begin);
  return complete_events;
}

}  // namespace gv
