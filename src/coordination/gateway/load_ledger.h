/** @file load_ledger.h Work in progress at each target: what this gateway sent
 * itself, and what the others report. */
#pragma once

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

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
};

/**
 * Adds up work by target. Prefill counts as open until the first event of its
 * request, so that an engine that is slower than predicted shows as busy.
 * Thread safety: owned by one thread.
 */
class LoadLedger {
 public:
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
   * held up by something else, and would seem busy for ever. */
  void SettleOverdue(TimePoint now);

  /** Replaces what another gateway reported. */
  void SetRemote(TimePoint now, const NodeId& gateway, const GatewayLoad& load);
  /** Forgets reports that are older than @p age. */
  void ForgetRemote(TimePoint now, Duration age);

  /** @return The load of one target. */
  TargetLoad At(const TargetId& target) const;
  /** @return What this gateway reports to the others. */
  GatewayLoad Own(TimePoint now);
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
    int64_t requests_ = 0;   ///< In progress.
    int64_t tokens_ = 0;     ///< Held.
    double prefill_ms_ = 0;  ///< Open.
  };
  /** A request in progress. */
  struct OpenWork {
    PlacedWork work_;   ///< As placed.
    TimePoint settle_;  ///< When its prefill counts as done.
  };
  /** What one other gateway reported. */
  struct Remote {
    TimePoint at_;                                      ///< When.
    std::unordered_map<TargetId, TargetLoadRow> rows_;  ///< By target.
    int64_t short_streams_ = 0;                         ///< In progress there.
    int64_t long_prefill_ms_ = 0;                       ///< In the last second.
    int64_t long_tokens_ = 0;                           ///< In progress there.
  };
  /** Prefill that a long prompt wanted. */
  struct Span {
    TimePoint start_;  ///< When.
    double ms_ = 0;    ///< How much.
  };

  double OwnLongPrefillMs(TimePoint now) const;

  WorkId last_;                                ///< For new ids.
  std::unordered_map<WorkId, OpenWork> work_;  ///< In progress.
  std::unordered_map<TargetId, OwnLoad> own_;  ///< By target.
  std::map<NodeId, Remote> remote_;            ///< By gateway.
  int64_t short_streams_ = 0;                  ///< Own.
  int64_t long_tokens_ = 0;                    ///< Own.
  std::vector<Span> long_prefill_;             ///< Own, last second.
};

}  // namespace gv
