/** @file control_query.cc Answers the reading operator calls. */
#include <algorithm>
#include <array>
#include <map>
#include <string_view>
#include <utility>

#include "coordination/control_operator.h"
#include "state/table/request_names.h"
#include "state/table/settings.h"
#include "state/table/verdict_names.h"

namespace gv {
namespace {

using nlohmann::json;

constexpr size_t kDefaultHistory = 20;

Verdict Bad(std::string detail) {
  return NotRun(Reason::kBadRequest, std::move(detail));
}

uint64_t NumberParam(const json& params, const char* name, uint64_t fallback) {
  const auto it = params.find(name);
  return it != params.end() && it->is_number_unsigned() ? it->get<uint64_t>()
                                                        : fallback;
}

std::string TextParam(const json& params, const char* name) {
  const auto it = params.find(name);
  return it != params.end() && it->is_string() ? it->get<std::string>() : "";
}

json DescribeEdits(const std::vector<SettingsEdit>& edits) {
  json list = json::array();
  for (const SettingsEdit& edit : edits) {
    json item = {{"path", edit.path_}};
    if (edit.remove_) {
      item["remove"] = true;
    } else {
      item["value"] = edit.value_;
    }
    list.push_back(std::move(item));
  }
  return list;
}

json DescribeInForce(const InForceStatus& status) {
  json missing = json::array();
  for (const Endpoint& holder : status.missing_) {
    missing.push_back(holder.node_.Value());
  }
  json unsettled = json::array();
  for (const TeamId& team : status.unsettled_) {
    unsettled.push_back(team.Value());
  }
  return {{"in_force", status.in_force_},
          {"missing", missing},
          {"teams_above_limit", unsettled},
          {"wait_ms", status.wait_.Ms()}};
}

json DescribeValue(const SettingsTree& tree, const std::string& path) {
  const SettingRow* row = FindSettingRow(path);
  json item = {{"path", path}, {"value", tree.Text(path)}};
  item["is_default"] = !tree.Stored(path).has_value();
  if (row != nullptr && !row->unit_.empty()) {
    item["unit"] = row->unit_;
  }
  return item;
}

bool IsBelow(std::string_view path, const std::string& prefix) {
  return prefix.empty() || path == prefix || path.starts_with(prefix + ".");
}

Result<json> AnswerGet(const json& params, const OperatorContext& context) {
  const SettingsTree& tree = context.state_.settings_.Tree();
  const std::string prefix = TextParam(params, "path");
  json values = json::array();
  for (const SettingsEdit& edit : tree.Dump()) {
    if (IsBelow(edit.path_, prefix)) {
      values.push_back(DescribeValue(tree, edit.path_));
    }
  }
  for (const SettingRow& row : kSettingRows) {
    const std::string path(row.pattern_);
    const bool is_single = path.find('*') == std::string::npos;
    if (is_single && IsBelow(path, prefix) && !tree.Stored(path)) {
      values.push_back(DescribeValue(tree, path));
    }
  }
  if (values.empty() && FindSettingRow(prefix) != nullptr) {
    values.push_back(DescribeValue(tree, prefix));
  }
  if (values.empty()) {
    return Bad(prefix + ": is not a setting, and nothing is set below it");
  }
  return json{{"revision", tree.CurrentRevision().Value()}, {"values", values}};
}

Result<json> AnswerHistory(const json& params, const OperatorContext& context) {
  const auto limit = NumberParam(params, "limit", kDefaultHistory);
  const std::string prefix = TextParam(params, "path");
  const auto& history = context.state_.settings_.History();
  json list = json::array();
  for (auto it = history.rbegin(); it != history.rend() && list.size() < limit;
       ++it) {
    const bool shown = std::any_of(
        it->edits_.begin(), it->edits_.end(),
        [&prefix](const auto& edit) { return IsBelow(edit.path_, prefix); });
    if (shown) {
      list.push_back({{"revision", it->revision_.Value()},
                      {"change_id", it->change_id_.Value()},
                      {"author", it->author_},
                      {"reason", it->reason_},
                      {"cluster_ms", it->cluster_ms_},
                      {"edits", DescribeEdits(it->edits_)}});
    }
  }
  return json{{"changes", list}};
}

/** The value of one path before and after; nothing stands for the default. */
struct ValuePair {
  std::optional<std::string> before_;  ///< At the earlier revision.
  std::optional<std::string> after_;   ///< At the later revision.
};

std::optional<std::string> ValueOfEdit(const SettingsEdit& edit) {
  return edit.remove_ ? std::nullopt : std::optional(edit.value_);
}

json DescribePairs(const std::map<std::string, ValuePair>& pairs) {
  json list = json::array();
  for (const auto& [path, pair] : pairs) {
    if (pair.before_ != pair.after_) {
      json item = {{"path", path}, {"before", nullptr}, {"after", nullptr}};
      if (pair.before_) {
        item["before"] = *pair.before_;
      }
      if (pair.after_) {
        item["after"] = *pair.after_;
      }
      list.push_back(std::move(item));
    }
  }
  return list;
}

Result<json> AnswerDiff(const json& params, const OperatorContext& context) {
  const SettingsState& settings = context.state_.settings_;
  const Revision newest = settings.Tree().CurrentRevision();
  const Revision to(NumberParam(params, "to", newest.Value()));
  const Revision from(
      NumberParam(params, "from", to.IsNone() ? 0 : to.Previous().Value()));
  if (from > to || to > newest) {
    return Bad("the revisions are not in order, or newer than the newest");
  }
  std::map<std::string, ValuePair> pairs;
  for (Revision r = from.Next(); r <= to; r = r.Next()) {
    const SettingsRecord* record = settings.Record(r);
    if (record == nullptr) {
      return Bad("revision " + std::to_string(r.Value()) +
                 " is not in the history");
    }
    for (size_t i = 0; i < record->edits_.size(); ++i) {
      const auto before = ValueOfEdit(record->inverse_[i]);
      const auto [it, is_new] =
          pairs.try_emplace(record->edits_[i].path_, ValuePair{before, {}});
      it->second.after_ = ValueOfEdit(record->edits_[i]);
    }
  }
  return json{{"from", from.Value()},
              {"to", to.Value()},
              {"changes", DescribePairs(pairs)}};
}

Result<json> AnswerChangeStatus(const json& params,
                                const OperatorContext& context) {
  const ChangeId id(TextParam(params, "change_id"));
  const ChangeResult* result = context.state_.settings_.FindResult(id);
  const bool pending = context.pending_changes_.contains(id);
  json answer = DescribeChange(id, result, pending);
  if (result != nullptr && result->accepted_) {
    answer.update(DescribeInForce(context.in_force_of_(result->revision_)));
  }
  return answer;
}

json DescribeTarget(const TargetInfo& target) {
  return {{"target", target.target_.Value()},
          {"agent", target.agent_.Value()},
          {"vm", target.vm_.Value()},
          {"data_centre", target.data_centre_.Value()},
          {"kind", NameOf(kTargetKindNames, target.kind_)},
          {"model", target.model_.Value()},
          {"version", target.version_},
          {"state", NameOf(kTargetStateNames, target.state_)},
          {"token", target.token_.Value()}};
}

Result<json> AnswerTargetList(const json& /*params*/,
                              const OperatorContext& context) {
  json list = json::array();
  for (const TargetInfo& target : context.state_.targets_.All()) {
    list.push_back(DescribeTarget(target));
  }
  return json{{"targets", list}};
}

json DescribeReplica(const ReplicaStatus& replica) {
  return {{"node", replica.node_.Value()},
          {"voter", replica.voter_},
          {"active", replica.active_},
          {"caught_up", replica.caught_up_},
          {"disk_lost", replica.disk_lost_},
          {"match_index", replica.match_.Value()},
          {"lag", replica.lag_}};
}

json DescribeSession(const SessionInfo& session) {
  return {{"node", session.holder_.node_.Value()},
          {"roles", session.roles_},
          {"vm", session.vm_.Value()},
          {"data_centre", session.data_centre_.Value()},
          {"confirmed", session.confirmed_.Value()},
          {"has_lease", session.has_lease_},
          {"silent_ms", session.silent_.Ms()}};
}

Result<json> AnswerControlStatus(const json& /*params*/,
                                 const OperatorContext& context) {
  json replicas = json::array();
  for (const ReplicaStatus& replica : context.view_.replicas_) {
    replicas.push_back(DescribeReplica(replica));
  }
  json sessions = json::array();
  for (const SessionInfo& session : context.sessions_.List(context.now_)) {
    sessions.push_back(DescribeSession(session));
  }
  const Revision newest = context.state_.settings_.Tree().CurrentRevision();
  json answer = {{"node", context.view_.self_.Value()},
                 {"leader", context.view_.leader_.Value()},
                 {"serves", context.view_.may_serve_},
                 {"term", context.view_.term_.Value()},
                 {"commit_index", context.view_.commit_.Value()},
                 {"replicas", replicas},
                 {"sessions", sessions},
                 {"claims", context.state_.claims_.size()},
                 {"accepted_revision", newest.Value()},
                 {"in_force_revision", context.in_force_.Value()}};
  answer["newest"] = DescribeInForce(context.in_force_of_(newest));
  return answer;
}

/** One reading method. */
struct QueryMethod {
  std::string_view name_;  ///< Name of the method.
  Result<json> (*answer_)(const json&, const OperatorContext&);  ///< Answers.
};

constexpr auto kQueryMethods = std::to_array<QueryMethod>({
    {"settings.get", &AnswerGet},
    {"settings.history", &AnswerHistory},
    {"settings.diff", &AnswerDiff},
    {"change.status", &AnswerChangeStatus},
    {"target.list", &AnswerTargetList},
    {"control.status", &AnswerControlStatus},
});

}  // namespace

json DescribeChange(const ChangeId& id, const ChangeResult* result,
                    bool pending) {
  json answer = {{"change_id", id.Value()}};
  if (result == nullptr) {
    answer["state"] = pending ? "pending" : "unknown";
    return answer;
  }
  answer["state"] = result->accepted_ ? "accepted" : "refused";
  answer["revision"] = result->revision_.Value();
  if (!result->accepted_) {
    answer["reason"] = NameOf(kReasonNames, result->reason_);
    answer["error"] = result->error_;
  }
  return answer;
}

Result<json> AnswerOperatorQuery(const OperatorCall& call,
                                 const OperatorContext& context) {
  const auto* method = std::find_if(
      kQueryMethods.begin(), kQueryMethods.end(),
      [&call](const auto& row) { return row.name_ == call.method_; });
  if (method == kQueryMethods.end()) {
    return Bad(call.method_ + " is not a method");
  }
  const json params = json::parse(call.params_, nullptr, false);
  if (!params.is_object()) {
    return Bad("the parameters are not a JSON object");
  }
  return method->answer_(params, context);
}

}  // namespace gv
