/** @file prompt_scheduler.h Places the prompts of all gateways on engines, in
 * the order of the times at which they have to begin. */
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
  Message body_;    ///< Reply to a PromptAsk.
};

/**
 * Queues and places prompts; runs at the leader. Since it knows every prompt
 * that it placed, an engine never prefills more than one part of a long prompt
 * at a time, and never gets a short prompt while its slots are taken and others
 * are free. Queued prompts are placed in the order of their rank and of the
 * latest times at which they can begin and still end in time. A prompt that
 * can't end in time is refused at once; so is a newcomer that would make an
 * earlier prompt of its rank late. It keeps no state when leadership moves:
 * gateways then send their requests to the new leader, and report the prompts
 * that the previous one placed.
 * Load patterns that it is built for: bursts of archives at 2.8 times the mean
 * rate, which need as much prefill as all engines together provide, and bursts
 * of short prompts from 31 gateways that fill nine in ten of all slots.
 * Thread safety: owned by one thread.
 */
class PromptScheduler {
 public:
  /** @param placer Outlives the scheduler. */
  explicit PromptScheduler(const Placer& placer) : placer_(placer) {}

  /** Places, queues or refuses a prompt. An ask that is repeated, as the reply
   * may have been lost, is answered as before. @param service Service that @p
   * ask names, or nullptr if it is unknown: the prompt is then refused. */
  void OnPlacementRequest(TimePoint now, const NodeId& gateway,
                          const PromptAsk& ask, const Service* service);
  /** Handles the first event or the end of a placed prompt, or the end of a
   * queued one. Ignores unknown prompts. */
  void OnPromptProgress(TimePoint now, const NodeId& gateway,
                        const PromptStep& step);
  /** Places queued prompts where engines are free, refuses those that are too
   * late, and expires placed ones. */
  void OnTick(TimePoint now);
  /**
   * Removes prompts placed for gateways that no longer report their load: these
   * gateways failed.
   * @param reports The gateways' reports.
   * @param self This gateway, which sends itself no reports.
   */
  void RemoveLostGateways(TimePoint now, const LoadLedger& reports,
                          const NodeId& self);
  /** @return Messages to gateways since the last call. */
  std::vector<SchedulerReply> TakeReplies();
  /** @return Number of queued prompts. */
  size_t QueuedCount() const {
    return long_queue_.size() + short_queue_.size();
  }

 private:
  using Key = std::pair<NodeId, OperationId>;
  /** A queued prompt. */
  struct QueuedPrompt {
    Key key_;                       ///< Gateway and its operation.
    PromptAsk ask_;                 ///< The placement request.
    Service service_;               ///< Settings at the time of arrival.
    TimePoint arrived_;             ///< Arrival of the placement request.
    uint64_t number_ = 0;           ///< Grows with each arrival.
    TimePoint latest_first_event_;  ///< Refused if it would begin later, with
                                    ///< the slowest answer.
    TimePoint due_;                 ///< Sort key: when it is its turn.
    double prefill_ms_ = 0;         ///< Predicted prefill on a single engine.
  };
  using Queue = std::deque<QueuedPrompt>;  ///< By due_.
  /** Rate of recent arrivals. */
  class ArrivalRate {
   public:
    /** Counts an arrival. @return Arrivals per second. */
    double Add(TimePoint now);
    /** @return Arrivals per second. */
    double PerSecond(TimePoint now);

   private:
    std::deque<TimePoint> arrivals_;  ///< Within the window of the rate.
  };
  /** A placed prompt. */
  struct PlacedPrompt {
    PlacedRequestId ledger_id_;      ///< Its id in LedgerOf().
    TimePoint placed_at_;            ///< Time of the placement.
    TimePoint expires_;              ///< When it is removed in any case.
    TimePoint prefill_overdue_;      ///< When prefill counts as done anyway.
    std::vector<TargetId> readers_;  ///< Engines that still prefill it.
    bool is_short_ = false;          ///< Selects the ledger.
    PromptPlaced reply_;             ///< To its gateway.
  };

