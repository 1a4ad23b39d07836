/** @file admission_policy.cc Limits of waiting, and times to return. */
#include "coordination/gateway/admission_policy.h"

#include <algorithm>

namespace gv {
namespace {

/** Callers follow Retry-After up to this part of the time that they have left.
 */
constexpr int64_t kFollowedDivisor = 3;
/** A caller that returned at once would be refused again. */
constexpr Duration kLeastReturn = 50_ms;

}  // namespace

bool CanFinish(const CallerTime& time, const WorkLeft& work) {
  return work.first_event_ <=
         std::min(time.ForFirstEvent(),
                  LatestFirstEvent(time.left_, work.answer_));
}

Duration LatestFirstEvent(Duration time_left, Duration answer) {
  return time_left - answer;
}

Duration DueIn(Duration slack, int64_t rank) {
  const Duration quarter = slack / 4;
  return quarter * 3 - quarter / (std::max<int64_t>(0, rank) + 1);
}

Duration ReturnAfter(const RefusedRequest& request) {
  const Duration latest =
      std::min(request.time_left_ / kFollowedDivisor,
               LatestFirstEvent(request.time_left_, request.work_));
  // Without a prediction, half of that time leaves room for a second refusal.
  const Duration earliest =
      std::max(kLeastReturn, request.room_in_.value_or(latest / 2));
  if (earliest >= latest) {
    return earliest;
  }
  const auto span = static_cast<double>((latest - earliest).Ms());
  return earliest + Duration(static_cast<int64_t>(span * request.spread_));
}

}  // namespace gv
