/** @file request_story.h Finds the story of one request in the log lines of any
 * number of gateways. */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gv {

/** One line of a gateway's log. */
struct LogLine {
  int64_t wall_ms_ = 0;    ///< Wall clock of the node, in milliseconds.
  std::string node_;       ///< Who wrote it.
  std::string event_;      ///< Name of the event.
  std::string_view text_;  ///< From the time on, as written.
  std::map<std::string, std::string, std::less<>> fields_;  ///< Everything.
  /** @return A field, or empty. Thread safety: pure. */
  std::string Field(std::string_view name) const;
};

/** What became of a request. */
struct RequestStory {
  std::vector<LogLine> own_;         ///< Its lines, in causal order.
  std::vector<LogLine> background_;  ///< Of its gateways and targets then.
  std::string outcome_;              ///< How it ended, in one sentence.
  std::string cause_;                ///< What decided that.
  std::string look_at_;              ///< Where to look next, or empty.
};

/**
 * Reads one line; words before "t=" are ignored, so that prefixes of a log
 * collector do no harm. @return The line, or nothing if it is none of a
 * gateway. @p line must outlive the result. Thread safety: pure.
 */
std::optional<LogLine> ParseLogLine(std::string_view line);

/**
 * @param lines Of any number of processes, in any order, with gaps.
 * @return The story of the request with attempt id @p attempt; its own_ is
 * empty if no line names it. Thread safety: pure.
 */
RequestStory TellStory(const std::vector<LogLine>& lines,
                       const std::string& attempt);

}  // namespace gv
