/** @file placement.h Chooses the target of a request, and the helpers that
 * prefill parts of a long prompt. */
#pragma once

#include <algorithm>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "coordination/gateway/load_ledger.h"
#include "coordination/gateway/target_directory.h"
#include "coordination/gateway/target_health.h"
#include "coordination/gateway/target_limits.h"
#include "state/routing_type.h"

namespace gv {

/** Most helpers that engines accept for one prompt. */
inline constexpr int64_t kMaxHelpers = 16;

/** Prefill of long prompts that was placed on an engine. */
struct PendingPrefill {
  TimePoint until_;               ///< Predicted end of all prefill.
  int64_t unfinished_parts_ = 0;  ///< Parts of prompts without a first event.
  /** @return Predicted milliseconds of prefill that remain. */
  double LeftMs(TimePoint now) const {
    return static_cast<double>(std::max<int64_t>(0, (until_ - now).Ms()));
  }
};
using PendingPrefillByEngine = std::unordered_map<TargetId, PendingPrefill>;

/** Most entries of LeaderWork::changed_engines_; beyond it all engines are
 * marked. */
inline constexpr size_t kMaxChangedEngines = 4096;

/** Work that the leader placed itself and so knows without report delay. */
struct LeaderWork {
  LoadLedger long_prompts_;                   ///< Long prompts in progress.
  LoadLedger short_prompts_;                  ///< Short prompts in progress.
  PendingPrefillByEngine prefill_by_engine_;  ///< Of long prompts.
  double short_prompts_per_s_ = 0;  ///< Arrivals of short prompts per second.
  std::vector<TargetId> changed_engines_;  ///< Engines changed in this epoch.
  uint64_t epoch_ = 0;                     ///< Incremented by MarkAllChanged().

  /** Marks the engines of @p work as changed. */
  void MarkChanged(const PlacedRequest& work);
  /** Marks all engines as changed and begins a new epoch. */
  void MarkAllChanged();
};

/** A request to be placed. */
struct PlacementRequest {
  const Service* service_ = nullptr;  ///< Service that it calls; never null.
  int64_t prompt_tokens_ = 0;         ///< Zero for plain services.
  int64_t answer_tokens_ = 0;         ///< Limit of the answer's length.
  int64_t route_rank_ = 0;  ///< Priority of its route; zero is served first.
  std::vector<TargetId> tried_;  ///< Targets that failed this request.
  uint64_t hash_ = 0;            ///< Varies the choice between requests.
  std::vector<TargetId> kept_;   ///< Engines with an idle connection.
  /** The only target to use: one with a limit, for which there is a permit. */
  std::optional<TargetId> permitted_;
};

/** @return Longest prefill in milliseconds that @p request may add to a pass
 * of an engine: @p intervals, or less beside answers of more urgent ranks.
 * Thread safety: pure. @pre The service has an engine. */
double BoundedPrefillMs(const PlacementRequest& request, double intervals);

/** @return Longest part of a long prompt in milliseconds, unless it has all
 * the helpers that it may. Thread safety: pure. */
double MaxLongPartMs(const PlacementRequest& request);

/** Predicts how long queued short prompts wait for a slot. */
struct SlotTurnover {
  double slots_freed_per_ms_ = 0;  ///< Slots that all engines free.
  double first_event_ms_ = 0;      ///< From a free slot to the first event.
  /** @return Predicted milliseconds to the first event behind @p ahead others.
   */
  double WaitMs(size_t ahead) const;
};

/** The targets chosen for a request. */
struct Placement {
  TargetId target_;                            ///< Receives the request.
  std::vector<TargetId> helpers_;              ///< Prefill parts of the prompt.
  std::vector<ReservationPlan> reservations_;  ///< KV memory at helpers.
  PlacedRequest work_;                         ///< Entry for the load ledger.
  double wait_ms_ = 0;          ///< Predicted time to the first event.
  double answer_ms_ = 0;        ///< Predicted time from there to the end.
  size_t candidate_count_ = 0;  ///< Targets that could be chosen.
  /** Targets with a limit for which there is a permit. */
  std::vector<TargetId> permitted_;
  TimePoint permitted_until_;  ///< End of these permits.
  /** @return True if there is a permit for @p target. */
  bool IsPermitted(const TargetId& target) const {
    return std::find(permitted_.begin(), permitted_.end(), target) !=
           permitted_.end();
  }
};

/**
 * Places requests on targets. The engines of a service are split in three parts
 * that follow the load: some take short prompts (the short zone), some own long
 * prompts and decode their answers, and the rest only prefill parts of long
 * prompts. Each gateway prefers different engines for short prompts, so that
 * delayed reports do not make all of them choose the same one. A short prompt
 * that these could not start in time may go to any engine with a free slot.
 * Keeps nothing but caches of its references. Thread safety: owned by one
 * thread.
 */
class Placer {
 public:
  /** @param own Data centre of this gateway. All references must outlive it. */
  Placer(NodeId self, DataCentreId own, const TargetDirectory& directory,
         const LoadLedger& ledger, const TargetHealth& health,
         TargetLimits& limits)
      : self_(std::move(self)),
        own_data_centre_(std::move(own)),
        directory_(directory),
        ledger_(ledger),
        health_(health),
        limits_(limits) {}

