/** @file control_serve.cc What the leading control process does for entries,
 * agents and operators. */
#include <algorithm>
#include <utility>

#include "coordination/control_service.h"
#include "state/table/verdict_names.h"

namespace gv {
namespace {

constexpr Duration kResendTargetsAfter(200);
constexpr std::string_view kEntryRole = "entry";

bool HasRole(std::string_view roles, std::string_view role) {
  return ("," + std::string(roles) + ",").find("," + std::string(role) + ",") !=
         std::string::npos;
}

/** @return The team whose limit an edit changes, or none. */
TeamId TeamOfLimit(const SettingsEdit& edit) {
  constexpr std::string_view kTeams = "teams.";
  const size_t limits = edit.path_.find(".limits.");
  if (!edit.path_.starts_with(kTeams) || limits == std::string::npos) {
    return TeamId();
  }
  return TeamId(edit.path_.substr(kTeams.size(), limits - kTeams.size()));
}

}  // namespace

OperatorReply RefuseOperatorCall(OperationId operation,
                                 const Verdict& verdict) {
  OperatorReply reply;
  reply.operation_ = operation;
  reply.reason_ = NameOf(kReasonNames, verdict.reason_);
  reply.error_ = verdict.detail_;
  return reply;
}

void ControlService::OnMessage(TimePoint now, const Envelope& in, Outbox& out) {
  if (const auto* call = std::get_if<OperatorCall>(&in.body_)) {
    OnOperatorCall(now, *call, out);
    return;
  }
  if (std::holds_alternative<Tick>(in.body_)) {
    OnTick(now, out);
    return;
  }
  if (!view_.may_serve_) {
    if (!view_.is_leader_) {
      Redirect(in.from_, out);
    }
    return;
  }
  if (const auto* renew = std::get_if<SessionRenew>(&in.body_)) {
    OnRenew(now, in.from_, *renew, out);
  } else if (const auto* share = std::get_if<ShareRequest>(&in.body_)) {
    OnShareRequest(now, in.from_, *share, out);
  } else if (const auto* begin = std::get_if<ClaimBegin>(&in.body_)) {
    ProposeClaim(in.from_, *begin);
  } else if (const auto* finish = std::get_if<ClaimFinish>(&in.body_)) {
    ProposeClaim(in.from_, *finish);
  } else if (const auto* announce = std::get_if<TargetAnnounce>(&in.body_)) {
    state_.targets_.OnAnnounce(now, in.from_.node_, *announce, out);
    ProposeTokens();
  } else {
    groups_.OnMessage(now, in, state_.targets_.All(), out);
  }
}

void ControlService::OnTick(TimePoint now, Outbox& out) {
  if (!view_.may_serve_) {
    return;
  }
  sessions_.OnTick(now, state_.settings_, out);
  state_.targets_.OnTick(now, out);
  ProposeTokens();
  ApplyDrains();
  PushTargets(now, out);
  if (groups_.size() > 0) {
    groups_.OnMessage(now, Envelope{{}, out.Self(), {}, Tick{}},
                      state_.targets_.All(), out);
  }
  AdvanceInForce(now, out);
}

void ControlService::OnRenew(TimePoint now, const Endpoint& from,
                             const SessionRenew& renew, Outbox& out) {
  sessions_.OnRenew(now, from, renew, state_.settings_, out);
  const SentTargets& sent = sent_targets_[from];
  const bool is_sent = sent.version_ == state_.targets_.Version() &&
                       now - sent.sent_at_ < kResendTargetsAfter;
  if (HasRole(renew.roles_, kEntryRole) &&
      renew.targets_version_ != state_.targets_.Version() && !is_sent) {
    SendTargets(now, from, renew.targets_version_, out);
  }
}

void ControlService::OnShareRequest(TimePoint now, const Endpoint& from,
                                    const ShareRequest& request, Outbox& out) {
  const SettingsTree& tree = state_.settings_.Tree();
  const TeamSettings* team = tree.Team(request.team_);
  if (team == nullptr) {
    return;
  }
  out.Send(from, shares_.Request(now, from.node_, request, *team,
                                 tree.CurrentRevision(),
                                 Duration(tree.Int("limits.lease_ms"))));
}

void ControlService::ProposeClaim(const Endpoint& from, Message command) {
  if (!IsProposed(from, command)) {
    Propose(from, std::move(command));
  }
}

void ControlService::ProposeTokens() {
  for (TargetInfo& info : state_.targets_.TakeTokenWanted()) {
    Propose(Endpoint(), TargetAnnounce{std::move(info)});
  }
}

void ControlService::SendTargets(TimePoint now, const Endpoint& to,
                                 uint64_t version, Outbox& out) {
  if (auto update = state_.targets_.UpdateSince(version)) {
    sent_targets_[to] = SentTargets{update->to_version_, now};
    out.Send(to, std::move(*update));
  }
}

void ControlService::PushTargets(TimePoint now, Outbox& out) {
  if (pushed_targets_ == state_.targets_.Version()) {
    return;
  }
  pushed_targets_ = state_.targets_.Version();
  for (const SessionInfo& session : sessions_.List(now)) {
    const auto sent = sent_targets_.find(session.holder_);
    if (session.has_lease_ && sent != sent_targets_.end() &&
        sent->second.version_ != 0 &&
        sent->second.version_ != state_.targets_.Version()) {
      SendTargets(now, session.holder_, sent->second.version_, out);
    }
  }
}

void ControlService::ApplyDrains() {
  const SettingsTree& tree = state_.settings_.Tree();
  if (drains_revision_ == tree.CurrentRevision() &&
      drains_version_ == state_.targets_.Version()) {
    return;
  }
  for (const TargetInfo& target : state_.targets_.All()) {
    const std::string& name = target.target_.Value();
    const std::string& place = target.data_centre_.Value();
    state_.targets_.SetDraining(
        target.target_, tree.Flag("targets." + name + ".drain") ||
                            tree.Flag("data_centres." + place + ".drain"));
  }
  drains_revision_ = tree.CurrentRevision();
  drains_version_ = state_.targets_.Version();
}

std::vector<TeamId> ControlService::UnsettledTeams(TimePoint now,
                                                   Revision revision) {
  std::vector<TeamId> unsettled;
  const SettingsRecord* record = state_.settings_.Record(revision);
  if (record == nullptr) {
    return unsettled;
  }
  for (const SettingsEdit& edit : record->edits_) {
    const TeamId id = TeamOfLimit(edit);
    const TeamSettings* team = state_.settings_.Tree().Team(id);
    if (team != nullptr && !shares_.Settled(now, id, *team)) {
      unsettled.push_back(id);
    }
  }
  return unsettled;
}

void ControlService::AdvanceInForce(TimePoint now, Outbox& out) {
  const Revision newest = state_.settings_.Tree().CurrentRevision();
  if (newest <= in_force_) {
    return;
  }
  const Revision confirmed = sessions_.Book().Newest(now, newest);
  if (confirmed <= in_force_) {
    return;
  }
  Revision reached = in_force_;
  for (Revision r = in_force_.Next();
       r <= confirmed && UnsettledTeams(now, r).empty(); r = r.Next()) {
    reached = r;
  }
  if (reached > in_force_) {
    in_force_ = reached;
    RecordRevision(EventId::kSettingsInForce, in_force_, "", out);
  }
}

InForceStatus ControlService::InForce(TimePoint now, Revision revision) {
  InForceStatus status;
  status.wait_ = sessions_.Book().EarlierLeasesLeft(now);
  if (revision <= in_force_ && status.wait_ == Duration()) {
    status.in_force_ = true;
    return status;
  }
  status.missing_ = sessions_.Book().Missing(now, revision);
  for (Revision r = in_force_.Next(); r <= revision; r = r.Next()) {
    for (TeamId& team : UnsettledTeams(now, r)) {
      status.unsettled_.push_back(std::move(team));
    }
  }
  status.in_force_ = status.missing_.empty() && status.unsettled_.empty() &&
                     status.wait_ == Duration();
  return status;
}

void ControlService::OnOperatorCall(TimePoint now, const OperatorCall& call,
                                    Outbox& out) {
  if (!view_.may_serve_ && call.method_ != kStatusMethod) {
    const std::string leader = view_.leader_.Value();
    const std::string known = leader.empty() || view_.is_leader_
                                  ? "no leader is known to serve now"
                                  : "the leader is " + leader;
    out.SendLocal(
        Port::kOperator,
        RefuseOperatorCall(
            call.operation_,
            NotRun(Reason::kNotLeader, view_.self_.Value() + ": " + known)));
    return;
  }
  if (IsOperatorChange(call.method_)) {
    OnOperatorChange(call, out);
    return;
  }
  if (view_.may_serve_) {
    AdvanceInForce(now, out);
  }
  const OperatorContext context{now,
                                state_,
                                sessions_,
                                view_,
                                pending_changes_,
                                [this, now](Revision r) { return InForce(now, r); },
                                in_force_};
  auto answer = AnswerOperatorQuery(call, context);
  SendOperatorAnswer(call.operation_, std::move(answer), out);
}

void ControlService::SendOperatorAnswer(OperationId operation,
                                        Result<nlohmann::json> answer,
                                        Outbox& out) {
  if (!answer) {
    out.SendLocal(Port::kOperator,
                  RefuseOperatorCall(operation, answer.error()));
    return;
  }
  OperatorReply reply;
  reply.operation_ = operation;
  reply.ok_ = true;
  reply.result_ = answer.value().dump();
  out.SendLocal(Port::kOperator, std::move(reply));
}

void ControlService::OnOperatorChange(const OperatorCall& call, Outbox& out) {
  auto read = ReadOperatorChange(call, state_.settings_);
  if (!read) {
    SendOperatorAnswer(call.operation_, read.error(), out);
    return;
  }
  ControlProposal proposal;
  proposal.operation_ = call.operation_;
  proposal.origin_ = Endpoint{view_.self_, Port::kOperator};
  proposal.membership_ = std::move(read.value().membership_);
  if (read.value().change_) {
    const SettingsChange& change = *read.value().change_;
    const auto first = state_.settings_.FirstAnswer(change);
    if (first || pending_changes_.contains(change.change_id_)) {
      SendOperatorAnswer(
          call.operation_,
          DescribeChange(change.change_id_, first ? &*first : nullptr, true),
          out);
      return;
    }
    proposal.command_ = change;
  }
  proposals_.push_back(std::move(proposal));
}

}  // namespace gv
