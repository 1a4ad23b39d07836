/** @file soak_world.h Gateways as processes, targets, proxies between them, and
 * a schedule of faults that a seed gives. */
#pragma once

#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <vector>

#include "soak/fault_proxy.h"
#include "soak/soak_ledger.h"
#include "soak/soak_process.h"
#include "soak/soak_targets.h"
#include "transport/steady_clock.h"

namespace gv {

/** The size of a soak. */
struct SoakSize {
  std::string binary_;  ///< Path of gooseberryvale.
  std::string folder_;  ///< For settings, data and logs.
  int disks_ = 3;       ///< Gateways with a disk.
  int others_ = 3;      ///< Gateways without.
  int targets_ = 3;     ///< Of each service.
};

/** Thread safety: one thread, but for the methods that say otherwise. */
class SoakWorld {
 public:
  SoakWorld(const SoakSize& size, SoakLedger& ledger, uint64_t seed);
  ~SoakWorld();
  SoakWorld(const SoakWorld&) = delete;
  SoakWorld& operator=(const SoakWorld&) = delete;

  /** Injects one to three faults and restarts what has ended. @return Their
   * line. */
  std::string Disturb();
  /** Ends all faults and restarts everything. */
  void Heal();
  /** @return The callers' port of a gateway. Thread safety: any thread. */
  uint16_t PickCaller();
  /** @return The control port of a gateway. Thread safety: any thread. */
  uint16_t PickControl();
  /** @return True if the gateway of a callers' port was left alone since
   * @p time, and a little before. Thread safety: any thread. */
  bool WasCalm(uint16_t caller_port, TimePoint time) const;
  /** @return True if since @p time, and a little before, nothing but planned
   * stops and reloads happened to the gateway of a callers' port, and nothing
   * to targets and their links. Thread safety: any thread. */
  bool WasPlanned(uint16_t caller_port, TimePoint time) const;
  std::vector<uint16_t> CallerPorts() const;
  std::vector<uint16_t> ControlPorts() const;

 private:
  /** A gateway, and the proxies in front of it. */
  struct Member {
    std::unique_ptr<SoakProcess> process_;
    std::unique_ptr<FaultProxy> callers_;
    std::unique_ptr<FaultProxy> control_;
    TimePoint disturbed_;  ///< Until then, at least.
    TimePoint unplanned_;  ///< The same, without planned stops and reloads.
    TimePoint wake_;       ///< When a stopped one goes on; or none.
  };
  /** @return True if the gateway of a callers' port, and all with a disk, were
   * left alone since @p time. Thread safety: any thread. */
  bool IsTold(uint16_t caller_port, TimePoint time) const;
  std::string PlanDeparture();
  std::string Depart();
  void Restart();
  void Touch(Member& member, Duration time, bool is_planned = false);
  const Member* Find(uint16_t caller_port) const;
  Member& AnyMember() { return members_[random_() % members_.size()]; }
  std::string DisturbProcess(Member& member);
  std::string SignalInSeries(Member& member);
  std::string DisturbOnce();
  /** Adds what the schedule of a seed had not at first. */
  std::string DisturbMore();
  std::string StopWhileFrozen();

  SoakLedger& ledger_;
  std::mt19937_64 random_;
  /** Of what was added, so that the older schedule of a seed stays. */
  std::mt19937_64 more_random_;
  uint64_t seed_;
  std::vector<Member> members_;
  bool disk_is_missing_ = false;  ///< A lost disk may not be replaced yet.
  TimePoint calm_since_;  ///< Members with a disk are left alone since then.
  TimePoint departs_at_;  ///< When a target departs; or none.
  TimePoint calm_until_;  ///< No faults before; for what calm gateways know.
  mutable std::mutex mutex_;  ///< Guards these times and port_random_.
  std::mt19937_64 port_random_;
  std::unique_ptr<SoakTargets> targets_;  ///< Ends before the members.
};

}  // namespace gv
