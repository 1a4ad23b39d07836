/** @file registry_group.h Simulates the registries of several gateways with
 * fake links, fake disks and a virtual clock. */
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "coordination/gateway/registry_core.h"
#include "support/fake_disk.h"
#include "support/fake_link.h"

namespace gv {

/** @return A registration of a target at 10.0.0.1:80. Thread safety: pure. */
TargetRegistration MakeTarget(
    const std::string& id, uint64_t start, uint64_t sequence,
    RegistrationState state = RegistrationState::kReady);

/** One simulated gateway process and its disk. */
struct RegistryHost {
  NodeId node_;                             ///< Id of the gateway.
  bool has_disk_ = false;                   ///< May become a member.
  std::unique_ptr<RegistryCore> core_;      ///< Null while stopped.
  FakeDisk disk_;                           ///< Kept when stopped.
  TimePoint sync_at_ = TimePoint::Never();  ///< End of the sync in progress.
  TimePoint next_tick_;  ///< Next Tick, on the group's clock.
  std::vector<OperationResult>
      completed_operations_;               ///< Completed since the last crash.
  std::vector<RetryReply> retry_replies_;  ///< Since they were taken.
  std::vector<LimitReply> limit_replies_;  ///< Since they were taken.
  uint64_t starts_ = 0;                    ///< Number of starts so far.
  bool disk_is_full_ = false;              ///< The disk refuses every write.
  TimePoint reopen_at_ = TimePoint::Never();  ///< After a refused write.
  Duration clock_offset_;       ///< Time by which its clock is ahead.
  bool is_frozen_ = false;      ///< The process stands still.
  std::vector<Envelope> held_;  ///< Arrived while it stood still.
};

/** A cluster of simulated gateways. Thread safety: none. */
class RegistryGroup {
 public:
  /** Starts all gateways.
   * @param with_disk Number of gateways with a disk; they are named d1, d2 and
   * so on, and are the first seeds.
   * @param without Number of gateways without a disk, named e1, e2 and so on.
   * @param seed For the random faults of the links.
   * @param retries Limit of retries at each service. */
  RegistryGroup(size_t with_disk, size_t without, uint64_t seed,
                RetryBounds retries = {});

  RegistryHost& Host(const std::string& name) { return hosts_.at(name); }
  RegistryCore& Core(const std::string& name) { return *Host(name).core_; }
  /** Adds and starts a gateway with an empty disk or without a disk. */
  void Add(const std::string& name, bool has_disk);
  /** Stops a process at once; writes that were not synced are lost. */
  void Crash(const std::string& name);
  /** Starts a stopped process from its disk, with the current seeds_. */
  void Start(const std::string& name);
  /** From now on the process stands still; its clock and what is sent to it
   * go on. */
  void Freeze(const std::string& name) { Host(name).is_frozen_ = true; }
  /** The process goes on, with what arrived meanwhile. */
  void Thaw(const std::string& name);
  /** Replaces the disk of a stopped process by an empty one. */
  void Wipe(const std::string& name);
  /** From now on the disk refuses every write, or takes them again. The process
   * reopens it after each refused write, as a gateway does. */
  void FillDisk(const std::string& name, bool full) {
    Host(name).disk_is_full_ = full;
  }
  /** Advances the clock by @p duration in steps of 1 ms. */
  void Run(Duration duration);
  /** Submits a change and runs until it completes, for at most 2 s.
   * @return Its state; kUnknown after the 2 s. */
  OperationState Change(const std::string& at, uint64_t version,
                        const std::string& text);
  /** Submits an order about a data centre, without waiting.
   * @param age Time since the operator sent it. */
  OperationId BeginEvacuation(const std::string& at,
                              const std::string& data_centre,
                              bool withdrawn = false, Duration age = {});
  /** Submits an order about a data centre and runs until it completes, for at
   * most 2 s. @return Its state; kUnknown after the 2 s. */
  OperationState Evacuate(const std::string& at, const std::string& data_centre,
                          bool withdrawn = false) {
    return Await(at, BeginEvacuation(at, data_centre, withdrawn));
  }
  /** Asks for the newest version and runs until the operation completes, for at
   * most 2 s. @return Its result; kUnknown after the 2 s. */
  OperationResult Read(const std::string& at);
  /** Cuts or restores all links of @p name. */
  void Isolate(const std::string& name, bool isolated);
  /** @return The gateway whose replica leads, empty if none does, or "several".
   */
  std::string Leader();
  /** @return True if all running gateways have a lease. */
  bool AllHaveLeases();
  /** Delivers a registration of a target to the gateway @p at.
   * @return If the target leaves, what tells when it is acknowledged. */
  std::optional<OperationId> Register(const std::string& at,
                                      const TargetRegistration& target);
  /** Deregisters a target at the gateway @p at.
   * @param age Time since the target sent it. @return The operation that tells
   * when it is acknowledged. */
  OperationId Depart(const std::string& at, const std::string& id,
                     Duration age = {});
  /** Runs until an operation of @p at completes, for at most 2 s.
   * @return Its state; kUnknown after the 2 s. */
  OperationState Await(const std::string& at, OperationId id) {
    return WaitFor(Host(at), id).state_;
  }
  /** The gateway @p at reports a crashed engine. */
  void ReportCrash(const std::string& at, const EngineCrash& crash);
  /** An answer to a prompt with @p parts begins at the gateway @p at. */
  void BeginAnswer(const std::string& at, const std::string& service,
                   const std::vector<PromptPartId>& parts);
  /** Sends a request for a permit to the leader that @p at knows, if any. */
  void AskLeader(const std::string& at, const Message& ask);
  /** An answer of a target with this limit, or none, comes to the gateway
   * @p at. @param sent When the request was sent, on the clock of @p at. */
  void AnswerLimit(const std::string& at, const TargetId& target,
                   std::optional<double> per_second, TimePoint sent);
  /** @return The time on the clock of @p host. */
  TimePoint NowOf(const RegistryHost& host) const {
    return now_ + host.clock_offset_;
  }

  FakeLink link_;                              ///< Links between the gateways.
  std::vector<NodeId> seeds_;                  ///< Seeds of the next starts.
  std::map<std::string, RegistryHost> hosts_;  ///< Gateways by name.
  TimePoint now_{100000};                      ///< Virtual clock.

 private:
  /** Calls the core of @p at and carries out what it asks for. */
  void Act(const std::string& at,
           const std::function<void(TimePoint, RegistryCore&, Outbox&)>& act);
  void CarryOut(RegistryHost& host, Outbox& out);
  void Step(RegistryHost& host, const Envelope& in);
  OperationResult WaitFor(RegistryHost& host, OperationId id);
  void OpenDisk(RegistryHost& host);
  void RefuseWrite(RegistryHost& host);

  RetryBounds retries_;      ///< Of all gateways.
  uint64_t disks_ = 100;     ///< Identity of the newest disk.
  bool first_start_ = true;  ///< True in the constructor only.
};

}  // namespace gv
