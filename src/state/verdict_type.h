/** @file verdict_type.h The one error type: what failed, and whether the
 * request may have run. */
#pragma once

#include <boost/outcome/result.hpp>
#include <string>
#include <utility>

#include "state/clock_type.h"

namespace gv {

/** Says whether a failed request was executed by its target. */
enum class RunState : uint8_t { kNotRun, kRan, kMayHaveRun };

/** Why a request, a change or an operation failed. */
enum class Reason : uint8_t {
  kNone,
  kBadRequest,       ///< Malformed or unknown input.
  kUnauthenticated,  ///< Unknown or missing key.
  kForbidden,        ///< The team may not do this.
  kLimitReached,     ///< The team's limit is used up.
  kOverloaded,       ///< No capacity for this priority within the deadline.
  kDeadline,         ///< The deadline passed.
  kNoTarget,         ///< No target serves this model.
  kNoLease,          ///< The process has no valid settings lease.
  kStopping,         ///< The process or target is leaving.
  kFenced,           ///< An older owner or attempt.
  kTargetFailed,     ///< The target failed.
  kConnectionLost,   ///< The link to a peer or target broke.
  kConflict,   ///< Another change won the same revision, or the key is in use.
  kNotLeader,  ///< The process does not lead.
  kStorage,    ///< The disk failed or is full.
  kCancelled,  ///< The caller went away.
  kInternal,   ///< A defect.
};

/** One failure as it crosses every layer. Thread safety: a value type. */
struct Verdict {
  RunState run_state_ =
      RunState::kNotRun;           ///< Whether the request may have run.
  Reason reason_ = Reason::kNone;  ///< The kind of failure.
  std::string detail_;             ///< Names the thing that failed, for people.
  Duration retry_after_;  ///< When a retry makes sense; zero if unknown.
};

/** A value or the verdict that explains its absence. */
template <class T>
using Result = boost::outcome_v2::checked<T, Verdict>;

/** @return A verdict for work that certainly did not run. Thread safety: pure.
 */
inline Verdict NotRun(Reason reason, std::string detail) {
  return Verdict{RunState::kNotRun, reason, std::move(detail), Duration()};
}

/** @return A verdict for work that may have run. Thread safety: pure. */
inline Verdict MayHaveRun(Reason reason, std::string detail) {
  return Verdict{RunState::kMayHaveRun, reason, std::move(detail), Duration()};
}

}  // namespace gv
