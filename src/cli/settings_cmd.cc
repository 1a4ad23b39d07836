/** @file settings_cmd.cc Subcommands on the settings tree. */
#include "cli/settings_cmd.h"

#include <algorithm>
#include <charconv>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "cli/change_cmd.h"
#include "cli/client_flags.h"
#include "state/table/settings.h"
#include "transport/secret.h"

namespace gv {
namespace {

using nlohmann::json;

void PrintValues(const json& result) {
  std::cout << "revision " << result["revision"] << '\n';
  for (const json& item : result["values"]) {
    std::cout << item.value("path", "") << " = " << item.value("value", "");
    if (item.contains("unit")) {
      std::cout << ' ' << item.value("unit", "");
    }
    if (item.value("is_default", false)) {
      std::cout << " (default)";
    }
    std::cout << '\n';
  }
}

std::string ValueText(const json& value) {
  return value.is_string() ? value.get<std::string>() : "(default)";
}

void PrintDiff(const json& result) {
  std::cout << "from revision " << result["from"] << " to " << result["to"]
            << '\n';
  for (const json& item : result["changes"]) {
    std::cout << item.value("path", "") << ": " << ValueText(item["before"])
              << " -> " << ValueText(item["after"]) << '\n';
  }
}

void PrintHistory(const json& result) {
  for (const json& change : result["changes"]) {
    std::cout << "revision " << change["revision"] << " by "
              << change.value("author", "") << " (change "
              << change.value("change_id", "")
              << "): " << change.value("reason", "") << '\n';
    for (const json& edit : change["edits"]) {
      std::cout << "  " << edit.value("path", "") << " = "
                << edit.value("value", "(default)") << '\n';
    }
  }
}

bool HasCount(const std::vector<std::string>& args, size_t low, size_t high) {
  return args.size() >= low && args.size() <= high;
}

/** Adds a parameter if its flag was given. */
void AddFlag(json& params, const char* name, const std::string& flag) {
  if (!flag.empty()) {
    params[name] = flag;
  }
}

}  // namespace

int RunSettingsGet(const std::vector<std::string>& args) {
  if (!HasCount(args, 0, 1)) {
    return PrintUsage("settings get takes at most one path");
  }
  const json params = {{"path", args.empty() ? "" : args.front()}};
  return RunQuery("settings.get", params, &PrintValues);
}

int RunSettingsSet(const std::vector<std::string>& args) {
  if (args.empty() || args.size() % 2 != 0) {
    return PrintUsage("settings set takes pairs of path and value");
  }
  json edits = json::array();
  for (size_t i = 0; i < args.size(); i += 2) {
    edits.push_back({{"path", args[i]}, {"value", args[i + 1]}});
  }
  return RunChange("settings.set", {{"edits", edits}});
}

int RunSettingsUnset(const std::vector<std::string>& args) {
  if (args.empty()) {
    return PrintUsage("settings unset takes paths");
  }
  json edits = json::array();
  for (const std::string& path : args) {
    edits.push_back({{"path", path}, {"remove", true}});
  }
  return RunChange("settings.set", {{"edits", edits}});
}

int RunSettingsDiff(const std::vector<std::string>& args) {
  if (!args.empty()) {
    return PrintUsage("settings diff takes no argument");
  }
  json params = json::object();
  if (FLAGS_from >= 0) {
    params["from"] = FLAGS_from;
  }
  if (FLAGS_to >= 0) {
    params["to"] = FLAGS_to;
  }
  return RunQuery("settings.diff", params, &PrintDiff);
}

int RunSettingsHistory(const std::vector<std::string>& args) {
  if (!HasCount(args, 0, 1) || FLAGS_limit < 0) {
    return PrintUsage("settings history takes at most one path");
  }
  const json params = {{"path", args.empty() ? "" : args.front()},
                       {"limit", FLAGS_limit}};
  return RunQuery("settings.history", params, &PrintHistory);
}

int RunSettingsUndo(const std::vector<std::string>& args) {
  uint64_t revision = 0;
  const bool good =
      args.size() == 1 &&
      std::from_chars(args[0].data(), args[0].data() + args[0].size(), revision)
              .ec == std::errc();
  if (!good) {
    return PrintUsage("settings undo takes one revision");
  }
  return RunChange("settings.undo", {{"revision", revision}});
}

int RunTeamAdd(const std::vector<std::string>& args) {
  if (!HasCount(args, 1, 1)) {
    return PrintUsage("team add takes one team");
  }
  json params = {{"team", args[0]}};
  AddFlag(params, "share", FLAGS_share);
  return RunChange("team.add", params);
}

int RunTeamShare(const std::vector<std::string>& args) {
  if (!HasCount(args, 2, 2)) {
    return PrintUsage("team share takes team and weight");
  }
  return RunChange("team.share", {{"team", args[0]}, {"share", args[1]}});
}

int RunTeamLimit(const std::vector<std::string>& args) {
  if (!HasCount(args, 1, 1)) {
    return PrintUsage("team limit takes one team");
  }
  json params = {{"team", args[0]}};
  AddFlag(params, "tokens_per_second", FLAGS_tokens_per_second);
  AddFlag(params, "concurrent", FLAGS_concurrent);
  return RunChange("team.limit", params);
}

int RunTeamKey(const std::vector<std::string>& args) {
  if (!HasCount(args, 2, 2)) {
    return PrintUsage("team key takes team and name of the key");
  }
  json params = {{"team", args[0]}, {"name", args[1]}};
  AddFlag(params, "sha256", FLAGS_sha256);
  if (!FLAGS_key_of.empty()) {
    auto key = ReadKeyFile(FLAGS_key_of);
    if (!key) {
      return PrintVerdict(key.error());
    }
    params["sha256"] = Sha256Hex(key.value());
  }
  return RunChange("team.key", params);
}

std::string SettingsTable() {
  std::ostringstream out;
  out << "| Path | Type | Unit | Bounds | Default | Meaning |\n"
      << "|---|---|---|---|---|---|\n";
  for (const SettingRow& row : kSettingRows) {
    out << "| `" << row.pattern_ << "` | "
        << NameOf(kSettingTypeNames, row.type_) << " | " << row.unit_ << " | ";
    if (row.type_ == SettingType::kInt) {
      out << row.min_ << " to " << row.max_;
    }
    out << " | " << row.default_ << " | " << row.doc_ << " |\n";
  }
  return out.str();
}

}  // namespace gv
