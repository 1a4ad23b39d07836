/** @file limit_fleet.h Gateways that share the limit of one target over the
 * registry, on simulated links and disks. */
#pragma once

#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "support/limit_rule.h"
#include "support/registry_group.h"

namespace gv {

/** Gateways with requests for one target, which names a limit in its answers.
 * Requests that get no permit go elsewhere. Thread safety: one thread. */
class LimitFleet {
 public:
  LimitFleet(size_t with_disk, size_t without, uint64_t seed);

  /** The target names @p per_second from now on, or none. */
  void Name(std::optional<double> per_second);
  /** Targets of the service "model" can be cold. From now on gateways send
   * nothing without a lease or before they know the target. */
  void SetColdBounds(ColdBounds bounds);
  /** A request for the target arrives at each running gateway, which asks for a
   * permit if it knows of the limit. */
  void WantEach();
  /** Each gateway that believes it leads places @p prompts for random gateways,
   * as far as it has permits. */
  void PlaceAtLeaders(int prompts);
  /** Advances the clock. */
  void Run(Duration duration);
  void Kill(const std::string& gateway);
  RegistryGroup& Group() { return group_; }
  const LimitRule& Rule() const { return rule_; }
  /** @return When requests arrived at the target, in order. */
  const std::vector<TimePoint>& ArrivedAt() const { return arrived_at_; }
  const TargetId& Target() const { return target_; }
  /** @return True if @p gateway knows of a limit. */
  bool IsLimited(const std::string& gateway);

 private:
  /** Something that a gateway does at a time, unless it is killed before. */
  struct Planned {
    std::string gateway_;
    uint64_t start_ = 0;           ///< Of the gateway.
    TimePoint sent_;               ///< When its request was sent; unset before.
    std::optional<double> named_;  ///< Of the answer.
  };
  struct OpenAsk {
    std::string gateway_;
    uint64_t start_ = 0;  ///< Of the gateway.
    TimePoint asked_;
  };

  /** @return True if a gateway may use the target at all. */
  bool MaySend(const RegistryHost& host) const;
  void ConfigureStarted();
  Duration Transit();
  void Send(const std::string& gateway, TimePoint at);
  void TakeReplies();
  void Deliver();

  const TargetId target_{"limited"};
  std::mt19937_64 random_;
  RegistryGroup group_;
  std::optional<double> named_;
  LimitRule rule_;
  std::map<std::string, ColdBounds> cold_services_;
  std::map<std::string, uint64_t> configured_;  ///< Starts, by gateway.
  std::vector<TimePoint> arrived_at_;
  std::multimap<TimePoint, Planned> arriving_;   ///< Requests at the target.
  std::multimap<TimePoint, Planned> answering_;  ///< Answers at gateways.
  std::map<OperationId, OpenAsk> open_;
  OperationId last_operation_;
};

}  // namespace gv