  /** @return True if helpers may prefill parts of this prompt. */
  bool IsLong(const PlacementRequest& request) const;

  /**
   * Places a long prompt at the leader if enough engines are free according to
   * @p leader_work. An engine prefills the newest part first, so parts that
   * accumulate at it would never finish. Engines that decode answers take parts
   * too, as long as the pause stays within the objectives of these answers: in
   * a burst of long prompts most engines decode something, and the few that do
   * not would leave three quarters of the prefill capacity unused.
   * @return The placement, or nothing if it has to wait.
   */
  std::optional<Placement> PlaceLongNow(TimePoint now,
                                        const PlacementRequest& request,
                                        const LeaderWork& leader_work) const;

  /**
   * Places a short prompt at the leader, at an engine with a free slot.
   * @return The placement, or nothing if no engine has one now.
   */
  std::optional<Placement> PlaceShortNow(TimePoint now,
                                         const PlacementRequest& request,
                                         const LeaderWork& leader_work) const;

  /** @return Rate at which slots become free for prompts like @p request. */
  SlotTurnover SlotTurnoverFor(TimePoint now, const PlacementRequest& request,
                               const LeaderWork& leader_work) const;

  /** @return Number of engines that prefill long prompts, at least 1. */
  size_t ReaderCount(TimePoint now, const PlacementRequest& request,
                     const LeaderWork& leader_work) const;

  /** @return The placement, or nothing if no target may take the request. */
  std::optional<Placement> Place(TimePoint now,
                                 const PlacementRequest& request) const;

  /** @return Least time that a prompt takes on idle engines; zero for a request
   * of a plain service. */
  static Duration ShortestWork(const PlacementRequest& request);

  /** @return True if the service has ready targets and all of them are in
   * evacuated data centres. */
  bool IsEvacuated(const std::string& service) const;

  /** @return Time until one of the targets that are suspected or paused now may
   * be used again; nothing if there is none. */
  std::optional<Duration> UntilUsable(TimePoint now,
                                      const PlacementRequest& request) const;

  /** @return Ready targets with a limit that @p request has not tried. They get
   * requests with a permit only, and Place() leaves them out. */
  std::vector<TargetId> LimitedTargets(TimePoint now,
                                       const PlacementRequest& request) const;

  /** Takes a permit for each engine of @p placement that names a limit.
   * @return These engines. */
  std::vector<TargetId> TakePermits(TimePoint now,
                                    const Placement& placement) const;

  /** @return Predicted milliseconds until an engine may get a prompt behind @p
   * ahead others; above zero only if all engines name limits. */
  double PermitWaitMs(TimePoint now, const PlacementRequest& request,
                      const LeaderWork& leader_work, size_t ahead) const;

