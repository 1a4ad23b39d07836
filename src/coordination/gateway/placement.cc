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
/** The engines' own bound on the helpers of one prompt. */
constexpr int64_t kMostHelpers = 16;
/** Streams of short answers for each slot at which passes stay short. */
constexpr double kShortFill = 0.6;
/** Engines read for this part of the time at most, so that queues stay short.
 */
constexpr double kPrefillFill = 0.8;
/** Part of the memory beyond which an engine may have to preempt. */
constexpr double kMemoryFill = 0.9;
/** Part of one engine's memory that one reservation takes at most. */
constexpr double kReservationFill = 0.45;
/** Costs one way between data centres, as a preference only. */
constexpr double kOtherDataCentreMs = 4;
/** Keeps suspected targets behind all others. */
constexpr double kSuspectedMs = 1e6;
/** What a failed request costs: about its objective. */
constexpr double kFailureMs = 300;
/** A stream that writes makes each pass a little longer. */
constexpr double kStreamMs = 3;
constexpr double kMsPerSecond = 1000;

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
        entry.target_.state_ != RegistrationState::kReady) {
      continue;
    }
    Candidate candidate{&entry, ledger_.At(now, id), OrderOf(id), 0};
    if (entry.target_.data_centre_ != own_) {
      candidate.penalty_ms_ += kOtherDataCentreMs;
    }
    if (health_.IsSuspected(now, id)) {
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
                          size_t engines) const {
  if (engines < 2) {
    return engines;
  }
  const double for_short =
      static_cast<double>(ledger_.ShortStreams()) /
          (kShortFill * static_cast<double>(engine.slots_)) +
      1;
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

Placement Placer::PlacePrompt(TimePoint now, const PlacementRequest& request,
                              std::vector<Candidate>& candidates) const {
  const EngineProfile& engine = *request.service_->engine_;
  const double prefill_ms = PrefillMs(engine, request.prompt_tokens_);
  const bool is_short = prefill_ms <= kLongPrefillMs;
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& a, const Candidate& b) {
              return a.order_ < b.order_;
            });
  const size_t border = ShortShare(now, engine, candidates.size());
  const auto middle = candidates.begin() + static_cast<std::ptrdiff_t>(border);
  std::vector<Candidate> zone =
      is_short ? std::vector<Candidate>(candidates.begin(), middle)
               : std::vector<Candidate>(middle, candidates.end());
  if (zone.empty()) {
    zone = candidates;
  }
  const int64_t tokens = request.prompt_tokens_ + request.answer_tokens_;
  const auto score = [&](const Candidate& candidate) {
    const auto used = static_cast<double>(candidate.load_.tokens_ + tokens);
    const double room =
        kMemoryFill * static_cast<double>(engine.memory_tokens_);
    const bool full = candidate.load_.requests_ >= engine.slots_;
    return candidate.penalty_ms_ + candidate.load_.prefill_ms_ +
           kStreamMs * static_cast<double>(candidate.load_.requests_) +
           (used > room ? kFailureMs : 0) + (full ? kFailureMs : 0);
  };
  std::sort(zone.begin(), zone.end(),
            [&score](const Candidate& a, const Candidate& b) {
              return score(a) < score(b);
            });
  Placement placement;
  placement.target_ = zone.front().entry_->target_.id_;
  const int64_t most =
      std::min<int64_t>(kMostHelpers, static_cast<int64_t>(zone.size()) - 1);
  const int64_t helpers =
      HelpersFor(engine, request.prompt_tokens_,
                 is_short ? kShortPartMs : kLongPartMs, most);
  const double part_ms = prefill_ms / static_cast<double>(helpers + 1);
  placement.work_.is_short_ = is_short;
  placement.work_.parts_.push_back(
      PrefillPart{placement.target_, part_ms, tokens});
  double wait = score(zone.front());
  for (int64_t i = 1; i <= helpers; ++i) {
    const Candidate& helper = zone[static_cast<size_t>(i)];
    if (helper.penalty_ms_ >= kSuspectedMs) {
      break;
    }
    placement.helpers_.push_back(helper.entry_->target_.id_);
    placement.work_.parts_.push_back(
        PrefillPart{helper.entry_->target_.id_, part_ms, 0});
    wait = std::max(wait, helper.load_.prefill_ms_);
  }
  placement.wait_ms_ = wait + part_ms;
  Reserve(engine, request, zone, placement);
  return placement;
}

void Placer::Reserve(const EngineProfile& engine,
                     const PlacementRequest& request,
                     const std::vector<Candidate>& zone, Placement& placement) {
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
  for (size_t i = 1; i <= placement.helpers_.size(); ++i) {
    holders.push_back(&zone[i]);
  }
  std::sort(holders.begin(), holders.end(),
            [](const Candidate* a, const Candidate* b) {
              return a->load_.tokens_ < b->load_.tokens_;
            });
  const auto wanted = static_cast<size_t>(parts) - 1;
  for (size_t i = 0; i < std::min(wanted, holders.size()); ++i) {
    placement.reservations_.push_back(
        ReservationPlan{holders[i]->entry_->target_.id_, each});
  }
  placement.work_.parts_.front().tokens_ = each;
}

}  // namespace gv
