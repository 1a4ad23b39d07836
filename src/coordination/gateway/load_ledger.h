/** @file load_ledger.h Load of each target: the requests of this gateway and
 * the loads that the other gateways report. */
#pragma once

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "coordination/gateway/load_sum.h"
#include "protocol/registry_messages.h"
#include "state/clock_type.h"
#include "state/ids_type.h"

namespace gv {

using PlacedRequestId =
    TypedId<struct PlacedRequestTag>;  ///< A request in the ledger.

/** Load of one target, as far as this gateway knows. */
struct TargetLoad {
  int64_t requests_ = 0;   ///< Requests in progress.
  double prefill_ms_ = 0;  ///< Predicted prefill that is not yet done.
  int64_t tokens_ = 0;     ///< KV memory of the requests in progress.
};

/** The part of a request's prefill that one engine does. */
struct PrefillPart {
  TargetId target_;        ///< The engine: the prompt's owner or a helper.
  double prefill_ms_ = 0;  ///< Predicted prefill.
  int64_t tokens_ = 0;     ///< KV memory that the request holds there.
};

/** A placed request. */
struct PlacedRequest {
  std::vector<PrefillPart> parts_;  ///< Never empty; the owner's part is first.
  bool is_short_ = true;  ///< Counted in the streams of short prompts.
  double wait_ms_ = 0;    ///< Predicted time to the first event.
  NodeId placed_by_;      ///< Leader that placed it, or none if none did.
};

/**
 * Adds up the load of each target. The prefill of a request counts as not done
 * until the request's first event, so that an engine that is slower than
 * predicted shows as busy. Thread safety: owned by one thread.
 */
class LoadLedger {
 public:
  /** Sets the leading gateway. The leader knows the load of the requests that
   * it placed itself without reports, so reports list this load separately. */
  void SetLeader(const NodeId& leader);
  /** Adds a request. @pre @p request has at least one part. */
  PlacedRequestId Begin(TimePoint now, const PlacedRequest& request);
  /** Adds the prefill of a long prompt to the demand, whether the prompt is
   * placed or not.
   * @param prefill_ms Predicted prefill on a single engine. */
  void AddLongDemand(TimePoint now, double prefill_ms);
  /** Counts the prefill of a request as done. Ignores unknown ids. */
  void OnFirstEvent(PlacedRequestId id);
  /** Removes a request that ended in any way. Ignores unknown ids. */
  void End(PlacedRequestId id);

  /**
   * Counts the prefill of requests as done whose first event is overdue: more
   * than twice the prediction and 200 ms late. Such an engine is delayed by
   * something else, and would otherwise count as busy without end.
   * @return True if there was such a request.
   */
  bool ExpireOverduePrefill(TimePoint now);

  /** @return A request in progress, or nullptr. */
  const PlacedRequest* Find(PlacedRequestId id) const;

  /** Replaces the report of another gateway. A sum sent by the leader replaces
   * all reports, and a report of a single gateway replaces a sum. A sum sent by
   * another gateway than the leader is ignored. */
  void SetReport(TimePoint now, const NodeId& gateway, const GatewayLoad& load);
  /** Removes reports that are older than @p age. */
  void RemoveOldReports(TimePoint now, Duration age);

