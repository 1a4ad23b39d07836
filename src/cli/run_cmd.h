/** @file run_cmd.h Subcommands that run a process or check its settings file.
 */
#pragma once

#include <string>
#include <vector>

namespace gv {

/** Each runs one subcommand. @return The exit code. Thread safety: main
 * thread. */
int RunProcessCommand(const std::vector<std::string>& args);
int RunCheckSettings(const std::vector<std::string>& args);

}  // namespace gv
