/** @file process_settings.cc Reads a process's settings file against its table.
 */
#include "state/process_settings.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <charconv>
#include <map>
#include <sstream>

#include "state/table/process_settings.h"

namespace gv {
namespace {

/** Collects the values of a file by path, and the problems found on the way. */
struct Reading {
  std::string file_;                          ///< Name for messages.
  std::map<std::string, YAML::Node> values_;  ///< Leaf nodes by path.
  std::vector<std::string> problems_;         ///< One message each.

  void Problem(int line, std::string_view path, const std::string& reason) {
    std::ostringstream out;
    out << file_ << ":";
    if (line > 0) {
      out << line << ":";
    }
    out << " " << path << ": " << reason;
    problems_.push_back(out.str());
  }
};

int LineOf(const YAML::Node& node) { return node.Mark().line + 1; }

void Flatten(const YAML::Node& node, const std::string& path,
             Reading& reading) {
  if (!node.IsMap()) {
    reading.values_[path] = node;
    return;
  }
  for (const auto& item : node) {
    const auto key = item.first.as<std::string>();
    std::string below = path;
    below += path.empty() ? "" : ".";
    below += key;
    if (reading.values_.count(below) > 0) {
      reading.Problem(LineOf(item.first), below, "is given twice");
    }
    Flatten(item.second, below, reading);
  }
}

bool IsName(std::string_view text) {
  constexpr size_t kMaxNameBytes = 64;
  return !text.empty() && text.size() <= kMaxNameBytes &&
         std::all_of(text.begin(), text.end(), [](unsigned char c) {
           return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
         });
}

bool IsAddress(std::string_view text) {
  std::string ip;
  uint16_t port = 0;
  return SplitAddress(text, ip, port);
}

bool IsMember(std::string_view text) {
  const size_t equals = text.find('=');
  return equals != std::string_view::npos && IsName(text.substr(0, equals)) &&
         IsAddress(text.substr(equals + 1));
}

bool IsOneOf(std::string_view text,
             std::initializer_list<std::string_view> allowed) {
  return std::find(allowed.begin(), allowed.end(), text) != allowed.end();
}

/** @return What is wrong with a text, or nothing. */
std::string CheckText(TextRule rule, const std::string& text) {
  switch (rule) {
    case TextRule::kAny:
      return "";
    case TextRule::kName:
      return IsName(text)
                 ? ""
                 : "\"" + text +
                       "\" is no name (letters, digits, '-', '_', '.')";
    case TextRule::kAddress:
      return IsAddress(text) ? "" : "\"" + text + "\" is no IP:port";
    case TextRule::kMember:
      return IsMember(text) ? "" : "\"" + text + "\" is no node=IP:port";
    case TextRule::kRole:
      return IsOneOf(text, {"entry", "agent", "control", "gateway"})
                 ? ""
                 : "\"" + text + "\" is none of entry, agent, control, gateway";
    case TextRule::kKind:
      return IsOneOf(text, {"engine", "service"})
                 ? ""
                 : "\"" + text + "\" is neither engine nor service";
    case TextRule::kLevel:
      return IsOneOf(text, {"debug", "info", "warning", "error"})
                 ? ""
                 : "\"" + text + "\" is none of debug, info, warning, error";
  }
  return "";
}

/** Stores one value; the overloads differ by the type of the member. */
struct Store {
  const ProcessKey& key_;      ///< The row.
  ProcessSettings& settings_;  ///< Where values go.
  Reading& reading_;           ///< For problems.
  const YAML::Node* node_;     ///< The value, or null for the default.

  int Line() const { return node_ == nullptr ? 0 : LineOf(*node_); }

  std::string Scalar() const {
    if (node_ == nullptr) {
      return std::string(key_.default_);
    }
    if (!node_->IsScalar()) {
      reading_.Problem(Line(), key_.path_, "must be a single value");
      return std::string(key_.default_);
    }
    return node_->Scalar();
  }

  void operator()(std::string ProcessSettings::*member) const {
    const std::string text = Scalar();
    const std::string wrong = text.empty() ? "" : CheckText(key_.rule_, text);
    if (!wrong.empty()) {
      reading_.Problem(Line(), key_.path_, wrong);
    }
    settings_.*member = text;
  }

  void operator()(int64_t ProcessSettings::*member) const {
    const std::string text = Scalar();
    int64_t number = 0;
    const auto [end, error] =
        std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size()) {
      reading_.Problem(Line(), key_.path_,
                       "\"" + text + "\" is no whole number");
    } else if (number < key_.min_ || number > key_.max_) {
      reading_.Problem(Line(), key_.path_,
                       text + " is outside " + std::to_string(key_.min_) +
                           " to " + std::to_string(key_.max_));
    }
    settings_.*member = number;
  }

  void operator()(double ProcessSettings::*member) const {
    const std::string text = Scalar();
    double number = 0;
    const auto [end, error] =
        std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size()) {
      reading_.Problem(Line(), key_.path_, "\"" + text + "\" is no number");
    } else if (number < static_cast<double>(key_.min_) ||
               number > static_cast<double>(key_.max_)) {
      reading_.Problem(Line(), key_.path_,
                       text + " is outside " + std::to_string(key_.min_) +
                           " to " + std::to_string(key_.max_));
    }
    settings_.*member = number;
  }

