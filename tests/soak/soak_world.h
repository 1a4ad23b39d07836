/** @file soak_world.h Gateways as processes, targets, proxies between them, and
 * a schedule of faults that a seed gives. */
#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "platform/scripted_target.h"
#include "soak/fault_proxy.h"
#include "soak/soak_ledger.h"
#include "soak/soak_process.h"
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

  void AddTarget(const std::string& service, int index);
  void Serve(const std::string& id, const TargetRequest& request,
             TargetLine& line);
  void Register();
  void CheckLeft(const Life& life, const std::string& attempt);
  std::string PlanDeparture();
  std::string Depart();
  void RegisterOddEntry();
  void Restart();
  void Touch(Member& member, Duration time, bool is_planned = false);
  void TouchTargets(Duration time);
  const Member* Find(uint16_t caller_port) const;
  Member& AnyMember() { return members_[random_() % members_.size()]; }
  std::string DisturbProcess(Member& member);
  std::string SignalInSeries(Member& member);
  std::string DisturbTargets();
  std::string NameLimit();
  std::string DisturbLink();
  std::string DisturbOnce();

  SoakLedger& ledger_;
  std::mt19937_64 random_;
  uint64_t seed_;
  std::vector<Member> members_;
  bool disk_is_missing_ = false;  ///< A lost disk may not be replaced yet.
  TimePoint calm_since_;  ///< Members with a disk are left alone since then.
  std::vector<Target> targets_;
  TimePoint departs_at_;  ///< When a target departs; or none.
  TimePoint calm_until_;  ///< No faults before; for what calm gateways know.
  std::atomic<bool> refusing_ = false;  ///< Targets refuse most requests.
  TimePoint refusing_until_;
  /** Limit that the first target of each service names; zero for none. */
  std::atomic<double> limit_ = 0;
  TimePoint limit_until_;
  TimePoint targets_disturbed_;  ///< Until then, at least.
  mutable std::mutex mutex_;     ///< Guards these times and port_random_.
  std::mt19937_64 port_random_;
  std::atomic<bool> stop_ = false;
  std::thread registering_;
};

}  // namespace gv
