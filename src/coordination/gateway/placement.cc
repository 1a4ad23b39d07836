/** @file placement.cc Scores targets and splits long prompts in parts. */
#include "coordination/gateway/placement.h"

#include <algorithm>
#include <cmath>

#include "coordination/gateway/decode_protection.h"
#include "coordination/gateway/engine_model.h"
#include "coordination/gateway/placement_weights.h"

namespace gv {
namespace {

/** @return Prefill in milliseconds beyond which @p request is a long one. */
double LongPrefillMs(const PlacementRequest& request) {
  return BoundedPrefillMs(request, kLongPromptIntervals);
}

}  // namespace

double BoundedPrefillMs(const PlacementRequest& request, double intervals) {
  const Service& service = *request.service_;
  const double most = intervals * FullIntervalMs(*service.engine_);
  return std::min(
      most,
      LongestPrefillBesideUrgent(service, request.route_rank_).value_or(most));
}

double MaxLongPartMs(const PlacementRequest& request) {
  return BoundedPrefillMs(request, kMaxLongPartIntervals);
}

const Placer::ReadyTargets& Placer::ReadyTargetsOf(
    const std::string& service) const {
  ReadyTargets& ready = ready_targets_[service];
  if (ready.changes_ == directory_.ChangeCount()) {
    return ready;
  }
  ready.changes_ = directory_.ChangeCount();
  ready.entries_.clear();
  bool has_evacuated = false;
  for (const auto& [id, entry] : directory_.All()) {
    if (entry.target_.service_ != service ||
        entry.target_.state_ != RegistrationState::kReady) {
      continue;
    }
    if (directory_.MayBeUsed(entry)) {
      ready.entries_.push_back(&entry);
    } else {
      has_evacuated = true;
    }
  }
  ready.is_evacuated_ = has_evacuated && ready.entries_.empty();
  return ready;
}

const std::vector<const DirectoryEntry*>& Placer::ReadyEntries(
    const std::string& service) const {
  return ReadyTargetsOf(service).entries_;
}

bool Placer::IsEvacuated(const std::string& service) const {
  return ReadyTargetsOf(service).is_evacuated_;
}

bool Placer::InitCandidate(TimePoint now, const DirectoryEntry& entry,
                           Candidate& candidate) const {
  const TargetId& id = entry.target_.id_;
  if (health_.IsPaused(now, id)) {
    return false;
  }
  candidate.entry_ = &entry;
  candidate.order_ = entry.hash_;
  candidate.penalty_ms_ = kFailurePenaltyMs * health_.FailureRate(id);
  if (entry.target_.data_centre_ != own_data_centre_) {
    candidate.penalty_ms_ += kOtherDataCentrePenaltyMs;
  }
  if (health_.IsSuspected(now, id)) {
    candidate.penalty_ms_ += kSuspectedPenaltyMs;
  }
  candidate.on_trial_ = health_.IsRecovering(now, id);
  const Duration warm_up = entry.warm_at_ - now;
  if (warm_up > Duration()) {
    candidate.penalty_ms_ += static_cast<double>(warm_up.Ms());
  }
  return true;
}

bool Placer::IsTried(const PlacementRequest& request, const TargetId& id) {
  return std::find(request.tried_.begin(), request.tried_.end(), id) !=
         request.tried_.end();
}

std::vector<Placer::Candidate> Placer::Candidates(
    TimePoint now, const PlacementRequest& request) const {
  std::vector<Candidate> candidates;
  for (const DirectoryEntry* entry : ReadyEntries(request.service_->name_)) {
    const TargetId& id = entry->target_.id_;
    Candidate candidate;
    const bool is_permitted =
        request.permitted_ ? id == *request.permitted_ : !limits_.IsLimited(id);
    if (!is_permitted || IsTried(request, id) ||
        !InitCandidate(now, *entry, candidate)) {
      continue;
    }
    candidate.load_ = ledger_.At(id);
    if (candidate.on_trial_ && candidate.load_.requests_ > 0) {
      candidate.penalty_ms_ += kSuspectedPenaltyMs;
    }
    candidates.push_back(candidate);
  }
  return candidates;
}

Duration Placer::ShortestWork(const PlacementRequest& request) {
  if (!request.service_->engine_ || request.prompt_tokens_ <= 0) {
    return {};
  }
  const EngineProfile& engine = *request.service_->engine_;
  return Duration(static_cast<int64_t>(
      ShortestWorkMs(engine, request.prompt_tokens_, request.answer_tokens_,
                     MaxLongPartMs(request), kMaxHelpers)));
}

std::optional<Duration> Placer::UntilUsable(
    TimePoint now, const PlacementRequest& request) const {
  std::optional<Duration> soonest;
  for (const DirectoryEntry* entry : ReadyEntries(request.service_->name_)) {
    const Duration wait = health_.UntilUsable(now, entry->target_.id_);
    if (wait > Duration() && (!soonest || wait < *soonest)) {
      soonest = wait;
    }
  }
  return soonest;
}

std::vector<TargetId> Placer::LimitedTargets(
    TimePoint now, const PlacementRequest& request) const {
  std::vector<TargetId> limited;
  if (limits_.Empty()) {
    return limited;
  }
  for (const DirectoryEntry* entry : ReadyEntries(request.service_->name_)) {
    const TargetId& id = entry->target_.id_;
    if (limits_.IsLimited(id) && !IsTried(request, id) &&
        !health_.IsPaused(now, id) && !health_.IsSuspected(now, id)) {
      limited.push_back(id);
    }
  }
  return limited;
}

std::vector<TargetId> Placer::TakePermits(TimePoint now,
                                          const Placement& placement) const {
  std::vector<TargetId> limited;
  for (const PrefillPart& part : placement.work_.parts_) {
    if (limits_.IsLimited(part.target_)) {
      limits_.TakePermit(now, part.target_);
      limited.push_back(part.target_);
    }
  }
  return limited;
}

void Placer::SortByOrder(std::vector<Candidate>& candidates) {
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& a, const Candidate& b) {
              return a.order_ < b.order_;
            });
}

