/** @file soak_ledger.h What callers, targets and operators of a soak saw, and
 * the promises that it breaks. */
#pragma once

#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "state/clock_type.h"

namespace gv {

/** The promises that a soak checks. */
enum class Promise : uint8_t {
  kOwnWholeAnswer,  ///< An answer is the target's, whole, for this request.
  kNotRunIsTrue,    ///< What was refused never runs.
  kOnceAtMost,      ///< Unsafe work runs once at most.
  kEventOrder,      ///< Events come once each and in order.
  kEndsInTime,      ///< Each request ends before its deadline.
  kNeverReverts,    ///< No read is older than what was acknowledged before.
  kNothingLost,     ///< What was acknowledged is there at the end.
  kServedAgain,     ///< After the faults everything is served again.
};

/** Records of one soak. Thread safety: any thread. */
class SoakLedger {
 public:
  /** A target began to work on a request. */
  void OnRun(const std::string& attempt, bool is_unsafe);
  /** A caller was told that its request did not run. */
  void OnRefused(const std::string& attempt);
  /** Notes a broken promise. */
  void Break(Promise promise, const std::string& what);
  /** An operator's configuration was acknowledged. */
  void OnAccepted(uint64_t version);
  /** @return The newest acknowledged version. */
  uint64_t Accepted() const;
  /** Counts an ended request. */
  void Count(bool served);
  int64_t Served() const;
  int64_t Ended() const;
  /** @return All broken promises, as lines. */
  std::vector<std::string> Broken() const;

 private:
  mutable std::mutex mutex_;
  std::map<std::string, int64_t> runs_;  ///< By attempt.
  std::map<std::string, bool> refused_;  ///< By attempt.
  std::vector<std::string> broken_;
  uint64_t accepted_ = 0;
  int64_t served_ = 0;
  int64_t ended_ = 0;
};

}  // namespace gv
