/** @file http_status.h The HTTP status of each reason. */
#pragma once

#include <array>

#include "state/verdict_type.h"

namespace gv {

/** One row. */
struct ReasonStatus {
  Reason reason_;    ///< The reason.
  unsigned status_;  ///< Its HTTP status.
};

inline constexpr std::array<ReasonStatus, 17> kReasonStatuses{{
    {Reason::kBadRequest, 400},
    {Reason::kUnauthenticated, 401},
    {Reason::kForbidden, 403},
    {Reason::kLimitReached, 429},
    {Reason::kOverloaded, 503},
    {Reason::kDeadline, 504},
    {Reason::kNoTarget, 404},
    {Reason::kNoLease, 503},
    {Reason::kStopping, 503},
    {Reason::kFenced, 503},
    {Reason::kTargetFailed, 502},
    {Reason::kConnectionLost, 502},
    {Reason::kConflict, 409},
    {Reason::kNotLeader, 503},
    {Reason::kStorage, 503},
    {Reason::kCancelled, 499},
    {Reason::kInternal, 500},
}};

}  // namespace gv
