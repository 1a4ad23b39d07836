/** @file control_sessions.h The leader's side of the settings sessions: leases,
 * deltas, snapshots, and what is in force. */
#pragma once

#include <map>
#include <vector>

#include "coordination/in_force.h"
#include "protocol/outbox.h"
#include "state/settings_state.h"

namespace gv {

/** A process with a settings session, as the leader sees it. */
struct SessionInfo {
  Endpoint holder_;           ///< The process and its part.
  Incarnation incarnation_;   ///< Newest one seen.
  std::string roles_;         ///< Comma-separated role names.
  VmId vm_;                   ///< Its VM.
  DataCentreId data_centre_;  ///< Its data centre.
  std::string address_;       ///< "IP:port" for its peers.
  Revision confirmed_;        ///< Serves under this revision.
  bool has_lease_ = false;    ///< False if it is cut off or gone.
  Duration silent_;           ///< Since its last renewal.
};

/**
 * Grants settings leases and distributes settings while this process leads.
 * Every method but StartTerm and EndTerm wants a leader with a leader lease
 * that committed an entry in its term. Thread safety: owned by the control
 * thread.
 */
class ControlSessions {
 public:
  /** Starts a term; leases of earlier leaders may run for @p outstanding. */
  void StartTerm(TimePoint now, Duration outstanding);
  /** Forgets all sessions. */
  void EndTerm();

  /** Handles a renewal: sends missing settings, grants a lease. */
  void OnRenew(TimePoint now, const Endpoint& from, const SessionRenew& renew,
               const SettingsState& settings, Outbox& out);

  /** Sends the newest settings to all holders after commits. */
  void Push(TimePoint now, const SettingsState& settings, Outbox& out);

  /** Resends what holders did not confirm, and forgets silent ones. */
  void OnTick(TimePoint now, const SettingsState& settings, Outbox& out);

  const InForceBook& Book() const { return book_; }
  /** @return All known sessions, by name. */
  std::vector<SessionInfo> List(TimePoint now) const;

 private:
  /** One session. */
  struct Session {
    SessionRenew last_;     ///< The newest renewal.
    Revision confirmed_;    ///< Of this incarnation.
    TimePoint renewed_at_;  ///< When last_ came.
    Revision sent_from_;    ///< Start of the last delta sent.
    Revision sent_to_;      ///< End of the last delta or snapshot sent.
    TimePoint resend_at_;   ///< When to send again without a confirmation.
    int resends_ = 0;       ///< Of sent_to_ so far.
  };

  void SendSettings(TimePoint now, const Endpoint& to, Session& session,
                    Revision from, const SettingsState& settings, Outbox& out);
  void SendSnapshot(const Endpoint& to, const SettingsState& settings,
                    Outbox& out);
  bool StartSession(TimePoint now, const Endpoint& from,
                    const SessionRenew& renew, Outbox& out);

  InForceBook book_;                      ///< Leases of this term.
  std::map<Endpoint, Session> sessions_;  ///< By process.
  TimePoint next_cleanup_;                ///< When to forget silent ones.
};

}  // namespace gv
