/** @file share_ledger.h The leader's ledger of shares of team limits that are
 * leased to entries. */
#pragma once

#include <unordered_map>
#include <vector>

#include "protocol/settings_messages.h"
#include "state/team_base.h"

namespace gv {

/**
 * Divides each team's limit among entries by demand. What is leased to all
 * entries together never exceeds the limit of the revision that a grant is made
 * under, because a smaller grant counts as the larger one before it until that
 * one's lease ran out at the ledger. The ledger is soft state: a new leader
 * grants nothing for one lease. Requests in progress may outlive the lease that
 * they started under, so an entry that falls silent keeps its last number of
 * places until kForgetAfter. Thread safety: control thread only.
 */
class ShareLedger {
 public:
  /** Starts a term: no grants until one lease of an earlier leader ran out. */
  void StartTerm(TimePoint now, Duration lease);

  /**
   * Answers a request for a share.
   * @param entry The asking entry.
   * @param team The team's settings in the newest accepted revision.
   * @param lease Length of the grant.
   * @return A grant, of zero while a new term waits or nothing is left.
   */
  ShareGrant Request(TimePoint now, const NodeId& entry,
                     const ShareRequest& request, const TeamSettings& team,
                     Revision revision, Duration lease);

  /** @return True if what is leased out is within the team's limits. */
  bool Settled(TimePoint now, const TeamId& team, const TeamSettings& limit);

  /** @return True if what is leased out is within this token limit. */
  bool Settled(TimePoint now, const TeamId& team, int64_t tokens_per_second);

  /** @return Tokens a second leased to all entries. */
  int64_t LeasedTokens(TimePoint now, const TeamId& team);
  /** @return Requests in progress leased to all entries. */
  int64_t LeasedConcurrent(TimePoint now, const TeamId& team);

 private:
  struct Grant {
    TimePoint until_;         ///< End of the lease at the ledger.
    int64_t tokens_ = 0;      ///< Tokens a second.
    int64_t concurrent_ = 0;  ///< Requests in progress.
  };

  struct Holder {
    std::vector<Grant> grants_;      ///< Leases that have not run out.
    int64_t demand_tokens_ = 0;      ///< Last stated demand.
    int64_t demand_concurrent_ = 0;  ///< Last stated demand.
    int64_t in_progress_ = 0;  ///< Requests that may still be in progress.
    int64_t sent_at_ms_ = INT64_MIN;  ///< Of the newest request.
    TimePoint asked_at_;              ///< When the entry last asked.
  };

  using Holders = std::unordered_map<NodeId, Holder>;

  /** What one or all entries may use at the same time. */
  struct Outstanding {
    int64_t tokens_ = 0;      ///< Tokens a second.
    int64_t concurrent_ = 0;  ///< Requests in progress.
  };

  static void NoteDemand(TimePoint now, const ShareRequest& request,
                         Holder& holder);
  static void Divide(const NodeId& entry, const Holders& holders,
                     const TeamSettings& team, ShareGrant& grant);
  static Outstanding HeldBy(const Holder& holder);
  static int64_t Part(int64_t limit, int64_t demand, int64_t all_demand,
                      size_t holders);
  Outstanding Leased(TimePoint now, const TeamId& team);
  void Expire(TimePoint now, Holders& holders);

  TimePoint grants_from_;                      ///< No grants before.
  uint64_t next_lease_ = 1;                    ///< Numbers grants.
  std::unordered_map<TeamId, Holders> teams_;  ///< Leases by team.
};

}  // namespace gv
