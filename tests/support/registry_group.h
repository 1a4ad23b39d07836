/** @file registry_group.h Gateways' registries over fake links and fake disks
 * on a virtual clock. */
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "coordination/gateway/registry_core.h"
#include "support/fake_disk.h"
#include "support/fake_link.h"

namespace gv {

/** One gateway. */
struct RegistryHost {
  NodeId node_;                             ///< Its name.
  bool has_disk_ = false;                   ///< Could become a member.
  std::unique_ptr<RegistryCore> core_;      ///< Null while the process is down.
  FakeDisk disk_;                           ///< Survives the process.
  TimePoint sync_at_ = TimePoint::Never();  ///< When the running sync ends.
  TimePoint next_tick_;                     ///< On the group's clock.
  std::vector<OperationEnd> ends_;          ///< All that ended here.
  uint64_t starts_ = 0;                     ///< Starts so far.
  Duration jump_;  ///< Its clock is ahead by this time.
};

/** Some gateways. Thread safety: none. */
class RegistryGroup {
 public:
  /** @param with_disk Gateways d1, d2 and so on, the seeds of the first start.
   * @param without Gateways e1, e2 and so on. */
  RegistryGroup(size_t with_disk, size_t without, uint64_t seed);

  RegistryHost& Host(const std::string& name) { return hosts_.at(name); }
  RegistryCore& Core(const std::string& name) { return *Host(name).core_; }
  /** Adds and starts a gateway with an empty disk or none. */
  void Add(const std::string& name, bool has_disk);
  /** Stops a process at once. */
  void Crash(const std::string& name);
  /** Starts a stopped process from its disk, with the seeds of now. */
  void Start(const std::string& name);
  /** Loses the disk of a stopped process. */
  void Wipe(const std::string& name);
  /** Lets @p duration pass. */
  void Run(Duration duration);
  /** Sends a change and runs until it ends. @return Its state. */
  OperationState Change(const std::string& at, uint64_t version,
                        const std::string& text);
  /** Asks for the newest version and runs until that ends. */
  OperationEnd Read(const std::string& at);
  /** Cuts or restores all links of @p name. */
  void Isolate(const std::string& name, bool isolated);
  /** @return The only gateway that leads, or empty. */
  std::string Leader();
  /** @return True if all running gateways have a lease. */
  bool AllHaveLeases();
  /** A target registers at @p at. */
  void Register(const std::string& at, const TargetRegistration& target);
  /** A target leaves at @p at. */
  void Depart(const std::string& at, const std::string& id);
  TimePoint NowOf(const RegistryHost& host) const { return now_ + host.jump_; }

  FakeLink link_;                              ///< All links.
  std::vector<NodeId> seeds_;                  ///< For the next starts.
  std::map<std::string, RegistryHost> hosts_;  ///< By name.
  TimePoint now_{100000};                      ///< The group's clock.

 private:
  void CarryOut(RegistryHost& host, Outbox& out);
  void Step(RegistryHost& host, const Envelope& in);
  OperationEnd WaitFor(RegistryHost& host, OperationId id);

  uint64_t disks_ = 100;     ///< For identities of disks.
  bool first_start_ = true;  ///< Disks may take part in the first start.
};

}  // namespace gv
