/** @file settings_tree.cc Reads, tests and changes the settings tree. */
#include "state/settings_tree.h"

#include <algorithm>
#include <charconv>
#include <set>

#include "state/table/request_names.h"
#include "state/table/settings.h"

namespace gv {
namespace {

constexpr std::string_view kTeamsPrefix = "teams.";
constexpr std::string_view kTreeTag = "SETT";
constexpr uint32_t kTreeVersion = 1;
constexpr size_t kKeyHashLength = 64;  // hex digits of SHA-256
constexpr size_t kMaxNameLength = 64;
constexpr size_t kMaxValueLength = 4096;

/** What Save() writes. */
struct TreeRow {
  Revision revision_;                ///< Of the tree.
  std::vector<SettingsEdit> edits_;  ///< As from Dump().
};

std::vector<std::string_view> Split(std::string_view text, char separator) {
  std::vector<std::string_view> parts;
  size_t start = 0;
  while (true) {
    const size_t end = text.find(separator, start);
    parts.push_back(text.substr(start, end - start));
    if (end == std::string_view::npos) {
      return parts;
    }
    start = end + 1;
  }
}

bool IsNameCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '_' || c == '-';
}

bool IsName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameLength &&
         std::all_of(text.begin(), text.end(), IsNameCharacter);
}

bool IsModelName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameLength &&
         std::all_of(text.begin(), text.end(), [](char c) {
           return IsNameCharacter(c) || c == '.' || c == '@' || c == '/' ||
                  c == ':';
         });
}

bool Matches(std::string_view pattern, std::string_view path) {
  const auto want = Split(pattern, '.');
  const auto have = Split(path, '.');
  if (want.size() != have.size()) {
    return false;
  }
  for (size_t i = 0; i < want.size(); ++i) {
    if (want[i] == "*" ? !IsName(have[i]) : want[i] != have[i]) {
      return false;
    }
  }
  return true;
}

std::optional<int64_t> ReadInt(std::string_view text) {
  int64_t value = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

bool IsKeyHash(std::string_view text) {
  return text.size() == kKeyHashLength &&
         std::all_of(text.begin(), text.end(), [](char c) {
           return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
         });
}

std::string TestInt(const SettingRow& row, std::string_view text) {
  const auto value = ReadInt(text);
  if (!value) {
    return "is not a whole number";
  }
  if (*value < row.min_) {
    return "is below " + std::to_string(row.min_);
  }
  if (*value > row.max_) {
    return "is above " + std::to_string(row.max_);
  }
  return "";
}

std::string TestModels(std::string_view text) {
  if (text.empty()) {
    return "";
  }
  for (const std::string_view name : Split(text, ',')) {
    if (!IsModelName(name)) {
      return "has a bad model name \"" + std::string(name) + "\"";
    }
  }
  return "";
}

/** @return What is wrong with a value, or an empty string. */
std::string TestValue(const SettingRow& row, std::string_view text) {
  switch (row.type_) {
    case SettingType::kInt:
      return TestInt(row, text);
    case SettingType::kFlag:
      return text == "true" || text == "false" ? ""
                                               : "is neither true nor false";
    case SettingType::kPriority:
      return ValueOf(kPriorityNames, text) ? "" : "is not a priority";
    case SettingType::kModels:
      return TestModels(text);
    case SettingType::kKeyHash:
      return IsKeyHash(text) ? "" : "is not a SHA-256 in lower-case hex";
  }
  return "has an unknown type";
}

/** @return The value for an error text; what may be a key is not shown. */
std::string Shown(const SettingRow& row, const std::string& value) {
  return row.type_ == SettingType::kKeyHash ? "the value" : value;
}

/** @return The name of the team in "teams.NAME.", or nothing. */
std::optional<std::string> TeamOfPath(std::string_view path) {
  if (!path.starts_with(kTeamsPrefix)) {
    return std::nullopt;
  }
  path.remove_prefix(kTeamsPrefix.size());
  return std::string(path.substr(0, path.find('.')));
}

bool IsKeyPath(std::string_view path) {
  return Matches("teams.*.keys.*", path);
}

}  // namespace

const SettingRow* FindSettingRow(std::string_view path) {
  const auto* row = std::find_if(
      kSettingRows.begin(), kSettingRows.end(),
      [path](const SettingRow& r) { return Matches(r.pattern_, path); });
  return row == kSettingRows.end() ? nullptr : row;
}

Result<void> TestEdit(const SettingsEdit& edit) {
  const SettingRow* row = FindSettingRow(edit.path_);
  if (row == nullptr) {
    return NotRun(Reason::kBadRequest, edit.path_ + ": is not a setting");
  }
  if (edit.remove_) {
    return boost::outcome_v2::success();
  }
  std::string problem = edit.value_.size() > kMaxValueLength
                            ? "is too long"
                            : TestValue(*row, edit.value_);
  if (!problem.empty()) {
    return NotRun(Reason::kBadRequest,
                  edit.path_ + ": " + Shown(*row, edit.value_) + " " + problem);
  }
  return boost::outcome_v2::success();
}

const TeamSettings* SettingsTree::Team(const TeamId& team) const {
  const auto it = teams_.find(team);
  return it == teams_.end() ? nullptr : &it->second;
}

const TeamSettings* SettingsTree::TeamByKeyHash(const std::string& hash) const {
  const auto it = keys_.find(hash);
  return it == keys_.end() ? nullptr : Team(it->second);
}

std::vector<TeamId> SettingsTree::Teams() const {
  std::vector<TeamId> names;
  names.reserve(teams_.size());
  for (const auto& [name, settings] : teams_) {
    names.push_back(name);
  }
  return names;
}

int64_t SettingsTree::Int(std::string_view path) const {
  return ReadInt(Text(path)).value_or(0);
}

