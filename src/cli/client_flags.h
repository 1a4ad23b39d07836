/** @file client_flags.h Flags of the operators' subcommands. */
#pragma once

#include <gflags/gflags.h>

#include <string>
#include <vector>

#include "cli/operator_client.h"

DECLARE_string(wait);
DECLARE_string(reason);
DECLARE_string(change_id);
DECLARE_string(share);
DECLARE_string(tokens_per_second);
DECLARE_string(concurrent);
DECLARE_string(sha256);
DECLARE_string(key_of);
DECLARE_int64(base);
DECLARE_int64(from);
DECLARE_int64(to);
DECLARE_int64(limit);
DECLARE_bool(print_table);
DECLARE_string(at);
DECLARE_bool(end);
DECLARE_int64(timeout_ms);

namespace gv {

/**
 * Takes the flags out of the arguments; "--name=value", and "--name" for true.
 * @return What is left, or Reason::kBadRequest with the flag that is wrong.
 * Thread safety: main thread.
 */
Result<std::vector<std::string>> TakeFlags(
    const std::vector<std::string>& args);

/** @return True if --help was given. Thread safety: main thread. */
bool WantsHelp();

/** @return How to reach control, from --control and --key_file or their
 * environment variables. Thread safety: main thread. */
Result<OperatorClientSettings> ClientSettings();

/** @return True if --output=json. Thread safety: main thread. */
bool WantsJson();

}  // namespace gv
