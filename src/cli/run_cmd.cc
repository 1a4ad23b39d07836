/** @file run_cmd.cc Subcommands "run" and "check-settings". */
#include "cli/run_cmd.h"

#include <iostream>

#include "cli/change_cmd.h"
#include "cli/client_flags.h"
#include "cli/exit_code.h"
#include "cli/settings_cmd.h"
#include "state/process_settings.h"
#include "transport/runtime.h"
#include "transport/secret.h"

DEFINE_string(settings, "", "settings file of the process");

namespace gv {

int RunProcessCommand(const std::vector<std::string>& args) {
  if (!args.empty() || FLAGS_settings.empty()) {
    return PrintUsage("run takes --settings=FILE");
  }
  return RunProcess(FLAGS_settings);
}

int RunCheckSettings(const std::vector<std::string>& args) {
  if (FLAGS_print_table) {
    std::cout << "## Settings file of a process\n\n"
              << ProcessSettingsTable() << "\n## Settings tree\n\n"
              << SettingsTable();
    return kExitDone;
  }
  if (args.size() != 1) {
    return PrintUsage("check-settings takes one file");
  }
  auto text = ReadFile(args[0]);
  if (!text) {
    return PrintVerdict(text.error());
  }
  auto settings = ParseProcessSettings(args[0], text.value());
  if (!settings) {
    return PrintVerdict(settings.error());
  }
  std::cout << args[0] << ": good\n";
  return kExitDone;
}

}  // namespace gv
