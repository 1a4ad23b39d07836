/** @file verdict_names.h Names of run states and reasons in messages and
 * headers. */
#pragma once

#include "state/enum_names.h"
#include "state/verdict_type.h"

namespace gv {

inline constexpr std::array<EnumName<RunState>, 3> kRunStateNames{{
    {RunState::kNotRun, "not-run"},
    {RunState::kRan, "ran"},
    {RunState::kMayHaveRun, "may-have-run"},
}};

inline constexpr std::array<EnumName<Reason>, 18> kReasonNames{{
    {Reason::kNone, "none"},
    {Reason::kBadRequest, "bad-request"},
    {Reason::kUnauthenticated, "unauthenticated"},
    {Reason::kForbidden, "forbidden"},
    {Reason::kLimitReached, "limit-reached"},
    {Reason::kOverloaded, "overloaded"},
    {Reason::kDeadline, "deadline"},
    {Reason::kNoTarget, "no-target"},
    {Reason::kNoLease, "no-lease"},
    {Reason::kStopping, "stopping"},
    {Reason::kFenced, "fenced"},
    {Reason::kTargetFailed, "target-failed"},
    {Reason::kConnectionLost, "connection-lost"},
    {Reason::kConflict, "conflict"},
    {Reason::kNotLeader, "not-leader"},
    {Reason::kStorage, "storage"},
    {Reason::kCancelled, "cancelled"},
    {Reason::kInternal, "internal"},
}};

}  // namespace gv