  void operator()(bool ProcessSettings::*member) const {
    const std::string text = Scalar();
    if (text != "true" && text != "false") {
      reading_.Problem(Line(), key_.path_,
                       "\"" + text + "\" is neither true nor false");
    }
    settings_.*member = text == "true";
  }

  void operator()(std::vector<std::string> ProcessSettings::*member) const {
    if (node_ == nullptr) {
      return;
    }
    if (!node_->IsSequence()) {
      reading_.Problem(Line(), key_.path_, "must be a list");
      return;
    }
    for (const auto& item : *node_) {
      const std::string text = item.IsScalar() ? item.Scalar() : "";
      const std::string wrong = CheckText(key_.rule_, text);
      if (!wrong.empty()) {
        reading_.Problem(LineOf(item), key_.path_, wrong);
      }
      (settings_.*member).push_back(text);
    }
  }
};

bool IsNeeded(NeededBy needed_by, const ProcessSettings& settings) {
  switch (needed_by) {
    case NeededBy::kNobody:
      return false;
    case NeededBy::kAll:
      return true;
    case NeededBy::kEntry:
      return settings.HasRole("entry");
    case NeededBy::kAgent:
      return settings.HasRole("agent");
    case NeededBy::kControl:
      return settings.HasRole("control");
    case NeededBy::kGateway:
      return settings.HasRole("gateway");
    case NeededBy::kCallers:
      return settings.HasRole("entry") || settings.HasRole("gateway");
    case NeededBy::kFixedGroup:
      return !settings.HasRole("gateway");
  }
  return false;
}

void CheckNeeded(const ProcessSettings& settings, Reading& reading) {
  for (const ProcessKey& key : kProcessKeys) {
    if (reading.values_.count(std::string(key.path_)) == 0 &&
        IsNeeded(key.needed_by_, settings)) {
      reading.Problem(0, key.path_, "is missing");
    }
  }
  if (settings.HasRole("gateway") && settings.roles_.size() > 1) {
    reading.Problem(0, "roles", "gateway must be the only role");
  }
  if (!settings.HasRole("control")) {
    return;
  }
  const auto members = settings.ControlMembers();
  const bool listed = std::any_of(
      members.begin(), members.end(), [&](const ControlMember& member) {
        return member.node_.Value() == settings.node_;
      });
  if (!listed) {
    reading.Problem(0, "control.members",
                    "does not list this node \"" + settings.node_ + "\"");
  }
}

void CheckUnknown(Reading& reading) {
  for (const auto& [path, node] : reading.values_) {
    const bool known = std::any_of(
        kProcessKeys.begin(), kProcessKeys.end(),
        [&path = path](const ProcessKey& key) { return key.path_ == path; });
    if (!known) {
      reading.Problem(LineOf(node), path, "is no known key");
    }
  }
}

std::string Join(const std::vector<std::string>& lines) {
  std::string out;
  for (const std::string& line : lines) {
    out += out.empty() ? line : "\n" + line;
  }
  return out;
}

}  // namespace

bool ProcessSettings::HasRole(std::string_view role) const {
  return std::find(roles_.begin(), roles_.end(), role) != roles_.end();
}

std::vector<ControlMember> ProcessSettings::ControlMembers() const {
  std::vector<ControlMember> members;
  for (const std::string& text : control_members_) {
    const size_t equals = text.find('=');
    if (equals != std::string::npos) {
      members.push_back(ControlMember{NodeId(text.substr(0, equals)),
                                      text.substr(equals + 1)});
    }
  }
  return members;
}

Result<ProcessSettings> ParseProcessSettings(const std::string& file,
                                             const std::string& text) {
  Reading reading{file, {}, {}};
  ProcessSettings settings;
  try {
    const YAML::Node root = YAML::Load(text);
    if (!root.IsMap()) {
      return NotRun(Reason::kBadRequest, file + ": must be a map of keys");
    }
    Flatten(root, "", reading);
    CheckUnknown(reading);
    for (const ProcessKey& key : kProcessKeys) {
      const auto found = reading.values_.find(std::string(key.path_));
      const YAML::Node* node =
          found == reading.values_.end() ? nullptr : &found->second;
      std::visit(Store{key, settings, reading, node}, key.member_);
    }
    CheckNeeded(settings, reading);
  } catch (const YAML::Exception& error) {
    return NotRun(
        Reason::kBadRequest,
        file + ":" + std::to_string(error.mark.line + 1) + ": " + error.msg);
  }
  if (!reading.problems_.empty()) {
    return NotRun(Reason::kBadRequest, Join(reading.problems_));
  }
  return settings;
}

std::string ProcessSettingsTable() {
  static constexpr std::array<std::string_view, 5> kTypes{
      "text", "number", "true/false", "list", "fraction"};
  std::ostringstream out;
  out << "| Key | Type | Default | Bounds | Meaning |\n|---|---|---|---|---|\n";
  for (const ProcessKey& key : kProcessKeys) {
    out << "| `" << key.path_ << "` | " << kTypes[key.member_.index()] << " | "
        << key.default_ << " | ";
    if (key.max_ > 0) {
      out << key.min_ << " to " << key.max_ << " " << key.unit_;
    }
    out << " | " << key.doc_ << " |\n";
  }
  return out.str();
}

}  // namespace gv