  /** @return How many of @p engines form the short zone.
   * @param short_prompts_per_s Short prompts in a second, or 0 to use only the
   * streams in progress, which follow a burst two seconds late. */
  size_t ShortZoneSize(TimePoint now, const EngineProfile& engine,
                       size_t engines, double short_prompts_per_s = 0) const;

 private:
  /** A target that may take work. */
  struct Candidate {
    const DirectoryEntry* entry_ = nullptr;  ///< Registration of the target.
    TargetLoad load_;                        ///< Work in progress there.

    uint64_t order_ = 0;         ///< Sort key, equal at all gateways.
    double penalty_ms_ = 0;      ///< For distance, warm-up and failures.
    int64_t short_streams_ = 0;  ///< Delayed by long prefills.
    bool on_trial_ = false;      ///< One request at a time, after failures.
    int64_t open_parts_ = 0;     ///< Of prompts before their first event.
    bool is_limited_ = false;    ///< It names a limit of requests.
  };
  /** An engine with all its work known to the leader. */
  struct EngineRow {
    Candidate candidate_;             ///< Without its load.
    TargetLoad not_by_leader_;        ///< Work that the leader did not place.
    TargetLoad long_prompts_;         ///< Long prompts that it placed.
    TargetLoad short_prompts_;        ///< Short prompts that it placed.
    PendingPrefill pending_prefill_;  ///< Prefill of long prompts.

    /** @return The sum of all work at @p now. */
    TargetLoad AllLoad(TimePoint now) const {
      return TargetLoad{not_by_leader_.requests_ + long_prompts_.requests_ +
                            short_prompts_.requests_,
                        not_by_leader_.prefill_ms_ +
                            short_prompts_.prefill_ms_ +
                            pending_prefill_.LeftMs(now),
                        not_by_leader_.tokens_ + long_prompts_.tokens_ +
                            short_prompts_.tokens_};
    }
  };
  /** Engines of one service, updated in place between placements. */
  struct EngineTable {
    /** Versions of the inputs that the rows were computed from. */
    struct Version {
      uint64_t directory_ = 0;  ///< Its change count.
      uint64_t health_ = 0;     ///< Its change count.
      uint64_t epoch_ = 0;      ///< LeaderWork::epoch_.
      friend bool operator==(const Version&, const Version&) = default;
    };
    std::vector<EngineRow> rows_;                         ///< Sorted by order_.
    std::unordered_map<TargetId, size_t> row_by_engine_;  ///< Index in rows_.
    Version version_;                  ///< Inputs of the last rebuild.
    size_t applied_changes_ = 0;       ///< Entries of changed_engines_ applied.
    TimePoint computed_at_{-1000000};  ///< Time of the last rebuild.
  };
  /** Cached ready targets of one service. */
  struct ReadyTargets {
    uint64_t changes_ = UINT64_MAX;  ///< Directory version of the cache.
    std::vector<const DirectoryEntry*> entries_;  ///< Sorted by id.
    bool is_evacuated_ = false;                   ///< As IsEvacuated().
  };

