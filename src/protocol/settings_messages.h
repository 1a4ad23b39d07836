/** @file settings_messages.h Settings commands, settings leases and the
 * operators' calls. */
#pragma once

#include <string>
#include <vector>

#include "state/clock_type.h"
#include "state/ids_type.h"
#include "state/settings_change.h"

namespace gv {

/** Entry or agent to control: renews the settings lease and confirms a
 * revision. */
struct SessionRenew {
  Incarnation incarnation_;   ///< Of the sending process.
  std::string roles_;         ///< Comma-separated role names.
  VmId vm_;                   ///< VM of the process.
  DataCentreId data_centre_;  ///< Data centre of the process.
  std::string address_;       ///< "IP:port" for its peers.
  Revision confirmed_;        ///< The revision that the process serves under.
  uint64_t targets_version_ = 0;  ///< Newest TargetUpdate that it has.
  int64_t sent_at_ms_ =
      0;  ///< Sender's clock; echoed, the lease counts from it.
};

/** Control to entry or agent: the lease is valid for duration_ from
 * sent_at_ms_. */
struct SessionGrant {
  int64_t sent_at_ms_ = 0;  ///< Echo of SessionRenew.
  Duration duration_;       ///< Length of the lease.
  Revision revision_;  ///< Newest accepted revision; the holder must apply it
                       ///< to renew.
};

/** Control to entry or agent: this control process does not lead. */
struct SessionRedirect {
  NodeId leader_;  ///< The leader, or none if unknown.
};

/** Control to entry or agent: edits that lead from one revision to another. */
struct SettingsDelta {
  Revision from_;                    ///< Must equal the receiver's revision.
  Revision to_;                      ///< The revision after the edits.
  std::vector<SettingsEdit> edits_;  ///< In order.
};

/** Control to entry or agent: the whole tree, in place of too long a delta. */
struct SettingsSnapshot {
  Revision revision_;  ///< The revision of the tree.
  std::vector<SettingsEdit>
      edits_;  ///< Every path that differs from its default, or a part of them.
  uint32_t part_ = 0;   ///< Number of this part, from zero.
  uint32_t parts_ = 1;  ///< Parts of the whole snapshot.
};

/** Operator to control, through the JSON-RPC listener: one call. */
struct OperatorCall {
  OperationId operation_;      ///< Matches the reply.
  std::string operator_name_;  ///< Authenticated name.
  std::string method_;         ///< For example "settings.set".
  std::string params_;         ///< JSON text.
};

/** Control to operator: the result of one call. */
struct OperatorReply {
  OperationId operation_;  ///< Matches the call.
  bool ok_ = false;        ///< False if error_ is set.
  std::string result_;     ///< JSON text.
  std::string reason_;     ///< Name of the Reason, if not ok_.
  std::string error_;      ///< For people, if not ok_.
};

/** Entry to control: demand for a share of a team's limits. */
struct ShareRequest {
  TeamId team_;                    ///< The team.
  int64_t tokens_per_second_ = 0;  ///< Demand.
  int64_t concurrent_ = 0;         ///< Demand for requests in progress.
  int64_t sent_at_ms_ = 0;         ///< Sender's clock; echoed.
  int64_t in_progress_ = 0;        ///< Requests in progress at the entry.
};

/** Control to entry: the leased share of a team's limits. */
struct ShareGrant {
  TeamId team_;        ///< The team.
  LeaseId lease_;      ///< Grows with each grant to this entry and team.
  Revision revision_;  ///< The revision whose limit this is a part of.
  int64_t tokens_per_second_ = 0;  ///< Granted rate.
  int64_t concurrent_ = 0;         ///< Granted requests in progress.
  int64_t sent_at_ms_ = 0;  ///< Echo of ShareRequest; the lease counts from it.
  Duration duration_;       ///< Length of the lease.
};

}  // namespace gv
