/** @file soak_ledger.cc Compares what the sides of a soak saw. */
#include "soak/soak_ledger.h"

#include <algorithm>
#include <array>

#include "state/enum_names.h"
#include "transport/steady_clock.h"

namespace gv {
namespace {

constexpr std::array<EnumName<Promise>, 13> kPromiseNames{{
    {Promise::kOwnWholeAnswer, "own-whole-answer"},
    {Promise::kNotRunIsTrue, "not-run-is-true"},
    {Promise::kOnceAtMost, "once-at-most"},
    {Promise::kEventOrder, "event-order"},
    {Promise::kEndsInTime, "ends-in-time"},
    {Promise::kNeverReverts, "never-reverts"},
    {Promise::kNothingLost, "nothing-lost"},
    {Promise::kServedAgain, "served-again"},
    {Promise::kStopCutsNothing, "stop-cuts-nothing"},
    {Promise::kRetryBudget, "retry-budget"},
    {Promise::kNoOwnEnd, "no-own-end"},
    {Promise::kTargetLimit, "target-limit"},
    {Promise::kLeavingIsKnown, "leaving-is-known"},
}};

/** The defaults of the gateways' settings. */
constexpr double kRetryRatio = 0.2;
constexpr Duration kRetryWindow = 10_s;
constexpr double kRetrySlack = 20;

}  // namespace

RetryRule& SoakLedger::RetriesOf(const std::string& service) {
  return retries_.try_emplace(service, kRetryRatio, kRetryWindow, kRetrySlack)
      .first->second;
}

void SoakLedger::OnRequest(const std::string& service) {
  const std::scoped_lock lock(mutex_);
  RetriesOf(service).OnRequest(SteadyNow());
}

void SoakLedger::OnArrival(const std::string& service,
                           const std::string& attempt) {
  const std::scoped_lock lock(mutex_);
  if (!arrived_.insert(attempt).second) {
    RetriesOf(service).OnRetry(SteadyNow());
  }
}

void SoakLedger::OnLimited(const std::string& target,
                           const std::string& gateway,
                           std::optional<double> limit) {
  const std::scoped_lock lock(mutex_);
  LimitRule& rule = limits_[target];
  const TimePoint now = SteadyNow();
  rule.OnNamed(now, limit);
  rule.OnArrival(now, gateway);
  if (limit) {
    rule.OnTold(now, gateway);
  }
}

void SoakLedger::OnDisturbed(const std::string& gateway) {
  const std::scoped_lock lock(mutex_);
  for (auto& [target, rule] : limits_) {
    rule.OnKilled(gateway);
  }
}

void SoakLedger::CheckLimits() {
  std::vector<std::string> lines;
  {
    const std::scoped_lock lock(mutex_);
    for (const auto& [target, rule] : limits_) {
      if (rule.WorstExcess() > 0) {
        lines.push_back(target + " got " + std::to_string(rule.WorstExcess()) +
                        " requests beyond its limit");
      }
    }
  }
  for (const std::string& line : lines) {
    Break(Promise::kTargetLimit, line);
  }
}

void SoakLedger::OnAnswered(const std::string& attempt) {
  const std::scoped_lock lock(mutex_);
  answered_.insert(attempt);
}

bool SoakLedger::IsAnswered(const std::string& attempt) const {
  const std::scoped_lock lock(mutex_);
  return answered_.contains(attempt);
}

void SoakLedger::CheckRetries() {
  std::vector<std::string> lines;
  {
    const std::scoped_lock lock(mutex_);
    for (const auto& [service, rule] : retries_) {
      if (rule.WorstExcess() > 0) {
        lines.push_back(service + " got " + std::to_string(rule.WorstExcess()) +
                        " retries beyond the limit of a window");
      }
    }
  }
  for (const std::string& line : lines) {
    Break(Promise::kRetryBudget, line);
  }
}

void SoakLedger::OnRun(const std::string& attempt, bool is_unsafe) {
  int64_t runs = 0;
  std::string refused;
  {
    const std::scoped_lock lock(mutex_);
    runs = ++runs_[attempt];
    const auto found = refused_.find(attempt);
    refused = found == refused_.end() ? "" : found->second;
  }
  if (is_unsafe && runs > 1) {
    Break(Promise::kOnceAtMost, attempt + " ran again");
  }
  if (!refused.empty()) {
    Break(Promise::kNotRunIsTrue,
          attempt + " ran after its refusal, " + refused);
  }
}

void SoakLedger::OnRefused(const std::string& attempt,
                           const std::string& answer) {
  bool ran = false;
  {
    const std::scoped_lock lock(mutex_);
    refused_[attempt] = answer;
    ran = runs_.contains(attempt);
  }
  if (ran) {
    Break(Promise::kNotRunIsTrue,
          attempt + " ran before its refusal, " + answer);
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
