/** @file prompt_scheduler.cc Queues of prompts by due time. */
#include "coordination/gateway/prompt_scheduler.h"

#include <algorithm>

#include "coordination/gateway/engine_model.h"

namespace gv {
namespace {

/** A placed prompt of a lost gateway is forgotten after the longest deadline.
 */
constexpr Duration kGrantMemory = 30_s;
/** The same for short prompts, whose answers take two to three seconds. */
constexpr Duration kShortGrantMemory = 10_s;
/** Gateways with work report it several times in this time. */
constexpr Duration kReportDelay = 2_s;
/** Over which the rate of short prompts is taken: bursts begin at once, and at
 * 40 a second this counts 20. */
constexpr Duration kRateSpan = 500_ms;
constexpr double kMsPerSecond = 1000;
/** From the grant to the first event, beside the prefill: three ways between
 * data centres, a tick and a pass. */
constexpr double kStartMs = 150;
/** Prefill that takes longer than this is held up by something else. */
constexpr int64_t kOverdue = 3;
constexpr Duration kLeastOverdue = 500_ms;
/** From the grant until a part reaches its engine. */
constexpr Duration kReachMs(15);
/** Parts take a little longer than predicted, as each step also writes. */
constexpr double kPartSlack = 1.15;
/** Readers pause between two parts for a part of the time. */
constexpr double kReaderUse = 0.7;
/** Engines that read one prompt: the owner and its helpers. */
constexpr double kMostReaders = kMostHelpers + 1;
/** A queued prompt is kept while it is this much late at most, as predictions
 * are not exact. */
constexpr double kLateMs = 150;
/** From the leader to the engine and from there to the caller, four ways
 * between data centres. */
constexpr double kShortWaysMs = 16;

}  // namespace

PlacementRequest PromptScheduler::RequestOf(const Queued& queued) {
  PlacementRequest request;
  request.service_ = &queued.service_;
  request.prompt_tokens_ = queued.ask_.prompt_tokens_;
  request.answer_tokens_ = queued.ask_.answer_tokens_;
  request.tried_ = queued.ask_.tried_;
  return request;
}

std::optional<Placement> PromptScheduler::PlaceShort(TimePoint now,
                                                     const Queued& queued) {
  PlacementRequest request = RequestOf(queued);
  request.kept_ = kept_.Of(now, queued.key_.first);
  return placer_.PlaceShortNow(now, request, work_);
}

double PromptScheduler::OpenMs(TimePoint now) const {
  double sum = 0;
  for (const auto& [engine, reading] : work_.readings_) {
    sum += reading.LeftMs(now);
  }
  return sum;
}

void PromptScheduler::StartReading(TimePoint now, const Placement& placement) {
  for (const PrefillPart& part : placement.work_.parts_) {
    EngineReading& reading = work_.readings_[part.target_];
    reading.until_ = std::max(reading.until_, now + kReachMs) +
                     Duration(static_cast<int64_t>(part.prefill_ms_ * kPartSlack));
    ++reading.open_;
  }
  work_.Touch(placement.work_);
}

void PromptScheduler::FinishReading(Granted& granted) {
  for (const TargetId& reader : granted.readers_) {
    --work_.readings_[reader].open_;
    work_.touched_.push_back(reader);
  }
  granted.readers_.clear();
}

double PromptScheduler::WaitMs(double ahead_ms, double prefill_ms,
                               double readers) {
  const double together = std::min(readers, kMostReaders);
  return ahead_ms / readers / kReaderUse + prefill_ms / together * kPartSlack +
         kStartMs;
}

std::vector<PromptScheduler::Queued>::iterator PromptScheduler::FindVictim(
    size_t late) {
  // The one that costs most for what its caller gets gives way, but none that
  // was refused before: large prompts would never be served.
  const auto end = queue_.begin() + static_cast<std::ptrdiff_t>(late);
  auto victim = end;
  for (auto it = queue_.begin(); it != end; ++it) {
    if (!it->has_returned_ && it->CostPerToken() > victim->CostPerToken()) {
      victim = it;
    }
  }
  return victim;
}

void PromptScheduler::RefuseHopeless(TimePoint now) {
  if (queue_.empty()) {
    return;
  }
  double ahead_ms = OpenMs(now);
  // The same for all but for the targets that each has tried.
  const auto readers = static_cast<double>(
      placer_.ReaderCount(now, RequestOf(queue_.front()), work_));
  for (size_t i = 0; i < queue_.size();) {
    const Queued& queued = queue_[i];
    const double wait_ms = WaitMs(ahead_ms, queued.prefill_ms_, readers);
    const auto left = static_cast<double>((queued.due_ - now).Ms());
    if (wait_ms <= left + (queued.asked_ == now ? 0 : kLateMs)) {
      ahead_ms += queued.prefill_ms_;
      ++i;
      continue;
    }
    const auto victim = FindVictim(i);
    const bool is_last =
        victim == queue_.begin() + static_cast<std::ptrdiff_t>(i);
    Refuse(*victim, wait_ms);
    if (!is_last) {
      ahead_ms -= victim->prefill_ms_;
      --i;
    }
    queue_.erase(victim);
  }
}

void PromptScheduler::OnAsk(TimePoint now, const NodeId& gateway,
                            const PromptAsk& ask, const Service* service) {
  if (service == nullptr || !service->engine_) {
    replies_.push_back({gateway, PromptRefused{ask.operation_, {}}});
    return;
  }
  Queued queued;
  queued.key_ = Key(gateway, ask.operation_);
  queued.ask_ = ask;
  queued.service_ = *service;
  queued.asked_ = now;
  queued.rank_ = now + ask.objective_;
  queued.due_ = now + ask.latest_;
  queued.prefill_ms_ = PrefillMs(*service->engine_, ask.prompt_tokens_);
  if (!placer_.IsLong(RequestOf(queued))) {
    AskShort(now, std::move(queued));
    return;
  }
  // A prompt that was refused before is late already: it has longer, and uses
  // what those that can be in time leave.
  queued.has_returned_ = queued.due_ > queued.rank_;
  queued.rank_ = queued.due_;
  Insert(queue_, std::move(queued));
  PlaceLongs(now);
}

void PromptScheduler::Insert(std::vector<Queued>& queue, Queued queued) {
  const auto place = std::upper_bound(
      queue.begin(), queue.end(), queued,
      [](const Queued& a, const Queued& b) { return a.rank_ < b.rank_; });
  queue.insert(place, std::move(queued));
}

LoadLedger& PromptScheduler::LedgerOf(const Granted& granted) {
  return granted.is_short_ ? work_.short_ : work_.long_;
}

void PromptScheduler::CountShort(TimePoint now) {
  short_asks_.push_back(now);
  while (now - short_asks_.front() > kRateSpan) {
    short_asks_.pop_front();
  }
  work_.short_rate_ = static_cast<double>(short_asks_.size()) * kMsPerSecond /
                      static_cast<double>(kRateSpan.Ms());
}

void PromptScheduler::AskShort(TimePoint now, Queued queued) {
  CountShort(now);
  if (short_queue_.empty()) {
    const auto placement = PlaceShort(now, queued);
    if (placement) {
      GrantShort(now, queued, *placement);
      return;
    }
  }
  const double wait_ms =
      ShortWaitMs(now, queued, placer_.FlowOf(now, RequestOf(queued), work_),
                  short_queue_.size());
  if (wait_ms > static_cast<double>((queued.due_ - now).Ms())) {
    Refuse(queued, wait_ms);
    return;
  }
  replies_.push_back({queued.key_.first, PromptQueued{queued.ask_.operation_}});
  Insert(short_queue_, std::move(queued));
}

bool PromptScheduler::MayBeInTime(TimePoint now, const Queued& queued,
                                  const SlotFlow& flow, size_t ahead) {
  return flow.WaitMs(ahead, 0) + kShortWaysMs <=
         static_cast<double>((queued.rank_ - now).Ms());
}

double PromptScheduler::ShortWaitMs(TimePoint now, const Queued& queued,
                                    const SlotFlow& flow, size_t ahead) const {
  // What is late already waits until nothing that can be in time needs a slot.
  const double passing =
      MayBeInTime(now, queued, flow, ahead) ? 0 : work_.short_rate_;
  return flow.WaitMs(ahead, passing) + kShortWaysMs;
}

void PromptScheduler::PlaceShorts(TimePoint now) {
  if (short_queue_.empty()) {
    return;
  }
  const SlotFlow flow =
      placer_.FlowOf(now, RequestOf(short_queue_.front()), work_);
  while (!short_queue_.empty()) {
    const auto in_time = std::find_if(
        short_queue_.begin(), short_queue_.end(), [&](const Queued& queued) {
          return MayBeInTime(now, queued, flow, 0);
        });
    const auto next =
        in_time == short_queue_.end() ? short_queue_.begin() : in_time;
    const auto placement = PlaceShort(now, *next);
    if (!placement) {
      break;
    }
    GrantShort(now, *next, *placement);
    short_queue_.erase(next);
  }
  for (size_t i = 0; i < short_queue_.size();) {
    const Queued& queued = short_queue_[i];
    const double wait_ms = ShortWaitMs(now, queued, flow, i);
    if (wait_ms <= static_cast<double>((queued.due_ - now).Ms())) {
      ++i;
      continue;
    }
    Refuse(queued, wait_ms);
    short_queue_.erase(short_queue_.begin() + static_cast<std::ptrdiff_t>(i));
  }
}

void PromptScheduler::GrantShort(TimePoint now, const Queued& queued,
                                 const Placement& placement) {
  const double wait_ms = placement.wait_ms_ + kShortWaysMs;
  if (wait_ms > static_cast<double>((queued.due_ - now).Ms())) {
    Refuse(queued, wait_ms);
    return;
  }
  Granted granted{work_.short_.Begin(now, placement.work_),
                  now,
                  now + kShortGrantMemory,
                  TimePoint::Never(),
                  {},
                  true};
  granted_[queued.key_] = std::move(granted);
  work_.Touch(placement.work_);
  kept_.OnPlaced(queued.key_.first, placement.target_);
  SendPlaced(now, queued, placement);
}

void PromptScheduler::OnStep(TimePoint now, const NodeId& gateway,
                             const PromptStep& step) {
  const Key key(gateway, step.operation_);
  const auto is_it = [&key](const Queued& queued) {
    return queued.key_ == key;
  };
  std::erase_if(queue_, is_it);
  std::erase_if(short_queue_, is_it);
  const auto found = granted_.find(key);
  if (found == granted_.end()) {
    return;
  }
  FinishReading(found->second);
  const bool is_short = found->second.is_short_;
  LoadLedger& ledger = LedgerOf(found->second);
  if (const PlacedWork* work = ledger.Find(found->second.work_)) {
    work_.Touch(*work);
  }
  if (step.ended_) {
    if (step.outcome_ == HealthOutcome::kGood) {
      kept_.OnEnded(now, gateway, step.target_);
    }
    ledger.End(found->second.work_);
    granted_.erase(found);
  } else {
    ledger.FirstEvent(found->second.work_);
  }
  PlaceShorts(now);
  if (!is_short) {
    PlaceLongs(now);
  }
}

void PromptScheduler::SendPlaced(TimePoint now, const Queued& queued,
                                 const Placement& placement) {
  PromptPlaced placed;
  placed.operation_ = queued.ask_.operation_;
  placed.target_ = placement.target_;
  placed.helpers_ = placement.helpers_;
  placed.reservations_ = placement.reservations_;
  placed.part_ms_ = static_cast<int64_t>(placement.work_.parts_.front().prefill_ms_);
  placed.wait_ms_ = static_cast<int64_t>(placement.wait_ms_);
  placed.queued_ms_ = (now - queued.asked_).Ms();
  replies_.push_back({queued.key_.first, std::move(placed)});
}

void PromptScheduler::Refuse(const Queued& queued, double wait_ms) {
  replies_.push_back({queued.key_.first,
                      PromptRefused{queued.ask_.operation_,
                                    Duration(static_cast<int64_t>(wait_ms))}});
}

void PromptScheduler::Grant(TimePoint now, const Queued& queued,
                            const Placement& placement) {
  const Duration predicted(static_cast<int64_t>(placement.wait_ms_));
  Granted granted{work_.long_.Begin(now, placement.work_),
                  now,
                  now + kGrantMemory,
                  now + predicted * kOverdue + kLeastOverdue,
                  {}};
  for (const PrefillPart& part : placement.work_.parts_) {
    granted.readers_.push_back(part.target_);
  }
  granted_[queued.key_] = std::move(granted);
  StartReading(now, placement);
  SendPlaced(now, queued, placement);
}

void PromptScheduler::OnTick(TimePoint now) {
  const bool settled_long = work_.long_.SettleOverdue(now);
  const bool settled_short = work_.short_.SettleOverdue(now);
  if (settled_long || settled_short) {
    work_.TouchAll();
  }
  for (auto it = granted_.begin(); it != granted_.end();) {
    if (now >= it->second.overdue_) {
      FinishReading(it->second);
    }
    if (now < it->second.until_) {
      ++it;
      continue;
    }
    LedgerOf(it->second).End(it->second.work_);
    it = granted_.erase(it);
    work_.TouchAll();
  }
  std::erase_if(work_.readings_, [now](const auto& item) {
    return item.second.until_ <= now && item.second.open_ <= 0;
  });
  PlaceShorts(now);
  PlaceLongs(now);
}

void PromptScheduler::PlaceLongs(TimePoint now) {
  for (size_t i = 0; i < queue_.size();) {
    const Queued& queued = queue_[i];
    const std::optional<Placement> placement =
        placer_.PlaceLongNow(now, RequestOf(queued), work_);
    if (!placement) {
      ++i;
      continue;
    }
    Grant(now, queued, *placement);
    queue_.erase(queue_.begin() + static_cast<std::ptrdiff_t>(i));
  }
  RefuseHopeless(now);
}

void PromptScheduler::ForgetLost(TimePoint now, const LoadLedger& reports,
                                 const NodeId& self) {
  for (auto it = granted_.begin(); it != granted_.end();) {
    const NodeId& gateway = it->first.first;
    if (gateway == self || now - it->second.at_ <= kReportDelay ||
        reports.HasReport(gateway)) {
      ++it;
      continue;
    }
    FinishReading(it->second);
    LedgerOf(it->second).End(it->second.work_);
    it = granted_.erase(it);
    work_.TouchAll();
  }
}

std::vector<SchedulerReply> PromptScheduler::TakeReplies() {
  return std::exchange(replies_, {});
}

}  // namespace gv
