/** @file event_splitter.cc Cuts a stream into events and reads their ids. */
#include "coordination/gateway/event_splitter.h"

#include <algorithm>
#include <charconv>

namespace gv {
namespace {

constexpr std::string_view kEnd = "\n\n";
constexpr std::string_view kIdField = "id:";

/** @return The id of an event, or nothing. */
std::optional<uint64_t> IdOf(std::string_view event) {
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

/** @return True if every line is a comment or empty. */
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

bool EventSplitter::Admit(std::string_view event) {
  const std::optional<uint64_t> id = IdOf(event);
  if (!id) {
    progress_ += IsComment(event) ? 0 : 1;
    return true;
  }
  if (last_ && *id <= *last_) {
    return false;
  }
  if (last_ && *id != *last_ + 1) {
    gap_ = true;
    return false;
  }
  last_ = id;
  ++count_;
  ++progress_;
  return true;
}

std::string EventSplitter::Add(std::string_view bytes) {
  rest_ += bytes;
  std::string whole;
  size_t begin = 0;
  while (!gap_) {
    const size_t end = rest_.find(kEnd, begin);
    if (end == std::string::npos) {
      break;
    }
    const std::string_view event(rest_.data() + begin,
                                 end + kEnd.size() - begin);
    if (Admit(event)) {
      whole += event;
    }
    begin = end + kEnd.size();
  }
  rest_.erase(0, begin);
  return whole;
}

}  // namespace gv