  /** @return True if the ledger holds a report of this gateway. */
  bool HasReport(const NodeId& gateway) const {
    return reports_.contains(gateway);
  }
  /** @return Number of other gateways whose reports the ledger holds, singly or
   * in a sum. */
  size_t ReporterCount() const;
  /** Sets the position of this gateway in the order of all gateways, which is
   * needed while the ledger holds a sum: a sum does not list its gateways.
   * @param index Less than @p gateways. @param gateways At least 1. */
  void SetGatewayIndex(size_t index, size_t gateways) {
    gateway_index_ = index;
    gateway_count_ = gateways;
  }
  /** @return The load of one target. */
  TargetLoad At(const TargetId& target) const;
  /** @return The load of one target without the requests that the leader
   * placed. */
  TargetLoad LoadNotPlacedByLeader(const TargetId& target) const;
  /** @return The report of this gateway to the others. */
  GatewayLoad OwnReport(TimePoint now);
  /** Removes the rows of a report to the leader that hold nothing but requests
   * that the leader placed. */
  static void RemoveRowsPlacedByLeader(GatewayLoad& load);
  /**
   * @param own The report of this gateway.
   * @param counts_target Returns true for the targets whose rows are included.
   * @return For each other gateway, the sum of all reports but its own.
   */
  template <class TargetFilter>
  std::vector<std::pair<NodeId, GatewayLoad>> SumsForOthers(
      const GatewayLoad& own, TargetFilter counts_target) const {
    LoadSum sum;
    sum.Add(own, 1, counts_target);
    for (const auto& [gateway, report] : reports_) {
      sum.Add(report.load_, 1, counts_target);
    }
    std::vector<std::pair<NodeId, GatewayLoad>> sums;
    for (const auto& [gateway, report] : reports_) {
      LoadSum others = sum;
      others.Add(report.load_, -1, counts_target);
      sums.emplace_back(gateway, others.Load());
    }
    return sums;
  }
  /** A range of the engines for short prompts, as fractions from 0 to 1. */
  struct EngineRange {
    double begin_ = 0;  ///< Start of the range.
    double end_ = 1;    ///< End of the range.
  };
  /** @return The engines that gateway @p self prefers for short prompts. The
   * ranges of all gateways are adjacent. Their lengths are proportional to the
   * gateways' streams of short prompts, or equal while the ledger holds a sum.
   */
  EngineRange PreferredRange(const NodeId& self) const;
  /** @return True if @p hash selects @p self among all gateways. */
  bool IsChosenByHash(const NodeId& self, uint64_t hash) const;
  /** @return Streams of short prompts in progress at all gateways. */
  int64_t ShortStreams() const;
  /** @return Prefill that long prompts at all gateways demand, in milliseconds
   * of one engine for each second. */
  double LongPrefillMsPerSecond(TimePoint now) const;
  /** @return KV memory of long prompts in progress at all gateways. */
  int64_t LongTokens() const;

 private:
  /** Load of one target by requests of this gateway. The granted_ fields are
   * the share of the requests that the leader placed. */
  struct OwnLoad {
    int64_t requests_ = 0;           ///< Requests in progress.
    int64_t tokens_ = 0;             ///< KV memory that they hold.
    double prefill_ms_ = 0;          ///< Predicted prefill not yet done.
    int64_t granted_requests_ = 0;   ///< Share of requests_.
    int64_t granted_tokens_ = 0;     ///< Share of tokens_.
    double granted_prefill_ms_ = 0;  ///< Share of prefill_ms_.
  };
  /** A request in progress. */
  struct OpenRequest {
    PlacedRequest request_;  ///< As placed, without prefill that is done.
    TimePoint overdue_at_;   ///< When its prefill counts as done in any case.
  };
  /** The last report of another gateway. */
  struct GatewayReport {
    TimePoint received_;  ///< Time of receipt.
    GatewayLoad load_;    ///< The report.
  };
  /** Prefill demanded by one long prompt. */
  struct LongDemand {
    TimePoint arrived_;      ///< Arrival of the prompt.
    double prefill_ms_ = 0;  ///< Predicted prefill on a single engine.
  };

  double OwnLongPrefillMsPerSecond(TimePoint now) const;
  /** @return True if the gateway that leads now placed the request. */
  bool IsPlacedByLeader(const PlacedRequest& request) const;
  /** Adds a request to the granted_ fields, or subtracts it, if the leader
   * placed it. @param sign 1 to add, -1 to subtract. */
  void AddToGranted(const PlacedRequest& request, int64_t sign);
  /** Adds a report to report_sums_, or subtracts it. @param sign As above. */
  void AddReport(const GatewayReport& report, int64_t sign);
  /** @return True if reports_ holds a sum of the leader. */
  bool HasSum() const;

  PlacedRequestId last_id_;  ///< Id of the newest request.
  /** Requests of this gateway that are in progress. */
  std::unordered_map<PlacedRequestId, OpenRequest> open_requests_;
  /** Load of each target by the requests of this gateway. */
  std::unordered_map<TargetId, OwnLoad> own_loads_;
  /** Reports by sender: one of each gateway, or a single sum. */
  std::map<NodeId, GatewayReport> reports_;
  /** SumsForOthers of the rows of reports_, by target. */
  std::unordered_map<TargetId, TargetLoadRow> report_sums_;
  NodeId leader_;              ///< The leading gateway, or none.
  size_t gateway_index_ = 0;   ///< Position in the order of all gateways.
  size_t gateway_count_ = 1;   ///< Number of gateways, this one included.
  int64_t short_streams_ = 0;  ///< This gateway's streams of short prompts.
  int64_t long_tokens_ = 0;    ///< KV memory of this gateway's long prompts.
  /** Prefill demand of this gateway's long prompts in the last 2 s. */
  std::vector<LongDemand> long_demands_;
};

}  // namespace gv
