/** @file registry_type.h Settings, results and constants of the registry that
 * all gateways share. */
#pragma once

#include <string>
#include <vector>

#include "coordination/replica_type.h"
#include "protocol/registry_messages.h"
#include "state/clock_type.h"
#include "state/enum_names.h"
#include "state/ids_type.h"

namespace gv {

/** Between two polls of each member; a lease survives several lost ones. */
inline constexpr Duration kPollPeriod = 400_ms;
/** The same while there is no lease, so that service begins at once after a
 * restart. */
inline constexpr Duration kEagerPollPeriod = 100_ms;
/** Every so many polls of a member also go to the seeds. */
inline constexpr uint64_t kGreetingPolls = 4;
/** A poll that is not answered by then is lost. */
inline constexpr Duration kPollTimeout = 2_s;
/** Refreshed registrations travel in batches of this period. */
inline constexpr Duration kGossipPeriod = 500_ms;
/** A gateway that did not poll for so long is not listed any more. */
inline constexpr Duration kNodeSilence = 4_s;
/** Targets miss several registrations before they are dropped. */
inline constexpr Duration kRegistrationSilence = 10_s;
/** Without a registration for this time a target has missed two of them, while
 * others were heard. */
inline constexpr Duration kMissedRegistrations = 2800_ms;
/** A leader that granted nothing for this time has missed two polls. */
inline constexpr Duration kLeaderMissed = 900_ms;
/** Silent targets are told again after this time, in case a message was lost.
 */
inline constexpr Duration kSilentRepeat = 2_s;
/** Changed targets are passed on in batches of this period for each gateway, so
 * that a start of thousands of targets costs few messages. */
inline constexpr Duration kSpreadPeriodPerNode(1);
/** A table that differs for so many polls in a row is compared by parts;
 * changes that are on their way settle before. */
inline constexpr int kDifferentPolls = 2;
/** A departed target is remembered for longer than any registration is late. */
inline constexpr Duration kDepartedMemory = 60_s;
/** A silent voter is removed after this time if enough others remain. */
inline constexpr Duration kVoterSilence = 8_s;
/** Between two membership changes, so that each is seen before the next. */
inline constexpr Duration kMembershipPeriod = 200_ms;
/** Operations that wait for a leader end as "not known" after this time; the
 * caller's own timeout is one second. */
inline constexpr Duration kOperationTimeout = 850_ms;
/** Part of the revocation bound that is kept for clock rates and delays. */
inline constexpr Duration kLeaseMargin = 600_ms;
/** Log bytes after which a snapshot is taken. */
inline constexpr size_t kSnapshotBytes = 2 << 20;

inline constexpr std::array<EnumName<MembershipAction>, 3>
    kMembershipActionNames{{
        {MembershipAction::kAddLearner, "add-learner"},
        {MembershipAction::kPromote, "promote"},
        {MembershipAction::kRemove, "remove"},
    }};

/** Fixed settings of a registry core. */
struct RegistrySettings {
  NodeId self_;                   ///< This process; its address for peers.
  std::vector<NodeId> seeds_;     ///< Gateways that may be asked first.
  bool has_disk_ = false;         ///< May become a member.
  int64_t tolerated_losses_ = 1;  ///< Members that may be lost at once.
  Duration revocation_{5000};     ///< Longest use of a revoked configuration.
  uint64_t seed_ = 0;             ///< For operation ids.
};

/** What an operator's call came to. */
enum class OperationState : uint8_t {
  kAccepted,   ///< A quorum has synced the change, or a newer one.
  kConfirmed,  ///< version_ was the newest when the leader answered.
  kUnknown,    ///< No leader answered; the caller may ask again.
};

/** The end of an operation. */
struct OperationEnd {
  OperationId operation_;                            ///< Which one.
  OperationState state_ = OperationState::kUnknown;  ///< What came of it.
  uint64_t version_ = 0;                             ///< For kConfirmed.
};

}  // namespace gv
