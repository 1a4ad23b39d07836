/** @file evacuation_cmd.h Subcommands that evacuate data centres. */
#pragma once

#include <string>
#include <vector>

namespace gv {

/** Each runs one subcommand. @return The exit code. Thread safety: main
 * thread; it blocks. */
int RunEvacuate(const std::vector<std::string>& args);
int RunEvacuations(const std::vector<std::string>& args);

}  // namespace gv
