/** @file request_story.cc Orders the lines of one request and names what
 * decided. */
#include "state/request_story.h"

#include <algorithm>
#include <charconv>
#include <set>

#include "state/table/request_causes.h"

namespace gv {
namespace {

/** What happened so long before the request may have decided it: a lease, a
 * registration and a pause of a suspected target last a few seconds. */
constexpr int64_t kBackgroundMs = 5000;

int64_t NumberOf(std::string_view text) {
  int64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

/** @return The place of an event in the life of a request. */
int StepOf(const LogLine& line) {
  if (line.event_ == "forward-admitted") {
    return 0;
  }
  const bool is_end =
      line.event_ == "forward-finished" || line.event_ == "forward-failed" ||
      line.event_ == "forward-refused" || line.event_ == "forward-abandoned";
  return is_end ? 2 : 1;
}

bool IsBackground(const LogLine& line, const std::set<std::string>& nodes,
                  const std::set<std::string>& targets) {
  if (line.event_.rfind("target-", 0) == 0) {
    return targets.count(line.Field("target")) > 0;
  }
  constexpr std::string_view kProcessEvents[] = {
      "dependency-lost", "dependency-regained", "leader-elected",
      "leader-followed", "log-lines-dropped",   "process-started",
      "process-stopping"};
  return nodes.count(line.node_) > 0 &&
         std::find(std::begin(kProcessEvents), std::end(kProcessEvents),
                   line.event_) != std::end(kProcessEvents);
}

void NameCause(const std::string& reason, RequestStory& story) {
  for (const RequestCause& cause : kRequestCauses) {
    if (cause.reason_ == reason) {
      story.cause_ = reason + ": " + std::string(cause.meaning_);
      story.look_at_ = cause.look_at_;
      return;
    }
  }
  story.cause_ = reason + ": the target answered so";
  story.look_at_ = "other answers of the target";
}

void NameFinish(const LogLine& end, RequestStory& story) {
  const auto& own = story.own_;
  const auto retry =
      std::find_if(own.begin(), own.end(), [](const LogLine& line) {
        return line.event_ == "forward-retried" ||
               line.event_ == "forward-resumed";
      });
  if (retry != own.end()) {
    NameCause(retry->Field("reason"), story);
    return;
  }
  const int64_t first = NumberOf(end.Field("first_ms"));
  const int64_t predicted = NumberOf(end.Field("predicted_ms"));
  story.cause_ = "served by its first target";
  // Predictions are right within a factor of two.
  if (predicted > 0 && first > 2 * predicted) {
    story.cause_ = "the first event came after " + std::to_string(first) +
                   " ms, predicted were " + std::to_string(predicted);
    story.look_at_ = "what else the target and its readers= were given then";
  }
}

void NameEnd(RequestStory& story) {
  const LogLine& end = story.own_.back();
  if (StepOf(end) != 2) {
    story.outcome_ = "no end was logged";
    story.cause_ =
        "the process ended, the line was left out, or its log is missing";
    story.look_at_ = "log-lines-dropped and the last line of node " + end.node_;
    return;
  }
  const std::string after =
      end.Field(end.event_ == "forward-finished" ? "total_ms" : "waited_ms");
  story.outcome_ = end.event_.substr(end.event_.find('-') + 1) + " by " +
                   end.node_ + " after " + after + " ms";
  if (!end.Field("status").empty()) {
    story.outcome_ += " with status " + end.Field("status");
  }
  if (end.event_ == "forward-finished") {
    NameFinish(end, story);
  } else if (end.event_ == "forward-abandoned") {
    story.cause_ = "the caller went away";
    story.look_at_ = "events= of the line: had it got anything by then?";
  } else {
    NameCause(end.Field("reason"), story);
  }
}

}  // namespace

std::string LogLine::Field(std::string_view name) const {
  const auto found = fields_.find(name);
  return found == fields_.end() ? "" : found->second;
}

std::optional<LogLine> ParseLogLine(std::string_view line) {
  size_t at = line.rfind("t=", 0) == 0 ? 0 : line.find(" t=");
  if (at == std::string_view::npos) {
    return std::nullopt;
  }
  at += line[at] == ' ' ? 1 : 0;
  LogLine read;
  read.text_ = line.substr(at);
  std::string_view rest = read.text_;
  while (!rest.empty()) {
    const size_t end = std::min(rest.find(' '), rest.size());
    const std::string_view word = rest.substr(0, end);
    const size_t equals = word.find('=');
    if (equals != std::string_view::npos) {
      read.fields_.emplace(word.substr(0, equals), word.substr(equals + 1));
    }
    rest.remove_prefix(std::min(end + 1, rest.size()));
  }
  read.wall_ms_ = NumberOf(read.Field("t"));
  read.node_ = read.Field("node");
  read.event_ = read.Field("event");
  const bool good =
      read.wall_ms_ > 0 && !read.node_.empty() && !read.event_.empty();
  return good ? std::optional<LogLine>(std::move(read)) : std::nullopt;
}

RequestStory TellStory(const std::vector<LogLine>& lines,
                       const std::string& attempt) {
  RequestStory story;
  std::set<std::string> nodes;
  std::set<std::string> targets;
  for (const LogLine& line : lines) {
    if (line.Field("attempt") == attempt) {
      story.own_.push_back(line);
      nodes.insert(line.node_);
      targets.insert(line.Field("target"));
    }
  }
  if (story.own_.empty()) {
    return story;
  }
  // One gateway serves an attempt, so its clock orders the lines; within one
  // millisecond the step does.
  const auto by_time = [](const LogLine& a, const LogLine& b) {
    return std::make_pair(a.wall_ms_, StepOf(a)) <
           std::make_pair(b.wall_ms_, StepOf(b));
  };
  std::stable_sort(story.own_.begin(), story.own_.end(), by_time);
  const int64_t from = story.own_.front().wall_ms_ - kBackgroundMs;
  const int64_t to = story.own_.back().wall_ms_;
  for (const LogLine& line : lines) {
    if (line.wall_ms_ >= from && line.wall_ms_ <= to &&
        IsBackground(line, nodes, targets)) {
      story.background_.push_back(line);
    }
  }
  std::stable_sort(story.background_.begin(), story.background_.end(), by_time);
  NameEnd(story);
  return story;
}

}  // namespace gv
