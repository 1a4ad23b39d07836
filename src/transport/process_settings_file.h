/** @file process_settings_file.h Reads the settings file of a process from
 * disk. */
#pragma once

#include <string>

#include "state/process_settings.h"

namespace gv {

/** @return The checked settings, or every problem with file, line, key and
 * reason. Thread safety: any thread. */
Result<ProcessSettings> LoadProcessSettings(const std::string& file);

}  // namespace gv
