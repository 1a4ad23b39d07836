/** @file change_cmd.h Sends one change and waits until it is accepted or in
 * force. */
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "state/verdict_type.h"

namespace gv {

/**
 * Sends a change with --change_id or a new id, asks what became of it, and
 * resends it under the same id while the answer is unknown.
 * @return The exit code. Thread safety: main thread; it blocks.
 */
int RunChange(const std::string& method, nlohmann::json params);

/** Calls a reading method and prints its result. @param print Prints it as
 * text. @return The exit code. */
int RunQuery(const std::string& method, const nlohmann::json& params,
             void (*print)(const nlohmann::json&));

/** Prints a verdict. @return Its exit code. */
int PrintVerdict(const Verdict& verdict);

/** Prints how a subcommand is used. @return kExitUsage. */
int PrintUsage(const std::string& problem);

}  // namespace gv
