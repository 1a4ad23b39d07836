/** @file event_type.h Numbered events of the time line. */
#pragma once

#include <string>

#include "state/clock_type.h"
#include "state/ids_type.h"

namespace gv {

/** Numbers of events; names, levels and meanings stand in table/events.h. */
enum class EventId : uint16_t {
  kProcessStarted = 100,
  kProcessStopping = 101,
  kProcessStopped = 102,
  kBadInput = 103,
  kPeerDown = 104,
  kLeaderElected = 200,
  kLeaderLost = 201,
  kVoteGranted = 202,
  kSnapshotInstalled = 203,
  kSnapshotTaken = 204,
  kDiskFailed = 205,
  kReplicaAdded = 206,
  kReplicaRemoved = 207,
  kSettingsAccepted = 300,
  kSettingsRefused = 301,
  kSettingsInForce = 302,
  kSettingsApplied = 303,
  kLeaseGranted = 304,
  kLeaseLost = 305,
  kShareGranted = 306,
  kTargetAdmitted = 400,
  kTargetDraining = 401,
  kTargetGone = 402,
  kTargetFenced = 403,
  kMemoryReleased = 404,
  kRequestAdmitted = 500,
  kRequestRefused = 501,
  kRequestDispatched = 502,
  kRequestRetried = 503,
  kRequestFinished = 504,
  kRequestFailed = 505,
  kLateAnswerDropped = 506,
  kClaimGranted = 507,
  kClaimFinished = 508,
  kClaimUnknown = 509,
  kStreamPaused = 510,
  kStreamResumed = 511,
  kGroupPlaced = 512,
  kGroupReleased = 513,
  kOperationUnknown = 600,
  kLeaderFollowed = 601,
  kMembershipProposed = 602,
  kConfigurationRefused = 603,
  kConfigurationAccepted = 604,
  kLeavingAcknowledged = 605,
  kLeavingNotConfirmed = 606,
  kMemoryExceeded = 607,
  kEvacuationAccepted = 608,
  kEvacuationEnded = 609,
  kEvacuationsInForce = 650,
  kEvacuationRefused = 651,
  kConnectionsClosed = 654,
  kEvacuationForwarded = 655,
  kEvacuationOutdated = 656,
  kDepartureOutdated = 657,
  kConfigurationApplied = 658,
  kForwardAdmitted = 610,
  kForwardRefused = 611,
  kForwardSent = 612,
  kForwardRetried = 613,
  kForwardResumed = 614,
  kForwardFinished = 615,
  kForwardFailed = 616,
  kForwardAbandoned = 617,
  kForwardHeld = 618,
  kForwardNotRetried = 619,
  kForwardAttemptEnded = 641,
  kRetryGranted = 626,
  kRetryRefused = 627,
  kEngineCrashed = 628,
  kPartQuarantined = 635,
  kPartAnswered = 636,
  kTargetLimitNamed = 637,
  kTargetLimitOver = 638,
  kLimitGranted = 639,
  kLimitRefused = 640,
  kTargetCold = 652,
  kTargetWarm = 653,
  kTargetSuspected = 620,
  kTargetTrusted = 621,
  kTargetPaused = 625,
  kReservationMade = 622,
  kReservationReleased = 623,
  kReservationRefused = 624,
  kLogLinesDropped = 630,
  kSettingsReloaded = 631,
  kDependencyLost = 632,
  kDependencyRegained = 633,
  kInternalError = 634,
};

/** One event. Only the fields that apply are set. */
struct Event {
  EventId id_ = EventId::kProcessStarted;  ///< Its number.
  NodeId node_;                            ///< Where it happened.
  HlcTime hlc_;                            ///< When, in causal order.
  RequestId request_;                      ///< Request, or none.
  TeamId team_;                            ///< Team, or none.
  TargetId target_;                        ///< Target, or none.
  Revision revision_;   ///< Revision of the settings, or none.
  std::string detail_;  ///< For people.
};

}  // namespace gv
