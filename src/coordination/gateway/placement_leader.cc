/** @file placement_leader.cc Places prompts at the leader, by rows of engines
 * that follow each placement and each end. */
#include <algorithm>

#include "coordination/gateway/engine_model.h"
#include "coordination/gateway/placement.h"
#include "coordination/gateway/placement_weights.h"

namespace gv {

void GrantedWork::Touch(const PlacedWork& work) {
  for (const PrefillPart& part : work.parts_) {
    touched_.push_back(part.target_);
  }
  if (touched_.size() > kMostTouched) {
    TouchAll();
  }
}

void GrantedWork::TouchAll() {
  touched_.clear();
  ++epoch_;
}

void Placer::Count(const GrantedWork& granted, EngineRow& row) const {
  const TargetId& id = row.candidate_.entry_->target_.id_;
  row.others_ = ledger_.NotGranted(id);
  row.long_ = granted.long_.At(id);
  row.short_ = granted.short_.At(id);
  const auto reading = granted.readings_.find(id);
  row.reading_ =
      reading == granted.readings_.end() ? EngineReading() : reading->second;
}

const Placer::EngineTable& Placer::Rows(TimePoint now, const Service& service,
                                        const GrantedWork& granted) const {
  EngineTable& table = tables_[service.name_];
  const EngineTable::Stamp stamp{directory_.Changes(), health_.Changes(),
                                 granted.epoch_};
  if (stamp != table.stamp_ || now - table.counted_ >= kRowsAge ||
      now < table.counted_) {
    table.stamp_ = stamp;
    table.counted_ = now;
    table.rows_.clear();
    table.places_.clear();
    for (const DirectoryEntry* entry : ReadyOf(service.name_)) {
      EngineRow row;
      if (Judge(now, *entry, row.candidate_)) {
        Count(granted, row);
        table.rows_.push_back(row);
      }
    }
    std::sort(table.rows_.begin(), table.rows_.end(),
              [](const EngineRow& a, const EngineRow& b) {
                return a.candidate_.order_ < b.candidate_.order_;
              });
    for (size_t i = 0; i < table.rows_.size(); ++i) {
      table.places_[table.rows_[i].candidate_.entry_->target_.id_] = i;
    }
  } else {
    for (size_t i = table.applied_; i < granted.touched_.size(); ++i) {
      const auto place = table.places_.find(granted.touched_[i]);
      if (place != table.places_.end()) {
        Count(granted, table.rows_[place->second]);
      }
    }
  }
  table.applied_ = granted.touched_.size();
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

std::vector<const Placer::EngineRow*> Placer::LongZone(
    TimePoint now, const PlacementRequest& request,
    const GrantedWork& granted) const {
  std::vector<const EngineRow*> zone =
      Untried(Rows(now, *request.service_, granted).rows_, request);
  // A single engine serves both.
  const size_t border = zone.size() < 2
                            ? 0
                            : ShortShare(now, *request.service_->engine_,
                                         zone.size(), granted.short_rate_);
  zone.erase(zone.begin(), zone.begin() + static_cast<std::ptrdiff_t>(border));
  return zone;
}

size_t Placer::ReaderCount(TimePoint now, const PlacementRequest& request,
                           const GrantedWork& granted) const {
  const std::vector<const EngineRow*> zone = LongZone(now, request, granted);
  const auto readers = std::count_if(
      zone.begin(), zone.end(),
      [](const EngineRow* row) { return row->long_.requests_ == 0; });
  return std::max<size_t>(1, static_cast<size_t>(readers));
}

std::optional<size_t> Placer::TakeOwner(const PlacementRequest& request,
                                        const std::vector<Candidate>& free) {
  const EngineProfile& engine = *request.service_->engine_;
  const int64_t tokens = request.prompt_tokens_ + request.answer_tokens_;
  const bool fits = HasRoom(engine, Candidate(), tokens);
  std::optional<size_t> best;
  double best_rank = 0;
  for (size_t i = 0; i < free.size(); ++i) {
    // A prompt that waits for memory at its engine is passed by smaller ones
    // for seconds, so it waits here.
    if (fits &&
        (!HasRoom(engine, free[i], tokens) ||
         free[i].load_.requests_ + free[i].short_streams_ >= engine.slots_)) {
      continue;
    }
    const double rank = free[i].penalty_ms_ + WaitMs(engine, free[i], tokens) +
                        (free[i].load_.requests_ == 0 ? kNewOwnerMs : 0);
    if (!best || rank < best_rank) {
      best = i;
      best_rank = rank;
    }
  }
  return best;
}

void Placer::LeaveShortStreams(std::vector<Candidate>& zone) {
  std::stable_sort(zone.begin(), zone.end(),
                   [](const Candidate& a, const Candidate& b) {
                     return a.short_streams_ < b.short_streams_;
                   });
  const size_t least = (zone.size() + kLeastReaders - 1) / kLeastReaders;
  while (zone.size() > least && zone.back().short_streams_ > 0) {
    zone.pop_back();
  }
}

void Placer::Consider(TimePoint now, const PlacementRequest& request,
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
  const double known =
      candidate.penalty_ms_ + bias_ms +
      kStreamMs * static_cast<double>(candidate.load_.requests_) +
      (row.long_.requests_ > 0 ? kBesideLongMs : 0);
  // The prefill is a part of the wait, which takes longer to predict.
  if (choice.best_ && known + candidate.load_.prefill_ms_ >= choice.score_) {
    return;
  }
  const double score = known + WaitMs(engine, candidate, tokens);
  if (!choice.best_ || score < choice.score_) {
    choice.best_ = candidate;
    choice.score_ = score;
  }
}

std::optional<Placement> Placer::PlaceShortNow(
    TimePoint now, const PlacementRequest& request,
    const GrantedWork& granted) const {
  const EngineProfile& engine = *request.service_->engine_;
  const int64_t tokens = request.prompt_tokens_ + request.answer_tokens_;
  const EngineTable& table = Rows(now, *request.service_, granted);
  const std::vector<const EngineRow*> engines = Untried(table.rows_, request);
  const size_t border =
      ShortShare(now, engine, engines.size(), granted.short_rate_);
  ShortChoice choice;
  bool all_suspected = true;
  for (size_t i = 0; i < engines.size(); ++i) {
    all_suspected =
        all_suspected && engines[i]->candidate_.penalty_ms_ >= kSuspectedMs;
    Consider(now, request, *engines[i], i >= border ? kSpillMs : 0, choice);
  }
  for (const TargetId& kept : request.kept_) {
    const auto place = table.places_.find(kept);
    if (place != table.places_.end() && !IsTried(request, kept)) {
      const double spill = place->second >= border ? kSpillMs : 0;
      Consider(now, request, table.rows_[place->second],
               spill - kKeptConnectionMs, choice);
    }
  }
  const std::optional<Candidate>& best = choice.best_;
  if (!best || (best->penalty_ms_ >= kSuspectedMs && !all_suspected)) {
    return std::nullopt;
  }
  const double prefill_ms = PrefillMs(engine, request.prompt_tokens_);
  Placement placement;
  placement.target_ = best->entry_->target_.id_;
  placement.candidates_ = engines.size();
  placement.wait_ms_ = WaitMs(engine, *best, tokens) + prefill_ms;
  placement.work_.wait_ms_ = placement.wait_ms_;
  placement.work_.parts_.push_back(
      PrefillPart{placement.target_, prefill_ms, tokens});
  return placement;
}

double SlotFlow::WaitMs(size_t ahead, double passing_rate) const {
  const double free_rate = freed_per_ms_ - passing_rate / kMsPerSecond;
  return free_rate <= 0
             ? kNoRoomMs
             : static_cast<double>(ahead + 1) / free_rate + start_ms_;
}

SlotFlow Placer::FlowOf(TimePoint now, const PlacementRequest& request,
                        const GrantedWork& granted) const {
  const EngineProfile& engine = *request.service_->engine_;
  const auto engines = static_cast<double>(
      Untried(Rows(now, *request.service_, granted).rows_, request).size());
  const int64_t tokens = request.prompt_tokens_ + request.answer_tokens_;
  const double answer_ms =
      AnswerMs(engine, engine.slots_, engine.slots_ * tokens,
               std::max<int64_t>(1, engine.usual_answer_tokens_));
  SlotFlow flow;
  flow.freed_per_ms_ = static_cast<double>(engine.slots_) * engines / answer_ms;
  // Half of the pass in progress, and the pass that makes the first event.
  flow.start_ms_ = 1.5 * PassMs(engine, engine.slots_, engine.slots_ * tokens) +
                   PrefillMs(engine, request.prompt_tokens_);
  return flow;
}

std::optional<Placement> Placer::PlaceLongNow(
    TimePoint now, const PlacementRequest& request,
    const GrantedWork& granted) const {
  const EngineProfile& engine = *request.service_->engine_;
  std::vector<Candidate> zone;
  for (const EngineRow* row : LongZone(now, request, granted)) {
    if (row->candidate_.on_trial_) {
      continue;
    }
    Candidate candidate = row->candidate_;
    candidate.load_ = row->long_;
    candidate.load_.prefill_ms_ = row->others_.prefill_ms_;
    candidate.load_.tokens_ += row->short_.tokens_ + row->others_.tokens_;
    candidate.short_streams_ =
        std::max<int64_t>(0, row->short_.requests_ + row->others_.requests_);
    candidate.penalty_ms_ +=
        kLeftOverMs * static_cast<double>(candidate.short_streams_);
    candidate.reading_ms_ = row->reading_.LeftMs(now);
    candidate.open_parts_ = row->reading_.open_;
    zone.push_back(candidate);
  }
  LeaveShortStreams(zone);
  std::vector<Candidate> free;
  size_t readers = 0;
  for (Candidate& candidate : zone) {
    readers += candidate.load_.requests_ == 0 ? 1 : 0;
    candidate.load_.prefill_ms_ += candidate.reading_ms_;
    if (candidate.open_parts_ <= kMostOpenParts &&
        candidate.load_.prefill_ms_ <= kReaderFreeMs) {
      free.push_back(candidate);
    }
  }
  const std::optional<size_t> owner_at = TakeOwner(request, free);
  if (!owner_at) {
    return std::nullopt;
  }
  const Candidate owner = free[*owner_at];
  free.erase(free.begin() + static_cast<std::ptrdiff_t>(*owner_at));
  readers -= owner.load_.requests_ == 0 ? 1 : 0;
  // Engines that write take up a part one pass later, and keep all other
  // readers of its prompt waiting.
  std::erase_if(free, [](const Candidate& candidate) {
    return candidate.load_.requests_ > 0 ||
           candidate.penalty_ms_ >= kSuspectedMs;
  });
  const auto wanted = static_cast<size_t>(
      HelpersFor(engine, request.prompt_tokens_, kLongPartMs, kMostHelpers));
  if (free.size() < std::min(wanted, (readers + kBeginWith - 1) / kBeginWith)) {
    return std::nullopt;
  }
  std::sort(free.begin(), free.end(),
            [](const Candidate& a, const Candidate& b) {
              return a.penalty_ms_ + a.load_.prefill_ms_ <
                     b.penalty_ms_ + b.load_.prefill_ms_;
            });
  return JoinReaders(request, owner, free);
}

}  // namespace gv
