/** @file retry_fleet.h Gateways that share a retry budget over the registry, on
 * simulated links and disks. */
#pragma once

#include <map>
#include <random>
#include <string>

#include "coordination/gateway/retry_allowance.h"
#include "support/registry_group.h"
#include "support/retry_rule.h"

namespace gv {

/** Gateways that want to retry each request once. Thread safety: one thread. */
class RetryFleet {
 public:
  /** @param most_to_arrival Longest time from a permit to the arrival of its
   * retry. */
  RetryFleet(size_t with_disk, size_t without, const RetryBounds& bounds,
             uint64_t seed, Duration most_to_arrival = {});

  /** Requests of callers arrive at a gateway, and fail at once. */
  void Fail(const std::string& gateway, size_t requests);
  /** A request arrives at each running gateway, and fails at once. */
  void FailEach();
  /** Advances the clock and sends the retries that are permitted. */
  void Run(Duration duration);
  /** Kills a gateway. It is started with Group().Start(). */
  void Kill(const std::string& gateway);
  RegistryGroup& Group() { return group_; }
  const RetryRule& Rule() const { return rule_; }

 private:
  /** A request whose gateway has asked for a permit. */
  struct OpenAsk {
    std::string gateway_;
    uint64_t start_ = 0;  ///< Of the gateway.
    TimePoint asked_;
  };

  void Arrive();

  RetryBounds bounds_;
  Duration most_to_arrival_;
  std::mt19937_64 random_;
  RegistryGroup group_;
  std::map<std::string, RetryAllowance> allowances_;  ///< By gateway.
  std::map<OperationId, OpenAsk> open_;
  OperationId last_operation_;
  RetryRule rule_;
};

}  // namespace gv
