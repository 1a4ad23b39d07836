/** @file commands.h The subcommands of the binary. */
#pragma once

namespace gv {

/**
 * Runs the subcommand named by the first argument.
 * @return The exit code of the process. Thread safety: call once, from main.
 */
int RunCommandLine(int argc, char** argv);

}  // namespace gv
