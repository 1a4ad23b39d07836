/** @file command_type.h What a subcommand is. */
#pragma once

#include <array>
#include <string>
#include <string_view>
#include <vector>

namespace gv {

/** One subcommand. */
struct Command {
  std::string_view name_;       ///< One or two words, e.g. "settings set".
  std::string_view arguments_;  ///< Arguments for the help.
  std::string_view flags_;      ///< Flags for the help, one a line.
  std::string_view doc_;        ///< What it does.
  int (*run_)(const std::vector<std::string>& args);  ///< Runs it.
};

}  // namespace gv
