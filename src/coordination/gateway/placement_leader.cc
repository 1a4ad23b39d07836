/** @file placement_leader.cc Places prompts at the leader, from a table of
 * engines that is updated with each placement and each finished prompt. */
#include <algorithm>
#include <cmath>

#include "coordination/gateway/engine_model.h"
#include "coordination/gateway/placement.h"
#include "coordination/gateway/placement_weights.h"

namespace gv {

void LeaderWork::MarkChanged(const PlacedRequest& work) {
  for (const PrefillPart& part : work.parts_) {
    changed_engines_.push_back(part.target_);
  }
  if (changed_engines_.size() > kMaxChangedEngines) {
    MarkAllChanged();
  }
}

void LeaderWork::MarkAllChanged() {
  changed_engines_.clear();
  ++epoch_;
}

void Placer::UpdateRowLoad(const LeaderWork& leader_work,
                           EngineRow& row) const {
  const TargetId& id = row.candidate_.entry_->target_.id_;
  row.not_by_leader_ = ledger_.LoadNotPlacedByLeader(id);
  row.long_prompts_ = leader_work.long_prompts_.At(id);
  row.short_prompts_ = leader_work.short_prompts_.At(id);
  const auto pending = leader_work.prefill_by_engine_.find(id);
  row.pending_prefill_ = pending == leader_work.prefill_by_engine_.end()
                             ? PendingPrefill()
                             : pending->second;
}

const Placer::EngineTable& Placer::UpdatedTable(
    TimePoint now, const Service& service,
    const LeaderWork& leader_work) const {
  EngineTable& table = engine_tables_[service.name_];
  const EngineTable::Version version{directory_.ChangeCount(),
                                     health_.ChangeCount(), leader_work.epoch_};
  if (version != table.version_ || now - table.computed_at_ >= kMaxRowAge ||
      now < table.computed_at_) {
    table.version_ = version;
    table.computed_at_ = now;
    table.rows_.clear();
    table.row_by_engine_.clear();
    for (const DirectoryEntry* entry : ReadyEntries(service.name_)) {
      EngineRow row;
      if (InitCandidate(now, *entry, row.candidate_)) {
        UpdateRowLoad(leader_work, row);
        table.rows_.push_back(row);
      }
    }
    std::sort(table.rows_.begin(), table.rows_.end(),
              [](const EngineRow& a, const EngineRow& b) {
                return a.candidate_.order_ < b.candidate_.order_;
              });
    for (size_t i = 0; i < table.rows_.size(); ++i) {
      table.row_by_engine_[table.rows_[i].candidate_.entry_->target_.id_] = i;
    }
  } else {
    for (size_t i = table.applied_changes_;
         i < leader_work.changed_engines_.size(); ++i) {
      const auto place =
          table.row_by_engine_.find(leader_work.changed_engines_[i]);
      if (place != table.row_by_engine_.end()) {
        UpdateRowLoad(leader_work, table.rows_[place->second]);
      }
    }
  }
  table.applied_changes_ = leader_work.changed_engines_.size();
  return table;
}

std::vector<const Placer::EngineRow*> Placer::Untried(
    const std::vector<EngineRow>& rows, const PlacementRequest& request) {
  std::vector<const EngineRow*> untried;
  untried.reserve(rows.size());
  for (const EngineRow& row : rows) {
    if (request.tried_.empty() ||
        !IsTried(request, row.candidate_.entry_->target_.id_)) {
      untried.push_back(&row);
    }
  }
  return untried;
}

std::vector<const Placer::EngineRow*> Placer::Usable(
    TimePoint now, const std::vector<EngineRow>& rows,
    const PlacementRequest& request) const {
  std::vector<const EngineRow*> usable = Untried(rows, request);
  if (!limits_.Empty()) {
    std::erase_if(usable, [this, now](const EngineRow* row) {
      return !limits_.HasPermit(now, row->candidate_.entry_->target_.id_);
    });
  }
  return usable;
}

double Placer::LongZonePenaltyMs(const EngineProfile& engine,
                                 const EngineRow& row) const {
  // A limited engine is used as far as it permits, or nobody would hear when
  // its limit is over.
  return limits_.IsLimited(row.candidate_.entry_->target_.id_)
             ? 0
             : kLeaderLongZonePenaltyIntervals * FullIntervalMs(engine);
}

double Placer::PermitWaitMs(TimePoint now, const PlacementRequest& request,
                            const LeaderWork& leader_work, size_t ahead) const {
  if (limits_.Empty()) {
    return 0;
  }
  struct PermitTimes {
    double first_ms_ = 0;   ///< Until the next permit.
    double period_ms_ = 0;  ///< Between two of them.
  };
  std::vector<PermitTimes> engines;
  for (const EngineRow* row : Untried(
           UpdatedTable(now, *request.service_, leader_work).rows_, request)) {
    const TargetId& id = row->candidate_.entry_->target_.id_;
    if (!limits_.IsLimited(id)) {
      return 0;
    }
    engines.push_back(
        {static_cast<double>(limits_.UntilPermit(now, id).Ms()),
         kMsPerSecond / limits_.PerSecond(id) +
             (limits_.KeepsOnePermit(id) ? kPermitUseDelayMs : 0)});
  }
  if (engines.empty()) {
    return 0;
  }
  // Engines give permits in steps, often all at the same moment, so the time is
  // searched at which enough of them have been given.
  const auto permits_until = [&engines](double ms) {
    double permits = 0;
    for (const PermitTimes& engine : engines) {
      if (engine.first_ms_ <= ms) {
        permits += std::floor((ms - engine.first_ms_) / engine.period_ms_) + 1;
      }
    }
    return permits;
  };
  const auto wanted = static_cast<double>(ahead + 1);
  double too_early = -1;
  double enough = kNoRoomPenaltyMs;
  while (enough - too_early > 1) {
    const double middle = (too_early + enough) / 2;
    (permits_until(middle) >= wanted ? enough : too_early) = middle;
  }
  return std::max(0.0, enough);
}

std::vector<const Placer::EngineRow*> Placer::LongZone(
    TimePoint now, const PlacementRequest& request,
    const LeaderWork& leader_work) const {
  std::vector<const EngineRow*> zone = Usable(
      now, UpdatedTable(now, *request.service_, leader_work).rows_, request);
  // A single engine takes both short and long prompts.
  const size_t border =
      zone.size() < 2
          ? 0
          : ShortZoneSize(now, *request.service_->engine_, zone.size(),
                          leader_work.short_prompts_per_s_);
  zone.erase(zone.begin(), zone.begin() + static_cast<std::ptrdiff_t>(border));
  return zone;
}

size_t Placer::ReaderCount(TimePoint now, const PlacementRequest& request,
                           const LeaderWork& leader_work) const {
  return std::max<size_t>(1, LongZone(now, request, leader_work).size());
}

std::optional<size_t> Placer::ChooseOwner(const PlacementRequest& request,
                                          const std::vector<Candidate>& free) {
  const EngineProfile& engine = *request.service_->engine_;
  const int64_t tokens = request.prompt_tokens_ + request.answer_tokens_;
  const bool fits = HasRoom(engine, Candidate(), tokens);
  std::optional<size_t> best;
  double best_score = 0;
  for (size_t i = 0; i < free.size(); ++i) {
    // At an engine, smaller prompts overtake one that waits for memory for
    // seconds, so it stays queued at the leader.
    if (fits &&
        (!HasRoom(engine, free[i], tokens) ||
         free[i].load_.requests_ + free[i].short_streams_ >= engine.slots_)) {
      continue;
    }
    const double score =
        free[i].penalty_ms_ + WaitMs(engine, free[i], tokens) +
        (free[i].load_.requests_ == 0
             ? kNewOwnerPenaltyIntervals * FullIntervalMs(engine)
             : 0);
    if (!best || score < best_score) {
      best = i;
      best_score = score;
    }
  }
  return best;
}

void Placer::ConsiderForShort(TimePoint now, const PlacementRequest& request,
                              const EngineRow& row, double bias_ms,
                              ShortChoice& choice) {
  const EngineProfile& engine = *request.service_->engine_;
  const int64_t tokens = request.prompt_tokens_ + request.answer_tokens_;
  Candidate candidate = row.candidate_;
  candidate.load_ = row.AllLoad(now);
  if (!HasRoom(engine, candidate, tokens) ||
      (candidate.on_trial_ && candidate.load_.requests_ > 0)) {
    return;
  }
  const double lower_bound =
      candidate.penalty_ms_ + bias_ms +
      kStreamPenaltyMs * static_cast<double>(candidate.load_.requests_) +
      (row.long_prompts_.requests_ > 0 ? kLongAnswerPenaltyMs : 0);
  // Prefill is a lower bound of the wait, which is costlier to predict.
  if (choice.best_ &&
      lower_bound + candidate.load_.prefill_ms_ >= choice.score_) {
    return;
  }
  const double score = lower_bound + WaitMs(engine, candidate, tokens);
  if (!choice.best_ || score < choice.score_) {
    choice.best_ = candidate;
    choice.score_ = score;
  }
}

std::optional<Placement> Placer::PlaceShortNow(
    TimePoint now, const PlacementRequest& request,
    const LeaderWork& leader_work) const {
  const EngineProfile& engine = *request.service_->engine_;
  const int64_t tokens = request.prompt_tokens_ + request.answer_tokens_;
  const EngineTable& table = UpdatedTable(now, *request.service_, leader_work);
  const std::vector<const EngineRow*> engines =
      Usable(now, table.rows_, request);
  const size_t border = ShortZoneSize(now, engine, engines.size(),
                                      leader_work.short_prompts_per_s_);
  ShortChoice choice;
  bool all_suspected = true;
  for (size_t i = 0; i < engines.size(); ++i) {
    all_suspected = all_suspected &&
                    engines[i]->candidate_.penalty_ms_ >= kSuspectedPenaltyMs;
    ConsiderForShort(now, request, *engines[i],
                     i >= border ? LongZonePenaltyMs(engine, *engines[i]) : 0,
                     choice);
  }
  for (const TargetId& kept : request.kept_) {
    const auto place = table.row_by_engine_.find(kept);
    if (place != table.row_by_engine_.end() && !IsTried(request, kept) &&
        limits_.HasPermit(now, kept)) {
      const EngineRow& row = table.rows_[place->second];
      const double spill =
          place->second >= border ? LongZonePenaltyMs(engine, row) : 0;
      ConsiderForShort(now, request, row, spill - kConnectionSetupMs, choice);
    }
  }
  const std::optional<Candidate>& best = choice.best_;
  if (!best || (best->penalty_ms_ >= kSuspectedPenaltyMs && !all_suspected)) {
    return std::nullopt;
  }
  const double prefill_ms = PrefillMs(engine, request.prompt_tokens_);
  Placement placement;
  placement.target_ = best->entry_->target_.id_;
  placement.candidate_count_ = engines.size();
  placement.wait_ms_ = WaitMs(engine, *best, tokens) + prefill_ms;
  placement.answer_ms_ = AnswerMsAt(request, *best);
  placement.work_.wait_ms_ = placement.wait_ms_;
  placement.work_.parts_.push_back(
      PrefillPart{placement.target_, prefill_ms, tokens});
  return placement;
}

double SlotTurnover::WaitMs(size_t ahead) const {
  return slots_freed_per_ms_ <= 0
             ? kNoRoomPenaltyMs
             : static_cast<double>(ahead + 1) / slots_freed_per_ms_ +
                   first_event_ms_;
}

SlotTurnover Placer::SlotTurnoverFor(TimePoint now,
                                     const PlacementRequest& request,
                                     const LeaderWork& leader_work) const {
  const EngineProfile& engine = *request.service_->engine_;
  const int64_t tokens = request.prompt_tokens_ + request.answer_tokens_;
  const double answer_ms =
      AnswerMs(engine, engine.slots_, engine.slots_ * tokens,
               std::max<int64_t>(1, engine.usual_answer_tokens_));
  SlotTurnover turnover;
  const double freed_per_ms = static_cast<double>(engine.slots_) / answer_ms;
  for (const EngineRow* row : Untried(
           UpdatedTable(now, *request.service_, leader_work).rows_, request)) {
    const TargetId& id = row->candidate_.entry_->target_.id_;
    turnover.slots_freed_per_ms_ +=
        limits_.IsLimited(id)
            ? std::min(freed_per_ms, limits_.PerSecond(id) / kMsPerSecond)
            : freed_per_ms;
  }
  // Half of the interval in progress, and the one before the first event.
  turnover.first_event_ms_ =
      1.5 * EventIntervalMs(engine, engine.slots_, engine.slots_ * tokens) +
      PrefillMs(engine, request.prompt_tokens_);
  return turnover;
}

Placer::Candidate Placer::LongCandidate(TimePoint now,
                                        const EngineRow& row) const {
  Candidate candidate = row.candidate_;
  candidate.is_limited_ = limits_.IsLimited(candidate.entry_->target_.id_);
  candidate.load_ = row.long_prompts_;
  candidate.load_.prefill_ms_ =
      row.not_by_leader_.prefill_ms_ + row.pending_prefill_.LeftMs(now);
  candidate.load_.tokens_ +=
      row.short_prompts_.tokens_ + row.not_by_leader_.tokens_;
  candidate.short_streams_ = std::max<int64_t>(
      0, row.short_prompts_.requests_ + row.not_by_leader_.requests_);
  candidate.penalty_ms_ +=
      kShortStreamPenaltyMs * static_cast<double>(candidate.short_streams_);
  candidate.open_parts_ = row.pending_prefill_.unfinished_parts_;
  return candidate;
}

std::optional<Placement> Placer::PlaceLongNow(
    TimePoint now, const PlacementRequest& request,
    const LeaderWork& leader_work) const {
  std::vector<Candidate> free;
  size_t idle = 0;
  // Orders for reserved memory reach the engine as requests do.
  const bool needs_reservations =
      !HasRoom(*request.service_->engine_, Candidate(),
               request.prompt_tokens_ + request.answer_tokens_);
  for (const EngineRow* row : LongZone(now, request, leader_work)) {
    const Candidate candidate = LongCandidate(now, *row);
    if (candidate.on_trial_ || (needs_reservations && candidate.is_limited_)) {
      continue;
    }
    idle += candidate.load_.requests_ == 0 ? 1 : 0;
    if (candidate.open_parts_ <= kMaxOpenParts &&
        candidate.load_.prefill_ms_ <= kMaxFreeReaderPrefillMs) {
      free.push_back(candidate);
    }
  }
  std::optional<Placement> placement;
  for (const DecodeKind decoding :
       {DecodeKind::kShortAnswers, DecodeKind::kLongAnswers}) {
    placement = PlaceLongOn(request, free, decoding, 0);
    if (placement) {
      return placement;
    }
  }
  return PlaceLongOn(request, std::move(free), DecodeKind::kNothing, idle);
}

Placer::DecodeKind Placer::DecodesAt(const Candidate& candidate) {
  if (candidate.short_streams_ > 0) {
    return DecodeKind::kShortAnswers;
  }
  return candidate.load_.requests_ > 0 ? DecodeKind::kLongAnswers
                                       : DecodeKind::kNothing;
}

std::optional<Placement> Placer::PlaceLongOn(const PlacementRequest& request,
                                             std::vector<Candidate> free,
                                             DecodeKind decoding, size_t idle) {
  const EngineProfile& engine = *request.service_->engine_;
  std::erase_if(free, [decoding](const Candidate& candidate) {
    return DecodesAt(candidate) > decoding;
  });
  const std::optional<size_t> owner_at = ChooseOwner(request, free);
  if (!owner_at) {
    return std::nullopt;
  }
  const Candidate owner = free[*owner_at];
  free.erase(free.begin() + static_cast<std::ptrdiff_t>(*owner_at));
  std::erase_if(free, [](const Candidate& candidate) {
    return candidate.penalty_ms_ >= kSuspectedPenaltyMs;
  });
  const auto wanted = static_cast<size_t>(HelperCount(
      engine, request.prompt_tokens_, MaxLongPartMs(request), kMaxHelpers));
  const size_t helpers = std::min(wanted, free.size());
  idle -= idle > 0 && DecodesAt(owner) == DecodeKind::kNothing ? 1 : 0;
  const size_t least_helpers =
      (idle + kFreeReaderDivisor - 1) / kFreeReaderDivisor;
  const double part_ms = PrefillMs(engine, request.prompt_tokens_) /
                         static_cast<double>(helpers + 1);
  const double longest_intervals =
      kMaxPartIntervals[static_cast<size_t>(decoding)];
  // Only answers of short prompts are taken as urgent ones.
  const double longest_ms = decoding == DecodeKind::kShortAnswers
                                ? BoundedPrefillMs(request, longest_intervals)
                                : longest_intervals * FullIntervalMs(engine);
  if (helpers < std::min(wanted, least_helpers) || part_ms > longest_ms) {
    return std::nullopt;
  }
  std::sort(free.begin(), free.end(),
            [](const Candidate& a, const Candidate& b) {
              // Engines that decode start their part one event interval later,
              // which delays all other readers of the prompt.
              return std::make_pair(DecodesAt(a),
                                    a.penalty_ms_ + a.load_.prefill_ms_) <
                     std::make_pair(DecodesAt(b),
                                    b.penalty_ms_ + b.load_.prefill_ms_);
            });
  return BuildLongPlacement(request, owner, free);
}

}  // namespace gv
