/** @file registry_type.h Settings, results and constants of the registry that
 * all gateways share. */
#pragma once

#include <string>
#include <vector>

#include "coordination/gateway/retry_budget_type.h"
#include "coordination/replica_type.h"
#include "protocol/registry_messages.h"
#include "state/clock_type.h"
#include "state/enum_names.h"
#include "state/ids_type.h"

namespace gv {

/** Period of the polls of each member while a lease is held. A lease outlasts
 * several lost polls. */
inline constexpr Duration kPollPeriod = 400_ms;
/** Poll period without a lease; shorter, so that service begins soon after a
 * restart. */
inline constexpr Duration kPollPeriodWithoutLease = 100_ms;
/** One in this many polls of a member also goes to the seeds. */
inline constexpr uint64_t kPollsPerSeedPoll = 4;
/** Time after which an unanswered poll counts as lost. */
inline constexpr Duration kPollTimeout = 2_s;
/** Period of the batches of refreshed registrations. */
inline constexpr Duration kGossipPeriod = 500_ms;
/** Time without a poll after which a gateway leaves the list of gateways. */
inline constexpr Duration kGatewayTimeout = 4_s;
/** Time without a heartbeat after which a target is dropped; covers several
 * lost heartbeats. */
inline constexpr Duration kTargetDropTimeout = 10_s;
/** Time without a heartbeat after which a target counts as unreachable, while
 * heartbeats of others arrive: it has missed two of them. */
inline constexpr Duration kUnreachableTimeout = 2800_ms;
/** Time without a lease grant after which the leader counts as unreachable: it
 * has missed two polls. */
inline constexpr Duration kLeaderTimeout = 900_ms;
/** Period at which the list of unreachable targets is sent again, in case a
 * message was lost. */
inline constexpr Duration kUnreachableRepeatPeriod = 2_s;
/** Period of the batches of changed targets, for each gateway in the list.
 * Batches keep the number of messages low when thousands of targets start. */
inline constexpr Duration kChangeBatchPeriodPerNode(1);
/** Number of polls in a row with different table digests after which the tables
 * are compared part by part; changes in transit have arrived by then. */
inline constexpr int kMismatchedPollLimit = 2;
/** Time for which the row of a departed target is kept; longer than any
 * registration can be delayed. */
inline constexpr Duration kDepartedRetention = 60_s;
/** Time without a sign of life after which a member is removed, if enough
 * others remain or one can take its place. Until then the group bears no other
 * loss, and the next one may come as soon as a successor has caught up. */
inline constexpr Duration kMemberTimeout = 2_s;
/** Time for the replicas to answer a new leader, before it changes the members.
 */
inline constexpr Duration kLeaderSettle = 500_ms;
/** Election timeouts of the members' replicas. */
inline constexpr Duration kElectionMin = 600_ms;
inline constexpr Duration kElectionMax = 1100_ms;
/** Usual time from the start of the members, or the loss of their leader, to
 * the lease of a new one: of three or more replicas, whose timeouts are spread
 * evenly, the first to notice starts the election; votes and polls follow. */
inline constexpr Duration kUsualElection =
    kElectionMin + (kElectionMax - kElectionMin) / 4 + kPollPeriodWithoutLease;
/** Minimum time between two membership changes, so that each takes effect
 * before the next. */
inline constexpr Duration kMembershipPeriod = 200_ms;
/** Time after which an operation that waits for a leader completes as
 * kUnknown; the caller's own timeout is one second. */
inline constexpr Duration kOperationTimeout = 850_ms;
/** Part of the revocation bound that is reserved for differences of clock rates
 * and for delays. */
inline constexpr Duration kLeaseMargin = 600_ms;
/** Bytes of committed log entries after which a snapshot is taken. */
inline constexpr size_t kSnapshotBytes = 2 << 20;

/** Names of membership changes in log lines. */
inline constexpr std::array<EnumName<MembershipAction>, 3>
    kMembershipActionNames{{
        {MembershipAction::kAddLearner, "add-learner"},
        {MembershipAction::kPromote, "promote"},
        {MembershipAction::kRemove, "remove"},
    }};

/** Settings of a RegistryCore; they do not change while it runs. */
struct RegistrySettings {
  NodeId self_;                ///< Id of this process, by which peers reach it.
  std::vector<NodeId> seeds_;  ///< Gateways to poll before members are known.
  bool has_disk_ = false;      ///< This gateway may become a member.
  int64_t tolerated_losses_ = 1;  ///< Members that may fail at the same time.
  /** Longest time for which a gateway may serve a replaced configuration. */
  Duration revocation_bound_{5000};
  uint64_t seed_ = 0;    ///< Operation ids count up from half of it.
  RetryBounds retries_;  ///< Of each service.
};

/** Result of an operation that was sent to the leader. */
enum class OperationState : uint8_t {
  kAccepted,   ///< A quorum has synced the change or a newer one to disk.
  kConfirmed,  ///< version_ was the newest when the leader answered.
  kUnknown,    ///< No leader answered in time; the caller may retry.
};

/** A completed operation. */
struct OperationResult {
  OperationId operation_;  ///< Id returned when the operation was started.
  OperationState state_ = OperationState::kUnknown;
  uint64_t version_ = 0;  ///< Newest version, for kConfirmed; otherwise 0.
};

}  // namespace gv
