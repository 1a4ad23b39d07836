/** @file settings_session.h The settings lease of an entry or agent, and the
 * settings that it serves under. */
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "protocol/outbox.h"
#include "state/settings_tree.h"

namespace gv {

/** Who holds a settings lease. */
struct SessionIdentity {
  Incarnation incarnation_;            ///< Grows with each start.
  std::string roles_;                  ///< Comma-separated role names.
  VmId vm_;                            ///< VM of the process.
  DataCentreId data_centre_;           ///< Data centre of the process.
  std::string address_;                ///< "IP:port" for its peers.
  std::vector<NodeId> control_nodes_;  ///< All control processes.
};

/**
 * Holds the settings lease of one process. It finds the leading control process
 * by trying all of them, renews the lease, applies settings in order of their
 * revisions and confirms each. Without a lease the process may not admit work.
 * A restarted process has no lease until a leader granted one at the newest
 * revision. Thread safety: owned by the control thread.
 */
class SettingsSession {
 public:
  /** @pre @p identity names at least one control process. */
  explicit SettingsSession(SessionIdentity identity);

  /**
   * Handles a message of the session, and Tick and PeerDown besides.
   * @return True if the message was for the session alone; the core that holds
   * the session goes on with Tick, PeerDown and everything else.
   */
  bool OnMessage(TimePoint now, const Envelope& in, Outbox& out);

  /** @return True while the process may serve under Tree(). */
  bool HasLease(TimePoint now) const { return now < lease_end_; }
  /** @return When the lease ends unless it is renewed. */
  TimePoint LeaseEnd() const { return lease_end_; }
  /** @return The newest settings that this process has. */
  const SettingsTree& Tree() const { return tree_; }
  /** @return The revision of Tree(). */
  Revision Applied() const { return tree_.CurrentRevision(); }
  /** @return The control process that leads as far as known, or none. */
  const NodeId& Leader() const { return leader_; }
  /** Sets the version of the list of targets that the next renewals carry. */
  void SetTargetsVersion(uint64_t version) { targets_version_ = version; }

 private:
  void OnTick(TimePoint now, Outbox& out);
  void OnGrant(TimePoint now, const NodeId& from, const SessionGrant& grant,
               Outbox& out);
  void OnRedirect(TimePoint now, const NodeId& from,
                  const SessionRedirect& redirect);
  void OnDelta(TimePoint now, const SettingsDelta& delta, Outbox& out);
  void OnSnapshot(TimePoint now, const SettingsSnapshot& part, Outbox& out);
  void OnPeerDown(const NodeId& peer);
  void TakePendingGrant(TimePoint now, Outbox& out);
  void ApplyNewer(TimePoint now, Outbox& out);
  void SendRenew(TimePoint now, Outbox& out);
  void TryNextControl();
  const NodeId& Target() const;

  SessionIdentity identity_;             ///< Of this process.
  SettingsTree tree_;                    ///< Served under.
  TimePoint lease_end_;                  ///< End of the lease.
  bool had_lease_ = false;               ///< Until its loss was recorded.
  Duration lease_length_;                ///< Of the last grant.
  NodeId leader_;                        ///< Leads as far as known, or none.
  size_t next_control_ = 0;              ///< Tried while leader_ is none.
  uint64_t targets_version_ = 0;         ///< Sent with renewals.
  TimePoint sent_at_;                    ///< Of the last renewal.
  TimePoint granted_at_;                 ///< Of the last grant.
  bool awaiting_ = false;                ///< The last renewal has no answer.
  int unanswered_ = 0;                   ///< Renewals since the last answer.
  bool renew_now_ = true;                ///< Renew at the next Tick.
  std::optional<SessionGrant> pending_;  ///< Grant at a newer revision.
  std::vector<SettingsSnapshot> parts_;  ///< Parts of one snapshot so far.
};

}  // namespace gv
