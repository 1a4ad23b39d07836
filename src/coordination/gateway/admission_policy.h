/** @file admission_policy.h Decides how late a prompt may begin and when the
 * caller of a refused one should return. */
#pragma once

#include "state/clock_type.h"

namespace gv {

/** Times of a request that decide how long it may wait for its first event. */
struct RequestTimes {
  Duration objective_;  ///< Of its route, for the first event.
  Duration timeout_;    ///< Of its route.
  Duration deadline_;   ///< That the caller gave, else timeout_.
};

/** @return True if the caller has probably been refused before: its deadline is
 * well below the route's timeout, which it gives at its first try. Thread
 * safety: pure. */
bool IsCallerRetry(const RequestTimes& times);

/**
 * Load pattern: a crest of short prompts that needs more slots than there are
 * for some seconds, or the prompts that return together after a restart. A
 * refused caller is back after a third of its time at the latest, so it is
 * served earlier if it waits that long here.
 * @param is_long The prompt is prefilled by several engines.
 * @return Longest time from the arrival of a prompt to its first event; a
 * prompt that would begin later is refused at once. Thread safety: pure.
 */
Duration LatestFirstEvent(const RequestTimes& times, bool is_long);

/** @return Retry-After of a prompt that the leader refuses.
 * @param wait Predicted wait of the prompt. Thread safety: pure. */
Duration RetryAfterLeaderRefusal(Duration wait);

/** @return Retry-After of a prompt that was refused without the leader.
 * @param wait Predicted wait of the prompt. Thread safety: pure. */
Duration RetryAfterOwnRefusal(Duration wait);

/** @return Longest predicted wait with which a gateway places a prompt itself.
 * Thread safety: pure. */
Duration MaxWaitWithoutLeader(const RequestTimes& times);

}  // namespace gv
