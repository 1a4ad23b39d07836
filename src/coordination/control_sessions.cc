/** @file control_sessions.cc Grants settings leases and distributes settings.
 */
#include "coordination/control_sessions.h"

#include <algorithm>
#include <utility>

namespace gv {
namespace {

constexpr Duration kResendAfter(50);
constexpr Duration kResendSnapshotAfter(200);
constexpr int kMostDoublings = 3;
constexpr Duration kForgetAfter(60'000);  // silent sessions, for the status
constexpr Duration kCleanUpEvery(1'000);
constexpr size_t kMaxPartBytes = 48 * 1024;
constexpr size_t kEditOverheadBytes = 8;

size_t BytesOf(const SettingsEdit& edit) {
  return edit.path_.size() + edit.value_.size() + kEditOverheadBytes;
}

size_t BytesOf(const std::vector<SettingsEdit>& edits) {
  size_t bytes = 0;
  for (const SettingsEdit& edit : edits) {
    bytes += BytesOf(edit);
  }
  return bytes;
}

/** Cuts edits into lists of at most kMaxPartBytes each; at least one list. */
std::vector<std::vector<SettingsEdit>> CutIntoParts(
    std::vector<SettingsEdit> edits) {
  std::vector<std::vector<SettingsEdit>> parts(1);
  size_t bytes = 0;
  for (SettingsEdit& edit : edits) {
    if (bytes + BytesOf(edit) > kMaxPartBytes && !parts.back().empty()) {
      parts.emplace_back();
      bytes = 0;
    }
    bytes += BytesOf(edit);
    parts.back().push_back(std::move(edit));
  }
  return parts;
}

/** @return How long to wait for a confirmation before the next resend. */
Duration WaitBefore(int resends, bool is_snapshot) {
  const Duration first = is_snapshot ? kResendSnapshotAfter : kResendAfter;
  return first * (int64_t{1} << std::min(resends, kMostDoublings));
}

}  // namespace

void ControlSessions::StartTerm(TimePoint now, Duration outstanding) {
  sessions_.clear();
  next_cleanup_ = now;
  book_.StartTerm(now, outstanding);
}

void ControlSessions::EndTerm() { sessions_.clear(); }

bool ControlSessions::StartSession(TimePoint now, const Endpoint& from,
                                   const SessionRenew& renew, Outbox& out) {
  const auto [it, is_new] = sessions_.try_emplace(from);
  Session& session = it->second;
  if (!is_new && renew.incarnation_ < session.last_.incarnation_) {
    return false;
  }
  if (is_new || renew.address_ != session.last_.address_) {
    out.SendLocal(Port::kTransport, PeerAddress{from.node_, renew.address_});
  }
  if (!is_new && renew.incarnation_ > session.last_.incarnation_) {
    session = Session{};
    book_.OnRestart(from);
  }
  session.last_ = renew;
  session.confirmed_ = std::max(session.confirmed_, renew.confirmed_);
  session.renewed_at_ = now;
  return true;
}

void ControlSessions::OnRenew(TimePoint now, const Endpoint& from,
                              const SessionRenew& renew,
                              const SettingsState& settings, Outbox& out) {
  const Revision newest = settings.Tree().CurrentRevision();
  if (renew.confirmed_ > newest) {
    Event event;
    event.id_ = EventId::kBadInput;
    event.revision_ = renew.confirmed_;
    event.detail_ =
        from.node_.Value() + " serves under an unknown newer revision";
    out.Record(std::move(event));
    return;
  }
  if (!StartSession(now, from, renew, out)) {
    return;
  }
  Session& session = sessions_[from];
  book_.OnConfirm(from, session.confirmed_);
  const bool has_gap = renew.confirmed_ < session.sent_from_;
  const bool is_sent =
      session.sent_to_ == newest && now < session.resend_at_ && !has_gap;
  if (session.confirmed_ < newest && !is_sent) {
    SendSettings(now, from, session, session.confirmed_, settings, out);
  }
  const Duration length(settings.Tree().Int("session.lease_ms"));
  book_.OnGrant(now, from, newest, length);
  out.Send(from, SessionGrant{renew.sent_at_ms_, length, newest});
}

void ControlSessions::Push(TimePoint now, const SettingsState& settings,
                           Outbox& out) {
  const Revision newest = settings.Tree().CurrentRevision();
  for (auto& [holder, session] : sessions_) {
    const Revision from = std::max(session.sent_to_, session.confirmed_);
    if (from < newest && book_.HasLease(now, holder)) {
      SendSettings(now, holder, session, from, settings, out);
    }
  }
}

void ControlSessions::OnTick(TimePoint now, const SettingsState& settings,
                             Outbox& out) {
  const Revision newest = settings.Tree().CurrentRevision();
  for (auto& [holder, session] : sessions_) {
    if (session.confirmed_ < newest && now >= session.resend_at_ &&
        book_.HasLease(now, holder)) {
      SendSettings(now, holder, session, session.confirmed_, settings, out);
    }
  }
  if (now < next_cleanup_) {
    return;
  }
  next_cleanup_ = now + kCleanUpEvery;
  book_.DropExpired(now);
  std::erase_if(sessions_, [now](const auto& item) {
    return now - item.second.renewed_at_ > kForgetAfter;
  });
}

void ControlSessions::SendSettings(TimePoint now, const Endpoint& to,
                                   Session& session, Revision from,
                                   const SettingsState& settings, Outbox& out) {
  const Revision newest = settings.Tree().CurrentRevision();
  auto edits = settings.EditsSince(from);
  const bool is_delta = edits && BytesOf(*edits) <= kMaxPartBytes;
  if (is_delta) {
    out.Send(to, SettingsDelta{from, newest, std::move(*edits)});
  } else {
    SendSnapshot(to, settings, out);
  }
  session.resends_ = session.sent_to_ == newest ? session.resends_ + 1 : 0;
  session.sent_from_ = from;
  session.sent_to_ = newest;
  session.resend_at_ = now + WaitBefore(session.resends_, !is_delta);
}

void ControlSessions::SendSnapshot(const Endpoint& to,
                                   const SettingsState& settings, Outbox& out) {
  auto parts = CutIntoParts(settings.Tree().Dump());
  for (size_t i = 0; i < parts.size(); ++i) {
    SettingsSnapshot message;
    message.revision_ = settings.Tree().CurrentRevision();
    message.edits_ = std::move(parts[i]);
    message.part_ = static_cast<uint32_t>(i);
    message.parts_ = static_cast<uint32_t>(parts.size());
    out.Send(to, std::move(message));
  }
}

std::vector<SessionInfo> ControlSessions::List(TimePoint now) const {
  std::vector<SessionInfo> list;
  list.reserve(sessions_.size());
  for (const auto& [holder, session] : sessions_) {
    SessionInfo info;
    info.holder_ = holder;
    info.incarnation_ = session.last_.incarnation_;
    info.roles_ = session.last_.roles_;
    info.vm_ = session.last_.vm_;
    info.data_centre_ = session.last_.data_centre_;
    info.address_ = session.last_.address_;
    info.confirmed_ = session.confirmed_;
    info.has_lease_ = book_.HasLease(now, holder);
    info.silent_ = now - session.renewed_at_;
    list.push_back(std::move(info));
  }
  return list;
}

}  // namespace gv
