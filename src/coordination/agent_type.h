/** @file agent_type.h Settings, constants and small types of the agent. */
#pragma once

#include <string>
#include <vector>

#include "protocol/request_messages.h"
#include "state/clock_type.h"
#include "state/ids_type.h"

namespace gv {

inline constexpr Duration kAnnouncePeriod = 1_s;  ///< Between announcements.
inline constexpr Duration kProbePeriod = 250_ms;  ///< Between target probes.
inline constexpr Duration kTargetSilence =
    1500_ms;  ///< A target without an answer for so long counts as dead.
inline constexpr Duration kStreamLease =
    3_s;  ///< Streams of an entry end after so long without a sign of it.
inline constexpr Duration kPeerDownLease =
    1_s;  ///< What is left of the lease when the connection breaks.
inline constexpr Duration kUnlistedGrace =
    500_ms;  ///< A keepalive may be older than a dispatch by so long.
inline constexpr Duration kResendAfter =
    400_ms;  ///< Unacknowledged parts of an answer are sent again.
inline constexpr Duration kEndedLinger =
    5_s;  ///< An unacknowledged end is kept for so long.
inline constexpr Duration kAttemptMemory =
    60_s;  ///< Ended attempts stay refused for at least half of it.
inline constexpr Duration kClaimResend = 500_ms;  ///< Unanswered ClaimFinish.
inline constexpr Duration kClaimFlush =
    10_s;  ///< A planned stop without work waits so long for ClaimFinished.
inline constexpr Duration kLoadPeriod = 500_ms;  ///< Between load reports.
inline constexpr size_t kMaxAttempts = 65'536;   ///< Attempts remembered.
inline constexpr size_t kMaxRecordedBody =
    65'536;  ///< Bytes of a recorded answer.

/** Where an agent runs and what it announces. */
struct AgentSettings {
  NodeId self_;                        ///< This process.
  Incarnation incarnation_;            ///< Of this process.
  VmId vm_;                            ///< VM of this process.
  DataCentreId data_centre_;           ///< Data centre of this process.
  std::string address_;                ///< "IP:port" for peers.
  std::vector<NodeId> control_nodes_;  ///< All control processes.
  TargetInfo target_;                  ///< Announced facts of the target.
  bool target_checks_fencing_ =
      false;  ///< True if the target refuses older tokens itself.
};

/** What the agent knows from its settings session at one moment. */
struct AgentView {
  bool has_lease_ = false;  ///< True if the settings lease is valid.
  NodeId leader_;           ///< Control leader, or none.
  bool draining_ = false;   ///< The settings ask to drain the target.
};

/** One attempt, as a key. */
struct AttemptKey {
  RequestId request_;      ///< The request.
  AttemptNumber attempt_;  ///< The attempt.
  friend auto operator<=>(const AttemptKey&, const AttemptKey&) = default;
};

/** @return The name of an attempt's stream at the target. Thread safety: pure.
 */
inline std::string StreamName(const AttemptKey& key) {
  return std::to_string(key.request_.Value()) + "." +
         std::to_string(key.attempt_.Value());
}

/** @return The name of a group's reservation at the target. Thread safety:
 * pure. */
inline std::string GroupName(LeaseId lease) {
  return "group." + std::to_string(lease.Value());
}

}  // namespace gv
