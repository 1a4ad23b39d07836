/** @file exit_code.h Exit codes of the binary, as listed in
 * docs/OPERATING.md. */
#pragma once

namespace gv {

/** What the exit code of a subcommand means. */
enum ExitCode : int {
  kExitDone = 0,             ///< Done.
  kExitFailed = 1,           ///< Failed for another reason.
  kExitUsage = 2,            ///< Wrong arguments.
  kExitRefused = 3,          ///< A bad value or a forbidden change.
  kExitConflict = 4,         ///< Another change was accepted first.
  kExitNoControl = 5,        ///< No control process serves.
  kExitNotInTime = 6,        ///< Not known to be accepted, or not in force yet.
  kExitUnauthenticated = 7,  ///< The key is missing or unknown.
};

}  // namespace gv
