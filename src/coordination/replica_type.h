/** @file replica_type.h Settings, members and persisted state of one replica of
 * the control log. */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "protocol/control_messages.h"
#include "state/clock_type.h"
#include "state/ids_type.h"

namespace gv {

/** Disk identity of every replica that took part in the first start of a
 * cluster. All other disks have larger ones of their own. */
inline constexpr Incarnation kBootstrapDisk{1};

/** What a replica is doing. */
enum class ReplicaRole : uint8_t {
  kFollower,
  kPreCandidate,
  kCandidate,
  kLeader
};

/** One member of the control group. */
struct ReplicaMember {
  NodeId node_;         ///< The process.
  bool voter_ = false;  ///< False for a learner.
  Incarnation disk_;    ///< Disk that may vote; none for a learner.
  friend bool operator==(const ReplicaMember&, const ReplicaMember&) = default;
};

/** The kinds of membership change; each is one log entry. */
enum class MembershipAction : uint8_t {
  kAddLearner,  ///< A new member, or a voter that lost its disk: it learns.
  kPromote,     ///< A learner that has caught up becomes a voter.
  kRemove,      ///< The member leaves.
};

/** One membership change. */
struct MembershipChange {
  MembershipAction action_ = MembershipAction::kAddLearner;  ///< What to do.
  NodeId node_;                                              ///< With whom.
};

/** Fixed settings of one replica. Lengths of time need
 * heartbeat < lease < election_min < election_max. */
struct ReplicaSettings {
  NodeId self_;                          ///< This process.
  std::vector<NodeId> initial_members_;  ///< Voters of the first start.
  uint64_t seed_ = 0;                    ///< For election timeouts.
  Duration heartbeat_{50};               ///< Between two rounds of the leader.
  Duration lease_{300};         ///< Leader lease before the drift margin.
  Duration election_min_{400};  ///< Votes are refused this long after a leader
                                ///< was heard.
  Duration election_max_{800};  ///< Upper bound of the random timeout.
  size_t batch_bytes_ = 65536;  ///< Most payload bytes in one message.
  size_t window_bytes_ = 262144;      ///< Most unconfirmed bytes to a follower.
  uint64_t snapshot_entries_ = 4096;  ///< Applied entries between snapshots.
  uint64_t uncommitted_entries_ = 4096;  ///< Proposals beyond are refused.
  uint64_t tail_entries_ = 1024;  ///< Entries kept in memory for followers
                                  ///< behind the snapshot.
};

/** What a replica finds on its disk when it starts. */
struct PersistedReplica {
  Term term_;                          ///< Current term.
  NodeId voted_for_;                   ///< Vote in this term, or none.
  LogIndex snapshot_index_;            ///< Last index of the snapshot, or none.
  Term snapshot_term_;                 ///< Term of that entry.
  std::string snapshot_;               ///< As given to DiskSaveSnapshot.
  std::vector<LogEntry> entries_;      ///< All entries after the snapshot.
  Incarnation disk_ = kBootstrapDisk;  ///< Identity of the disk.
  bool bootstrap_ = true;  ///< True if the disk may take part in the first
                           ///< start of the cluster.
  bool ready_ = true;      ///< True if it does: all members were empty then.
};

/** How far one member has got, as the leader sees it. */
struct ReplicaProgress {
  NodeId node_;             ///< The member.
  bool voter_ = false;      ///< False for a learner.
  LogIndex match_;          ///< Last index known to be durable there.
  uint64_t lag_ = 0;        ///< Entries of the leader's log that it lacks.
  bool caught_up_ = false;  ///< True if a learner may be promoted now.
  TimePoint heard_;         ///< Last answer in this term; zero if none.
  bool active_ = false;     ///< True if it answered recently.
  bool disk_lost_ = false;  ///< True if a voter answers with another disk.
};

}  // namespace gv
