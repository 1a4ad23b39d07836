/** @file registry_evacuation_random_test.cc Random orders to evacuate data
 * centres, while gateways are killed and cut off. */
#include <doctest/doctest.h>

#include <random>

#include "support/evacuation_checks.h"
#include "support/registry_group.h"

namespace gv {
namespace {

/** Time after the acknowledgement of an order from which no gateway with a
 * lease sends requests to the data centre. */
constexpr Duration kBound = 5_s;
/** Time after a restart within which all gateways have a lease again. */
constexpr Duration kRecovery = 12_s;
constexpr const char* kWest = "west";

/** What an operator was told last. */
struct Acknowledged {
  bool evacuated_ = false;  ///< The last acknowledged order.
  TimePoint at_;            ///< When it was acknowledged.
  bool certain_ = true;     ///< No other order was given since.
};

/** Orders at random gateways while gateways are killed and cut off. */
class RandomOrders {
 public:
  explicit RandomOrders(uint64_t seed) : group_(3, 2, seed), random_(seed) {
    group_.link_.faults_ = LinkFaults{0.01, 0.05, 3_ms, 30_ms};
  }

  void Run() {
    RunChecked(5_s);
    for (int step = 0; step < 12; ++step) {
      Disturb();
      Order(Pick(2) == 0 ? kWest : "east", Pick(2) == 0);
      RunChecked(Duration(static_cast<int64_t>(Pick(3000))));
    }
    Mend();
    RunChecked(kRecovery);
    CHECK(group_.AllHaveLeases());
    for (const auto& [data_centre, told] : told_) {
      for (const auto& [name, host] : group_.hosts_) {
        const bool evacuated =
            host.core_->Evacuations().Contains(DataCentreId(data_centre));
        CHECK((!told.certain_ || evacuated == told.evacuated_));
        CHECK(host.core_->Evacuations().Revision() ==
              group_.Core("d1").Evacuations().Revision());
      }
    }
    CHECK(acknowledged_ >= 6);
  }

 private:
  uint64_t Pick(uint64_t count) { return random_() % count; }

  std::string PickHost() {
    auto host = group_.hosts_.begin();
    std::advance(host, Pick(group_.hosts_.size()));
    return host->first;
  }

  /** Restores the last victim, and kills, restarts or cuts off another gateway.
   * At most one is away at a time. */
  void Disturb() {
    Mend();
    RunChecked(Duration(static_cast<int64_t>(Pick(2500))));
    victim_ = PickHost();
    const uint64_t way = Pick(4);
    if (way == 0) {
      group_.Isolate(victim_, true);
    } else if (way < 3) {
      group_.Crash(victim_);
    }
    if (way == 2) {
      group_.Start(victim_);
    }
  }

  void Mend() {
    if (!victim_.empty()) {
      group_.Isolate(victim_, false);
      if (!group_.Host(victim_).core_) {
        group_.Start(victim_);
      }
    }
    victim_.clear();
  }

  void Order(const std::string& data_centre, bool withdrawn) {
    Acknowledged& told = told_[data_centre];
    told.certain_ = false;
    for (int i = 0; i < 8; ++i) {
      const std::string at = PickHost();
      if (group_.Host(at).core_ &&
          group_.Evacuate(at, data_centre, withdrawn) ==
              OperationState::kAccepted) {
        told = Acknowledged{!withdrawn, group_.now_, true};
        ++acknowledged_;
        return;
      }
    }
  }

  void RunChecked(Duration duration) {
    const TimePoint end = group_.now_ + duration;
    while (group_.now_ < end) {
      group_.Run(10_ms);
      for (const auto& [data_centre, told] : told_) {
        if (told.certain_ && told.evacuated_ &&
            group_.now_ - told.at_ >= kBound) {
          REQUIRE(Senders(group_, data_centre) == "");
        }
      }
    }
  }

  RegistryGroup group_;
  std::mt19937_64 random_;
  std::map<std::string, Acknowledged> told_;  ///< By data centre.
  std::string victim_;                        ///< Killed or cut off; or none.
  int acknowledged_ = 0;                      ///< Orders.
};

TEST_CASE("evacuation: acknowledged orders hold under random failures") {
  for (uint64_t seed = 1; seed <= 30; ++seed) {
    CAPTURE(seed);
    RandomOrders(seed).Run();
  }
}

}  // namespace
}  // namespace gv
