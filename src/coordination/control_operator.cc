/** @file control_operator.cc Builds proposals from operator calls. */
#include "coordination/control_operator.h"

#include <algorithm>
#include <array>
#include <boost/outcome/try.hpp>
#include <string_view>
#include <utility>

namespace gv {
namespace {

using nlohmann::json;

constexpr std::string_view kTeams = "teams.";
constexpr size_t kMaxIdLength = 128;
constexpr size_t kMaxReasonLength = 1024;

/** Parameters of one call, with the change that is being built. */
struct ChangeCall {
  const json& params_;             ///< Parameters, an object.
  const SettingsState& settings_;  ///< The settings now.
  bool is_resend_ = false;         ///< The change id has an answer already.
  SettingsChange change_;          ///< The change so far.
};

Verdict Bad(std::string detail) {
  return NotRun(Reason::kBadRequest, std::move(detail));
}

Result<std::string> TextParam(const json& params, const char* name) {
  const auto it = params.find(name);
  if (it == params.end()) {
    return Bad(std::string("parameter ") + name + " is missing");
  }
  if (it->is_string()) {
    return it->get<std::string>();
  }
  if (it->is_number_integer() || it->is_boolean()) {
    return it->dump();
  }
  return Bad(std::string("parameter ") + name + " is not a text");
}

/** Adds an edit of @p path if the call has the parameter. */
Result<bool> AddOptional(ChangeCall& call, const char* name,
                         const std::string& path) {
  if (!call.params_.contains(name)) {
    return false;
  }
  auto value = TextParam(call.params_, name);
  if (!value) {
    return value.error();
  }
  call.change_.edits_.push_back(
      SettingsEdit{path, std::move(value.value()), false});
  return true;
}

Result<void> AddEdit(const json& item, SettingsChange& change) {
  if (!item.is_object()) {
    return Bad("each edit is an object with path, and value or remove");
  }
  auto path = TextParam(item, "path");
  if (!path) {
    return path.error();
  }
  const auto remove = item.find("remove");
  if (remove != item.end() && remove->is_boolean() && remove->get<bool>()) {
    change.edits_.push_back(SettingsEdit{path.value(), "", true});
    return boost::outcome_v2::success();
  }
  auto value = TextParam(item, "value");
  if (!value) {
    return value.error();
  }
  change.edits_.push_back(SettingsEdit{path.value(), value.value(), false});
  return boost::outcome_v2::success();
}

Result<void> BuildSet(ChangeCall& call) {
  const auto edits = call.params_.find("edits");
  if (edits == call.params_.end() || !edits->is_array()) {
    return Bad("parameter edits is not a list");
  }
  for (const json& item : *edits) {
    if (auto added = AddEdit(item, call.change_); !added) {
      return added;
    }
  }
  return boost::outcome_v2::success();
}

Result<void> BuildUndo(ChangeCall& call) {
  const auto revision = call.params_.find("revision");
  if (revision == call.params_.end() || !revision->is_number_unsigned()) {
    return Bad("parameter revision is not a number");
  }
  if (call.is_resend_) {
    return boost::outcome_v2::success();
  }
  auto edits = call.settings_.UndoEdits(Revision(revision->get<uint64_t>()));
  if (!edits) {
    return edits.error();
  }
  call.change_.edits_ = std::move(edits.value());
  return boost::outcome_v2::success();
}

/** @return "teams.NAME." of the call; the team must exist or must not. */
Result<std::string> TeamPrefix(const ChangeCall& call, bool must_exist) {
  auto team = TextParam(call.params_, "team");
  if (!team) {
    return team.error();
  }
  const bool exists =
      call.settings_.Tree().Team(TeamId(team.value())) != nullptr;
  if (!call.is_resend_ && exists != must_exist) {
    return NotRun(must_exist ? Reason::kBadRequest : Reason::kConflict,
                  "team " + team.value() +
                      (must_exist ? " does not exist" : " exists already"));
  }
  return std::string(kTeams) + team.value() + ".";
}

Result<void> BuildTeamAdd(ChangeCall& call) {
  BOOST_OUTCOME_TRY(const auto prefix, TeamPrefix(call, false));
  BOOST_OUTCOME_TRY(const bool given,
                    AddOptional(call, "share", prefix + "share"));
  if (!given) {
    call.change_.edits_.push_back(SettingsEdit{prefix + "share", "1", false});
  }
  return boost::outcome_v2::success();
}

Result<void> BuildTeamShare(ChangeCall& call) {
  BOOST_OUTCOME_TRY(const auto prefix, TeamPrefix(call, true));
  BOOST_OUTCOME_TRY(const bool given,
                    AddOptional(call, "share", prefix + "share"));
  if (!given) {
    return Bad("parameter share is missing");
  }
  return boost::outcome_v2::success();
}

Result<void> BuildTeamLimit(ChangeCall& call) {
  BOOST_OUTCOME_TRY(const auto prefix, TeamPrefix(call, true));
  constexpr std::array<const char*, 2> kLimits = {"tokens_per_second",
                                                  "concurrent"};
  for (const char* name : kLimits) {
    BOOST_OUTCOME_TRYV(AddOptional(call, name, prefix + "limits." + name));
  }
  if (call.change_.edits_.empty()) {
    return Bad("parameter tokens_per_second or concurrent is missing");
  }
  return boost::outcome_v2::success();
}

Result<void> BuildTeamKey(ChangeCall& call) {
  auto prefix = TeamPrefix(call, true);
  if (!prefix) {
    return prefix.error();
  }
  auto name = TextParam(call.params_, "name");
  if (!name) {
    return name.error();
  }
  const std::string path = prefix.value() + "keys." + name.value();
  auto added = AddOptional(call, "sha256", path);
  if (!added) {
    return added.error();
  }
  if (!added.value()) {
    call.change_.edits_.push_back(SettingsEdit{path, "", true});
  }
  return boost::outcome_v2::success();
}

Result<void> BuildDrain(ChangeCall& call, const char* value) {
  auto target = TextParam(call.params_, "target");
  if (!target) {
    return target.error();
  }
  const std::string path = "targets." + target.value() + ".drain";
  call.change_.edits_.push_back(
      SettingsEdit{path, value == nullptr ? "" : value, value == nullptr});
  return boost::outcome_v2::success();
}

Result<void> BuildTargetDrain(ChangeCall& call) {
  return BuildDrain(call, "true");
}

Result<void> BuildTargetUndrain(ChangeCall& call) {
  return BuildDrain(call, nullptr);
}

/** One method that changes the settings. */
struct ChangeMethod {
  std::string_view name_;               ///< Name of the method.
  Result<void> (*build_)(ChangeCall&);  ///< Adds the edits.
};

constexpr auto kChangeMethods = std::to_array<ChangeMethod>({
    {"settings.set", &BuildSet},
    {"settings.undo", &BuildUndo},
    {"team.add", &BuildTeamAdd},
    {"team.share", &BuildTeamShare},
    {"team.limit", &BuildTeamLimit},
    {"team.key", &BuildTeamKey},
    {"target.drain", &BuildTargetDrain},
    {"target.undrain", &BuildTargetUndrain},
});

/** One method that changes the control group. */
struct MembershipMethod {
  std::string_view name_;    ///< Name of the method.
  MembershipAction action_;  ///< What it does.
};

constexpr auto kMembershipMethods = std::to_array<MembershipMethod>({
    {"control.add", MembershipAction::kAddLearner},
    {"control.promote", MembershipAction::kPromote},
    {"control.remove", MembershipAction::kRemove},
});

template <class Method, size_t N>
const Method* FindMethod(const std::array<Method, N>& methods,
                         const std::string& name) {
  const auto* it = std::find_if(
      methods.begin(), methods.end(),
      [&name](const Method& method) { return method.name_ == name; });
  return it == methods.end() ? nullptr : it;
}

/** Reads what all changes have: change id, reason, base revision. */
Result<void> ReadCommon(const OperatorCall& call, const json& params,
                        SettingsChange& change) {
  auto id = TextParam(params, "change_id");
  if (!id) {
    return id.error();
  }
  if (id.value().empty() || id.value().size() > kMaxIdLength) {
    return Bad("parameter change_id is empty or too long");
  }
  change.change_id_ = ChangeId(id.value());
  change.author_ = call.operator_name_;
  if (params.contains("reason")) {
    auto reason = TextParam(params, "reason");
    if (!reason) {
      return reason.error();
    }
    change.reason_ = reason.value().substr(0, kMaxReasonLength);
  }
  const auto base = params.find("base");
  if (base != params.end()) {
    if (!base->is_number_unsigned() || base->get<uint64_t>() == 0) {
      return Bad("parameter base is not a revision; leave it out for any");
    }
    change.base_revision_ = Revision(base->get<uint64_t>());
  }
  return boost::outcome_v2::success();
}

Result<OperatorProposal> ReadSettingsChange(const OperatorCall& call,
                                            const ChangeMethod& method,
                                            const json& params,
                                            const SettingsState& settings) {
  ChangeCall building{params, settings, false, {}};
  if (auto read = ReadCommon(call, params, building.change_); !read) {
    return read.error();
  }
  building.is_resend_ =
      settings.FindResult(building.change_.change_id_) != nullptr;
  if (auto built = method.build_(building); !built) {
    return built.error();
  }
  if (auto tested = settings.Test(building.change_); !tested) {
    return tested.error();
  }
  return OperatorProposal{std::move(building.change_), std::nullopt};
}

}  // namespace

bool IsOperatorChange(const std::string& method) {
  return FindMethod(kChangeMethods, method) != nullptr ||
         FindMethod(kMembershipMethods, method) != nullptr;
}

Result<OperatorProposal> ReadOperatorChange(const OperatorCall& call,
                                            const SettingsState& settings) {
  const json params = json::parse(call.params_, nullptr, false);
  if (!params.is_object()) {
    return Bad("the parameters are not a JSON object");
  }
  if (const auto* method = FindMethod(kChangeMethods, call.method_)) {
    return ReadSettingsChange(call, *method, params, settings);
  }
  auto node = TextParam(params, "node");
  if (!node) {
    return node.error();
  }
  const auto* method = FindMethod(kMembershipMethods, call.method_);
  return OperatorProposal{
      std::nullopt, MembershipChange{method->action_, NodeId(node.value())}};
}

}  // namespace gv
