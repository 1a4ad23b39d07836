/** @file runtime.h One running process: its cores, devices and listeners. */
#pragma once

#include <string>

namespace gv {

/**
 * Runs the process that a settings file describes, until a planned stop ends.
 * @return The exit code: 0 after a planned stop, 1 if the process could not
 * start, 2 if the settings are wrong. Thread safety: call once, from main.
 */
int RunProcess(const std::string& settings_file);

}  // namespace gv
