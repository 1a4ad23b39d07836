/** @file agent_claims.h What an agent knows about at-most-once claims. */
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "coordination/agent_type.h"
#include "protocol/claim_messages.h"
#include "protocol/outbox.h"

namespace gv {

inline constexpr Duration kClaimMemory = 900_s;      ///< Claims are remembered.
inline constexpr size_t kMaxClaims = 8'192;          ///< Claims remembered.
inline constexpr size_t kMaxClaimBytes = 8'388'608;  ///< Answers remembered.

/** How far a claimed call got at this agent. */
enum class ClaimProgress : uint8_t {
  kFenced,    ///< It did not run and never will here.
  kRunning,   ///< It was passed to the target.
  kNotRun,    ///< The target refused it before any work.
  kFinished,  ///< The answer is known.
  kTooLarge,  ///< It ran; the answer is too large to be kept.
  kUnknown,   ///< The target was lost; nobody knows.
};

/** One claim that this agent has met. */
struct AgentClaim {
  FencingToken token_;                               ///< Token of the claim.
  RequestId request_;                                ///< The claiming request.
  TeamId team_;                                      ///< Team of the key.
  IdempotencyKey key_;                               ///< The key.
  ClaimProgress progress_ = ClaimProgress::kFenced;  ///< How far it got.
  uint32_t http_status_ = 0;  ///< The answer, if finished.
  std::string body_;          ///< The answer, if finished.
  NodeId entry_;              ///< The entry that dispatched it.
  TimePoint changed_at_;      ///< Last change.
  TimePoint reported_at_;     ///< Last ClaimFinish.
};

/**
 * Lets a claimed call pass at most once, testifies about it, and reports
 * results that no entry may have taken. Thread safety: owned by the control
 * thread.
 */
class AgentClaims {
 public:
  /**
   * Lets a claimed call pass.
   * @return Nothing if it may pass now, or the verdict: kNotRun if the claim
   * was fenced, kMayHaveRun if it has passed before.
   */
  Result<void> Start(TimePoint now, const NodeId& entry,
                     const Dispatch& dispatch);

  /** @return A claim, or null if this agent has not met it. */
  const AgentClaim* Find(FencingToken token) const;

  /** Records how a call ended. An answer above kMaxRecordedBody bytes is not
   * kept. */
  void Finish(TimePoint now, FencingToken token, ClaimProgress progress,
              uint32_t http_status, const std::string& body);

  /** The result must reach control, as no entry waits for it. */
  void Report(FencingToken token);

  /** All results of an entry that was lost must reach control. */
  void ReportAllOf(const NodeId& entry);

  /** Control has the result of a request. */
  void OnFinished(RequestId request);

  /**
   * Testifies about a claim, and fences it if it was never met.
   * @param exclusive_since See FenceGuard::ExclusiveSince().
   */
  TestifyReply Testify(TimePoint now, const TestifyRequest& request,
                       FencingToken exclusive_since);

  /** Sends unacknowledged results to control and forgets old claims. */
  void OnTick(TimePoint now, const NodeId& leader, Outbox& out);

  /** @return True if a result still has to reach control. */
  bool HasReports() const { return !reports_.empty(); }

 private:
  void Forget(TimePoint now);
  TestifyReply TestifyUnmet(TimePoint now, const TestifyRequest& request,
                            FencingToken exclusive_since);

  std::map<FencingToken, AgentClaim> claims_;  ///< By token, oldest first.
  std::set<FencingToken> reports_;             ///< Control must learn of these.
  FencingToken forgotten_;  ///< Newest token whose claim may be forgotten.
  size_t bytes_ = 0;        ///< Of all answers.
};

}  // namespace gv
