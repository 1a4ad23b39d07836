/** @file replay_cmd.cc Feeds recorded traces to the cores. */
#include "cli/replay_cmd.h"

#include <algorithm>
#include <iostream>

#include "coordination/replay_roles.h"
#include "transport/trace_file.h"

namespace gv {
namespace {

constexpr int kExitAgrees = 0;
constexpr int kExitDiffers = 1;
constexpr int kExitUsage = 2;

constexpr const char* kUsage =
    "usage: gooseberryvale replay TRACE...\n"
    "Feeds the recorded inputs of a process to its core and compares every\n"
    "action with the recorded one. Prints the first difference.\n"
    "Exit codes: 0 all agree, 1 a difference, 2 wrong arguments or trace.\n";

int ReplayFile(const std::string& path) {
  const auto trace = ReadTraceFile(path);
  if (!trace) {
    std::cerr << trace.error().detail_ << "\n";
    return kExitUsage;
  }
  const auto outcome = ReplayTrace(trace.value());
  if (!outcome) {
    std::cerr << path << ":1: " << outcome.error().detail_ << "\n";
    return kExitUsage;
  }
  const ReplayOutcome& found = outcome.value();
  if (!found.Agrees()) {
    std::cout << path << ":" << found.line_ << ": " << found.difference_
              << "\n";
    return kExitDiffers;
  }
  std::cout << path << ": " << found.steps_ << " inputs and " << found.actions_
            << " actions agree\n";
  return kExitAgrees;
}

}  // namespace

int RunReplay(const std::vector<std::string>& args) {
  if (args.empty()) {
    std::cerr << kUsage;
    return kExitUsage;
  }
  if (args.front() == "--help") {
    std::cout << kUsage;
    return kExitAgrees;
  }
  int exit_code = kExitAgrees;
  for (const std::string& path : args) {
    exit_code = std::max(exit_code, ReplayFile(path));
  }
  return exit_code;
}

}  // namespace gv