std::string SettingsTree::Text(std::string_view path) const {
  const auto it = values_.find(path);
  if (it != values_.end()) {
    return it->second;
  }
  const SettingRow* row = FindSettingRow(path);
  return row == nullptr ? "" : std::string(row->default_);
}

bool SettingsTree::Flag(std::string_view path) const {
  return Text(path) == "true";
}

std::optional<std::string> SettingsTree::Stored(std::string_view path) const {
  const auto it = values_.find(path);
  return it == values_.end() ? std::nullopt : std::optional(it->second);
}

Result<void> SettingsTree::Test(const std::vector<SettingsEdit>& edits) const {
  if (edits.empty()) {
    return NotRun(Reason::kBadRequest, "the change has no edits");
  }
  std::set<std::string> paths;
  for (const SettingsEdit& edit : edits) {
    if (auto tested = TestEdit(edit); !tested) {
      return tested;
    }
    if (!paths.insert(edit.path_).second) {
      return NotRun(Reason::kBadRequest,
                    edit.path_ + ": is edited twice in one change");
    }
  }
  return TestKeys(edits);
}

Result<void> SettingsTree::TestKeys(
    const std::vector<SettingsEdit>& edits) const {
  std::map<std::string, TeamId> owners;
  for (const SettingsEdit& edit : edits) {
    if (edit.remove_ || !IsKeyPath(edit.path_)) {
      continue;
    }
    const TeamId team(TeamOfPath(edit.path_).value_or(""));
    const auto stored = keys_.find(edit.value_);
    const TeamId& owner = stored != keys_.end()
                              ? stored->second
                              : owners.emplace(edit.value_, team).first->second;
    if (owner != team) {
      return NotRun(
          Reason::kBadRequest,
          edit.path_ + ": the key already belongs to team " + owner.Value());
    }
  }
  return boost::outcome_v2::success();
}

void SettingsTree::Apply(const std::vector<SettingsEdit>& edits, Revision to) {
  std::set<std::string> changed_teams;
  for (const SettingsEdit& edit : edits) {
    Store(edit);
    if (const auto team = TeamOfPath(edit.path_)) {
      changed_teams.insert(*team);
    }
  }
  for (const std::string& team : changed_teams) {
    RebuildTeam(team);
  }
  revision_ = to;
}

void SettingsTree::Replace(const std::vector<SettingsEdit>& edits,
                           Revision revision) {
  values_.clear();
  for (const SettingsEdit& edit : edits) {
    Store(edit);
  }
  RebuildAllTeams();
  revision_ = revision;
}

std::vector<SettingsEdit> SettingsTree::Dump() const { return Dump(""); }

std::vector<SettingsEdit> SettingsTree::Dump(std::string_view prefix) const {
  std::vector<SettingsEdit> edits;
  for (auto it = values_.lower_bound(prefix);
       it != values_.end() && it->first.starts_with(prefix); ++it) {
    edits.push_back(SettingsEdit{it->first, it->second, false});
  }
  return edits;
}

std::vector<SettingsEdit> SettingsTree::Inverse(
    const std::vector<SettingsEdit>& edits) const {
  std::vector<SettingsEdit> inverse;
  inverse.reserve(edits.size());
  for (const SettingsEdit& edit : edits) {
    const auto stored = Stored(edit.path_);
    inverse.push_back(SettingsEdit{edit.path_, stored.value_or(""), !stored});
  }
  return inverse;
}

SaveChunk SettingsTree::Save() const {
  return MakeChunk(std::string(kTreeTag), kTreeVersion,
                   std::vector<TreeRow>{{revision_, Dump()}});
}

Result<void> SettingsTree::Load(const SaveChunk& chunk) {
  auto rows = ReadRows<TreeRow>(chunk);
  if (!rows) {
    return rows.error();
  }
  if (rows.value().size() != 1) {
    return NotRun(Reason::kStorage, "snapshot chunk SETT: one row expected");
  }
  Replace(rows.value().front().edits_, rows.value().front().revision_);
  return boost::outcome_v2::success();
}

void SettingsTree::Store(const SettingsEdit& edit) {
  if (edit.remove_) {
    values_.erase(edit.path_);
  } else {
    values_[edit.path_] = edit.value_;
  }
}

void SettingsTree::RebuildTeam(const std::string& name) {
  const std::string prefix = std::string(kTeamsPrefix) + name + ".";
  const TeamId id(name);
  std::erase_if(keys_, [&id](const auto& key) { return key.second == id; });
  const auto edits = Dump(prefix);
  if (edits.empty()) {
    teams_.erase(id);
    return;
  }
  TeamSettings& team = teams_[id];
  team = TeamSettings{};
  team.team_ = id;
  team.share_ = Int(prefix + "share");
  team.tokens_per_second_ = Int(prefix + "limits.tokens_per_second");
  team.concurrent_ = Int(prefix + "limits.concurrent");
  team.top_priority_ = ValueOf(kPriorityNames, Text(prefix + "priority"))
                           .value_or(Priority::kBatch);
  const std::string models = Text(prefix + "models");
  for (const std::string_view model : Split(models, ',')) {
    if (!model.empty()) {
      team.models_.emplace_back(std::string(model));
    }
  }
  for (const SettingsEdit& edit : Dump(prefix + "keys.")) {
    team.key_hashes_.push_back(edit.value_);
    keys_[edit.value_] = id;
  }
}

void SettingsTree::RebuildAllTeams() {
  teams_.clear();
  keys_.clear();
  std::set<std::string> names;
  for (const SettingsEdit& edit : Dump(kTeamsPrefix)) {
    names.insert(*TeamOfPath(edit.path_));
  }
  for (const std::string& name : names) {
    RebuildTeam(name);
  }
}

}  // namespace gv
