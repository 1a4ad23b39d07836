/** @file settings_cmd.h Subcommands that read and change the settings tree. */
#pragma once

#include <string>
#include <vector>

namespace gv {

/** Each runs one subcommand. @return The exit code. Thread safety: main
 * thread. */
int RunSettingsGet(const std::vector<std::string>& args);
int RunSettingsSet(const std::vector<std::string>& args);
int RunSettingsUnset(const std::vector<std::string>& args);
int RunSettingsDiff(const std::vector<std::string>& args);
int RunSettingsHistory(const std::vector<std::string>& args);
int RunSettingsUndo(const std::vector<std::string>& args);
int RunTeamAdd(const std::vector<std::string>& args);
int RunTeamShare(const std::vector<std::string>& args);
int RunTeamLimit(const std::vector<std::string>& args);
int RunTeamKey(const std::vector<std::string>& args);

/** @return The settings table as Markdown. Thread safety: pure. */
std::string SettingsTable();

}  // namespace gv
