/** @file control_service.cc Leadership, proposals and committed commands of a
 * control process. */
#include "coordination/control_service.h"

#include <algorithm>
#include <utility>

namespace gv {
namespace {

/** @return True if two commands ask for the same thing for the same sender. */
bool IsSameCommand(const Message& a, const Message& b) {
  if (const auto* begin = std::get_if<ClaimBegin>(&a)) {
    const auto* other = std::get_if<ClaimBegin>(&b);
    return other != nullptr && other->request_ == begin->request_ &&
           other->target_ == begin->target_;
  }
  if (const auto* finish = std::get_if<ClaimFinish>(&a)) {
    const auto* other = std::get_if<ClaimFinish>(&b);
    return other != nullptr && other->request_ == finish->request_;
  }
  return false;
}

}  // namespace

void ControlService::OnView(TimePoint now, const LeadershipView& view,
                            Outbox& out) {
  const bool lost =
      view_.is_leader_ && (!view.is_leader_ || view.term_ != view_.term_);
  view_ = view;
  if (lost) {
    EndTerm(out);
  }
  if (view.is_leader_ && led_term_ != view.term_) {
    led_term_ = view.term_;
    led_since_ = now;
  }
  if (view.may_serve_ && served_term_ != view.term_) {
    StartTerm(now);
  }
}

void ControlService::StartTerm(TimePoint now) {
  served_term_ = view_.term_;
  clock_base_ms_ = state_.cluster_ms_;
  clock_start_ = now;
  const Duration session =
      state_.settings_.LongestLease("session.lease_ms", state_.cluster_ms_);
  const Duration limits =
      state_.settings_.LongestLease("limits.lease_ms", state_.cluster_ms_);
  sessions_.StartTerm(led_since_, std::max(session, limits));
  shares_.StartTerm(led_since_, limits);
  groups_.StartTerm();
  state_.targets_.StartTerm(now, view_.term_);
  sent_targets_.clear();
  drains_revision_ = Revision();
  drains_version_ = 0;
  pushed_targets_ = 0;
  in_force_ = Revision();
  pushed_ = state_.settings_.Tree().CurrentRevision();
}

void ControlService::EndTerm(Outbox& out) {
  for (const auto& [index, pending] : pending_) {
    Redirect(pending.origin_, out);
  }
  pending_.clear();
  pending_changes_.clear();
  proposals_.clear();
  sessions_.EndTerm();
}

void ControlService::Redirect(const Endpoint& to, Outbox& out) const {
  if (!to.node_.IsNone() && to.port_ != Port::kOperator) {
    out.Send(to, SessionRedirect{view_.leader_});
  }
}

void ControlService::Propose(const Endpoint& origin, Message command) {
  ControlProposal proposal;
  proposal.command_ = std::move(command);
  proposal.origin_ = origin;
  proposals_.push_back(std::move(proposal));
}

bool ControlService::IsProposed(const Endpoint& origin,
                                const Message& command) const {
  const auto same = [&origin, &command](const Endpoint& from,
                                        const Message& other) {
    return from == origin && IsSameCommand(other, command);
  };
  return std::any_of(pending_.begin(), pending_.end(),
                     [&same](const auto& item) {
                       return same(item.second.origin_, item.second.command_);
                     }) ||
         std::any_of(proposals_.begin(), proposals_.end(),
                     [&same](const auto& proposal) {
                       return same(proposal.origin_, proposal.command_);
                     });
}

std::vector<ControlProposal> ControlService::TakeProposals() {
  return std::exchange(proposals_, {});
}

int64_t ControlService::ClusterMs(TimePoint now) const {
  return std::max(state_.cluster_ms_,
                  clock_base_ms_ + (now - clock_start_).Ms());
}

std::string ControlService::Encode(TimePoint now,
                                   const Message& command) const {
  return EncodeCommand(ControlCommand{ClusterMs(now), command});
}

void ControlService::OnProposed(const ControlProposal& proposal, LogIndex index,
                                Term term, Outbox& out) {
  Pending& pending = pending_[index];
  pending.origin_ = proposal.origin_;
  pending.term_ = term;
  OperatorReply reply;
  reply.operation_ = proposal.operation_;
  reply.ok_ = true;
  if (proposal.membership_) {
    reply.result_ = R"({"state":"pending"})";
  } else {
    pending.command_ = proposal.command_;
  }
  if (const auto* change = std::get_if<SettingsChange>(&pending.command_)) {
    pending_changes_.insert(change->change_id_);
    reply.result_ = DescribeChange(change->change_id_, nullptr, true).dump();
  }
  if (!reply.operation_.IsNone()) {
    out.SendLocal(Port::kOperator, std::move(reply));
  }
}

void ControlService::OnNotProposed(const ControlProposal& proposal,
                                   const Verdict& verdict, Outbox& out) {
  if (!proposal.operation_.IsNone()) {
    out.SendLocal(Port::kOperator,
                  RefuseOperatorCall(proposal.operation_, verdict));
    return;
  }
  if (verdict.reason_ == Reason::kNotLeader) {
    Redirect(proposal.origin_, out);
  }
}

Result<void> ControlService::Load(std::string_view snapshot) {
  auto loaded = LoadControlState(snapshot);
  if (!loaded) {
    return loaded.error();
  }
  state_ = std::move(loaded.value());
  return boost::outcome_v2::success();
}

void ControlService::OnCommitted(TimePoint /*now*/, const LogEntry& entry,
                                 Outbox& out) {
  Endpoint origin;
  if (const auto it = pending_.find(entry.index_); it != pending_.end()) {
    if (it->second.term_ == entry.term_) {
      origin = it->second.origin_;
    } else {
      Redirect(it->second.origin_, out);
    }
    pending_.erase(it);
  }
  if (entry.kind_ != EntryKind::kCommand) {
    return;
  }
  auto command = DecodeCommand(entry.payload_);
  if (!command) {
    Event event;
    event.id_ = EventId::kBadInput;
    event.detail_ = command.error().detail_;
    out.Record(std::move(event));
    return;
  }
  const ControlCommand& done = command.value();
  state_.cluster_ms_ = std::max(state_.cluster_ms_, done.cluster_ms_);
  const int64_t cluster_ms = state_.cluster_ms_;
  const Duration keep(state_.settings_.Tree().Int("claims.keep_ms"));
  state_.claims_.Expire(cluster_ms, keep);
  if (const auto* change = std::get_if<SettingsChange>(&done.body_)) {
    ExecuteSettings(cluster_ms, *change, out);
  } else if (const auto* begin = std::get_if<ClaimBegin>(&done.body_)) {
    ExecuteClaimBegin(cluster_ms, *begin, entry.index_, origin, out);
  } else if (const auto* finish = std::get_if<ClaimFinish>(&done.body_)) {
    state_.claims_.Finish(cluster_ms, *finish);
    if (!origin.node_.IsNone()) {
      out.Send(origin, ClaimFinished{finish->request_});
    }
  } else if (const auto* announce = std::get_if<TargetAnnounce>(&done.body_)) {
    state_.targets_.ApplyToken(announce->info_,
                               FencingToken(entry.index_.Value()));
  }
}

void ControlService::ExecuteSettings(int64_t cluster_ms,
                                     const SettingsChange& change,
                                     Outbox& out) {
  const ChangeResult result = state_.settings_.Execute(cluster_ms, change);
  pending_changes_.erase(change.change_id_);
  if (view_.is_leader_) {
    RecordRevision(result.accepted_ ? EventId::kSettingsAccepted
                                    : EventId::kSettingsRefused,
                   result.revision_,
                   change.change_id_.Value() + " by " + change.author_ + " " +
                       result.error_,
                   out);
  }
}

void ControlService::ExecuteClaimBegin(int64_t cluster_ms,
                                       const ClaimBegin& claim, LogIndex index,
                                       const Endpoint& origin, Outbox& out) {
  ClaimReply reply =
      state_.claims_.Begin(cluster_ms, claim, FencingToken(index.Value()));
  if (!origin.node_.IsNone()) {
    out.Send(origin, std::move(reply));
  }
}

void ControlService::RecordRevision(EventId id, Revision revision,
                                    std::string detail, Outbox& out) const {
  Event event;
  event.id_ = id;
  event.revision_ = revision;
  event.detail_ = std::move(detail);
  out.Record(std::move(event));
}

void ControlService::OnCommitsDone(TimePoint now, Outbox& out) {
  const Revision newest = state_.settings_.Tree().CurrentRevision();
  if (view_.may_serve_ && pushed_ < newest) {
    pushed_ = newest;
    sessions_.Push(now, state_.settings_, out);
  }
}

}  // namespace gv
