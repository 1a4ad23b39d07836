/** @file events.h One row for each event: number, name, level and meaning. */
#pragma once

#include <array>
#include <string_view>

#include "state/event_type.h"

namespace gv {

/** How much an event matters. */
enum class EventLevel : uint8_t { kDebug, kInfo, kWarning, kError };

/** One row of the event catalogue. */
struct EventRow {
  EventId id_;                ///< The number.
  std::string_view name_;     ///< The name in logs.
  EventLevel level_;          ///< How much it matters.
  std::string_view meaning_;  ///< For people.
};

inline constexpr std::array<EventRow, 39> kEvents{{
    {EventId::kProcessStarted, "process-started", EventLevel::kInfo,
     "A process started with its roles."},
    {EventId::kProcessStopping, "process-stopping", EventLevel::kInfo,
     "A planned stop began."},
    {EventId::kProcessStopped, "process-stopped", EventLevel::kInfo,
     "A planned stop ended; nothing was cut."},
    {EventId::kBadInput, "bad-input", EventLevel::kWarning,
     "A message or request could not be read."},
    {EventId::kPeerDown, "peer-down", EventLevel::kInfo,
     "The connection to a peer broke."},
    {EventId::kLeaderElected, "leader-elected", EventLevel::kInfo,
     "A control process became leader."},
    {EventId::kLeaderLost, "leader-lost", EventLevel::kInfo,
     "A control process stopped leading."},
    {EventId::kVoteGranted, "vote-granted", EventLevel::kDebug,
     "A control process gave its vote."},
    {EventId::kSnapshotInstalled, "snapshot-installed", EventLevel::kInfo,
     "A replica replaced its state by a snapshot."},
    {EventId::kSnapshotTaken, "snapshot-taken", EventLevel::kInfo,
     "A replica wrote a snapshot and cut its log."},
    {EventId::kDiskFailed, "disk-failed", EventLevel::kError,
     "A write or sync failed; the replica acknowledges nothing more."},
    {EventId::kReplicaAdded, "replica-added", EventLevel::kInfo,
     "A replica joined the control group."},
    {EventId::kReplicaRemoved, "replica-removed", EventLevel::kInfo,
     "A replica left the control group."},
    {EventId::kSettingsAccepted, "settings-accepted", EventLevel::kInfo,
     "A change of the settings was accepted by a quorum."},
    {EventId::kSettingsRefused, "settings-refused", EventLevel::kInfo,
     "A change of the settings was refused."},
    {EventId::kSettingsInForce, "settings-in-force", EventLevel::kInfo,
     "A revision is in force everywhere."},
    {EventId::kSettingsApplied, "settings-applied", EventLevel::kInfo,
     "A process serves under a new revision."},
    {EventId::kLeaseGranted, "lease-granted", EventLevel::kDebug,
     "A process got a settings lease."},
    {EventId::kLeaseLost, "lease-lost", EventLevel::kWarning,
     "A settings lease ran out."},
    {EventId::kShareGranted, "share-granted", EventLevel::kDebug,
     "An entry got a share of a team limit."},
    {EventId::kTargetAdmitted, "target-admitted", EventLevel::kInfo,
     "A target was admitted with a fencing token."},
    {EventId::kTargetDraining, "target-draining", EventLevel::kInfo,
     "A target takes no new work."},
    {EventId::kTargetGone, "target-gone", EventLevel::kInfo,
     "A target left or was lost."},
    {EventId::kTargetFenced, "target-fenced", EventLevel::kWarning,
     "Work or an order under an old token was refused."},
    {EventId::kMemoryReleased, "memory-released", EventLevel::kInfo,
     "Memory without an owner was freed at a target."},
    {EventId::kRequestAdmitted, "request-admitted", EventLevel::kDebug,
     "A request was admitted."},
    {EventId::kRequestRefused, "request-refused", EventLevel::kInfo,
     "A request was refused; it did not run."},
    {EventId::kRequestDispatched, "request-dispatched", EventLevel::kDebug,
     "An attempt was sent to an agent."},
    {EventId::kRequestRetried, "request-retried", EventLevel::kInfo,
     "A failed attempt is followed by another."},
    {EventId::kRequestFinished, "request-finished", EventLevel::kInfo,
     "A request got its whole answer."},
    {EventId::kRequestFailed, "request-failed", EventLevel::kInfo,
     "A request ended with a verdict."},
    {EventId::kLateAnswerDropped, "late-answer-dropped", EventLevel::kInfo,
     "A part of an older attempt was dropped."},
    {EventId::kClaimGranted, "claim-granted", EventLevel::kDebug,
     "An at-most-once claim was recorded."},
    {EventId::kClaimFinished, "claim-finished", EventLevel::kDebug,
     "The result of a claim was recorded."},
    {EventId::kClaimUnknown, "claim-unknown", EventLevel::kWarning,
     "Nobody knows whether a claimed request ran."},
    {EventId::kStreamPaused, "stream-paused", EventLevel::kDebug,
     "A stream was paused for more urgent work."},
    {EventId::kStreamResumed, "stream-resumed", EventLevel::kDebug,
     "A paused stream goes on."},
    {EventId::kGroupPlaced, "group-placed", EventLevel::kInfo,
     "Memory on several engines was reserved for one prompt."},
    {EventId::kGroupReleased, "group-released", EventLevel::kInfo,
     "Memory on several engines was freed."},
}};

}  // namespace gv
