/** @file target_messages.h Membership of targets, capacity credits, load and
 * cache reports. */
#pragma once

#include <string>
#include <vector>

#include "state/clock_type.h"
#include "state/ids_type.h"
#include "state/request_type.h"

namespace gv {

/** What the system knows about one target; announced by its agent. */
struct TargetInfo {
  TargetId target_;           ///< Name of the target.
  NodeId agent_;              ///< The agent beside it.
  Incarnation incarnation_;   ///< Of the agent.
  VmId vm_;                   ///< VM of agent and target.
  DataCentreId data_centre_;  ///< Data centre of agent and target.
  std::string address_;       ///< "IP:port" of the agent for entries.
  TargetKind kind_ = TargetKind::kEngine;  ///< Engine or service.
  ModelId model_;                          ///< Model or service name.
  std::string version_;                    ///< Model version.
  int64_t memory_tokens_ = 0;              ///< KV memory, in tokens.
  int64_t prefill_tokens_per_second_ = 0;  ///< Announced prefill speed.
  int64_t decode_tokens_per_second_ =
      0;                     ///< Announced decode speed over all streams.
  int64_t max_streams_ = 0;  ///< Streams at the same time.
  TargetState state_ = TargetState::kJoining;  ///< Life cycle.
  FencingToken token_;  ///< Issued by control for this incarnation.
  friend bool operator==(const TargetInfo&, const TargetInfo&) = default;
};

/** Agent to control: announces the target, again with each session renewal. */
struct TargetAnnounce {
  TargetInfo info_;  ///< The token is none until control issued one.
  bool wants_new_token_ =
      false;  ///< The takeover wait is over; a newer token is wanted.
};

/** Control to agent: the token under which this incarnation owns its target. */
struct TargetAdmit {
  TargetId target_;          ///< The target.
  Incarnation incarnation_;  ///< The admitted incarnation.
  FencingToken token_;       ///< Its token.
  Duration wait_;  ///< How long an earlier owner may still be at work.
};

/** Control to entries: changes of the list of targets. */
struct TargetUpdate {
  uint64_t from_version_ =
      0;  ///< Receiver must be at this version; zero for a full list.
  uint64_t to_version_ = 0;          ///< Version after the update.
  std::vector<TargetInfo> changed_;  ///< New or changed targets.
  std::vector<TargetId> removed_;    ///< Targets that are gone.
};

/** Entry to agent: the entry may send work; asks for capacity. */
struct AgentHello {
  Incarnation incarnation_;     ///< Of the entry.
  int64_t wanted_tokens_ = 0;   ///< Prompt tokens waiting for this target.
  int64_t wanted_streams_ = 0;  ///< Streams waiting for this target.
  int64_t sent_at_ms_ = 0;  ///< Sender's clock; echoed, credits count from it.
  uint64_t credit_sequence_ = 0;  ///< Newest CreditGrant of this agent
                                  ///< incarnation; older ones are unused.
};

/** Agent to entry: how much work the entry may have in progress at this target.
 */
struct CreditGrant {
  TargetId target_;          ///< The target.
  Incarnation incarnation_;  ///< Of the agent.
  uint64_t sequence_ = 0;    ///< Orders grants.
  int64_t tokens_ = 0;       ///< KV tokens that the entry may hold in progress.
  int64_t streams_ = 0;      ///< Streams that the entry may hold in progress.
  Duration duration_;        ///< How long the grant is valid without renewal.
  TargetState state_ = TargetState::kServing;  ///< kDraining ends all new work.
  int64_t sent_at_ms_ = 0;  ///< Echo of AgentHello; the grant counts from it.
};

/** Agent to entry: the engine's load, with its lag. */
struct LoadReport {
  TargetId target_;                    ///< The target.
  int64_t running_streams_ = 0;        ///< Streams in decode.
  int64_t queued_prefill_tokens_ = 0;  ///< Prompt tokens not yet processed.
  int64_t used_memory_tokens_ = 0;     ///< KV tokens in use.
  Duration age_;                       ///< Age of the figures.
};

/** One change of an engine's prefix cache. */
struct CacheChange {
  uint64_t prefix_hash_ = 0;  ///< Hash of the prompt prefix.
  int64_t tokens_ = 0;        ///< Length of the prefix.
  bool evicted_ = false;      ///< True if the prefix is gone.
};

/** Agent to entry: changes of the engine's prefix cache; late and with gaps. */
struct CacheReport {
  TargetId target_;                   ///< The target.
  uint64_t sequence_ = 0;             ///< A gap means that changes were lost.
  std::vector<CacheChange> changes_;  ///< In order.
};

}  // namespace gv
