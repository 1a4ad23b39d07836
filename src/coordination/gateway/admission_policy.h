/** @file admission_policy.h Decides which requests can be served in the time of
 * their callers, and when the caller of a refused one should return. */
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>

#include "state/clock_type.h"

namespace gv {

/** Time that a request still needs, as predicted. */
struct WorkLeft {
  Duration first_event_;  ///< Until its first event, waiting included.
  Duration answer_;       ///< From there to the end of its answer.
};

/** Time that a caller gives its request. */
struct CallerTime {
  Duration left_;  ///< Until its deadline.
  /** Until callers usually disconnect without a first event, if known. */
  std::optional<Duration> until_leaves_;
  /** @return Longest time to a first event that the caller waits for. */
  Duration ForFirstEvent() const {
    return std::min(left_, until_leaves_.value_or(left_));
  }
};

/**
 * Load pattern: a crest that needs more engines than there are. Who can still
 * get a whole answer waits for it; everyone else is told at once.
 * @return True if the caller can get its whole answer. Thread safety: pure.
 */
bool CanFinish(const CallerTime& time, const WorkLeft& work);

/** @return Longest time to the first event of a request whose answer takes @p
 * answer; negative if it cannot be finished. Thread safety: pure. */
Duration LatestFirstEvent(Duration time_left, Duration answer);

/**
 * Load pattern: prompts of several ranks wait for the same engines. A rank is
 * served before the next one, but a prompt never waits behind those that arrive
 * long after it: it is due when half to three quarters of its slack are used
 * up, the lower its rank the later.
 * @param slack Time until it has to begin at the latest.
 * @param rank Priority of its caller; zero is served first.
 * @return Time until its turn. Thread safety: pure.
 */
Duration DueIn(Duration slack, int64_t rank);

/** A request that is refused. */
struct RefusedRequest {
  std::optional<Duration> room_in_;  ///< Until there is room for it, if known.
  Duration time_left_;               ///< Until its caller stops waiting.
  Duration work_;                    ///< That it takes without any waiting.
  double spread_ = 0;                ///< From 0 to 1, differs between callers.
};

/**
 * Load pattern: callers that are refused together come back together. They are
 * spread over the time in which there is room and they can still be served,
 * and which they follow.
 * @return When the caller should return; if there is no room in its time, when
 * there is some. Thread safety: pure.
 */
Duration ReturnAfter(const RefusedRequest& request);

}  // namespace gv
