/** @file leadership_view.h What the control service knows about its replica. */
#pragma once

#include <string>
#include <vector>

#include "state/clock_type.h"
#include "state/ids_type.h"

namespace gv {

/** One replica of the control group, for the status. */
struct ReplicaStatus {
  NodeId node_;             ///< The process.
  bool voter_ = false;      ///< False for a learner.
  bool active_ = false;     ///< True if it answered recently.
  bool caught_up_ = false;  ///< True if a learner may be promoted.
  bool disk_lost_ = false;  ///< True if it answers with another disk.
  LogIndex match_;          ///< Last index known to be durable there.
  uint64_t lag_ = 0;        ///< Entries that it lacks.
};

/** The replica's view of leadership at one step. */
struct LeadershipView {
  NodeId self_;               ///< This process.
  NodeId leader_;             ///< Leader of the term, or none if unknown.
  Term term_;                 ///< Current term.
  bool is_leader_ = false;    ///< This replica leads, as far as it knows.
  bool may_serve_ = false;    ///< It leads with a leader lease and committed an
                              ///< entry in its term.
  bool disk_failed_ = false;  ///< It is out of service.
  LogIndex commit_;           ///< Last committed index.
  std::vector<ReplicaStatus> replicas_;  ///< Filled for operator calls only.
};

}  // namespace gv
