/** @file placement.cc Scores targets and splits long prompts. */
#include "coordination/gateway/placement.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

#include "coordination/gateway/engine_model.h"

namespace gv {
namespace {

/** Prompts that take longer are read away from short answers: a pause of this
 * length between two events still meets the objective of short streams. */
constexpr double kLongPrefillMs = 200;
/** Longest part of a long prompt that one engine reads in one go. */
constexpr double kLongPartMs = 120;
/** The same on engines that write short answers. */
constexpr double kShortPartMs = 100;
/** Streams of short answers for each slot at which passes stay short. */
constexpr double kShortFill = 0.75;
/** Engines read for this part of the time at most, so that queues stay short.
 */
constexpr double kPrefillFill = 0.8;
/** Part of the memory beyond which an engine may have to preempt. */
constexpr double kMemoryFill = 0.88;
/** Part of one engine's memory that one reservation takes at most. */
constexpr double kReservationFill = 0.45;
/** Memory of engines that own long prompts is filled so far on average. */
constexpr double kOwnerFill = 0.4;
/** Short prompts go to another gateway's engines only if they start earlier by
 * this time: reports are a little old, and at a crest all gateways would choose
 * the same engine within one period. */
constexpr double kOtherHomeMs = 400;
/** The same for the one gateway that an engine has beside its own. */
constexpr double kSecondHomeMs = 50;
/** Short prompts that their gateway's own engines would start later than this
 * go to any other: a little more than the start at an engine with all but one
 * slot taken. */
constexpr double kAnywhereMs = 170;
/** They start earlier there by this much at least, as the gateway knows less of
 * the engines of others. */
constexpr double kAnywhereGainMs = 40;
/** Engines of long prompts are taken after those of short ones. */
constexpr double kBorderMs = 30;
/** The leader spills short prompts over the border only if they start earlier
 * there by this time: three prompts that wait for their first event at each
 * engine still meet an objective of 300 ms, and each engine that writes a short
 * answer is lost for long prompts. */
constexpr double kSpillMs = 90;
/** Beside the answer of a long prompt passes are longer by about this time. */
constexpr double kBesideLongMs = 40;
/** Each request sees each engine worse by up to this time, so that gateways
 * with the same reports choose different ones. */
constexpr double kSpreadMs = 40;
/** Costs one way between data centres, as a preference only. */
constexpr double kOtherDataCentreMs = 4;
/** Keeps suspected targets behind all others. */
constexpr double kSuspectedMs = 1e6;
/** Puts engines without room behind all that have some. */
constexpr double kNoRoomMs = 1e5;
/** A reader with so much left takes the next part without a pause: it takes
 * about this time until the part reaches it. */
constexpr double kReaderFreeMs = 40;
/** Parts of prompts that wait for their first event at one engine, if engines
 * are slower than predicted; one of them is usually read already. */
constexpr int64_t kMostOpenParts = 1;
/** A long prompt begins once one in so many readers is free: with fewer its
 * parts become longer, with more the free ones idle meanwhile. */
constexpr size_t kBeginWith = 3;
/** An engine that owns nothing yet is a reader lost; about a pass. */
constexpr double kNewOwnerMs = 60;
/** Engines that write short answers read no long prompts, as a part makes a
 * pause that is late for these; but one in so many engines reads in any case.
 */
constexpr size_t kLeastReaders = 2;
/** For each short stream that still writes at an engine. */
constexpr double kLeftOverMs = 10;
/** What a failed request costs: about its objective. */
constexpr double kFailureMs = 300;
/** A stream that writes makes each pass a little longer. */
constexpr double kStreamMs = 3;
constexpr double kMsPerSecond = 1000;
/** Odd constant of multiplicative hashing: 2^64 divided by the golden ratio. */
constexpr uint64_t kMixer = 0x9E3779B97F4A7C15ULL;

uint64_t OrderOf(const TargetId& id) {
  return XXH3_64bits(id.Value().data(), id.Value().size());
}

}  // namespace

std::vector<Placer::Candidate> Placer::Candidates(
    TimePoint now, const PlacementRequest& request) const {
  std::vector<Candidate> candidates;
  for (const auto& [id, entry] : directory_.All()) {
    const bool tried = std::find(request.tried_.begin(), request.tried_.end(),
                                 id) != request.tried_.end();
    if (entry.target_.service_ != request.service_->name_ || tried ||
        entry.target_.state_ != RegistrationState::kReady ||
        health_.IsPaused(now, id)) {
      continue;
    }
    Candidate candidate{&entry, ledger_.At(id), OrderOf(id), 0};
    if (entry.target_.data_centre_ != own_) {
      candidate.penalty_ms_ += kOtherDataCentreMs;
    }
    if (health_.IsSuspected(now, id)) {
      candidate.penalty_ms_ += kSuspectedMs;
    }
    candidate.on_trial_ = health_.IsOnTrial(now, id);
    if (candidate.on_trial_ && candidate.load_.requests_ > 0) {
      candidate.penalty_ms_ += kSuspectedMs;
    }
    candidate.penalty_ms_ += kFailureMs * health_.FailureRate(id);
    const Duration warm_up = entry.warm_at_ - now;
    if (warm_up > Duration()) {
      candidate.penalty_ms_ += static_cast<double>(warm_up.Ms());
    }
    candidates.push_back(candidate);
  }
  return candidates;
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
                            : PlaceCall(candidates);
  placement.candidates_ = candidates.size();
  placement.work_.wait_ms_ = placement.wait_ms_;
  return placement;
}

Placement Placer::PlaceCall(std::vector<Candidate>& candidates) const {
  const auto score = [](const Candidate& candidate) {
    // About the time that one more call waits for each call in progress.
    constexpr double kCallMs = 20;
    const auto slots = std::max<int64_t>(1, candidate.entry_->target_.slots_);
    return candidate.penalty_ms_ +
           kCallMs * static_cast<double>(candidate.load_.requests_) /
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

size_t Placer::ShortShare(TimePoint now, const EngineProfile& engine,
                          size_t engines, double short_rate) const {
  if (engines < 2) {
    return engines;
  }
  const double answer_ms = AnswerMs(engine, engine.slots_,
                                    engine.slots_ * engine.usual_prompt_tokens_,
                                    engine.usual_answer_tokens_);
  const double streams = std::max(static_cast<double>(ledger_.ShortStreams()),
                                  short_rate * answer_ms / kMsPerSecond);
  const double for_short =
      streams / (kShortFill * static_cast<double>(engine.slots_)) + 1;
  const double for_long =
      ledger_.LongPrefillMs(now) / kMsPerSecond / kPrefillFill + 1;
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
             kMemoryFill * static_cast<double>(engine.memory_tokens_) &&
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
  const double room = kMemoryFill * static_cast<double>(engine.memory_tokens_);
  const bool no_room = static_cast<double>(load.tokens_ + tokens) > room;
  // Half of the pass in progress, and the pass that makes the first event.
  const double passes = load.requests_ > 0 ? 1.5 : 1;
  return load.prefill_ms_ +
         passes * PassMs(engine, load.requests_ + 1, load.tokens_ + tokens) +
         std::max(0.0, waiting) * answer_ms / slots + (no_room ? answer_ms : 0);
}

size_t Placer::OwnerShare(const EngineProfile& engine, size_t engines) const {
  const double room = kOwnerFill * static_cast<double>(std::max<int64_t>(
                                       1, engine.memory_tokens_));
  const double wanted = static_cast<double>(ledger_.LongTokens()) / room + 2;
  return std::clamp<size_t>(static_cast<size_t>(std::ceil(wanted)), 1,
                            std::max<size_t>(1, engines / 2));
}

Placement Placer::PlacePrompt(TimePoint now, const PlacementRequest& request,
                              std::vector<Candidate>& candidates) const {
  const EngineProfile& engine = *request.service_->engine_;
  const bool is_short =
      PrefillMs(engine, request.prompt_tokens_) <= kLongPrefillMs;
  SortByOrder(candidates);
  const size_t border = ShortShare(now, engine, candidates.size());
  const auto middle = candidates.begin() + static_cast<std::ptrdiff_t>(border);
  if (!is_short && middle != candidates.end()) {
    return PlaceLong(request, {middle, candidates.end()});
  }
  Placement own = PlaceShort(request, {candidates.begin(), middle});
  if (own.wait_ms_ <= kAnywhereMs) {
    return own;
  }
  Placement other = PlaceShortAnywhere(request, std::move(candidates), border);
  return other.wait_ms_ + kAnywhereGainMs < own.wait_ms_ ? other : own;
}

Placement Placer::PlaceShortAnywhere(const PlacementRequest& request,
                                     std::vector<Candidate> engines,
                                     size_t border) const {
  const EngineProfile& engine = *request.service_->engine_;
  const int64_t tokens = request.prompt_tokens_ + request.answer_tokens_;
  for (size_t i = 0; i < engines.size(); ++i) {
    constexpr double kRange = 4294967296.0;
    const uint64_t mixed = (request.hash_ ^ engines[i].order_) * kMixer;
    engines[i].penalty_ms_ +=
        (i >= border ? kBorderMs : 0) +
        kSpreadMs * static_cast<double>(mixed >> 32U) / kRange;
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
  placement.work_.parts_.push_back(
      PrefillPart{placement.target_, prefill_ms, tokens});
  return placement;
}

Placement Placer::PlaceShort(const PlacementRequest& request,
                             std::vector<Candidate> zone) const {
  const EngineProfile& engine = *request.service_->engine_;
  const int64_t tokens = request.prompt_tokens_ + request.answer_tokens_;
  const LoadLedger::HomeSpan home = ledger_.HomeOf(self_);
  const auto engines = static_cast<double>(zone.size());
  for (size_t i = 0; i < zone.size(); ++i) {
    const auto at = static_cast<double>(i);
    const double overlap = std::min(at + 1, home.end_ * engines) -
                           std::max(at, home.begin_ * engines);
    const double cost =
        ledger_.IsPicked(self_, zone[i].order_) ? kSecondHomeMs : kOtherHomeMs;
    zone[i].penalty_ms_ += cost * (1 - std::clamp(overlap, 0.0, 1.0));
  }
  const auto score = [&](const Candidate& candidate) {
    return candidate.penalty_ms_ + WaitMs(engine, candidate, tokens) +
           kStreamMs * static_cast<double>(candidate.load_.requests_);
  };
  std::sort(zone.begin(), zone.end(),
            [&score](const Candidate& a, const Candidate& b) {
              return score(a) < score(b);
            });
  const double prefill_ms = PrefillMs(engine, request.prompt_tokens_);
  const int64_t helpers = HelpersFor(
      engine, request.prompt_tokens_, kShortPartMs,
      std::min<int64_t>(kMostHelpers, static_cast<int64_t>(zone.size()) - 1));
  const double part_ms = prefill_ms / static_cast<double>(helpers + 1);
  Placement placement;
  placement.target_ = zone.front().entry_->target_.id_;
  placement.wait_ms_ = WaitMs(engine, zone.front(), tokens) + part_ms;
  placement.work_.parts_.push_back(
      PrefillPart{placement.target_, part_ms, tokens});
  AddHelpers({zone.begin() + 1, zone.end()}, static_cast<size_t>(helpers),
             part_ms, placement);
  return placement;
}

bool Placer::IsLong(const PlacementRequest& request) const {
  return request.service_->engine_ && request.prompt_tokens_ > 0 &&
         PrefillMs(*request.service_->engine_, request.prompt_tokens_) >
             kLongPrefillMs;
}

std::vector<Placer::Candidate> Placer::LongZone(TimePoint now,
                                                const PlacementRequest& request,
                                                double short_rate) const {
  std::vector<Candidate> zone = Candidates(now, request);
  SortByOrder(zone);
  // A single engine serves both.
  const size_t border = zone.size() < 2
                            ? 0
                            : ShortShare(now, *request.service_->engine_,
                                         zone.size(), short_rate);
  zone.erase(zone.begin(), zone.begin() + static_cast<std::ptrdiff_t>(border));
  return zone;
}

size_t Placer::ReaderCount(TimePoint now, const PlacementRequest& request,
                           const GrantedWork& granted) const {
  const std::vector<Candidate> zone =
      LongZone(now, request, granted.short_rate_);
  const auto readers = std::count_if(
      zone.begin(), zone.end(), [&granted](const Candidate& candidate) {
        const TargetId& id = candidate.entry_->target_.id_;
        return granted.long_.At(id).requests_ == 0;
      });
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

std::optional<Placement> Placer::PlaceShortNow(
    TimePoint now, const PlacementRequest& request,
    const GrantedWork& granted) const {
  const EngineProfile& engine = *request.service_->engine_;
  const int64_t tokens = request.prompt_tokens_ + request.answer_tokens_;
  std::vector<Candidate> engines = Candidates(now, request);
  SortByOrder(engines);
  const size_t border =
      ShortShare(now, engine, engines.size(), granted.short_rate_);
  const Candidate* best = nullptr;
  double best_score = 0;
  for (size_t i = 0; i < engines.size(); ++i) {
    Candidate& candidate = engines[i];
    AddGranted(now, granted, candidate);
    if (!HasRoom(engine, candidate, tokens) ||
        (candidate.on_trial_ && candidate.load_.requests_ > 0)) {
      continue;
    }
    const double score =
        candidate.penalty_ms_ + WaitMs(engine, candidate, tokens) +
        kStreamMs * static_cast<double>(candidate.load_.requests_) +
        (i >= border ? kSpillMs : 0) +
        (granted.long_.At(candidate.entry_->target_.id_).requests_ > 0
             ? kBesideLongMs
             : 0);
    if (best == nullptr || score < best_score) {
      best = &candidate;
      best_score = score;
    }
  }
  const bool all_suspected =
      std::all_of(engines.begin(), engines.end(), [](const Candidate& engine) {
        return engine.penalty_ms_ >= kSuspectedMs;
      });
  if (best == nullptr ||
      (best->penalty_ms_ >= kSuspectedMs && !all_suspected)) {
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

void Placer::AddGranted(TimePoint now, const GrantedWork& granted,
                        Candidate& candidate) const {
  const TargetId& id = candidate.entry_->target_.id_;
  candidate.load_ = ledger_.NotGranted(id);
  for (const LoadLedger* ledger : {&granted.long_, &granted.short_}) {
    const TargetLoad load = ledger->At(id);
    candidate.load_.requests_ += load.requests_;
    candidate.load_.tokens_ += load.tokens_;
  }
  candidate.load_.prefill_ms_ += granted.short_.At(id).prefill_ms_;
  const auto reading = granted.readings_.find(id);
  if (reading != granted.readings_.end()) {
    candidate.load_.prefill_ms_ += reading->second.LeftMs(now);
  }
}

double SlotFlow::WaitMs(size_t ahead, double passing_rate) const {
  const double free_rate = freed_per_ms_ - passing_rate / kMsPerSecond;
  return free_rate <= 0
             ? kNoRoomMs
             : static_cast<double>(ahead + 1) / free_rate + start_ms_;
}

SlotFlow Placer::FlowOf(TimePoint now, const PlacementRequest& request) const {
  const EngineProfile& engine = *request.service_->engine_;
  const auto engines = static_cast<double>(Candidates(now, request).size());
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
  std::vector<Candidate> zone = LongZone(now, request, granted.short_rate_);
  std::erase_if(zone,
                [](const Candidate& candidate) { return candidate.on_trial_; });
  for (Candidate& candidate : zone) {
    const TargetId& id = candidate.entry_->target_.id_;
    const TargetLoad others = ledger_.NotGranted(id);
    const TargetLoad short_load = granted.short_.At(id);
    candidate.load_ = granted.long_.At(id);
    candidate.load_.prefill_ms_ = others.prefill_ms_;
    candidate.load_.tokens_ += short_load.tokens_ + others.tokens_;
    candidate.short_streams_ =
        std::max<int64_t>(0, short_load.requests_ + others.requests_);
    candidate.penalty_ms_ +=
        kLeftOverMs * static_cast<double>(candidate.short_streams_);
  }
  LeaveShortStreams(zone);
  std::vector<Candidate> free;
  size_t readers = 0;
  for (Candidate& candidate : zone) {
    const TargetId& id = candidate.entry_->target_.id_;
    readers += candidate.load_.requests_ == 0 ? 1 : 0;
    const auto reading = granted.readings_.find(id);
    if (reading != granted.readings_.end()) {
      candidate.load_.prefill_ms_ += reading->second.LeftMs(now);
      if (reading->second.open_ > kMostOpenParts) {
        continue;
      }
    }
    if (candidate.load_.prefill_ms_ <= kReaderFreeMs) {
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

Placement Placer::PlaceLong(const PlacementRequest& request,
                            std::vector<Candidate> zone) const {
  const EngineProfile& engine = *request.service_->engine_;
  const int64_t tokens = request.prompt_tokens_ + request.answer_tokens_;
  const size_t owners = OwnerShare(engine, zone.size());
  const auto middle = zone.begin() + static_cast<std::ptrdiff_t>(owners);
  // Without the leader nobody knows which parts an engine still has to read. It
  // reads parts of others' prompts before its own, so owners don't help.
  const auto rank = [&](const Candidate& candidate) {
    return candidate.penalty_ms_ + WaitMs(engine, candidate, tokens) +
           (HasRoom(engine, candidate, tokens) ? 0 : kNoRoomMs);
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
    return reader.load_.prefill_ms_ > kReaderFreeMs;
  };
  if (!std::all_of(readers.begin(), readers.end(), is_busy)) {
    std::erase_if(readers, is_busy);
  }
  return JoinReaders(request, owner, readers);
}

Placement Placer::JoinReaders(const PlacementRequest& request,
                              const Candidate& owner,
                              const std::vector<Candidate>& helpers) {
  const EngineProfile& engine = *request.service_->engine_;
  const int64_t tokens = request.prompt_tokens_ + request.answer_tokens_;
  const int64_t count = HelpersFor(
      engine, request.prompt_tokens_, kLongPartMs,
      std::min<int64_t>(kMostHelpers, static_cast<int64_t>(helpers.size())));
  const double part_ms = PrefillMs(engine, request.prompt_tokens_) /
                         static_cast<double>(count + 1);
  Placement placement;
  placement.target_ = owner.entry_->target_.id_;
  placement.work_.is_short_ = false;
  placement.work_.parts_.push_back(
      PrefillPart{placement.target_, part_ms, tokens});
  placement.wait_ms_ = WaitMs(engine, owner, tokens);
  AddHelpers(helpers, static_cast<size_t>(count), part_ms, placement);
  placement.wait_ms_ += part_ms;
  placement.work_.wait_ms_ = placement.wait_ms_;
  Reserve(engine, request, helpers, placement);
  return placement;
}

void Placer::AddHelpers(const std::vector<Candidate>& helpers, size_t count,
                        double part_ms, Placement& placement) {
  for (size_t i = 0; i < std::min(count, helpers.size()); ++i) {
    const Candidate& helper = helpers[i];
    if (helper.penalty_ms_ >= kSuspectedMs) {
      break;
    }
    placement.helpers_.push_back(helper.entry_->target_.id_);
    placement.work_.parts_.push_back(
        PrefillPart{helper.entry_->target_.id_, part_ms, 0});
    placement.wait_ms_ = std::max(placement.wait_ms_, helper.load_.prefill_ms_);
  }
}

void Placer::Reserve(const EngineProfile& engine,
                     const PlacementRequest& request,
                     const std::vector<Candidate>& helpers,
                     Placement& placement) {
  const auto memory = static_cast<double>(engine.memory_tokens_);
  const auto tokens =
      static_cast<double>(request.prompt_tokens_ + request.answer_tokens_);
  if (tokens <= kMemoryFill * memory || memory <= 0) {
    return;
  }
  const double parts = std::ceil(tokens / (kReservationFill * memory));
  const auto each = static_cast<int64_t>(std::ceil(tokens / parts));
  // Holders are among the helpers, since each ticket is named with a helper.
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
