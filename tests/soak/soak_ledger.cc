/** @file soak_ledger.cc Compares what the sides of a soak saw. */
#include "soak/soak_ledger.h"

#include <algorithm>
#include <array>

#include "state/enum_names.h"

namespace gv {
namespace {

constexpr std::array<EnumName<Promise>, 8> kPromiseNames{{
    {Promise::kOwnWholeAnswer, "own-whole-answer"},
    {Promise::kNotRunIsTrue, "not-run-is-true"},
    {Promise::kOnceAtMost, "once-at-most"},
    {Promise::kEventOrder, "event-order"},
    {Promise::kEndsInTime, "ends-in-time"},
    {Promise::kNeverReverts, "never-reverts"},
    {Promise::kNothingLost, "nothing-lost"},
    {Promise::kServedAgain, "served-again"},
}};

}  // namespace

void SoakLedger::OnRun(const std::string& attempt, bool is_unsafe) {
  int64_t runs = 0;
  bool refused = false;
  {
    const std::scoped_lock lock(mutex_);
    runs = ++runs_[attempt];
    refused = refused_.contains(attempt);
  }
  if (is_unsafe && runs > 1) {
    Break(Promise::kOnceAtMost, attempt + " ran again");
  }
  if (refused) {
    Break(Promise::kNotRunIsTrue, attempt + " ran after its refusal");
  }
}

void SoakLedger::OnRefused(const std::string& attempt) {
  bool ran = false;
  {
    const std::scoped_lock lock(mutex_);
    refused_[attempt] = true;
    ran = runs_.contains(attempt);
  }
  if (ran) {
    Break(Promise::kNotRunIsTrue, attempt + " ran before its refusal");
  }
}

void SoakLedger::Break(Promise promise, const std::string& what) {
  const std::scoped_lock lock(mutex_);
  broken_.push_back(std::string(NameOf(kPromiseNames, promise)) + ": " + what);
}

void SoakLedger::OnAccepted(uint64_t version) {
  const std::scoped_lock lock(mutex_);
  accepted_ = std::max(accepted_, version);
}

uint64_t SoakLedger::Accepted() const {
  const std::scoped_lock lock(mutex_);
  return accepted_;
}

void SoakLedger::Count(bool served) {
  const std::scoped_lock lock(mutex_);
  ++ended_;
  served_ += served ? 1 : 0;
}

int64_t SoakLedger::Served() const {
  const std::scoped_lock lock(mutex_);
  return served_;
}

int64_t SoakLedger::Ended() const {
  const std::scoped_lock lock(mutex_);
  return ended_;
}

std::vector<std::string> SoakLedger::Broken() const {
  const std::scoped_lock lock(mutex_);
  return broken_;
}

}  // namespace gv