  static PlacementRequest ToPlacementRequest(const QueuedPrompt& queued);
  std::optional<Placement> ChooseEngineForShort(TimePoint now,
                                                const QueuedPrompt& queued);
  /** @return Where a prompt belongs in @p queue. */
  static Queue::iterator PlaceInQueue(Queue& queue, const QueuedPrompt& queued);
  /** @return When the first event of a prompt has to come at the latest.
   * @param answer_ms Predicted time from there to the end of the answer. */
  static TimePoint LatestBegin(const QueuedPrompt& queued, double answer_ms);
  /** @return True if a prompt with this predicted wait begins by @p latest, as
   * far as predictions are exact. */
  static bool IsInTime(TimePoint now, const QueuedPrompt& queued,
                       TimePoint latest, double wait_ms);
  /** @return True if a queued prompt with this predicted wait begins in time.
   */
  static bool CanBegin(TimePoint now, const QueuedPrompt& queued,
                       double wait_ms);
  LoadLedger& LedgerOf(const PlacedPrompt& placed);
  void PlaceOrQueueShort(TimePoint now, QueuedPrompt queued);
  void PlaceQueuedShort(TimePoint now);
  void PlaceQueuedLong(TimePoint now);
  /** Counts a short prompt as placed and tells its gateway, or refuses it if
   * its first event would be too late. */
  void CommitShort(TimePoint now, const QueuedPrompt& queued,
                   const Placement& placement);
  /** @return Predicted time from now to the first event of a long prompt.
   * @param ahead_ms Prefill of earlier prompts, on a single engine.
   * @param prefill_ms The prompt's prefill, on a single engine.
   * @param readers Engines that prefill long prompts, at least 1. */
  static double LongWaitMs(double ahead_ms, double prefill_ms, double readers);
  /** @return True if a prompt that is placed so ends in time. */
  static bool CanEndAt(TimePoint now, const QueuedPrompt& queued,
                       const Placement& placement);
  /** @return Predicted time to the first event of a short prompt behind @p
   * ahead others. */
  double ShortWaitMs(TimePoint now, const QueuedPrompt& queued,
                     const SlotTurnover& turnover, size_t ahead) const;
  /** @return Index of the prompt to refuse when the one at @p late would be
   * late behind those before it: the newest of them all, or the late one if its
   * rank is lower. */
  static size_t FindVictim(const Queue& queue, size_t late);
  /**
   * Refuses queued prompts until all others can begin in time.
   * @param wait_ms Returns the predicted time to the first event of a queued
   * prompt, from the number of prompts ahead of it and their prefill in
   * milliseconds on a single engine.
   */
  template <class WaitMs>
  void RefuseLate(TimePoint now, Queue& queue, WaitMs wait_ms);
  void RefuseLateLong(TimePoint now);
  /** @return True if a newcomer with @p rank at @p place would make a queued
   * short prompt of its rank or a higher one late. */
  bool DelaysOthers(TimePoint now, const SlotTurnover& turnover, size_t place,
                    int64_t rank) const;
  /** Answers a repeated ask. @return False if the prompt is not known. */
  bool Repeat(const Key& key);
  /** @return The reply that was sent. */
  PromptPlaced SendPlaced(TimePoint now, const QueuedPrompt& queued,
                          const Placement& placement);
  /** @return When a prompt that is placed now counts as ended, in case its
   * gateway failed and does not report its end. */
  static TimePoint Expiry(const QueuedPrompt& queued);
  void Refuse(const QueuedPrompt& queued, double wait_ms);
  /** Counts a long prompt as placed and tells its gateway. */
  void CommitLong(TimePoint now, const QueuedPrompt& queued,
                  const Placement& placement);
  /** @return Prefill of placed long prompts that is left, over all engines. */
  double RemainingPrefillMs(TimePoint now) const;
  void StartPrefill(TimePoint now, const Placement& placement);
  /** Frees the engines that prefill a long prompt. */
  void FinishPrefill(PlacedPrompt& placed);

  const Placer& placer_;                 ///< Chooses engines.
  LeaderWork placed_work_;               ///< Load by prompts placed here.
  IdleConnections kept_connections_;     ///< Idle ones of all gateways.
  Queue long_queue_;                     ///< Need several engines.
  Queue short_queue_;                    ///< Need a slot.
  uint64_t last_number_ = 0;             ///< Of the newest prompt.
  ArrivalRate short_arrivals_;           ///< Of short prompts.
  std::map<Key, PlacedPrompt> placed_;   ///< Placed and not yet ended.
  std::vector<SchedulerReply> replies_;  ///< Until TakeReplies().
};

}  // namespace gv
