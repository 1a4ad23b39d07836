/** @file soak_targets.h The targets of a soak, with a proxy before each, and
 * their faults. */
#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "platform/scripted_target.h"
#include "soak/fault_proxy.h"
#include "soak/soak_ledger.h"
#include "transport/steady_clock.h"

namespace gv {

/** From a departure until the target's next start. */
inline constexpr Duration kTargetAway = 4_s;

/** What targets ask of the world. */
struct SoakTargetsView {
  /** Chooses the control port of a gateway. */
  std::function<uint16_t()> pick_control_;
  /** Says whether the gateway of a callers' port, and those that tell it of
   * departures, were left alone since a time. */
  std::function<bool(uint16_t, TimePoint)> is_told_;
};

/** Thread safety: one thread, but for the methods that say otherwise. */
class SoakTargets {
 public:
  /** @param of_each Targets of each service. */
  SoakTargets(SoakLedger& ledger, uint64_t seed, int of_each,
              SoakTargetsView view);
  ~SoakTargets();
  SoakTargets(const SoakTargets&) = delete;
  SoakTargets& operator=(const SoakTargets&) = delete;

  /** Ends faults whose time is over, and starts anew what has left. */
  void Restart();
  /** Ends all faults. */
  void Heal();
  /** @return True if targets and their links were left alone since @p time, and
   * a little before. Thread safety: any thread. */
  bool WasCalm(TimePoint time) const;
  std::string RefuseMost(std::mt19937_64& random);
  std::string NameLimit(std::mt19937_64& random);
  std::string DisturbLink(std::mt19937_64& random);
  void RegisterOddEntry(std::mt19937_64& random);
  /** Target @p which departs at the gateway of a control port. @return Its id
   * and the status. */
  std::string Depart(uint64_t which, uint16_t control_port);

 private:
  /** A start of a target. Thread safety: any thread. */
  struct Life {
    std::atomic<int64_t> start_ms_ = WallMs();  ///< Wall time.
    std::atomic<bool> is_leaving_ = false;      ///< It registers no more.
    /** When its departure was acknowledged, in ms; zero before. */
    std::atomic<int64_t> left_ms_ = 0;
  };
  /** A target, and the proxy in front of it. */
  struct Target {
    std::string id_;
    std::string service_;
    std::unique_ptr<ScriptedTarget> target_;
    std::unique_ptr<FaultProxy> proxy_;
    TimePoint calm_;  ///< When its link is mended.
    std::unique_ptr<Life> life_ = std::make_unique<Life>();
    TimePoint starts_anew_;  ///< After its departure; or none.
  };

  void Add(const std::string& service, int index);
  void Serve(const std::string& id, const TargetRequest& request,
             TargetLine& line);
  void Register();
  void CheckLeft(const Life& life, const std::string& attempt);
  void Touch(Duration time);

  SoakLedger& ledger_;
  uint64_t seed_;
  SoakTargetsView view_;
  std::vector<Target> targets_;
  std::atomic<bool> refusing_ = false;  ///< They refuse most requests.
  TimePoint refusing_until_;
  /** Limit that the first target of each service names; zero for none. */
  std::atomic<double> limit_ = 0;
  TimePoint limit_until_;
  mutable std::mutex mutex_;  ///< Guards disturbed_.
  TimePoint disturbed_;       ///< Until then, at least.
  std::atomic<bool> stop_ = false;
  std::thread registering_;
};

}  // namespace gv