std::optional<Placement> Placer::Place(TimePoint now,
                                       const PlacementRequest& request) const {
  std::vector<Candidate> candidates = Candidates(now, request);
  if (candidates.empty()) {
    return std::nullopt;
  }
  Placement placement = request.service_->engine_ && request.prompt_tokens_ > 0
                            ? PlacePrompt(now, request, candidates)
                            : PlacePlainRequest(candidates);
  placement.candidate_count_ = candidates.size();
  placement.work_.wait_ms_ = placement.wait_ms_;
  return placement;
}

Placement Placer::PlacePlainRequest(std::vector<Candidate>& candidates) const {
  const auto score = [](const Candidate& candidate) {
    // Approximate wait of a new request per request in progress.
    constexpr double kMsPerRequest = 20;
    const auto slots = std::max<int64_t>(1, candidate.entry_->target_.slots_);
    return candidate.penalty_ms_ +
           kMsPerRequest * static_cast<double>(candidate.load_.requests_) /
               static_cast<double>(slots) * 2;
  };
  const auto best =
      std::min_element(candidates.begin(), candidates.end(),
                       [&score](const Candidate& a, const Candidate& b) {
                         return score(a) < score(b);
                       });
  Placement placement;
  placement.target_ = best->entry_->target_.id_;
  placement.wait_ms_ = score(*best);
  placement.work_.parts_ = {PrefillPart{placement.target_, 0, 0}};
  placement.work_.is_short_ = false;
  return placement;
}

size_t Placer::ShortZoneSize(TimePoint now, const EngineProfile& engine,
                             size_t engines, double short_prompts_per_s) const {
  if (engines < 2) {
    return engines;
  }
  const double answer_ms = AnswerMs(engine, engine.slots_,
                                    engine.slots_ * engine.usual_prompt_tokens_,
                                    engine.usual_answer_tokens_);
  const double streams =
      std::max(static_cast<double>(ledger_.ShortStreams()),
               short_prompts_per_s * answer_ms / kMsPerSecond);
  const double for_short =
      streams / (kShortSlotUtilisation * static_cast<double>(engine.slots_)) +
      1;
  const double for_long =
      ledger_.LongPrefillMsPerSecond(now) / kMsPerSecond / kPrefillUtilisation +
      1;
  const auto all = static_cast<double>(engines);
  double share = for_short;
  if (for_short + for_long > all) {
    share = all * for_short / (for_short + for_long);
  }
  const auto rounded = static_cast<size_t>(std::ceil(share));
  return std::clamp<size_t>(rounded, 1, engines - 1);
}

