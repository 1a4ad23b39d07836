/** @file placement_rows_test.cc An engine table that is updated in place gives
 * the same placements as one that is computed from scratch. */
#include <doctest/doctest.h>

#include <random>

#include "support/gateway_engines.h"

namespace gv {
namespace {

constexpr int kEngines = 40;

/** A leader whose work, directory and health change at random. */
class RandomLeader {
 public:
  explicit RandomLeader(uint64_t seed) : random_(seed) {
    AddEngines(directory_, kEngines);
  }

  uint64_t RandomBelow(uint64_t count) { return random_() % count; }
  TargetId RandomEngine() {
    return TargetId("engine-" + std::to_string(RandomBelow(kEngines)));
  }
  PlacementRequest RandomRequest() {
    PlacementRequest request;
    request.service_ = &service_;
    const bool is_long = RandomBelow(4) == 0;
    request.prompt_tokens_ = static_cast<int64_t>(
        is_long ? 40000 + RandomBelow(400000) : 1000 + RandomBelow(9000));
    request.answer_tokens_ = 800;
    for (uint64_t i = RandomBelow(3); i > 0; --i) {
      request.tried_.push_back(RandomEngine());
    }
    for (uint64_t i = RandomBelow(4); i > 0; --i) {
      request.kept_.push_back(RandomEngine());
    }
    return request;
  }
  std::optional<Placement> Place(const Placer& placer,
                                 const PlacementRequest& request) const {
    return placer.IsLong(request) ? placer.PlaceLongNow(now_, request, work_)
                                  : placer.PlaceShortNow(now_, request, work_);
  }
  void RecordPlacement(const Placement& placement, bool is_long) {
    LoadLedger& ledger = is_long ? work_.long_prompts_ : work_.short_prompts_;
    placed_.push_back({ledger.Begin(now_, placement.work_), is_long});
    if (is_long) {
      for (const PrefillPart& part : placement.work_.parts_) {
        work_.prefill_by_engine_[part.target_].until_ = now_ + 200_ms;
        ++work_.prefill_by_engine_[part.target_].unfinished_parts_;
      }
    }
    work_.MarkChanged(placement.work_);
  }
  void FinishOne() {
    if (placed_.empty()) {
      return;
    }
    const size_t at = RandomBelow(placed_.size());
    LoadLedger& ledger =
        placed_[at].is_long_ ? work_.long_prompts_ : work_.short_prompts_;
    const PlacedRequest work = *ledger.Find(placed_[at].id_);
    ledger.End(placed_[at].id_);
    for (const PrefillPart& part : work.parts_) {
      if (placed_[at].is_long_) {
        --work_.prefill_by_engine_[part.target_].unfinished_parts_;
      }
    }
    work_.MarkChanged(work);
    placed_.erase(placed_.begin() + static_cast<std::ptrdiff_t>(at));
  }
  /** Changes the health or the start of a random engine. */
  void ChangeOtherState() {
    switch (RandomBelow(4)) {
      case 0:
        rig_.health_.OnOutcome(now_, RandomEngine(),
                               HealthOutcome::kUnreachable);
        return;
      case 1:
        rig_.health_.OnOutcome(now_, RandomEngine(), HealthOutcome::kGood);
        return;
      case 2:
        rig_.health_.OnPause(now_, RandomEngine(), 700_ms);
        return;
      default:
        MarkDraining();
        RegisterRestarted();
    }
  }
  void MarkDraining() {
    const TargetId engine = RandomEngine();
    directory_.MarkDraining(engine, directory_.Find(engine)->target_.start_ms_);
  }
  void RegisterRestarted() {
    const DirectoryEntry* entry = directory_.Find(RandomEngine());
    TargetRegistration target = entry->target_;
    ++target.start_ms_;
    target.state_ = RegistrationState::kReady;
    directory_.Merge(now_, target);
  }

  struct PlacedPrompt {
    PlacedRequestId id_;
    bool is_long_ = false;
  };
  std::mt19937_64 random_;
  Service service_{"model", 398, ReferenceEngine()};
  TargetDirectory directory_;
  PlacementFixture rig_{"g0", directory_};
  LeaderWork work_;
  std::vector<PlacedPrompt> placed_;
  TimePoint now_{0};
};

TEST_CASE(
    "placement rows: updated tables place like tables computed from scratch") {
  for (uint64_t seed = 1; seed <= 3; ++seed) {
    RandomLeader leader(seed);
    int placed = 0;
    for (int step = 0; step < 10000; ++step) {
      const uint64_t action = leader.RandomBelow(20);
      if (action == 0) {
        leader.ChangeOtherState();
      } else if (action == 1) {
        // Suspicion and pauses also change with time; rows are recomputed
        // after this long.
        leader.now_ = leader.now_ + 50_ms;
      } else if (action < 9) {
        leader.FinishOne();
      }
      const PlacementRequest request = leader.RandomRequest();
      const Placer new_placer(leader.rig_.node_, DataCentreId("dc"),
                              leader.directory_, leader.rig_.ledger_,
                              leader.rig_.health_, leader.rig_.limits_);
      const auto kept = leader.Place(leader.rig_.placer_, request);
      const auto recomputed = leader.Place(new_placer, request);
      REQUIRE(kept.has_value() == recomputed.has_value());
      if (kept) {
        ++placed;
        REQUIRE(kept->target_ == recomputed->target_);
        REQUIRE(kept->helpers_ == recomputed->helpers_);
        REQUIRE(kept->wait_ms_ == recomputed->wait_ms_);
        leader.RecordPlacement(*kept, leader.rig_.placer_.IsLong(request));
      }
    }
    CHECK(placed > 1000);
  }
}

}  // namespace
}  // namespace gv
