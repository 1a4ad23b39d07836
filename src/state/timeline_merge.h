/** @file timeline_merge.h Selects and orders the events of many processes. */
#pragma once

#include <optional>
#include <vector>

#include "state/event_type.h"

namespace gv {

/** Which events of a time line are wanted; an unset field selects all. */
struct TimelineFilter {
  RequestId request_;              ///< Only events of this request.
  TeamId team_;                    ///< Only events of this team.
  TargetId target_;                ///< Only events of this target.
  Revision revision_;              ///< Only events of this revision.
  std::optional<int64_t> from_;    ///< Earliest wall time, in milliseconds.
  std::optional<int64_t> before_;  ///< First wall time that is too late.
};

/** @return True if @p event passes the filter. Thread safety: pure. */
bool Selects(const TimelineFilter& filter, const Event& event);

/**
 * Merges the events of many processes into one causal order.
 * @return The selected events by clock reading, then node; events read twice
 * appear once. Thread safety: pure.
 */
std::vector<Event> MergeTimeline(std::vector<Event> events,
                                 const TimelineFilter& filter);

}  // namespace gv