  static void SortByOrder(std::vector<Candidate>& candidates);
  std::vector<Candidate> Candidates(TimePoint now,
                                    const PlacementRequest& request) const;
  const ReadyTargets& ReadyTargetsOf(const std::string& service) const;
  const std::vector<const DirectoryEntry*>& ReadyEntries(
      const std::string& service) const;
  bool InitCandidate(TimePoint now, const DirectoryEntry& entry,
                     Candidate& candidate) const;
  static bool IsTried(const PlacementRequest& request, const TargetId& id);
  void UpdateRowLoad(const LeaderWork& leader_work, EngineRow& row) const;
  const EngineTable& UpdatedTable(TimePoint now, const Service& service,
                                  const LeaderWork& leader_work) const;
  /** Best engine found so far for a short prompt. */
  struct ShortChoice {
    std::optional<Candidate> best_;  ///< With its load.
    double score_ = 0;               ///< Lower is better.
  };
  static void ConsiderForShort(TimePoint now, const PlacementRequest& request,
                               const EngineRow& row, double bias_ms,
                               ShortChoice& choice);
  static std::vector<const EngineRow*> Untried(
      const std::vector<EngineRow>& rows, const PlacementRequest& request);
  /** @return Untried rows whose engines may get a request now. */
  std::vector<const EngineRow*> Usable(TimePoint now,
                                       const std::vector<EngineRow>& rows,
                                       const PlacementRequest& request) const;
  /** @return Penalty of an engine for long prompts, for a short prompt. */
  double LongZonePenaltyMs(const EngineProfile& engine,
                           const EngineRow& row) const;
  Placement PlacePlainRequest(std::vector<Candidate>& candidates) const;
  Placement PlacePrompt(TimePoint now, const PlacementRequest& request,
                        std::vector<Candidate>& candidates) const;
  Placement PlaceShort(const PlacementRequest& request,
                       std::vector<Candidate> zone) const;
  Placement PlaceShortAnywhere(const PlacementRequest& request,
                               std::vector<Candidate> engines,
                               size_t border) const;
  Placement PlaceLong(const PlacementRequest& request,
                      std::vector<Candidate> zone) const;
  std::vector<const EngineRow*> LongZone(TimePoint now,
                                         const PlacementRequest& request,
                                         const LeaderWork& leader_work) const;
  /** What an engine decodes, from the least to the most sensitive to pauses. */
  enum class DecodeKind : uint8_t {
    kNothing,       ///< A part may take as long as it needs.
    kLongAnswers,   ///< Answers of long prompts.
    kShortAnswers,  ///< Answers of short prompts.
  };
  static DecodeKind DecodesAt(const Candidate& candidate);
  Candidate LongCandidate(TimePoint now, const EngineRow& row) const;
  /** @return A placement on engines of @p free that decode nothing more
   * sensitive than @p decoding, or nothing if its parts would be too long.
   * @param idle Engines that own no long prompt; the prompt waits until one in
   * kFreeReaderDivisor of them is free. */
  static std::optional<Placement> PlaceLongOn(const PlacementRequest& request,
                                              std::vector<Candidate> free,
                                              DecodeKind decoding, size_t idle);
  static Placement BuildLongPlacement(const PlacementRequest& request,
                                      const Candidate& owner,
                                      const std::vector<Candidate>& helpers);
  static std::optional<size_t> ChooseOwner(const PlacementRequest& request,
                                           const std::vector<Candidate>& free);
  size_t OwnerCount(const EngineProfile& engine, size_t engines) const;
  static bool HasRoom(const EngineProfile& engine, const Candidate& candidate,
                      int64_t tokens);
  static double WaitMs(const EngineProfile& engine, const Candidate& candidate,
                       int64_t tokens);
  /** @return Predicted time from the first event to the end of the answer. */
  static double AnswerMsAt(const PlacementRequest& request,
                           const Candidate& candidate);
  static void AddHelpers(const std::vector<Candidate>& helpers, size_t count,
                         double part_ms, Placement& placement);
  static void AddReservations(const EngineProfile& engine,
                              const PlacementRequest& request,
                              const std::vector<Candidate>& helpers,
                              Placement& placement);

  NodeId self_;                       ///< This gateway.
  DataCentreId own_data_centre_;      ///< Of this gateway.
  const TargetDirectory& directory_;  ///< Known targets.
  const LoadLedger& ledger_;          ///< Work in progress.
  const TargetHealth& health_;        ///< Failures of targets.
  TargetLimits& limits_;              ///< Limits that targets named.

  mutable std::map<std::string, ReadyTargets> ready_targets_;  ///< By service.
  mutable std::map<std::string, EngineTable> engine_tables_;   ///< By service.
};

}  // namespace gv
