/** @file registry_replacement_test.cc Tests of the registry while members are
 * lost for good and replaced, one after the other. */
#include <doctest/doctest.h>

#include <algorithm>
#include <random>

#include "support/registry_group.h"

namespace gv {
namespace {

/** From the start of a successor until the next member may be lost. */
constexpr Duration kCatchUp = 4_s;
/** Longest time without a leader after disruptions that are to be borne. */
constexpr Duration kRecovery = 12_s;

/** Three members, one of which at most is lost at the same time. */
class CoreMembers {
 public:
  explicit CoreMembers(uint64_t seed)
      : group_(3, 2, seed), random_(seed), names_{"d1", "d2", "d3"} {
    group_.Run(5_s);
  }

  /** A member is gone for good; an empty one starts @p later. */
  void Replace(const std::string& name, Duration later) {
    std::erase(names_, name);
    group_.Crash(name);
    group_.Run(later);
    AddSuccessor();
    group_.Run(kCatchUp);
  }

  /** An empty one starts; when it has caught up, a member is stopped. */
  void ReplacePlanned(const std::string& name) {
    AddSuccessor();
    group_.Run(kCatchUp);
    Stop(name);
    std::erase(names_, name);
  }

  /** A member loses its disk and is back @p later. */
  void Wipe(const std::string& name, Duration later) {
    group_.Crash(name);
    group_.Wipe(name);
    group_.Run(later);
    group_.Start(name);
    group_.Run(kCatchUp);
  }

  /** A member is cut off for @p time. */
  void Isolate(const std::string& name, Duration time) {
    group_.Isolate(name, true);
    group_.Run(time);
    group_.Isolate(name, false);
    group_.Run(kCatchUp);
  }

  /** A member is stopped, and started again @p later. */
  void Restart(const std::string& name, Duration later) {
    Stop(name);
    group_.Run(later);
    group_.Start(name);
    group_.Run(kCatchUp);
  }

  std::string Leader() { return group_.Leader(); }
  /** @return Any member that does not lead. */
  std::string Follower() {
    for (const std::string& name : names_) {
      if (name != Leader()) {
        return name;
      }
    }
    return "";
  }
  std::string Any() { return names_[random_() % names_.size()]; }
  Duration Time(int64_t least_ms, int64_t most_ms) {
    return Duration(
        std::uniform_int_distribution<int64_t>(least_ms, most_ms)(random_));
  }
  uint64_t Draw(uint64_t below) { return random_() % below; }

  /** @return True if a change is accepted, read everywhere and all gateways
   * have leases. */
  bool Works() {
    ++version_;
    for (int tries = 0; tries < 4; ++tries) {
      if (group_.Change("e1", version_, "text") == OperationState::kAccepted) {
        break;
      }
    }
    group_.Run(2_s);
    return std::all_of(group_.hosts_.begin(), group_.hosts_.end(),
                       [&](const auto& item) {
                         return !item.second.core_ ||
                                group_.Read(item.first).version_ == version_;
                       }) &&
           group_.AllHaveLeases();
  }

  RegistryGroup group_;

 private:
  void AddSuccessor() {
    const std::string name = "s" + std::to_string(++successors_);
    names_.push_back(name);
    group_.seeds_.clear();
    for (const std::string& live : names_) {
      group_.seeds_.emplace_back(live);
    }
    group_.Add(name, true);
  }

  void Stop(const std::string& name) {
    constexpr Duration kStopping = 4_s;
    group_.Core(name).BeginStop();
    group_.Run(kStopping);
    group_.Crash(name);
  }

  std::mt19937_64 random_;
  std::vector<std::string> names_;  ///< Members that were not replaced.
  uint64_t successors_ = 0;
  uint64_t version_ = 1;
};

// Two members replaced one after the other left four voters, two of them gone,
// and so no leader for good.
TEST_CASE("replacement: two members replaced in turn, the leader first") {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    CoreMembers core(seed);
    core.Replace(core.Leader(), 1_s);
    core.group_.Run(3_s);
    core.Replace(core.Follower(), 1_s);
    core.group_.Run(kRecovery);
    CHECK(core.Works());
  }
}

TEST_CASE("replacement: the next loss comes as soon as it may") {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    CoreMembers core(seed);
    for (int round = 0; round < 4; ++round) {
      core.Replace(round % 2 == 0 ? core.Leader() : core.Any(),
                   core.Time(200, 1500));
    }
    core.group_.Run(kRecovery);
    CHECK(core.Works());
  }
}

TEST_CASE("replacement: a disk is lost as soon as it may be") {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    CoreMembers core(seed);
    core.Replace(core.Any(), 1_s);
    core.Wipe(core.Any(), core.Time(200, 1500));
    core.Replace(core.Leader(), 1_s);
    core.Wipe(core.Leader(), core.Time(200, 1500));
    core.group_.Run(kRecovery);
    CHECK(core.Works());
  }
}

TEST_CASE("replacement: a loss right after a planned replacement") {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    CoreMembers core(seed);
    core.ReplacePlanned(seed % 2 == 0 ? core.Leader() : core.Any());
    core.Replace(core.Any(), 1_s);
    core.ReplacePlanned(core.Any());
    core.Wipe(core.Leader(), 1_s);
    core.group_.Run(kRecovery);
    CHECK(core.Works());
  }
}

TEST_CASE("replacement: random losses that follow each other closely") {
  for (uint64_t seed = 1; seed <= 60; ++seed) {
    CAPTURE(seed);
    CoreMembers core(seed);
    for (int round = 0; round < 6; ++round) {
      const std::string name = core.Draw(2) == 0 ? core.Leader() : core.Any();
      switch (core.Draw(5)) {
        case 0:
          core.Replace(name, core.Time(200, 3000));
          break;
        case 1:
          core.ReplacePlanned(name);
          break;
        case 2:
          core.Wipe(name, core.Time(200, 3000));
          break;
        case 3:
          core.Isolate(name, core.Time(500, 6000));
          break;
        default:
          core.Restart(name, core.Time(200, 3000));
          break;
      }
    }
    core.group_.Run(kRecovery);
    CHECK(core.Works());
  }
}

}  // namespace
}  // namespace gv
