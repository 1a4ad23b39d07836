/** @file load_ledger.h Work in progress at each target: what this gateway sent
 * itself, and what the others report. */
#pragma once

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "coordination/gateway/load_sum.h"
#include "coordination/gateway/retry_window.h"
#include "protocol/registry_messages.h"
#include "state/clock_type.h"
#include "state/ids_type.h"

namespace gv {

using WorkId = TypedId<struct WorkTag>;  ///< One request in the ledger.

/** What a target does at a moment, as far as this gateway knows. */
struct TargetLoad {
  int64_t requests_ = 0;   ///< In progress.
  double prefill_ms_ = 0;  ///< Prefill not yet done.
  int64_t tokens_ = 0;     ///< KV memory of the requests in progress.
};

/** Prefill of a request at one target. */
struct PrefillPart {
  TargetId target_;     ///< Owner or helper.
  double ms_ = 0;       ///< Predicted.
  int64_t tokens_ = 0;  ///< Memory that the request holds there.
};

/** A placed request. The first part is the owner's. */
struct PlacedWork {
  std::vector<PrefillPart> parts_;  ///< Never empty.
  bool is_short_ = true;            ///< Counts among the short streams.
  double wait_ms_ = 0;              ///< Predicted time to the first event.
  NodeId granted_by_;               ///< Leader that placed it, or none.
};

/**
 * Adds up work by target. Prefill counts as open until the first event of its
 * request, so that an engine that is slower than predicted shows as busy.
 * Thread safety: owned by one thread.
 */
class LoadLedger {
 public:
  /** Tells which gateway leads. The leader counts what it placed itself, so
   * reports tell such work from what gateways placed without it. */
  void SetLeader(const NodeId& leader);
  /** Counts a request. @pre @p work has a part. */
  WorkId Begin(TimePoint now, const PlacedWork& work);
  /** Counts a long prompt that wants engines, whether it gets them or not.
   * @param prefill_ms On one engine. */
  void NoteLongDemand(TimePoint now, double prefill_ms);
  /** The prefill of a request is done. Unknown ids are ignored. */
  void FirstEvent(WorkId id);
  /** A request ended in any way. Unknown ids are ignored. */
  void End(WorkId id);

  /** Counts prefill as done that is far beyond its prediction: its engine is
   * held up by something else, and would seem busy for ever.
   * @return True if there was such work. */
  bool SettleOverdue(TimePoint now);

  /** @return A request in progress, or nullptr. */
  const PlacedWork* Find(WorkId id) const;

  /** Replaces what another gateway reported. A sum of the leader replaces all
   * reports, and a report the sums of others. */
  void SetRemote(TimePoint now, const NodeId& gateway, const GatewayLoad& load);
  /** Forgets reports that are older than @p age. */
  void ForgetRemote(TimePoint now, Duration age);

  /** @return True if another gateway has reported work lately. */
  bool HasReport(const NodeId& gateway) const {
    return remote_.contains(gateway);
  }
  /** @return How many other gateways have reported work lately. */
  size_t Reporters() const;
  /** Tells this gateway's place among all, for sums, which don't show it. */
  void SetPlace(size_t index, size_t gateways) {
    place_ = index;
    gateways_ = gateways;
  }
  /** @return The load of one target. */
  TargetLoad At(const TargetId& target) const;
  /** @return The part of it that the leader did not place. */
  TargetLoad NotGranted(const TargetId& target) const;
  /** @return What this gateway reports to the others. */
  GatewayLoad Own(TimePoint now);
  /** Leaves out of a report what its receiver, the leader, placed itself. */
  static void DropGranted(GatewayLoad& load);
  /** @return What each other gateway is told: the sum of @p own and of all
   * reports but its own, with rows of targets that @p wanted accepts. */
  template <class Wanted>
  std::vector<std::pair<NodeId, GatewayLoad>> Sums(const GatewayLoad& own,
                                                   Wanted wanted) const {
    LoadSum sum;
    sum.Add(own, 1, wanted);
    for (const auto& [gateway, remote] : remote_) {
      sum.Add(remote.load_, 1, wanted);
    }
    std::vector<std::pair<NodeId, GatewayLoad>> sums;
    for (const auto& [gateway, remote] : remote_) {
      LoadSum others = sum;
      others.Add(remote.load_, -1, wanted);
      sums.emplace_back(gateway, others.Load());
    }
    return sums;
  }
  /** A part of the engines for short prompts, from 0 to 1. */
  struct HomeSpan {
    double begin_ = 0;  ///< Where it begins.
    double end_ = 1;    ///< Where it ends.
  };
  /** @return The part of the engines that gateway @p self uses first; the
   * parts of all gateways lie side by side and follow their streams. */
  HomeSpan HomeOf(const NodeId& self) const;
  /** @return True if @p self is the gateway, out of all, that @p hash picks. */
  bool IsPicked(const NodeId& self, uint64_t hash) const;
  /** @return What the other gateways count for the budget of a service. */
  RepeatCount RemoteRepeats(const std::string& service) const;
  /** @return Streams of short prompts in progress at all gateways. */
  int64_t ShortStreams() const;
  /** @return Prefill that long prompts at all gateways want in a second, in
   * milliseconds. */
  double LongPrefillMs(TimePoint now) const;
  /** @return KV memory of long prompts in progress at all gateways. */
  int64_t LongTokens() const;

 private:
  /** Own work at one target. */
  struct OwnLoad {
    int64_t requests_ = 0;           ///< In progress.
    int64_t tokens_ = 0;             ///< Held.
    double prefill_ms_ = 0;          ///< Open.
    int64_t granted_requests_ = 0;   ///< Of requests_, placed by the leader.
    int64_t granted_tokens_ = 0;     ///< Of tokens_, for those.
    double granted_prefill_ms_ = 0;  ///< Of prefill_ms_, for those.
  };
  /** A request in progress. */
  struct OpenWork {
    PlacedWork work_;   ///< As placed.
    TimePoint settle_;  ///< When its prefill counts as done.
  };
  /** What one other gateway reported. */
  struct Remote {
    TimePoint at_;      ///< When.
    GatewayLoad load_;  ///< As reported.
  };
  /** Prefill that a long prompt wanted. */
  struct Span {
    TimePoint start_;  ///< When.
    double ms_ = 0;    ///< How much.
  };

  double OwnLongPrefillMs(TimePoint now) const;
  bool IsGranted(const PlacedWork& work) const;
  void AddGranted(const PlacedWork& work, int64_t sign);
  void AddRemote(const Remote& remote, int64_t sign);
  bool HasSum() const;

  WorkId last_;                                             ///< For new ids.
  std::unordered_map<WorkId, OpenWork> work_;               ///< In progress.
  std::unordered_map<TargetId, OwnLoad> own_;               ///< By target.
  std::map<NodeId, Remote> remote_;                         ///< By gateway.
  std::unordered_map<TargetId, TargetLoadRow> remote_sum_;  ///< By target.
  NodeId leader_;                                           ///< Now, or none.
  size_t place_ = 0;                ///< Of this gateway among all.
  size_t gateways_ = 1;             ///< All.
  int64_t short_streams_ = 0;       ///< Own.
  int64_t long_tokens_ = 0;         ///< Own.
  std::vector<Span> long_prefill_;  ///< Own, last second.
};

}  // namespace gv
