/** @file explain_cmd.cc Reads logs of gateways and prints one request's story.
 */
#include "cli/explain_cmd.h"

#include <fstream>
#include <iostream>
#include <iterator>

#include "state/request_story.h"

namespace gv {
namespace {

constexpr int kExitDone = 0;
constexpr int kExitNotFound = 1;
constexpr int kExitUsage = 2;

/** Reads all lines; @p content owns their text. */
std::vector<LogLine> ReadLines(std::string_view content) {
  std::vector<LogLine> lines;
  while (!content.empty()) {
    const size_t end = std::min(content.find('\n'), content.size());
    if (auto line = ParseLogLine(content.substr(0, end))) {
      lines.push_back(std::move(*line));
    }
    content.remove_prefix(std::min(end + 1, content.size()));
  }
  return lines;
}

void PrintLines(const char* title, const std::vector<LogLine>& lines) {
  if (lines.empty()) {
    return;
  }
  std::cout << title << "\n";
  for (const LogLine& line : lines) {
    std::cout << "  " << line.text_ << "\n";
  }
}

}  // namespace

int RunExplain(const std::vector<std::string>& args) {
  if (args.empty() || args[0].empty() || args[0].front() == '-') {
    std::cerr << "usage: gooseberryvale explain ID [FILE...]\n";
    return kExitUsage;
  }
  std::string content;
  for (size_t i = 1; i < args.size(); ++i) {
    std::ifstream file(args[i], std::ios::binary);
    if (!file) {
      std::cerr << args[i] << ": cannot be read\n";
      return kExitNotFound;
    }
    content.append(std::istreambuf_iterator<char>(file), {});
    content += '\n';
  }
  if (args.size() == 1) {
    content.assign(std::istreambuf_iterator<char>(std::cin), {});
  }
  const RequestStory story = TellStory(ReadLines(content), args[0]);
  if (story.own_.empty()) {
    std::cout
        << "no line names attempt " << args[0]
        << "; it reached no gateway of these logs, or its lines were left "
           "out (log-lines-dropped)\n";
    return kExitNotFound;
  }
  PrintLines("request:", story.own_);
  PrintLines("meanwhile, at its gateway and targets:", story.background_);
  std::cout << "outcome: " << story.outcome_ << "\ncause: " << story.cause_
            << "\n";
  if (!story.look_at_.empty()) {
    std::cout << "look at: " << story.look_at_ << "\n";
  }
  return kExitDone;
}

}  // namespace gv
