/** @file held_memory_test.cc Tests of the bound of the memory that all requests
 * hold together. */
#include "coordination/gateway/held_memory.h"

#include <doctest/doctest.h>

#include <random>
#include <vector>

namespace gv {
namespace {

TEST_CASE("held memory: beyond the limit the holder of most ends first") {
  HeldMemory held(100);
  const HolderId small = held.Add(HolderKind::kCaller);
  const HolderId large = held.Add(HolderKind::kRequest);
  held.Set(small, 30);
  held.Set(large, 70);
  CHECK_FALSE(held.TakeExcess());
  held.Set(small, 40);
  const auto excess = held.TakeExcess();
  REQUIRE(excess);
  CHECK(excess->id_ == large);
  CHECK(excess->bytes_ == 70);
  CHECK(excess->all_bytes_ == 110);
  CHECK_FALSE(held.TakeExcess());
  held.Remove(large);
  CHECK(held.Total() == 40);
  held.Remove(small);
  CHECK(held.Total() == 0);
}

TEST_CASE("held memory: a holder that goes on growing counts again") {
  HeldMemory held(100);
  const HolderId one = held.Add(HolderKind::kRequest);
  held.Set(one, 200);
  REQUIRE(held.TakeExcess());
  CHECK_FALSE(held.TakeExcess());
  held.Set(one, 300);
  CHECK(held.TakeExcess());
}

TEST_CASE("held memory: random growth stays within the limit") {
  constexpr size_t kLimit = 1000;
  constexpr int kSteps = 5000;
  for (unsigned seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    std::mt19937 random(seed);
    HeldMemory held(kLimit);
    std::vector<HolderId> holders;
    std::map<HolderId, size_t> bytes;
    for (int step = 0; step < kSteps; ++step) {
      if (holders.empty() || random() % 10 == 0) {
        holders.push_back(held.Add(HolderKind::kRequest));
      }
      const size_t index = random() % holders.size();
      const HolderId id = holders[index];
      if (random() % 20 == 0) {
        held.Remove(id);
        bytes.erase(id);
        holders.erase(holders.begin() + static_cast<ptrdiff_t>(index));
      } else {
        bytes[id] += random() % 50;
        held.Set(id, bytes[id]);
      }
      while (const auto excess = held.TakeExcess()) {
        for (const auto& [other, size] : bytes) {
          CHECK(size <= excess->bytes_);
        }
        bytes[excess->id_] = 0;
        held.Set(excess->id_, 0);
      }
      size_t sum = 0;
      for (const auto& [other, size] : bytes) {
        sum += size;
      }
      REQUIRE(held.Total() == sum);
      REQUIRE(sum <= kLimit);
    }
  }
}

}  // namespace
}  // namespace gv