bool Placer::HasRoom(const EngineProfile& engine, const Candidate& candidate,
                     int64_t tokens) {
  return static_cast<double>(candidate.load_.tokens_ + tokens) <=
             kMaxMemoryUtilisation *
                 static_cast<double>(engine.memory_tokens_) &&
         candidate.load_.requests_ < engine.slots_;
}

double Placer::WaitMs(const EngineProfile& engine, const Candidate& candidate,
                      int64_t tokens) {
  const TargetLoad& load = candidate.load_;
  const auto slots = static_cast<double>(engine.slots_);
  const double answer_ms =
      AnswerMs(engine, load.requests_, load.tokens_,
               std::max<int64_t>(1, engine.usual_answer_tokens_));
  const auto waiting = static_cast<double>(load.requests_ - engine.slots_ + 1);
  const double room =
      kMaxMemoryUtilisation * static_cast<double>(engine.memory_tokens_);
  const bool no_room = static_cast<double>(load.tokens_ + tokens) > room;
  // Half of the interval in progress, and the one before the first event.
  const double passes = load.requests_ > 0 ? 1.5 : 1;
  return load.prefill_ms_ +
         passes * EventIntervalMs(engine, load.requests_ + 1,
                                  load.tokens_ + tokens) +
         std::max(0.0, waiting) * answer_ms / slots + (no_room ? answer_ms : 0);
}

double Placer::AnswerMsAt(const PlacementRequest& request,
                          const Candidate& candidate) {
  const int64_t tokens = request.prompt_tokens_ + request.answer_tokens_;
  return AnswerMs(*request.service_->engine_,
                  candidate.load_.requests_ + candidate.short_streams_ + 1,
                  candidate.load_.tokens_ + tokens, request.answer_tokens_);
}

size_t Placer::OwnerCount(const EngineProfile& engine, size_t engines) const {
  const double room =
      kOwnerMemoryUtilisation *
      static_cast<double>(std::max<int64_t>(1, engine.memory_tokens_));
  const double wanted = static_cast<double>(ledger_.LongTokens()) / room + 2;
  return std::clamp<size_t>(static_cast<size_t>(std::ceil(wanted)), 1,
                            std::max<size_t>(1, engines / 2));
}

Placement Placer::PlacePrompt(TimePoint now, const PlacementRequest& request,
                              std::vector<Candidate>& candidates) const {
  const EngineProfile& engine = *request.service_->engine_;
  const bool is_short =
      PrefillMs(engine, request.prompt_tokens_) <= LongPrefillMs(request);
  SortByOrder(candidates);
  const size_t border = ShortZoneSize(now, engine, candidates.size());
  const auto middle = candidates.begin() + static_cast<std::ptrdiff_t>(border);
  if (!is_short && middle != candidates.end()) {
    return PlaceLong(request, {middle, candidates.end()});
  }
  Placement own = PlaceShort(request, {candidates.begin(), middle});
  if (own.wait_ms_ <= kMaxOwnEngineWaitIntervals * FullIntervalMs(engine)) {
    return own;
  }
  Placement other = PlaceShortAnywhere(request, std::move(candidates), border);
  return other.wait_ms_ + kMinOtherEngineGainMs < own.wait_ms_ ? other : own;
}

