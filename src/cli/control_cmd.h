/** @file control_cmd.h Subcommands on targets and on the control group. */
#pragma once

#include <string>
#include <vector>

namespace gv {

/** Each runs one subcommand. @return The exit code. Thread safety: main
 * thread. */
int RunTargetList(const std::vector<std::string>& args);
int RunTargetDrain(const std::vector<std::string>& args);
int RunTargetUndrain(const std::vector<std::string>& args);
int RunStatus(const std::vector<std::string>& args);
int RunControlAdd(const std::vector<std::string>& args);
int RunControlPromote(const std::vector<std::string>& args);
int RunControlRemove(const std::vector<std::string>& args);

}  // namespace gv
