/** @file placement_rows_test.cc Rows of engines that are kept from one
 * placement to the next give the same placements as rows that are counted anew.
 */
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

  uint64_t Pick(uint64_t count) { return random_() % count; }
  TargetId AnyEngine() {
    return TargetId("engine-" + std::to_string(Pick(kEngines)));
  }
  PlacementRequest AnyRequest() {
    PlacementRequest request;
    request.service_ = &service_;
    const bool is_long = Pick(4) == 0;
    request.prompt_tokens_ = static_cast<int64_t>(is_long ? 40000 + Pick(400000)
                                                          : 1000 + Pick(9000));
    request.answer_tokens_ = 800;
    for (uint64_t i = Pick(3); i > 0; --i) {
      request.tried_.push_back(AnyEngine());
    }
    for (uint64_t i = Pick(4); i > 0; --i) {
      request.kept_.push_back(AnyEngine());
    }
    return request;
  }
  std::optional<Placement> Place(const Placer& placer,
                                 const PlacementRequest& request) const {
    return placer.IsLong(request) ? placer.PlaceLongNow(now_, request, work_)
                                  : placer.PlaceShortNow(now_, request, work_);
  }
  void Grant(const Placement& placement, bool is_long) {
    LoadLedger& ledger = is_long ? work_.long_ : work_.short_;
    open_.push_back({ledger.Begin(now_, placement.work_), is_long});
    if (is_long) {
      for (const PrefillPart& part : placement.work_.parts_) {
        work_.readings_[part.target_].until_ = now_ + 200_ms;
        ++work_.readings_[part.target_].open_;
      }
    }
    work_.Touch(placement.work_);
  }
  void EndOne() {
    if (open_.empty()) {
      return;
    }
    const size_t at = Pick(open_.size());
    LoadLedger& ledger = open_[at].is_long_ ? work_.long_ : work_.short_;
    const PlacedWork work = *ledger.Find(open_[at].id_);
    ledger.End(open_[at].id_);
    for (const PrefillPart& part : work.parts_) {
      if (open_[at].is_long_) {
        --work_.readings_[part.target_].open_;
      }
    }
    work_.Touch(work);
    open_.erase(open_.begin() + static_cast<std::ptrdiff_t>(at));
  }
  /** Changes something beside the granted work. */
  void Disturb() {
    switch (Pick(4)) {
      case 0:
        rig_.health_.OnOutcome(now_, AnyEngine(), HealthOutcome::kUnreachable);
        return;
      case 1:
        rig_.health_.OnOutcome(now_, AnyEngine(), HealthOutcome::kGood);
        return;
      case 2:
        rig_.health_.OnPause(now_, AnyEngine(), 700_ms);
        return;
      default:
        directory_.Leave(AnyEngine());
        AddNewStart();
    }
  }
  void AddNewStart() {
    const DirectoryEntry* entry = directory_.Find(AnyEngine());
    TargetRegistration target = entry->target_;
    ++target.start_ms_;
    target.state_ = RegistrationState::kReady;
    directory_.Merge(now_, target);
  }

  struct Open {
    WorkId id_;
    bool is_long_ = false;
  };
  std::mt19937_64 random_;
  Service service_{"model", 398, SheetEngine()};
  TargetDirectory directory_;
  PlacementRig rig_{"g0", directory_};
  GrantedWork work_;
  std::vector<Open> open_;
  TimePoint now_{0};
};

TEST_CASE("placement rows: kept rows place like rows that are counted anew") {
  for (uint64_t seed = 1; seed <= 3; ++seed) {
    RandomLeader leader(seed);
    int placed = 0;
    for (int step = 0; step < 10000; ++step) {
      const uint64_t what = leader.Pick(20);
      if (what == 0) {
        leader.Disturb();
      } else if (what == 1) {
        // Time alone changes suspicion and pauses; rows follow within this.
        leader.now_ = leader.now_ + 50_ms;
      } else if (what < 9) {
        leader.EndOne();
      }
      const PlacementRequest request = leader.AnyRequest();
      const Placer fresh(leader.rig_.node_, DataCentreId("dc"),
                         leader.directory_, leader.rig_.ledger_,
                         leader.rig_.health_);
      const auto kept = leader.Place(leader.rig_.placer_, request);
      const auto anew = leader.Place(fresh, request);
      REQUIRE(kept.has_value() == anew.has_value());
      if (kept) {
        ++placed;
        REQUIRE(kept->target_ == anew->target_);
        REQUIRE(kept->helpers_ == anew->helpers_);
        REQUIRE(kept->wait_ms_ == anew->wait_ms_);
        leader.Grant(*kept, leader.rig_.placer_.IsLong(request));
      }
    }
    CHECK(placed > 1000);
  }
}

}  // namespace
}  // namespace gv
