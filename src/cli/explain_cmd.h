/** @file explain_cmd.h The subcommand that tells the story of one request. */
#pragma once

#include <string>
#include <vector>

namespace gv {

/**
 * Runs "gooseberryvale explain ID [FILE...]"; without files it reads standard
 * input. @return 0 if the request was found, 1 if not or if a file could not be
 * read, 2 for wrong arguments. Thread safety: call once, from main.
 */
int RunExplain(const std::vector<std::string>& args);

}  // namespace gv
