/** @file prompt_scheduler.h Lets prompts of all gateways onto the engines, in
 * the order in which they become late. */
#pragma once

#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "coordination/gateway/kept_connections.h"
#include "coordination/gateway/placement.h"
#include "protocol/message.h"

namespace gv {

/** A message of the scheduler to a gateway. */
struct SchedulerReply {
  NodeId gateway_;  ///< Receiver.
  Message body_;    ///< To PromptAsk.
};

/**
 * Runs at the leader. It knows exactly which prompts it placed, so that an
 * engine never reads more than one part of a long prompt at a time and never
 * gets a short one while its slots are taken and others are free. It refuses at
 * once what can't begin in time. It forgets everything when leadership moves;
 * gateways then ask the new leader, and report what the old one placed.
 * Load patterns: bursts of archives at 2.8 times the mean, which need as much
 * prefill as all engines give; bursts of short prompts that fill nine in ten of
 * all slots from 31 gateways. Thread safety: owned by one thread.
 */
class PromptScheduler {
 public:
  /** @param placer Outlives the scheduler. */
  explicit PromptScheduler(const Placer& placer) : placer_(placer) {}

  /** Queues a prompt. @param service Of the ask, or nullptr if unknown. */
  void OnAsk(TimePoint now, const NodeId& gateway, const PromptAsk& ask,
             const Service* service);
  /** A placed prompt goes on, or a queued one is not wanted any more. */
  void OnStep(TimePoint now, const NodeId& gateway, const PromptStep& step);
  /** Places what can be placed now. */
  void OnTick(TimePoint now);
  /** Forgets what was placed for gateways that report no work any more; they
   * were lost. @param reports What gateways report, of @p self not needed. */
  void ForgetLost(TimePoint now, const LoadLedger& reports, const NodeId& self);
  /** @return Messages to gateways since the last call. */
  std::vector<SchedulerReply> TakeReplies();
  /** @return Prompts that wait. */
  size_t Waiting() const { return queue_.size() + short_queue_.size(); }

 private:
  using Key = std::pair<NodeId, OperationId>;
  /** A prompt that waits. */
  struct Queued {
    Key key_;                    ///< Who asked.
    PromptAsk ask_;              ///< For what.
    Service service_;            ///< As of the ask.
    TimePoint asked_;            ///< When.
    TimePoint rank_;             ///< Its place in the queue.
    TimePoint due_;              ///< When its first event is too late.
    double prefill_ms_ = 0;      ///< On one engine.
    bool has_returned_ = false;  ///< It was refused before.
    /** @return Prefill for each token; grows with the length. */
    double CostPerToken() const {
      return prefill_ms_ / static_cast<double>(ask_.prompt_tokens_ + 1);
    }
  };
  /** A prompt that was placed. */
  struct Granted {
    WorkId work_;        ///< In the ledger.
    TimePoint at_;       ///< When it was placed.
    TimePoint until_;    ///< When it is forgotten in any case.
    TimePoint overdue_;  ///< When its prefill counts as done in any case.
    std::vector<TargetId> readers_;  ///< That still read it.
    bool is_short_ = false;          ///< Which ledger counts it.
  };

  static PlacementRequest RequestOf(const Queued& queued);
  std::optional<Placement> PlaceShort(TimePoint now, const Queued& queued);
  static void Insert(std::vector<Queued>& queue, Queued queued);
  LoadLedger& LedgerOf(const Granted& granted);
  void CountShort(TimePoint now);
  void AskShort(TimePoint now, Queued queued);
  void PlaceShorts(TimePoint now);
  void PlaceLongs(TimePoint now);
  void GrantShort(TimePoint now, const Queued& queued,
                  const Placement& placement);
  static double WaitMs(double ahead_ms, double prefill_ms, double readers);
  std::vector<Queued>::iterator FindVictim(size_t late);
  void RefuseHopeless(TimePoint now);
  static bool MayBeInTime(TimePoint now, const Queued& queued,
                          const SlotFlow& flow, size_t ahead);
  double ShortWaitMs(TimePoint now, const Queued& queued, const SlotFlow& flow,
                     size_t ahead) const;
  void SendPlaced(TimePoint now, const Queued& queued,
                  const Placement& placement);
  void Refuse(const Queued& queued, double wait_ms);
  void Grant(TimePoint now, const Queued& queued, const Placement& placement);
  double OpenMs(TimePoint now) const;
  void StartReading(TimePoint now, const Placement& placement);
  void FinishReading(Granted& granted);

  const Placer& placer_;                 ///< Chooses engines.
  GrantedWork work_;                     ///< Placed prompts only.
  KeptConnections kept_;                 ///< Of all gateways.
  std::vector<Queued> queue_;            ///< Long prompts by rank_.
  std::vector<Queued> short_queue_;      ///< Short prompts by rank_.
  std::deque<TimePoint> short_asks_;     ///< Of the last moment, for the rate.
  std::map<Key, Granted> granted_;       ///< Placed, not yet ended.
  std::vector<SchedulerReply> replies_;  ///< For TakeReplies().
};

}  // namespace gv
