/** @file target_view.h What an entry knows about targets: credits, its own
 * work in progress and lagging load reports. */
#pragma once

#include <array>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "coordination/entry_type.h"
#include "coordination/prefix_index.h"
#include "protocol/target_messages.h"

namespace gv {

/** One target as an entry sees it. */
struct TargetRecord {
  TargetInfo info_;          ///< As announced.
  bool known_ = false;       ///< False if the slot is free.
  CreditGrant credit_;       ///< The newest grant.
  TimePoint credit_until_;   ///< When the grant ends.
  TimePoint heard_at_;       ///< When the agent was last heard.
  TimePoint avoid_until_;    ///< No new work before, after a failure.
  TimePoint hello_at_;       ///< When the last hello was sent.
  TimePoint used_at_;        ///< Last keepalive that listed attempts.
  bool kept_alive_ = false;  ///< More keepalives are due.
  int64_t own_tokens_ = 0;   ///< KV tokens of this entry in progress.
  int64_t own_streams_ = 0;  ///< Streams of this entry, not paused.
  std::array<int64_t, kLaneCount>
      own_prefill_{};  ///< Prompt tokens sent, first token not yet seen.
  std::array<int64_t, kLaneCount> own_count_{};  ///< Streams by lane.
  int64_t others_prefill_ = 0;  ///< Prefill of other entries at report time.
  int64_t others_streams_ = 0;  ///< Streams of other entries at report time.
  int64_t others_memory_ = 0;   ///< KV tokens of others at report time.
  TimePoint load_at_;           ///< Time that the load report describes.
};

/** What one attempt holds of a target. */
struct TargetUse {
  TargetSlot slot_;           ///< The target.
  int64_t tokens_ = 0;        ///< KV tokens.
  int64_t prefill_ = 0;       ///< Prompt tokens to process.
  Lane lane_ = Lane::kShort;  ///< Lane of the prompt.
  bool prefilling_ = false;   ///< True until the first token.
  bool paused_ = false;       ///< True while the stream is paused.
};

/** Targets that serve one model. */
struct ModelPool {
  std::vector<TargetSlot> slots_;                              ///< All of them.
  std::map<DataCentreId, std::vector<TargetSlot>> by_centre_;  ///< By place.
  int64_t prefill_rate_ = 0;    ///< Tokens a second over all serving targets.
  int64_t largest_memory_ = 0;  ///< KV tokens of the largest target.
  TargetKind kind_ = TargetKind::kEngine;  ///< What they are.
};

/**
 * The entry's pool of targets. Thread safety: control thread only.
 */
class TargetView {
 public:
  /**
   * Applies an update of the list.
   * @param lost Receives slots whose agent left or restarted.
   * @return False if the update does not follow the version held.
   */
  bool Apply(TimePoint now, const TargetUpdate& update,
             std::vector<TargetSlot>& lost);

  /** Applies a grant; older and foreign ones are ignored. */
  void OnCredit(TimePoint now, const CreditGrant& grant);

  /** Applies a lagging load report. */
  void OnLoad(TimePoint now, const LoadReport& report);

  /** Applies a cache report. */
  void OnCache(const CacheReport& report);

  /** @return True if the target may get a stream of this size now. */
  bool CanTake(TimePoint now, TargetSlot slot, int64_t tokens) const;

  /** @return True if the target may get new work at all. */
  bool IsOpen(TimePoint now, const TargetRecord& target) const;

  /** Counts an attempt. */
  void Reserve(TargetUse& use);
  /** Ends the prefill of an attempt; later calls do nothing. */
  void PrefillDone(TargetUse& use);
  /** Counts a paused stream out, or in again. */
  void SetPaused(TargetUse& use, bool paused);
  /** Ends an attempt; later calls do nothing. */
  void Release(TargetUse& use);

  /** @return Milliseconds until a prompt of this lane would start. */
  int64_t StartDelayMs(TimePoint now, const TargetRecord& target,
                       Lane lane) const;

  /** @return Prompt tokens of other entries that are probably left. */
  int64_t OthersPrefill(TimePoint now, const TargetRecord& target) const;

  TargetRecord& At(TargetSlot slot) { return records_[slot.Value() - 1]; }
  const TargetRecord& At(TargetSlot slot) const {
    return records_[slot.Value() - 1];
  }
  /** @return The slot of a target, or none. */
  TargetSlot Find(const TargetId& target) const;
  /** @return The pool of a model, or null. */
  const ModelPool* Pool(const ModelId& model) const;
  const std::vector<TargetRecord>& Records() const { return records_; }
  PrefixIndex& Prefixes() { return prefixes_; }
  const PrefixIndex& Prefixes() const { return prefixes_; }
  uint64_t Version() const { return version_; }

 private:
  void Put(TimePoint now, const TargetInfo& info,
           std::vector<TargetSlot>& lost);
  void Drop(const TargetId& target, std::vector<TargetSlot>& lost);
  void RebuildPools();

  uint64_t version_ = 0;                            ///< Of the list of targets.
  std::vector<TargetRecord> records_;               ///< By slot.
  std::vector<TargetSlot> free_;                    ///< Unused slots.
  std::unordered_map<TargetId, TargetSlot> slots_;  ///< By name.
  std::unordered_map<ModelId, ModelPool> pools_;    ///< By model.
  PrefixIndex prefixes_;                            ///< Prefix caches.
};

}  // namespace gv
