/** @file entry_base.h One request in progress at an entry. */
#pragma once

#include <string>

#include "coordination/entry_type.h"
#include "coordination/stream_order.h"
#include "coordination/target_view.h"
#include "protocol/claim_messages.h"

namespace gv {

/** Where a request is in its life. */
enum class RequestPhase : uint8_t {
  kAwaitingShare,   ///< Waits for a share of its team's limit.
  kQueued,          ///< Waits for a target.
  kPlacingGroup,    ///< Waits for memory on several engines.
  kClaiming,        ///< Waits for the at-most-once claim.
  kReleasingClaim,  ///< Gives a claim back that was not used.
  kRunning,         ///< An attempt is out.
  kFinishingClaim,  ///< Waits until the recorded answer is durable.
  kTestifying,      ///< Asks the agent what became of a claimed request.
  kAwaitingOther,   ///< Another request under the same key is running.
};

/** One request. Exactly one CallerEnd ends it. */
struct RequestRecord {
  RequestSpec spec_;  ///< As the caller sent it.
  RequestPhase phase_ = RequestPhase::kAwaitingShare;  ///< Where it is.
  Lane lane_ = Lane::kShort;                           ///< By prompt length.
  TimePoint arrived_at_;                               ///< When it came.
  TimePoint deadline_;    ///< The caller gets its end before.
  bool charged_ = false;  ///< The team's share was charged.

  AttemptNumber attempt_;     ///< The newest attempt, or none.
  Dispatch dispatch_;         ///< What was sent, for resends.
  TimePoint sent_at_;         ///< When it was sent last.
  Duration resend_after_;     ///< Until the next resend.
  TargetUse use_;             ///< What the attempt holds of its target.
  NodeId agent_;              ///< The attempt's agent.
  StreamOrder order_;         ///< Chunks of the attempt.
  TimePoint gap_since_;       ///< Since when a chunk is missing, or zero.
  TargetSlot failed_slot_;    ///< Target of the failed attempt, or none.
  int64_t attempts_ = 0;      ///< Attempts made.
  TargetSlot focus_;          ///< Where a long prompt asks for credit.
  TimePoint focused_at_;      ///< When focus_ was chosen.
  TimePoint first_token_at_;  ///< When the caller got the first token.
  TimePoint paused_at_;       ///< When the stream was paused last.

  std::string text_;              ///< Text that the caller has, for a resume.
  int64_t tokens_delivered_ = 0;  ///< Tokens that the caller has.
  std::string service_body_;      ///< Answer of a service until it is whole.

  GroupReply group_;            ///< Memory on several engines.
  TimePoint group_renewed_at_;  ///< When the lease was renewed.

  FencingToken claim_token_;     ///< Of the claim, if this request owns it.
  RequestId claim_owner_;        ///< The request that owns the key's claim.
  FencingToken released_token_;  ///< Of the last claim that was given back.
  FencingToken testify_token_;   ///< Token of the claim asked about.
  TimePoint testify_since_;      ///< When the agent was asked first.
  TargetId testify_target_;      ///< Where that call went.
  ClaimFinish finish_;           ///< What the claim came to, for resends.
  Verdict pending_verdict_;      ///< Verdict after the claim is released.
  bool may_have_run_ = false;    ///< A claimed call went out.
};

}  // namespace gv
