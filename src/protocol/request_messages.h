/** @file request_messages.h The path of one request: caller, entry, agent,
 * target and back. */
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "protocol/target_messages.h"
#include "state/clock_type.h"
#include "state/ids_type.h"
#include "state/request_type.h"
#include "state/verdict_type.h"

namespace gv {

/** What a caller wants. */
struct RequestSpec {
  RequestId request_;                      ///< Set by the entry.
  TeamId team_;                            ///< The team that pays.
  TargetKind kind_ = TargetKind::kEngine;  ///< Model or plain service.
  ModelId model_;                          ///< Model or service name.
  Priority priority_ = Priority::kNormal;  ///< Urgency.
  int64_t prompt_tokens_ = 0;              ///< Estimated prompt length.
  int64_t max_output_tokens_ = 0;  ///< Upper bound of the answer's length.
  bool stream_ = false;            ///< The caller wants server-sent events.
  bool idempotent_ = true;         ///< False if the work must run at most once.
  IdempotencyKey key_;             ///< Required if not idempotent.
  std::vector<uint64_t> prefix_hashes_;  ///< Hashes of growing prompt prefixes.
  std::string path_;                     ///< Path of a service call.
  std::string body_;                     ///< Prompt text or service body.
};

/** HTTP listener to entry: a caller's request. */
struct CallerRequest {
  RequestSpec spec_;          ///< What is wanted.
  Duration time_left_;        ///< Until the caller's deadline.
  std::string api_key_hash_;  ///< SHA-256 of the caller's key in hex; the entry
                              ///< core finds the team.
};

/** HTTP listener to entry: the caller is gone. */
struct CallerGone {
  RequestId request_;  ///< The request.
};

/** Entry to HTTP listener: a part of the answer. */
struct CallerChunk {
  RequestId request_;   ///< The request.
  std::string text_;    ///< Part of the answer.
  int64_t tokens_ = 0;  ///< Tokens in text_.
};

/** Entry to HTTP listener: the one end of the answer. */
struct CallerEnd {
  RequestId request_;  ///< The request.
  bool ok_ = false;    ///< True if the answer is whole.
  Verdict verdict_;    ///< The failure, if not ok_.
  uint32_t http_status_ =
      0;  ///< Status of a service's own answer; zero for the default.
  bool replayed_ =
      false;  ///< True if the answer was recorded by an earlier attempt.
};

/** Entry to agent: run one attempt. */
struct Dispatch {
  RequestSpec spec_;       ///< The request.
  AttemptNumber attempt_;  ///< Grows with each attempt of the request.
  TargetId target_;        ///< The target.
  Incarnation
      target_incarnation_;  ///< The agent incarnation that the entry chose.
  FencingToken
      claim_token_;     ///< Token of the at-most-once claim, if not idempotent.
  Duration time_left_;  ///< Until the request's deadline.
  std::vector<TargetId> group_;  ///< Further members of a multi-engine group.
  LeaseId group_lease_;          ///< Lease on the group's memory.
  int64_t resume_after_ = 0;     ///< Output tokens that the caller already has.
  std::string resume_text_;      ///< The text that the caller already has.
};

/** Agent to entry: a part of the answer of one attempt. */
struct StreamChunk {
  RequestId request_;      ///< The request.
  AttemptNumber attempt_;  ///< The attempt.
  uint64_t sequence_ = 0;  ///< Counts from zero without gaps.
  std::string text_;       ///< Part of the answer.
  int64_t tokens_ = 0;     ///< Tokens in text_.
};

/** Agent to entry: the end of one attempt. */
struct StreamEnd {
  RequestId request_;      ///< The request.
  AttemptNumber attempt_;  ///< The attempt.
  uint64_t sequence_ =
      0;             ///< Number of chunks before the end; proves wholeness.
  bool ok_ = false;  ///< True if the target finished.
  Verdict verdict_;  ///< The failure, if not ok_.
  uint32_t http_status_ = 0;  ///< Status of a service's answer.
};

/** Entry to agent: stop an attempt and free what it holds. */
struct Cancel {
  RequestId request_;      ///< The request.
  AttemptNumber attempt_;  ///< The attempt.
};

/** Entry to agent: pause or resume a stream at a crest. */
struct PauseStream {
  RequestId request_;      ///< The request.
  AttemptNumber attempt_;  ///< The attempt.
  bool paused_ = true;     ///< False to resume.
};

/** Entry to agent: these attempts are still wanted; the agent ends all others
 * of this entry. */
struct StreamKeepalive {
  Incarnation incarnation_;          ///< Of the entry.
  std::vector<RequestId> requests_;  ///< Requests in progress at this agent.
  std::vector<AttemptNumber> attempts_;  ///< Their attempts, in the same order.
  std::vector<uint64_t> received_;       ///< Chunks that arrived without a gap.
};

/** Entry to agent: did this attempt run? The agent fences it if it has not seen
 * it. */
struct TestifyRequest {
  RequestId request_;         ///< The request.
  TeamId team_;               ///< Team of the key.
  IdempotencyKey key_;        ///< The key.
  FencingToken claim_token_;  ///< Token of the claim.
};

/** Agent to entry: what it knows about the attempt. */
struct TestifyReply {
  RequestId request_;                           ///< The request.
  FencingToken claim_token_;                    ///< Token of the claim.
  RunState run_state_ = RunState::kMayHaveRun;  ///< What is known.
  bool finished_ = false;     ///< True if status_ and body_ are the answer.
  uint32_t http_status_ = 0;  ///< Status of the service's answer.
  std::string body_;          ///< The service's answer.
  bool running_ = false;      ///< True if the call is still in progress.
};

/** Agent core to its target driver: call the target. */
struct TargetCall {
  Dispatch dispatch_;   ///< What to run.
  FencingToken token_;  ///< The agent's token, for targets that check it.
};

/** Agent core to its target driver: cancel, pause or resume. */
struct TargetControl {
  RequestId request_;      ///< The request.
  AttemptNumber attempt_;  ///< The attempt.
  bool cancel_ = false;    ///< Cancel the stream and free its memory.
  bool paused_ = false;    ///< Pause, or resume if false and not cancel_.
};

/** Target driver to agent core: a part of the target's answer. */
struct TargetChunk {
  RequestId request_;      ///< The request.
  AttemptNumber attempt_;  ///< The attempt.
  std::string text_;       ///< Part of the answer.
  int64_t tokens_ = 0;     ///< Tokens in text_.
};

/** Target driver to agent core: the end of the target's answer. */
struct TargetEnd {
  RequestId request_;         ///< The request.
  AttemptNumber attempt_;     ///< The attempt.
  bool ok_ = false;           ///< True if the answer is whole.
  Verdict verdict_;           ///< The failure, if not ok_.
  uint32_t http_status_ = 0;  ///< Status of the target's answer.
};

/** Agent core to its target driver: ask what the target holds; also the health
 * check. */
struct TargetProbe {
  uint64_t sequence_ = 0;  ///< Matches the status.
};

/** One stream or reservation that a target holds. */
struct HeldStream {
  std::string name_;    ///< "request.attempt" as given to the target.
  int64_t tokens_ = 0;  ///< KV tokens held.
};

/** Target driver to agent core: what the target holds and how loaded it is. */
struct TargetStatus {
  uint64_t sequence_ = 0;      ///< Matches the probe.
  bool reachable_ = false;     ///< False if the target did not answer.
  uint64_t target_start_ = 0;  ///< Changes when the target restarts.
  LoadReport load_;            ///< Reported load.
  std::vector<HeldStream>
      held_;           ///< All streams and reservations it holds for us.
  CacheReport cache_;  ///< New cache events.
};

/** Agent core to its target driver: free one held stream or reservation by
 * name. */
struct TargetRelease {
  std::string name_;    ///< Name from HeldStream.
  FencingToken token_;  ///< The agent's token.
};

/** Agent core to its target driver: reserve KV memory for a group. */
struct TargetReserve {
  std::string name_;    ///< "group.lease".
  int64_t tokens_ = 0;  ///< KV tokens.
  FencingToken token_;  ///< The agent's token.
};

/** Target driver to agent core: whether the memory is reserved. */
struct TargetReserved {
  std::string name_;   ///< Name from TargetReserve.
  bool held_ = false;  ///< False if the target has no room.
};

}  // namespace gv
