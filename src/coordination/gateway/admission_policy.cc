/** @file admission_policy.cc Limits of waiting, and times to return. */
#include "coordination/gateway/admission_policy.h"

#include <algorithm>

namespace gv {
namespace {

/** Bounds of Retry-After for prompts that the leader refuses. */
constexpr Duration kMinRetryAfter = 2500_ms;
constexpr Duration kMaxRetryAfter = 4_s;
/** The same for prompts that a gateway refuses by its own prediction. */
constexpr Duration kMinOwnRetryAfter = 2_s;
constexpr Duration kMaxOwnRetryAfter = 3_s;
/** Multiple of the predicted wait that Retry-After asks for. Queued work is
 * done after about one wait; twice that allows for work that arrives meanwhile.
 */
constexpr int64_t kOwnRetryAfterWaits = 2;

}  // namespace

bool CanFinish(Duration time_left, const WorkLeft& work) {
  return work.first_event_ <= LatestFirstEvent(time_left, work.answer_);
}

Duration LatestFirstEvent(Duration time_left, Duration answer) {
  return time_left - answer;
}

Duration DueIn(Duration slack, int64_t rank) {
  const Duration quarter = slack / 4;
  return quarter * 3 - quarter / (std::max<int64_t>(0, rank) + 1);
}

Duration RetryAfterLeaderRefusal(Duration wait) {
  return std::clamp(wait, kMinRetryAfter, kMaxRetryAfter);
}

Duration RetryAfterOwnRefusal(Duration wait) {
  return std::clamp(wait * kOwnRetryAfterWaits, kMinOwnRetryAfter,
                    kMaxOwnRetryAfter);
}

}  // namespace gv
