/** @file registry_full_disk_test.cc Tests of the registry with disks that
 * refuse every write for a while. */
#include <doctest/doctest.h>

#include "support/registry_group.h"

namespace gv {
namespace {

constexpr Duration kFull = 4_s;
constexpr Duration kRoom = 3_s;

TEST_CASE("full disks: one after another, changes go on and are not lost") {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    RegistryGroup group(3, 2, seed);
    group.Run(5_s);
    uint64_t version = 1;
    for (int round = 0; round < 3; ++round) {
      for (const char* name : {"d1", "d2", "d3"}) {
        group.FillDisk(name, true);
        // The leader may be the one that is full; then another one is elected.
        static_cast<void>(group.Change("e1", ++version, "during"));
        group.Run(kFull);
        CHECK(group.Change("e2", ++version, "with one disk full") ==
              OperationState::kAccepted);
        group.FillDisk(name, false);
        group.Run(kRoom);
        CHECK(group.Change("e1", ++version, "with room again") ==
              OperationState::kAccepted);
      }
    }
    // Long after the last one had room again.
    group.Run(20_s);
    CHECK(group.AllHaveLeases());
    CHECK(group.Change("e2", ++version, "at the end") ==
          OperationState::kAccepted);
    CHECK(group.Read("e1").version_ == version);
    CHECK(group.Read("d2").version_ == version);
  }
}

}  // namespace
}  // namespace gv
