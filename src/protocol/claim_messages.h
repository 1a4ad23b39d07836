/** @file claim_messages.h At-most-once claims, and memory of several engines
 * for one prompt. */
#pragma once

#include <string>
#include <vector>

#include "state/clock_type.h"
#include "state/ids_type.h"
#include "state/verdict_type.h"

namespace gv {

/** Where a claim is in its life. */
enum class ClaimState : uint8_t { kFree, kStarted, kFinished, kUnknown };

/** Command and message, entry to control: claim a key before the call goes out.
 */
struct ClaimBegin {
  RequestId request_;   ///< The claiming request.
  TeamId team_;         ///< Keys are per team.
  IdempotencyKey key_;  ///< The caller's key.
  uint64_t digest_ =
      0;          ///< Hash of the body; another body under one key is refused.
  NodeId owner_;  ///< The entry that claims.
  TargetId target_;  ///< Where the call will go.
};

/** Control to entry: the state of the claim. */
struct ClaimReply {
  RequestId request_;     ///< The claiming request.
  bool granted_ = false;  ///< True if this request owns the claim now.
  FencingToken token_;    ///< Token of the claim.
  ClaimState state_ =
      ClaimState::kFree;  ///< If not granted: what the earlier claim came to.
  RequestId owner_request_;   ///< If not granted: the request that owns it.
  TargetId target_;           ///< If not granted: where it went.
  uint32_t http_status_ = 0;  ///< Recorded answer, if finished.
  std::string body_;          ///< Recorded answer, if finished.
  Verdict verdict_;           ///< If refused: why.
};

/** Command and message, entry or agent to control: what the claim came to. */
struct ClaimFinish {
  RequestId request_;   ///< The request that owns the claim.
  TeamId team_;         ///< Team of the key.
  IdempotencyKey key_;  ///< The key.
  FencingToken token_;  ///< Token of the claim.
  ClaimState state_ =
      ClaimState::kFinished;  ///< kFree releases it: it did not run.
  uint32_t http_status_ = 0;  ///< The answer.
  std::string body_;          ///< The answer, bounded in size.
};

/** Control to entry: the finish is durable. */
struct ClaimFinished {
  RequestId request_;  ///< The request.
};

/** Entry to control: memory on several engines for one long prompt, all or
 * nothing. */
struct GroupRequest {
  RequestId request_;   ///< The request.
  ModelId model_;       ///< The model.
  int64_t tokens_ = 0;  ///< Prompt and output tokens.
  Duration time_left_;  ///< Until the deadline.
};

/** Control to entry: the group, or why there is none. */
struct GroupReply {
  RequestId request_;              ///< The request.
  bool granted_ = false;           ///< True if targets_ are reserved.
  LeaseId lease_;                  ///< Lease on the memory.
  std::vector<TargetId> targets_;  ///< The first one leads.
  Duration duration_;  ///< Length of the lease; renewed by GroupRenew.
  Verdict verdict_;    ///< The failure, if not granted.
};

/** Entry to control: the group is still in use, or no longer. */
struct GroupRenew {
  RequestId request_;     ///< The request.
  LeaseId lease_;         ///< The lease.
  bool release_ = false;  ///< True if the memory is free again.
};

/** Control to agent: hold or free memory for a group. */
struct GroupHold {
  RequestId request_;     ///< The request.
  LeaseId lease_;         ///< The lease.
  int64_t tokens_ = 0;    ///< KV tokens on this target.
  Duration duration_;     ///< How long to hold without renewal.
  bool release_ = false;  ///< True to free it.
};

/** Agent to control: whether the memory is held. */
struct GroupHeld {
  LeaseId lease_;      ///< The lease.
  TargetId target_;    ///< The target.
  bool held_ = false;  ///< False if there is no room.
};

}  // namespace gv
