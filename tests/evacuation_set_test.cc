/** @file evacuation_set_test.cc Tests of the encodings of evacuations in log
 * entries and snapshots. */
#include "coordination/gateway/evacuation_set.h"

#include <doctest/doctest.h>

#include "coordination/gateway/configuration_store.h"
#include "coordination/gateway/retry_entry.h"

namespace gv {
namespace {

EvacuationOrder Order(const std::string& name, bool withdrawn = false) {
  return EvacuationOrder{DataCentreId(name), withdrawn};
}

TEST_CASE("evacuation set: names are checked") {
  for (const char* name : {"a", "A-b_c.9", "..", "-"}) {
    CHECK(IsDataCentreName(name));
  }
  CHECK(IsDataCentreName(std::string(64, 'a')));
  CHECK_FALSE(IsDataCentreName(std::string(65, 'a')));
  for (const char* name :
       {"", "a b", "a/b", "a,b", "a\n", "\xc3\xa9", "a%20"}) {
    CHECK_FALSE(IsDataCentreName(name));
  }
  CHECK_FALSE(IsDataCentreName(std::string("a\0b", 3)));
}

TEST_CASE("evacuation set: entries are told apart from all others") {
  for (const bool withdrawn : {false, true}) {
    const auto order =
        DecodeEvacuationEntry(EncodeEvacuationEntry(Order("end", withdrawn)));
    REQUIRE(order);
    CHECK(order->data_centre_ == DataCentreId("end"));
    CHECK(order->withdrawn_ == withdrawn);
  }
  for (const std::string& bytes :
       {std::string(), std::string("evacuate"), std::string("evacuate "),
        std::string("evacuate-end "), std::string("evacuate a,b"),
        std::string("evacuate a\n"), std::string("retries model 5"),
        ConfigurationStore::Encode(7, "evacuate a")}) {
    CHECK_FALSE(DecodeEvacuationEntry(bytes));
  }
  CHECK_FALSE(DecodeRetryEntry(EncodeEvacuationEntry(Order("a"))));
}

TEST_CASE("evacuation set: only changes and newer entries count") {
  EvacuationSet set;
  CHECK(set.Apply(Order("a"), 5));
  CHECK_FALSE(set.Apply(Order("a"), 6));
  CHECK(set.Revision() == 5);
  // Entries are applied again after the restart of a replica.
  CHECK_FALSE(set.Apply(Order("a", true), 4));
  CHECK_FALSE(set.Apply(Order("b"), 5));
  CHECK(set.Names() == "a");
  CHECK(set.Apply(Order("a", true), 7));
  CHECK(set.Empty());
  CHECK_FALSE(set.Replace(EvacuationSet::FromNames(7, "c")));
  CHECK(set.Replace(EvacuationSet::FromNames(8, "c,d")));
  CHECK(set.Names() == "c,d");
}

TEST_CASE("evacuation set: a snapshot keeps it, also when it is empty again") {
  EvacuationSet set;
  CHECK(set.EncodeSnapshotHead().empty());
  set.Apply(Order("b"), 4);
  set.Apply(Order("a"), 5);
  for (int i = 0; i < 2; ++i) {
    const std::string bytes = set.EncodeSnapshotHead() + "7 text\nevacuations ";
    std::string_view rest = bytes;
    const auto taken = EvacuationSet::TakeSnapshotHead(rest);
    REQUIRE(taken);
    CHECK(taken->Names() == set.Names());
    CHECK(taken->Revision() == set.Revision());
    CHECK(rest == "7 text\nevacuations ");
    set.Apply(Order("a", true), 6);
    set.Apply(Order("b", true), 7);
  }
}

// A snapshot of an earlier version holds a configuration only.
TEST_CASE("evacuation set: old snapshots have no head") {
  const std::string old = ConfigurationStore::Encode(7, "evacuations 5 a\n");
  std::string_view rest = old;
  const auto taken = EvacuationSet::TakeSnapshotHead(rest);
  REQUIRE(taken);
  CHECK(taken->Empty());
  CHECK(taken->Revision() == 0);
  CHECK(rest == old);
}

TEST_CASE("evacuation set: malformed heads are refused") {
  for (const std::string text :
       {"evacuations ", "evacuations \n", "evacuations 5", "evacuations 5\n",
        "evacuations 5 a", "evacuations x a\n", "evacuations -5 a\n",
        "evacuations 5x a\n", "evacuations  5 a\n",
        "evacuations 99999999999999999999 a\n", "evacuations 5 a b\n",
        "evacuations 5 a,,b\n", "evacuations 5 b,a\n", "evacuations 5 a,\n",
        "evacuations 0 a\n"}) {
    CAPTURE(text);
    std::string_view rest = text;
    CHECK_FALSE(EvacuationSet::TakeSnapshotHead(rest));
  }
}

}  // namespace
}  // namespace gv
