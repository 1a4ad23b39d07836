/** @file soak_targets.h The targets of a soak, with a proxy before each, and
 * their faults. */
#pragma once

#include <atomic>
#include <chrono>
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
  /** One drains, answers what it still runs at its end with 503, and starts
   * anew. */
  std::string StopOne(std::mt19937_64& random);
  /** A second id is registered at the address of one for a while. */
  std::string RegisterStale(std::mt19937_64& random);
  void RegisterOddEntry(std::mt19937_64& random);
  /** Target @p which departs at the gateway of a control port. @return Its id
   * and the status. */
  std::string Depart(uint64_t which, uint16_t control_port);

 private:
  /** A start of a target. Thread safety: any thread. */
  struct Life {
    std::atomic<int64_t> start_ms_ = WallMs();  ///< Wall time.
    std::atomic<bool> is_leaving_ = false;      ///< It registers no more.
    std::atomic<bool> is_draining_ = false;     ///< It registers as such.
    std::atomic<bool> is_ended_ = false;        ///< It serves no more.
    /** Start of the stale id at its address; zero if there is none. */
    std::atomic<int64_t> stale_start_ms_ = 0;
    /** When its departure was acknowledged, in ms; zero before. */
    std::atomic<int64_t> left_ms_ = 0;
  };
  /** A target, and the proxy in front of it. */
  struct Target {
    std::string id_;
    std::string service_;
    std::unique_ptr<Life> life_ = std::make_unique<Life>();
    std::unique_ptr<ScriptedTarget> target_;  ///< Its threads use the life.
    std::unique_ptr<FaultProxy> proxy_;
    TimePoint calm_;         ///< When its link is mended.
    TimePoint ends_;         ///< After its drain; or none.
    TimePoint starts_anew_;  ///< After its departure; or none.
    TimePoint stale_until_;  ///< When the stale id is registered no more.
  };

  void Add(const std::string& service, int index);
  void Serve(const Target& target, const TargetRequest& request,
             TargetLine& line);
  /** Says that a request did not run; some of it twice. */
  void TurnAway(int status, const std::string& attempt,
                const std::string& named, TargetLine& line);
  /** Answers a request that ran with a failure of the target's own. */
  void FailAfterRun(int status, const std::string& attempt,
                    const std::string& named, TargetLine& line);
  void Work(const Life& life, const TargetRequest& request,
            const std::string& named, TargetLine& line);
  void SendEvents(const Life& life, const TargetRequest& request,
                  const std::string& named, TargetLine& line);
  /** @return Below 100, by the attempt, so that a seed fails the same ones. */
  uint64_t Luck(const std::string& attempt, const std::string& of = "") const;
  /** Waits. @return False if the target ended first. */
  static bool Lasts(const Life& life, std::chrono::milliseconds time);
  void Register();
  void RegisterAs(const Target& target, const std::string& id,
                  int64_t start_ms);
  /** @return The status, or 0. */
  static int Deregister(const Target& target, uint16_t control_port,
                        std::chrono::milliseconds timeout);
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
