/** @file group_placer.h Reserves memory on several engines for one long prompt,
 * all or nothing. Runs at the control leader. */
#pragma once

#include <deque>
#include <map>
#include <set>
#include <vector>

#include "protocol/outbox.h"

namespace gv {

/**
 * Places prompts that need several engines. Members are asked one after the
 * other in the order of their names and nobody waits while holding: a refusal
 * or a timeout releases what was held and the group is tried again elsewhere.
 * So two groups cannot wait for each other. The part of a model's engines that
 * groups may take follows their demand up to a cap, so that short prompts keep
 * room. Every hold is a lease that the entry renews; a silent entry loses it.
 * Thread safety: control thread only.
 */
class GroupPlacer {
 public:
  /** Handles GroupRequest, GroupRenew, GroupHeld and Tick; ignores the rest.
   * @param targets All targets that the leader knows. */
  void OnMessage(TimePoint now, const Envelope& in,
                 const std::vector<TargetInfo>& targets, Outbox& out);

  /** Forgets everything; holds of an earlier term run out at the agents. */
  void StartTerm() { groups_.clear(); }

  /** @return Groups that hold or gather memory. */
  size_t size() const { return groups_.size(); }

  /** @return Engines of a model that groups may take now, of @p engines. */
  int64_t Allowance(const ModelId& model, int64_t engines) const;

  static constexpr Duration kLease{10'000};     ///< Of a placed group.
  static constexpr Duration kHoldTimeout{300};  ///< For one member's answer.
  static constexpr int64_t kMostPercent = 60;   ///< Of engines, for groups.
  static constexpr int64_t kLeastPercent = 15;  ///< Kept free to groups.

 private:
  enum class Phase : uint8_t { kWaiting, kGathering, kPlaced };

  struct Member {
    TargetId target_;     ///< The engine.
    NodeId agent_;        ///< Its agent.
    int64_t tokens_ = 0;  ///< Share of the prompt.
    bool held_ = false;   ///< The agent confirmed.
  };

  struct Group {
    GroupRequest request_;           ///< What is wanted.
    NodeId entry_;                   ///< Who asked.
    LeaseId lease_;                  ///< Lease of this try.
    Phase phase_ = Phase::kWaiting;  ///< Where it stands.
    TimePoint deadline_;             ///< Give up at.
    TimePoint lease_until_;          ///< End of the lease.
    TimePoint asked_at_;             ///< Last hold sent.
    TimePoint try_from_;             ///< Next try not before.
    size_t next_member_ = 0;         ///< Member that is being asked.
    std::vector<Member> members_;    ///< In the order of names.
  };

  /** Engines of one data centre with room for a group. */
  struct FreeEngines {
    std::vector<const TargetInfo*> free_;  ///< Largest first; maybe none.
    int64_t engines_ = 0;                  ///< Serving engines of the model.
  };

  void OnRequest(TimePoint now, const NodeId& entry,
                 const GroupRequest& request,
                 const std::vector<TargetInfo>& targets, Outbox& out);
  void OnRenew(TimePoint now, const GroupRenew& renew, Outbox& out);
  void OnHeld(TimePoint now, const GroupHeld& held, Outbox& out);
  void OnTick(TimePoint now, const std::vector<TargetInfo>& targets,
              Outbox& out);
  void TryPlace(TimePoint now, Group& group,
                const std::vector<TargetInfo>& targets, Outbox& out);
  std::vector<Member> PickMembers(TimePoint now, const Group& group,
                                  const std::vector<TargetInfo>& targets) const;
  FreeEngines FindFree(TimePoint now, const Group& group,
                       const std::vector<TargetInfo>& targets) const;
  std::set<TargetId> TakenTargets(TimePoint now) const;
  void Withdraw(TimePoint now, Group& group, Outbox& out);
  int64_t TakenEngines(const ModelId& model) const;
  int64_t UsableMemory(const TargetInfo& target) const;
  void AskNext(TimePoint now, Group& group, Outbox& out) const;
  void ReleaseMembers(const Group& group, Outbox& out) const;
  void GiveUp(const Group& group, Reason reason, Outbox& out) const;
  void SendReply(const Group& group, Outbox& out) const;

  std::map<TargetId, TimePoint> full_until_;  ///< Refused a hold lately.
  uint64_t next_lease_ = 1;            ///< Numbers leases within the term.
  std::map<RequestId, Group> groups_;  ///< In the order of arrival by id.
};

}  // namespace gv
