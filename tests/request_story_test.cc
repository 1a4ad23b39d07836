/** @file request_story_test.cc From the id of a failed request to its cause, by
 * log lines alone. */
#include "state/request_story.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <sstream>

namespace gv {
namespace {

/** Lines as the processes write them, one with the prefix of a collector. */
constexpr std::string_view kLogText =
    R"(  9.1 g2 t=900 node=g2 level=warning n=632 event=dependency-lost lease
t=1000 node=g1 level=debug n=610 event=forward-admitted attempt=a1 route=r prompt=4000 deadline_ms=9000 config=7
t=1000 node=g1 level=debug n=612 event=forward-sent target=e1 attempt=a1 route=r tries=1 wait_ms=100 age_ms=3200
t=1900 node=g1 level=info n=613 event=forward-retried target=e1 attempt=a1 route=r reason=silent sent=1
t=1900 node=g1 level=info n=620 event=target-suspected target=e1 failure_rate=0.12
t=1900 node=g1 level=info n=620 event=target-suspected target=e7 failure_rate=0.12
t=1901 node=g1 level=warning n=616 event=forward-failed attempt=a1 route=r status=502 reason=no-target sent=1 may_have_run=1 waited_ms=901
t=1500 node=g2 level=info n=611 event=forward-refused attempt=a2 route=r status=503 reason=no-lease retry_ms=1000 waited_ms=0
t=2000 node=g1 level=debug n=610 event=forward-admitted attempt=a3 route=r prompt=4000
t=2000 node=g1 level=debug n=615 event=forward-finished target=e2 attempt=a4 status=200 first_ms=900 total_ms=1500 predicted_ms=120)";

std::vector<std::string> SplitLines() {
  std::vector<std::string> lines;
  std::istringstream text{std::string(kLogText)};
  for (std::string line; std::getline(text, line);) {
    lines.push_back(line);
  }
  return lines;
}

const std::vector<std::string> kLog = SplitLines();

RequestStory Story(const std::string& attempt,
                   const std::vector<std::string>& log = kLog) {
  std::vector<LogLine> lines;
  for (const std::string& text : log) {
    auto line = ParseLogLine(text);
    REQUIRE(line.has_value());
    lines.push_back(std::move(*line));
  }
  return TellStory(lines, attempt);
}

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

TEST_CASE("request story: a failure is traced to its target") {
  const RequestStory story = Story("a1");
  REQUIRE(story.own_.size() == 4);
  CHECK(story.own_.front().event_ == "forward-admitted");
  CHECK(story.own_.back().event_ == "forward-failed");
  CHECK(story.outcome_ == "failed by g1 after 901 ms with status 502");
  CHECK(Contains(story.cause_, "no ready target"));
  REQUIRE(story.background_.size() == 1);
  CHECK(story.background_[0].Field("target") == "e1");
}

TEST_CASE("request story: the order of the lines doesn't matter") {
  std::vector<std::string> log = kLog;
  const RequestStory sorted = Story("a1");
  for (int round = 0; round < 5; ++round) {
    std::rotate(log.begin(), log.begin() + 3, log.end());
    const RequestStory story = Story("a1", log);
    CHECK(story.outcome_ == sorted.outcome_);
    CHECK(story.cause_ == sorted.cause_);
    CHECK(story.own_.front().event_ == "forward-admitted");
  }
}

TEST_CASE("request story: refusals name the dependency that was lost") {
  const RequestStory story = Story("a2");
  CHECK(Contains(story.cause_, "no leader granted a lease"));
  REQUIRE(story.background_.size() == 1);
  CHECK(story.background_[0].event_ == "dependency-lost");
}

TEST_CASE("request story: missing lines are said to be missing") {
  CHECK(Story("a3").outcome_ == "no end was logged");
  CHECK(Story("none").own_.empty());
  std::vector<std::string> log = kLog;
  log.erase(log.begin() + 1, log.begin() + 4);
  CHECK(Story("a1", log).outcome_ == Story("a1").outcome_);
}

TEST_CASE("request story: a late first event is set against its prediction") {
  const RequestStory story = Story("a4");
  CHECK(Contains(story.cause_, "after 900 ms, predicted were 120"));
}

TEST_CASE("request story: other lines are none of a gateway") {
  for (const char* text : {"", "t=", "t=x node=g event=e", "plain words",
                           "t=5 node=g", "t=5 event=e"}) {
    CHECK_FALSE(ParseLogLine(text).has_value());
  }
}

}  // namespace
}  // namespace gv