Placement Placer::PlaceShortAnywhere(const PlacementRequest& request,
                                     std::vector<Candidate> engines,
                                     size_t border) const {
  const EngineProfile& engine = *request.service_->engine_;
  const int64_t tokens = request.prompt_tokens_ + request.answer_tokens_;
  for (size_t i = 0; i < engines.size(); ++i) {
    constexpr double kHashRange = 4294967296.0;
    const uint64_t mixed =
        (request.hash_ ^ engines[i].order_) * kHashMultiplier;
    engines[i].penalty_ms_ +=
        (i >= border ? kLongZonePenaltyMs : 0) +
        kMaxRequestJitterMs * static_cast<double>(mixed >> 32U) / kHashRange;
  }
  const auto score = [&](const Candidate& candidate) {
    return candidate.penalty_ms_ + WaitMs(engine, candidate, tokens);
  };
  const auto best =
      std::min_element(engines.begin(), engines.end(),
                       [&score](const Candidate& a, const Candidate& b) {
                         return score(a) < score(b);
                       });
  const double prefill_ms = PrefillMs(engine, request.prompt_tokens_);
  Placement placement;
  placement.target_ = best->entry_->target_.id_;
  placement.wait_ms_ = WaitMs(engine, *best, tokens) + prefill_ms;
  placement.answer_ms_ = AnswerMsAt(request, *best);
  placement.work_.parts_.push_back(
      PrefillPart{placement.target_, prefill_ms, tokens});
  return placement;
}

Placement Placer::PlaceShort(const PlacementRequest& request,
                             std::vector<Candidate> zone) const {
  const EngineProfile& engine = *request.service_->engine_;
  const int64_t tokens = request.prompt_tokens_ + request.answer_tokens_;
  const LoadLedger::EngineRange home = ledger_.PreferredRange(self_);
  const auto engines = static_cast<double>(zone.size());
  for (size_t i = 0; i < zone.size(); ++i) {
    const auto at = static_cast<double>(i);
    const double overlap = std::min(at + 1, home.end_ * engines) -
                           std::max(at, home.begin_ * engines);
    const double cost = ledger_.IsChosenByHash(self_, zone[i].order_)
                            ? kSecondGatewayEngineMs
                            : kOtherGatewayEngineMs;
    zone[i].penalty_ms_ += cost * (1 - std::clamp(overlap, 0.0, 1.0));
  }
  const auto score = [&](const Candidate& candidate) {
    return candidate.penalty_ms_ + WaitMs(engine, candidate, tokens) +
           kStreamPenaltyMs * static_cast<double>(candidate.load_.requests_);
  };
  std::sort(zone.begin(), zone.end(),
            [&score](const Candidate& a, const Candidate& b) {
              return score(a) < score(b);
            });
  const double prefill_ms = PrefillMs(engine, request.prompt_tokens_);
  const int64_t helpers = HelperCount(
      engine, request.prompt_tokens_,
      kMaxShortPartIntervals * FullIntervalMs(engine),
      std::min<int64_t>(kMaxHelpers, static_cast<int64_t>(zone.size()) - 1));
  const double part_ms = prefill_ms / static_cast<double>(helpers + 1);
  Placement placement;
  placement.target_ = zone.front().entry_->target_.id_;
  placement.wait_ms_ = WaitMs(engine, zone.front(), tokens) + part_ms;
  placement.answer_ms_ = AnswerMsAt(request, zone.front());
  placement.work_.parts_.push_back(
      PrefillPart{placement.target_, part_ms, tokens});
  AddHelpers({zone.begin() + 1, zone.end()}, static_cast<size_t>(helpers),
             part_ms, placement);
  return placement;
}

bool Placer::IsLong(const PlacementRequest& request) const {
  return request.service_->engine_ && request.prompt_tokens_ > 0 &&
         PrefillMs(*request.service_->engine_, request.prompt_tokens_) >
             LongPrefillMs(request);
}

Placement Placer::PlaceLong(const PlacementRequest& request,
                            std::vector<Candidate> zone) const {
  const EngineProfile& engine = *request.service_->engine_;
  const int64_t tokens = request.prompt_tokens_ + request.answer_tokens_;
  const size_t owners = OwnerCount(engine, zone.size());
  const auto middle = zone.begin() + static_cast<std::ptrdiff_t>(owners);
  // Without the leader the unfinished parts of an engine are not known. It
  // prefills parts of others' prompts before its own, so owners don't help.
  const auto rank = [&](const Candidate& candidate) {
    return candidate.penalty_ms_ + WaitMs(engine, candidate, tokens) +
           (HasRoom(engine, candidate, tokens) ? 0 : kNoRoomPenaltyMs);
  };
  const Candidate owner = *std::min_element(
      zone.begin(), middle, [&rank](const Candidate& a, const Candidate& b) {
        return rank(a) < rank(b);
      });
  std::sort(middle, zone.end(), [](const Candidate& a, const Candidate& b) {
    return a.penalty_ms_ + a.load_.prefill_ms_ <
           b.penalty_ms_ + b.load_.prefill_ms_;
  });
  std::vector<Candidate> readers(middle, zone.end());
  const auto is_busy = [](const Candidate& reader) {
    return reader.load_.prefill_ms_ > kMaxFreeReaderPrefillMs;
  };
  if (!std::all_of(readers.begin(), readers.end(), is_busy)) {
    std::erase_if(readers, is_busy);
  }
  return BuildLongPlacement(request, owner, readers);
}

