/** @file claim_table.h Durable at-most-once claims; the same on every replica.
 */
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "protocol/claim_messages.h"
#include "state/clock_type.h"
#include "state/save_chunk.h"

namespace gv {

inline constexpr Duration kClaimKeep = 86'400_s;  ///< Recorded results.
inline constexpr size_t kMaxAnswerBytes =
    67'108'864;  ///< Of all recorded answers; the oldest go first.
inline constexpr size_t kMaxClaimRows =
    400'000;  ///< Claims kept; further ones are refused.

/**
 * Records who may make a non-idempotent call and what came of it. A key is
 * free, started, finished (with its answer) or unknown. Its state depends only
 * on the commands applied, in their order. Thread safety: owned by the control
 * thread.
 */
class ClaimTable {
 public:
  /** Tag of the table's snapshot chunk. */
  static constexpr const char* kChunkTag = "CLAM";

  /**
   * Applies a claim. It is granted if the key is free, or if its owner asks
   * again because the answer was lost or the target has changed.
   * @param cluster_ms Replicated clock.
   * @param token Index of the log entry; becomes the token of the claim.
   */
  ClaimReply Begin(int64_t cluster_ms, const ClaimBegin& claim,
                   FencingToken token);

  /** Records a result, if it is of the claim in force. A finished result is
   * never replaced. */
  void Finish(int64_t cluster_ms, const ClaimFinish& finish);

  /**
   * Forgets claims unchanged for longer than @p keep, and the oldest answers
   * beyond the bound on bytes; a claim without its answer becomes unknown.
   */
  void Expire(int64_t cluster_ms, Duration keep);

  /** Appends the table as one chunk. */
  void Save(std::string& out) const;
  /** Replaces the table by a chunk that Save() wrote. */
  Result<void> Load(const SaveChunk& chunk);

  size_t size() const { return rows_.size(); }
  /** @return Bytes of all recorded answers. */
  size_t AnswerBytes() const { return answer_bytes_; }

 private:
  using Key = std::pair<TeamId, IdempotencyKey>;
  /** One claim. */
  struct Row {
    TeamId team_;                              ///< Team of the key.
    IdempotencyKey key_;                       ///< The key.
    uint64_t digest_ = 0;                      ///< Hash of the body.
    RequestId request_;                        ///< The request that owns it.
    TargetId target_;                          ///< Where it went.
    FencingToken token_;                       ///< Token of the claim.
    ClaimState state_ = ClaimState::kStarted;  ///< Where it is.
    int64_t changed_ms_ = 0;    ///< Replicated clock of the last change.
    uint32_t http_status_ = 0;  ///< The answer, if finished.
    std::string body_;          ///< The answer, if finished.
  };
  ClaimReply Grant(int64_t cluster_ms, const ClaimBegin& claim,
                   FencingToken token, Row& row);
  static ClaimReply Describe(const ClaimBegin& claim, const Row& row);
  void Erase(std::map<Key, Row>::iterator it);
  void Touch(int64_t cluster_ms, Row& row);
  void IndexRow(const Row& row);
  void DropAnswer(Row& row);

  using Age = std::pair<int64_t, FencingToken>;

  std::map<Key, Row> rows_;      ///< By team and key.
  std::map<Age, Key> by_age_;    ///< All, oldest first.
  std::map<Age, Key> answered_;  ///< Those with an answer, oldest first.
  size_t answer_bytes_ = 0;      ///< Of all recorded answers.
};

}  // namespace gv
