/** @file prompt_scheduler.cc Queues prompts by their rank and the latest time
 * at which they can begin, and places them. */
#include "coordination/gateway/prompt_scheduler.h"

#include <algorithm>

#include "coordination/gateway/admission_policy.h"
#include "coordination/gateway/engine_model.h"

namespace gv {
namespace {

/** After the caller's deadline its gateway has ended a prompt and its report of
 * that has come. */
constexpr Duration kEndReportDelay = 1_s;
/** A gateway with requests in progress reports its load several times in this
 * time, so one without a report has failed. */
constexpr Duration kReportTimeout = 2_s;
/** Window of the arrival rate of short prompts. It is short because bursts
 * begin at full rate; at 40 prompts a second it still counts 20. */
constexpr Duration kRateWindow = 500_ms;
constexpr double kMsPerSecond = 1000;
/** Time from the placement of a long prompt to its first event besides the
 * prefill: three one-way delays between data centres, a tick and an engine
 * step. */
constexpr double kLongOverheadMs = 150;
/** A long prompt without a first event after this multiple of the predicted
 * wait and the delay below is held up by something else than its prefill. */
constexpr int64_t kOverdueFactor = 3;
constexpr Duration kOverdueDelay = 500_ms;
/** From the placement until a part of the prompt reaches its engine. */
constexpr Duration kDispatchDelay(15);
/** Actual prefill time of a part as a multiple of the predicted one. Parts take
 * a little longer, as each engine step also decodes answers. */
constexpr double kPrefillMargin = 1.15;
/** Share of the time in which a reader is busy; it is idle between two parts.
 */
constexpr double kReaderUtilisation = 0.7;
/** Engines that prefill one prompt: the owner and its helpers. */
constexpr double kMaxReaders = kMaxHelpers + 1;
/** Share of its slack by which a queued prompt may be late, as predictions are
 * not exact; a newcomer may not. */
constexpr double kPredictionError = 0.1;
/** Network time of a short prompt from the leader to the engine and from there
 * to the caller: four one-way delays between data centres. */
constexpr double kShortNetworkMs = 16;

}  // namespace

PlacementRequest PromptScheduler::ToPlacementRequest(
    const QueuedPrompt& queued) {
  PlacementRequest request;
  request.service_ = &queued.service_;
  request.prompt_tokens_ = queued.ask_.prompt_tokens_;
  request.answer_tokens_ = queued.ask_.answer_tokens_;
  request.route_rank_ = queued.ask_.route_rank_;
  request.tried_ = queued.ask_.tried_;
  return request;
}

std::optional<Placement> PromptScheduler::ChooseEngineForShort(
    TimePoint now, const QueuedPrompt& queued) {
  PlacementRequest request = ToPlacementRequest(queued);
  request.kept_ = kept_connections_.TargetsOf(now, queued.key_.first);
  return placer_.PlaceShortNow(now, request, placed_work_);
}

double PromptScheduler::RemainingPrefillMs(TimePoint now) const {
  double sum = 0;
  for (const auto& [engine, reading] : placed_work_.prefill_by_engine_) {
    sum += reading.LeftMs(now);
  }
  return sum;
}

void PromptScheduler::StartPrefill(TimePoint now, const Placement& placement) {
  for (const PrefillPart& part : placement.work_.parts_) {
    PendingPrefill& reading = placed_work_.prefill_by_engine_[part.target_];
    reading.until_ =
        std::max(reading.until_, now + kDispatchDelay) +
        Duration(static_cast<int64_t>(part.prefill_ms_ * kPrefillMargin));
    ++reading.unfinished_parts_;
  }
  placed_work_.MarkChanged(placement.work_);
}

void PromptScheduler::FinishPrefill(PlacedPrompt& placed) {
  for (const TargetId& reader : placed.readers_) {
    PendingPrefill& pending = placed_work_.prefill_by_engine_[reader];
    --pending.unfinished_parts_;
    // The prompt may have ended long before its predicted end.
    if (pending.unfinished_parts_ <= 0) {
      pending.until_ = TimePoint();
    }
    placed_work_.changed_engines_.push_back(reader);
  }
  placed.readers_.clear();
}

double PromptScheduler::LongWaitMs(double ahead_ms, double prefill_ms,
                                   double readers) {
  const double prompt_readers = std::min(readers, kMaxReaders);
  return ahead_ms / readers / kReaderUtilisation +
         prefill_ms / prompt_readers * kPrefillMargin + kLongOverheadMs;
}

TimePoint PromptScheduler::LatestBegin(const QueuedPrompt& queued,
                                       double answer_ms) {
  const PromptAsk& ask = queued.ask_;
  const Duration latest =
      ask.time_left_ > Duration()
          ? std::min(
                ask.latest_,
                LatestFirstEvent(ask.time_left_,
                                 Duration(static_cast<int64_t>(answer_ms))))
          : ask.latest_;
  return queued.arrived_ + latest;
}

bool PromptScheduler::IsInTime(TimePoint now, const QueuedPrompt& queued,
                               TimePoint latest, double wait_ms) {
  const double error = queued.arrived_ == now ? 0 : kPredictionError;
  return wait_ms <=
         static_cast<double>((latest - now).Ms()) +
             static_cast<double>((latest - queued.arrived_).Ms()) * error;
}

bool PromptScheduler::CanBegin(TimePoint now, const QueuedPrompt& queued,
                               double wait_ms) {
  return IsInTime(now, queued, queued.latest_first_event_, wait_ms);
}

bool PromptScheduler::CanEndAt(TimePoint now, const QueuedPrompt& queued,
                               const Placement& placement) {
  const TimePoint latest = LatestBegin(queued, placement.answer_ms_);
  const double wait_ms = placement.wait_ms_ + kShortNetworkMs;
  // One engine is predicted more exactly than several.
  return placement.work_.is_short_
             ? wait_ms <= static_cast<double>((latest - now).Ms())
             : IsInTime(now, queued, latest, wait_ms);
}

double PromptScheduler::ShortWaitMs(TimePoint now, const QueuedPrompt& queued,
                                    const SlotTurnover& turnover,
                                    size_t ahead) const {
  const double permit_ms = placer_.PermitWaitMs(now, ToPlacementRequest(queued),
                                                placed_work_, ahead);
  return (permit_ms > 0 ? permit_ms + turnover.first_event_ms_
                        : turnover.WaitMs(ahead)) +
         kShortNetworkMs;
}

size_t PromptScheduler::FindVictim(const Queue& queue, size_t late) {
  size_t newest = late;
  for (size_t i = 0; i < late; ++i) {
    newest = queue[i].number_ > queue[newest].number_ ? i : newest;
  }
  return queue[late].ask_.rank_ > queue[newest].ask_.rank_ ? late : newest;
}

template <class WaitMs>
void PromptScheduler::RefuseLate(TimePoint now, Queue& queue, WaitMs wait_ms) {
  double ahead_ms = 0;
  for (size_t i = 0; i < queue.size();) {
    const double wait = wait_ms(queue[i], i, ahead_ms);
    if (CanBegin(now, queue[i], wait)) {
      ahead_ms += queue[i].prefill_ms_;
      ++i;
      continue;
    }
    // Nobody else gives way for a prompt that is late in any case.
    const bool depends_on_others =
        CanBegin(now, queue[i], wait_ms(queue[i], 0, 0));
    const size_t victim = depends_on_others ? FindVictim(queue, i) : i;
    Refuse(queue[victim], wait);
    if (victim < i) {
      ahead_ms -= queue[victim].prefill_ms_;
      --i;
    }
    queue.erase(queue.begin() + static_cast<std::ptrdiff_t>(victim));
  }
}

void PromptScheduler::RefuseLateLong(TimePoint now) {
  if (long_queue_.empty()) {
    return;
  }
  const double placed_ms = RemainingPrefillMs(now);
  // Prompts differ here only in the targets that they have tried already, so
  // the count for the first one is used for all.
  const auto readers = static_cast<double>(placer_.ReaderCount(
      now, ToPlacementRequest(long_queue_.front()), placed_work_));
  RefuseLate(
      now, long_queue_,
      [&](const QueuedPrompt& queued, size_t ahead, double ahead_ms) {
        return std::max(
            LongWaitMs(placed_ms + ahead_ms, queued.prefill_ms_, readers),
            placer_.PermitWaitMs(now, ToPlacementRequest(queued), placed_work_,
                                 ahead));
      });
}

void PromptScheduler::OnPlacementRequest(TimePoint now, const NodeId& gateway,
                                         const PromptAsk& ask,
                                         const Service* service) {
  if (service == nullptr || !service->engine_) {
    replies_.push_back({gateway, PromptRefused{ask.operation_, {}}});
    return;
  }
  const Key key(gateway, ask.operation_);
  if (Repeat(key)) {
    return;
  }
  QueuedPrompt queued;
  queued.key_ = key;
  queued.ask_ = ask;
  queued.service_ = *service;
  queued.arrived_ = now;
  queued.number_ = ++last_number_;
  queued.latest_first_event_ = LatestBegin(
      queued, SlowestAnswerMs(*service->engine_, ask.answer_tokens_));
  queued.due_ = now + DueIn(queued.latest_first_event_ - now, ask.rank_);
  queued.prefill_ms_ = PrefillMs(*service->engine_, ask.prompt_tokens_);
  if (!placer_.IsLong(ToPlacementRequest(queued))) {
    PlaceOrQueueShort(now, std::move(queued));
    return;
  }
  long_queue_.insert(PlaceInQueue(long_queue_, queued), std::move(queued));
  PlaceQueuedLong(now);
  if (std::any_of(long_queue_.begin(), long_queue_.end(),
                  [&key](const QueuedPrompt& waiting) {
                    return waiting.key_ == key;
                  })) {
    replies_.push_back({gateway, PromptQueued{ask.operation_}});
  }
}

PromptScheduler::Queue::iterator PromptScheduler::PlaceInQueue(
    Queue& queue, const QueuedPrompt& queued) {
  return std::upper_bound(queue.begin(), queue.end(), queued,
                          [](const QueuedPrompt& a, const QueuedPrompt& b) {
                            return a.due_ < b.due_;
                          });
}

LoadLedger& PromptScheduler::LedgerOf(const PlacedPrompt& placed) {
  return placed.is_short_ ? placed_work_.short_prompts_
                          : placed_work_.long_prompts_;
}

double PromptScheduler::ArrivalRate::Add(TimePoint now) {
  arrivals_.push_back(now);
  return PerSecond(now);
}

double PromptScheduler::ArrivalRate::PerSecond(TimePoint now) {
  while (!arrivals_.empty() && now - arrivals_.front() > kRateWindow) {
    arrivals_.pop_front();
  }
  return static_cast<double>(arrivals_.size()) * kMsPerSecond /
         static_cast<double>(kRateWindow.Ms());
}

void PromptScheduler::PlaceOrQueueShort(TimePoint now, QueuedPrompt queued) {
  placed_work_.short_prompts_per_s_ = short_arrivals_.Add(now);
  if (short_queue_.empty()) {
    const auto placement = ChooseEngineForShort(now, queued);
    if (placement) {
      CommitShort(now, queued, *placement);
      return;
    }
  }
  const SlotTurnover turnover =
      placer_.SlotTurnoverFor(now, ToPlacementRequest(queued), placed_work_);
  const auto place = PlaceInQueue(short_queue_, queued);
  const auto ahead = static_cast<size_t>(place - short_queue_.begin());
  const double wait_ms = ShortWaitMs(now, queued, turnover, ahead);
  if (!CanBegin(now, queued, wait_ms) ||
      DelaysOthers(now, turnover, ahead, queued.ask_.rank_)) {
    Refuse(queued, wait_ms);
    return;
  }
  replies_.push_back({queued.key_.first, PromptQueued{queued.ask_.operation_}});
  short_queue_.insert(place, std::move(queued));
}

bool PromptScheduler::DelaysOthers(TimePoint now, const SlotTurnover& turnover,
                                   size_t place, int64_t rank) const {
  for (size_t i = place; i < short_queue_.size(); ++i) {
    if (short_queue_[i].ask_.rank_ > rank) {
      continue;
    }
    const auto begins_in_time = [&](size_t ahead) {
      return CanBegin(now, short_queue_[i],
                      ShortWaitMs(now, short_queue_[i], turnover, ahead));
    };
    if (begins_in_time(i) && !begins_in_time(i + 1)) {
      return true;
    }
  }
  return false;
}

void PromptScheduler::PlaceQueuedShort(TimePoint now) {
  while (!short_queue_.empty()) {
    const auto placement = ChooseEngineForShort(now, short_queue_.front());
    if (!placement) {
      break;
    }
    CommitShort(now, short_queue_.front(), *placement);
    short_queue_.pop_front();
  }
  if (short_queue_.empty()) {
    return;
  }
  const SlotTurnover turnover = placer_.SlotTurnoverFor(
      now, ToPlacementRequest(short_queue_.front()), placed_work_);
  RefuseLate(now, short_queue_,
             [&](const QueuedPrompt& queued, size_t ahead, double) {
               return ShortWaitMs(now, queued, turnover, ahead);
             });
}

void PromptScheduler::CommitShort(TimePoint now, const QueuedPrompt& queued,
                                  const Placement& placement) {
  if (!CanEndAt(now, queued, placement)) {
    Refuse(queued, placement.wait_ms_ + kShortNetworkMs);
    return;
  }
  PlacedPrompt placed{placed_work_.short_prompts_.Begin(now, placement.work_),
                      now,
                      Expiry(queued),
                      TimePoint::Never(),
                      {},
                      true,
                      SendPlaced(now, queued, placement)};
  placed_[queued.key_] = std::move(placed);
  placed_work_.MarkChanged(placement.work_);
  kept_connections_.OnPlaced(queued.key_.first, placement.target_);
}

void PromptScheduler::OnPromptProgress(TimePoint now, const NodeId& gateway,
                                       const PromptStep& step) {
  const Key key(gateway, step.operation_);
  const auto has_key = [&key](const QueuedPrompt& queued) {
    return queued.key_ == key;
  };
  std::erase_if(long_queue_, has_key);
  std::erase_if(short_queue_, has_key);
  const auto found = placed_.find(key);
  if (found == placed_.end()) {
    return;
  }
  FinishPrefill(found->second);
  const bool is_short = found->second.is_short_;
  LoadLedger& ledger = LedgerOf(found->second);
  if (const PlacedRequest* request = ledger.Find(found->second.ledger_id_)) {
    placed_work_.MarkChanged(*request);
  }
  if (step.ended_) {
    if (step.outcome_ == HealthOutcome::kGood) {
      kept_connections_.OnEnded(now, gateway, step.target_);
    }
    ledger.End(found->second.ledger_id_);
    placed_.erase(found);
  } else {
    ledger.OnFirstEvent(found->second.ledger_id_);
  }
  PlaceQueuedShort(now);
  if (!is_short) {
    PlaceQueuedLong(now);
  }
}

TimePoint PromptScheduler::Expiry(const QueuedPrompt& queued) {
  return queued.arrived_ +
         std::max(queued.ask_.time_left_, queued.ask_.latest_) +
         kEndReportDelay;
}

bool PromptScheduler::Repeat(const Key& key) {
  const auto placed = placed_.find(key);
  if (placed != placed_.end()) {
    replies_.push_back({key.first, placed->second.reply_});
    return true;
  }
  const auto has_key = [&key](const QueuedPrompt& queued) {
    return queued.key_.second == key.second && queued.key_.first == key.first;
  };
  const bool is_queued =
      std::any_of(short_queue_.begin(), short_queue_.end(), has_key) ||
      std::any_of(long_queue_.begin(), long_queue_.end(), has_key);
  if (is_queued) {
    replies_.push_back({key.first, PromptQueued{key.second}});
  }
  return is_queued;
}

PromptPlaced PromptScheduler::SendPlaced(TimePoint now,
                                         const QueuedPrompt& queued,
                                         const Placement& placement) {
  PromptPlaced placed;
  placed.operation_ = queued.ask_.operation_;
  placed.target_ = placement.target_;
  placed.helpers_ = placement.helpers_;
  placed.reservations_ = placement.reservations_;
  placed.part_ms_ =
      static_cast<int64_t>(placement.work_.parts_.front().prefill_ms_);
  placed.wait_ms_ = static_cast<int64_t>(placement.wait_ms_);
  placed.queued_ms_ = (now - queued.arrived_).Ms();
  placed.permitted_ = placer_.TakePermits(now, placement);
  replies_.push_back({queued.key_.first, placed});
  return placed;
}

void PromptScheduler::Refuse(const QueuedPrompt& queued, double wait_ms) {
  replies_.push_back({queued.key_.first,
                      PromptRefused{queued.ask_.operation_,
                                    Duration(static_cast<int64_t>(wait_ms))}});
}

void PromptScheduler::CommitLong(TimePoint now, const QueuedPrompt& queued,
                                 const Placement& placement) {
  const Duration predicted(static_cast<int64_t>(placement.wait_ms_));
  PlacedPrompt placed{placed_work_.long_prompts_.Begin(now, placement.work_),
                      now,
                      Expiry(queued),
                      now + predicted * kOverdueFactor + kOverdueDelay,
                      {},
                      false,
                      SendPlaced(now, queued, placement)};
  for (const PrefillPart& part : placement.work_.parts_) {
    placed.readers_.push_back(part.target_);
  }
  placed_[queued.key_] = std::move(placed);
  StartPrefill(now, placement);
}

void PromptScheduler::OnTick(TimePoint now) {
  const bool long_overdue =
      placed_work_.long_prompts_.ExpireOverduePrefill(now);
  const bool short_overdue =
      placed_work_.short_prompts_.ExpireOverduePrefill(now);
  if (long_overdue || short_overdue) {
    placed_work_.MarkAllChanged();
  }
  for (auto it = placed_.begin(); it != placed_.end();) {
    if (now >= it->second.prefill_overdue_) {
      FinishPrefill(it->second);
    }
    if (now < it->second.expires_) {
      ++it;
      continue;
    }
    LedgerOf(it->second).End(it->second.ledger_id_);
    it = placed_.erase(it);
    placed_work_.MarkAllChanged();
  }
  std::erase_if(placed_work_.prefill_by_engine_, [now](const auto& item) {
    return item.second.until_ <= now && item.second.unfinished_parts_ <= 0;
  });
  PlaceQueuedShort(now);
  PlaceQueuedLong(now);
}

void PromptScheduler::PlaceQueuedLong(TimePoint now) {
  for (size_t i = 0; i < long_queue_.size();) {
    const QueuedPrompt& queued = long_queue_[i];
    const std::optional<Placement> placement =
        placer_.PlaceLongNow(now, ToPlacementRequest(queued), placed_work_);
    if (!placement || !CanEndAt(now, queued, *placement)) {
      // More engines may be free later.
      ++i;
      continue;
    }
    CommitLong(now, queued, *placement);
    long_queue_.erase(long_queue_.begin() + static_cast<std::ptrdiff_t>(i));
  }
  RefuseLateLong(now);
}

void PromptScheduler::RemoveLostGateways(TimePoint now,
                                         const LoadLedger& reports,
                                         const NodeId& self) {
  for (auto it = placed_.begin(); it != placed_.end();) {
    const NodeId& gateway = it->first.first;
    if (gateway == self || now - it->second.placed_at_ <= kReportTimeout ||
        reports.HasReport(gateway)) {
      ++it;
      continue;
    }
    FinishPrefill(it->second);
    LedgerOf(it->second).End(it->second.ledger_id_);
    it = placed_.erase(it);
    placed_work_.MarkAllChanged();
  }
}

std::vector<SchedulerReply> PromptScheduler::TakeReplies() {
  return std::exchange(replies_, {});
}

}  // namespace gv