Placement Placer::BuildLongPlacement(const PlacementRequest& request,
                                     const Candidate& owner,
                                     const std::vector<Candidate>& helpers) {
  const EngineProfile& engine = *request.service_->engine_;
  const int64_t tokens = request.prompt_tokens_ + request.answer_tokens_;
  const int64_t count = HelperCount(
      engine, request.prompt_tokens_, MaxLongPartMs(request),
      std::min<int64_t>(kMaxHelpers, static_cast<int64_t>(helpers.size())));
  const double part_ms = PrefillMs(engine, request.prompt_tokens_) /
                         static_cast<double>(count + 1);
  Placement placement;
  placement.target_ = owner.entry_->target_.id_;
  placement.work_.is_short_ = false;
  placement.work_.parts_.push_back(
      PrefillPart{placement.target_, part_ms, tokens});
  placement.wait_ms_ = WaitMs(engine, owner, tokens);
  placement.answer_ms_ = AnswerMsAt(request, owner);
  AddHelpers(helpers, static_cast<size_t>(count), part_ms, placement);
  placement.wait_ms_ += part_ms;
  placement.work_.wait_ms_ = placement.wait_ms_;
  AddReservations(engine, request, helpers, placement);
  return placement;
}

void Placer::AddHelpers(const std::vector<Candidate>& helpers, size_t count,
                        double part_ms, Placement& placement) {
  for (size_t i = 0; i < std::min(count, helpers.size()); ++i) {
    const Candidate& helper = helpers[i];
    if (helper.penalty_ms_ >= kSuspectedPenaltyMs) {
      break;
    }
    placement.helpers_.push_back(helper.entry_->target_.id_);
    placement.work_.parts_.push_back(
        PrefillPart{helper.entry_->target_.id_, part_ms, 0});
    placement.wait_ms_ = std::max(placement.wait_ms_, helper.load_.prefill_ms_);
  }
}

void Placer::AddReservations(const EngineProfile& engine,
                             const PlacementRequest& request,
                             const std::vector<Candidate>& helpers,
                             Placement& placement) {
  const auto memory = static_cast<double>(engine.memory_tokens_);
  const auto tokens =
      static_cast<double>(request.prompt_tokens_ + request.answer_tokens_);
  if (tokens <= kMaxMemoryUtilisation * memory || memory <= 0) {
    return;
  }
  const double parts = std::ceil(tokens / (kMaxReservationShare * memory));
  const auto each = static_cast<int64_t>(std::ceil(tokens / parts));
  // Reservations are held by helpers, since each reservation ticket names one.
  std::vector<const Candidate*> holders;
  for (size_t i = 0; i < placement.helpers_.size(); ++i) {
    holders.push_back(&helpers[i]);
  }
  std::sort(holders.begin(), holders.end(),
            [](const Candidate* a, const Candidate* b) {
              return a->load_.tokens_ < b->load_.tokens_;
            });
  const auto wanted = static_cast<size_t>(parts) - 1;
  for (size_t i = 0; i < std::min(wanted, holders.size()); ++i) {
    const TargetId& holder = holders[i]->entry_->target_.id_;
    placement.reservations_.push_back(ReservationPlan{holder, each});
    for (PrefillPart& part : placement.work_.parts_) {
      part.tokens_ += part.target_ == holder ? each : 0;
    }
  }
  placement.work_.parts_.front().tokens_ = each;
}

}  // namespace gv
