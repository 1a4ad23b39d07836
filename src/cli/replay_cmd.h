/** @file replay_cmd.h The subcommand that replays a recorded trace. */
#pragma once

#include <string>
#include <vector>

namespace gv {

/**
 * Runs "gooseberryvale replay TRACE...".
 * @return 0 if every action agreed, 1 at a difference, 2 for wrong arguments or
 * a trace that cannot be read. Thread safety: call once, from main.
 */
int RunReplay(const std::vector<std::string>& args);

}  // namespace gv
