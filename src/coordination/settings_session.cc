/** @file settings_session.cc Renews the settings lease and applies settings. */
#include "coordination/settings_session.h"

#include <algorithm>
#include <utility>

namespace gv {
namespace {

constexpr int64_t kRenewalsPerLease = 4;
constexpr Duration kRetryAfter(250);  // without an answer to a renewal
constexpr int kUnansweredBeforeNext = 2;
// The holder counts 9/10 of the lease, so that its clock may run slow by 10%.
constexpr int64_t kDriftTenths = 9;

void RecordRevision(EventId id, Revision revision, Outbox& out) {
  Event event;
  event.id_ = id;
  event.revision_ = revision;
  out.Record(std::move(event));
}

}  // namespace

SettingsSession::SettingsSession(SessionIdentity identity)
    : identity_(std::move(identity)) {}

bool SettingsSession::OnMessage(TimePoint now, const Envelope& in,
                                Outbox& out) {
  const NodeId& from = in.from_.node_;
  if (std::holds_alternative<Tick>(in.body_)) {
    OnTick(now, out);
    return false;
  }
  if (const auto* down = std::get_if<PeerDown>(&in.body_)) {
    OnPeerDown(down->peer_);
    return false;
  }
  if (const auto* grant = std::get_if<SessionGrant>(&in.body_)) {
    OnGrant(now, from, *grant, out);
    return true;
  }
  if (const auto* redirect = std::get_if<SessionRedirect>(&in.body_)) {
    OnRedirect(now, from, *redirect);
    return true;
  }
  if (const auto* delta = std::get_if<SettingsDelta>(&in.body_)) {
    OnDelta(now, *delta, out);
    return true;
  }
  if (const auto* part = std::get_if<SettingsSnapshot>(&in.body_)) {
    OnSnapshot(now, *part, out);
    return true;
  }
  return false;
}

void SettingsSession::OnTick(TimePoint now, Outbox& out) {
  if (had_lease_ && !HasLease(now)) {
    had_lease_ = false;
    RecordRevision(EventId::kLeaseLost, Applied(), out);
  }
  const Duration renew_every = lease_length_ == Duration()
                                   ? kRetryAfter
                                   : lease_length_ / kRenewalsPerLease;
  if (awaiting_ && now - sent_at_ >= std::min(kRetryAfter, renew_every)) {
    if (++unanswered_ >= kUnansweredBeforeNext) {
      TryNextControl();
    }
    renew_now_ = true;
  }
  if (renew_now_ || now - sent_at_ >= renew_every) {
    SendRenew(now, out);
  }
}

void SettingsSession::OnGrant(TimePoint now, const NodeId& from,
                              const SessionGrant& grant, Outbox& out) {
  leader_ = from;
  awaiting_ = false;
  unanswered_ = 0;
  lease_length_ = grant.duration_;
  granted_at_ = now;
  pending_ = grant;
  TakePendingGrant(now, out);
}

void SettingsSession::TakePendingGrant(TimePoint now, Outbox& out) {
  if (!pending_ || pending_->revision_ > Applied()) {
    return;
  }
  const TimePoint end = TimePoint(pending_->sent_at_ms_) +
                        pending_->duration_ * kDriftTenths / 10;
  lease_end_ = std::max(lease_end_, end);
  pending_.reset();
  if (!had_lease_ && HasLease(now)) {
    had_lease_ = true;
    RecordRevision(EventId::kLeaseGranted, Applied(), out);
  }
}

void SettingsSession::OnRedirect(TimePoint now, const NodeId& from,
                                 const SessionRedirect& redirect) {
  if (from != Target()) {
    return;
  }
  awaiting_ = false;
  unanswered_ = 0;
  leader_ = redirect.leader_;
  if (redirect.leader_.IsNone() || redirect.leader_ == from) {
    TryNextControl();
    awaiting_ = true;
    sent_at_ = now;
    return;
  }
  renew_now_ = true;
}

void SettingsSession::OnDelta(TimePoint now, const SettingsDelta& delta,
                              Outbox& out) {
  if (delta.to_ < Applied()) {
    return;
  }
  renew_now_ = true;  // also if the earlier confirmation was lost
  if (delta.to_ == Applied() || delta.from_ != Applied()) {
    return;
  }
  tree_.Apply(delta.edits_, delta.to_);
  ApplyNewer(now, out);
}

void SettingsSession::OnSnapshot(TimePoint now, const SettingsSnapshot& part,
                                 Outbox& out) {
  if (part.revision_ <= Applied() || part.part_ >= part.parts_) {
    return;
  }
  if (!parts_.empty() && (parts_.front().revision_ != part.revision_ ||
                          parts_.front().parts_ != part.parts_)) {
    if (parts_.front().revision_ > part.revision_) {
      return;
    }
    parts_.clear();
  }
  const bool known = std::any_of(
      parts_.begin(), parts_.end(),
      [&part](const auto& have) { return have.part_ == part.part_; });
  if (!known) {
    parts_.push_back(part);
  }
  if (parts_.size() < part.parts_) {
    return;
  }
  std::vector<SettingsEdit> edits;
  for (const SettingsSnapshot& have : parts_) {
    edits.insert(edits.end(), have.edits_.begin(), have.edits_.end());
  }
  tree_.Replace(edits, part.revision_);
  parts_.clear();
  renew_now_ = true;
  ApplyNewer(now, out);
}

void SettingsSession::ApplyNewer(TimePoint now, Outbox& out) {
  RecordRevision(EventId::kSettingsApplied, Applied(), out);
  TakePendingGrant(now, out);
}

void SettingsSession::OnPeerDown(const NodeId& peer) {
  if (peer == Target()) {
    TryNextControl();
    renew_now_ = true;
  }
}

void SettingsSession::SendRenew(TimePoint now, Outbox& out) {
  SessionRenew renew;
  renew.incarnation_ = identity_.incarnation_;
  renew.roles_ = identity_.roles_;
  renew.vm_ = identity_.vm_;
  renew.data_centre_ = identity_.data_centre_;
  renew.address_ = identity_.address_;
  renew.confirmed_ = Applied();
  renew.targets_version_ = targets_version_;
  renew.sent_at_ms_ = now.Ms();
  out.Send(Endpoint{Target(), Port::kControl}, std::move(renew));
  sent_at_ = now;
  awaiting_ = true;
  renew_now_ = false;
}

void SettingsSession::TryNextControl() {
  const std::vector<NodeId>& nodes = identity_.control_nodes_;
  const NodeId failed = Target();
  leader_ = NodeId();
  unanswered_ = 0;
  next_control_ = (next_control_ + 1) % nodes.size();
  if (nodes[next_control_] == failed) {
    next_control_ = (next_control_ + 1) % nodes.size();
  }
}

const NodeId& SettingsSession::Target() const {
  return leader_.IsNone() ? identity_.control_nodes_[next_control_] : leader_;
}

}  // namespace gv
