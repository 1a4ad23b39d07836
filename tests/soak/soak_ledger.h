/** @file soak_ledger.h What callers, targets and operators of a soak saw, and
 * the promises that it breaks. */
#pragma once

#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "state/clock_type.h"
#include "support/limit_rule.h"
#include "support/retry_rule.h"

namespace gv {

/** The promises that a soak checks. */
enum class Promise : uint8_t {
  kOwnWholeAnswer,   ///< An answer is the target's, whole, for this request.
  kNotRunIsTrue,     ///< What was refused never runs.
  kOnceAtMost,       ///< Unsafe work runs once at most.
  kEventOrder,       ///< Events come once each and in order.
  kEndsInTime,       ///< Each request ends before its deadline.
  kNeverReverts,     ///< No read is older than what was acknowledged before.
  kNothingLost,      ///< What was acknowledged is there at the end.
  kServedAgain,      ///< After the faults everything is served again.
  kStopCutsNothing,  ///< A planned stop cuts no request that was passed on.
  kRetryBudget,      ///< Targets get no more retries than the limit allows.
  kNoOwnEnd,         ///< No process ends by itself.
  kTargetLimit,      ///< Targets get no more requests than the limit they name.
  kLeavingIsKnown,   ///< A target that left gets no more requests.
};

/** Records of one soak. Thread safety: any thread. */
class SoakLedger {
 public:
  /** A caller sends a request to a service. */
  void OnRequest(const std::string& service);
  /** A request arrived at a target of a service. */
  void OnArrival(const std::string& service, const std::string& attempt);
  /**
   * A request of @p gateway arrived at @p target, which answers now.
   * @param limit What it names in its answer, or nothing.
   */
  void OnLimited(const std::string& target, const std::string& gateway,
                 std::optional<double> limit);
  /** A gateway was disturbed; it has to be told of limits again. */
  void OnDisturbed(const std::string& gateway);
  /** Checks the limits of targets over the whole run. */
  void CheckLimits();
  /** A target has sent the end of its answer. */
  void OnAnswered(const std::string& attempt);
  /** @return True if a target has sent its whole answer. */
  bool IsAnswered(const std::string& attempt) const;
  /** Checks the limit of retries over the whole run. */
  void CheckRetries();
  /** A target began to work on a request. */
  void OnRun(const std::string& attempt, bool is_unsafe);
  /** A caller was told by @p answer that its request did not run. */
  void OnRefused(const std::string& attempt, const std::string& answer);
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
  RetryRule& RetriesOf(const std::string& service);

  mutable std::mutex mutex_;
  std::map<std::string, int64_t> runs_;         ///< By attempt.
  std::map<std::string, std::string> refused_;  ///< Answers, by attempt.
  std::set<std::string> arrived_;   ///< Attempts that reached a target.
  std::set<std::string> answered_;  ///< Attempts with a whole answer.
  std::map<std::string, RetryRule> retries_;  ///< By service.
  std::map<std::string, LimitRule> limits_;   ///< By target.
  std::vector<std::string> broken_;
  uint64_t accepted_ = 0;
  int64_t served_ = 0;
  int64_t ended_ = 0;
};

}  // namespace gv
