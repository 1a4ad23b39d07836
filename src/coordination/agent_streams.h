/** @file agent_streams.h The pool of attempts that an agent runs or remembers.
 */
#pragma once

#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "coordination/agent_type.h"
#include "protocol/outbox.h"

namespace gv {

/** One attempt that runs at the target, or whose end is not yet acknowledged.
 */
struct AgentStream {
  AttemptKey key_;                  ///< The attempt.
  NodeId entry_;                    ///< The entry that wants it.
  TeamId team_;                     ///< The team that pays.
  IdempotencyKey idempotency_key_;  ///< Of the claim, if not idempotent.
  bool idempotent_ = true;          ///< False: runs to its end in any case.
  FencingToken claim_token_;        ///< Of the claim, if not idempotent.
  int64_t tokens_ = 0;              ///< KV tokens charged to the target.
  TimePoint started_;               ///< When it was dispatched.
  TimePoint deadline_;              ///< When its caller gives up.
  bool wanted_ = true;         ///< False: the entry no longer waits for it.
  bool ended_ = false;         ///< True once end_ is set.
  TimePoint ended_at_;         ///< When it ended.
  TimePoint progress_at_;      ///< Last acknowledgement or resend.
  TimePoint listed_at_;        ///< Last keepalive that listed it.
  uint64_t acknowledged_ = 0;  ///< Chunks that the entry has.
  std::vector<StreamChunk> chunks_;  ///< All chunks.
  StreamEnd end_;                    ///< The end, if ended_.
};

/** @return KV tokens that an attempt takes beyond a group's reservation. Thread
 * safety: pure. */
int64_t ChargedTokens(const Dispatch& dispatch);

/**
 * Holds attempts by (request, attempt), numbers their chunks, repeats what an
 * entry has not acknowledged, and refuses attempts older than the newest seen.
 * Thread safety: owned by the control thread.
 */
class AgentStreams {
 public:
  /** @return The stream of an attempt, or null. */
  AgentStream* Find(const AttemptKey& key);

  /** @return True if the attempt is older than one seen or was fenced. */
  bool IsStale(const AttemptKey& key) const;

  /** @return True if any attempt of the request was started here. */
  bool WasStarted(RequestId request) const;

  /** Starts an attempt. @pre Find(key) is null and IsStale(key) is false. */
  AgentStream& Start(TimePoint now, const NodeId& entry,
                     const Dispatch& dispatch);

  /** Refuses this attempt and all older ones of the request from now on. */
  void Fence(TimePoint now, const AttemptKey& key);

  /** Appends a chunk and sends it to the entry. */
  static void AddChunk(TimePoint now, AgentStream& stream,
                       const TargetChunk& chunk, Outbox& out);

  /** Ends an attempt and tells the entry. @pre stream.ended_ is false. */
  static void End(TimePoint now, AgentStream& stream, bool ok,
                  const Verdict& verdict, uint32_t http_status, Outbox& out);

  /** Learns that an entry lists the stream and has @p received chunks, and
   * repeats the rest if the entry has made no progress for a while. */
  static void Acknowledge(TimePoint now, AgentStream& stream, uint64_t received,
                          Outbox& out);

  /** Sends again what the entry has not acknowledged. */
  static void Resend(TimePoint now, AgentStream& stream, Outbox& out);

  /** Forgets an attempt that ended. */
  void Erase(const AttemptKey& key) { streams_.erase(key); }

  /** Forgets ends that no entry took, and old attempts. */
  void OnTick(TimePoint now);

  /** @return All attempts, in order. */
  std::map<AttemptKey, AgentStream>& All() { return streams_; }
  const std::map<AttemptKey, AgentStream>& All() const { return streams_; }

  /** @return KV tokens and streams of all that run, of one entry or of all if
   * @p entry is none. */
  int64_t RunningTokens(const NodeId& entry) const;
  int64_t RunningStreams(const NodeId& entry) const;

 private:
  /** The newest attempt of a request. */
  struct Newest {
    AttemptNumber attempt_;  ///< Newest seen or fenced.
    bool fenced_ = false;    ///< True if attempt_ itself is refused too.
    bool started_ = false;   ///< True if any attempt was started here.
    TimePoint seen_at_;      ///< For expiry.
  };
  Newest& Remember(TimePoint now, const AttemptKey& key);

  std::map<AttemptKey, AgentStream> streams_;           ///< By attempt.
  std::unordered_map<RequestId, Newest> newest_;        ///< By request.
  std::deque<std::pair<TimePoint, RequestId>> by_age_;  ///< For expiry.
};

}  // namespace gv
