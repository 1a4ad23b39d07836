/** @file placement.h Chooses the target of a request, and the engines that read
 * a long prompt together. */
#pragma once

#include <algorithm>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "coordination/gateway/load_ledger.h"
#include "coordination/gateway/target_directory.h"
#include "coordination/gateway/target_health.h"
#include "state/routing_type.h"

namespace gv {

/** The engines' own bound on the helpers of one prompt. */
inline constexpr int64_t kMostHelpers = 16;

/** What an engine was given to read. */
struct EngineReading {
  TimePoint until_;   ///< When it should have read everything.
  int64_t open_ = 0;  ///< Parts of prompts without a first event.
  /** @return Milliseconds of prefill that are left. */
  double LeftMs(TimePoint now) const {
    return static_cast<double>(std::max<int64_t>(0, (until_ - now).Ms()));
  }
};
using EngineReadings = std::unordered_map<TargetId, EngineReading>;

/** Changed engines that are noted one by one; beyond that all are counted. */
inline constexpr size_t kMostTouched = 4096;

/** Work that the leader placed itself, and therefore knows without delay. */
struct GrantedWork {
  LoadLedger long_;                ///< Long prompts.
  LoadLedger short_;               ///< Short prompts.
  EngineReadings readings_;        ///< Parts of long prompts, by engine.
  double short_rate_ = 0;          ///< Short prompts that come in a second.
  std::vector<TargetId> touched_;  ///< Whose work has changed in this epoch.
  uint64_t epoch_ = 0;             ///< Grows when all work may have changed.

  /** Says that the work of these engines has changed. */
  void Touch(const PlacedWork& work);
  /** Says that the work of any engine may have changed. */
  void TouchAll();
};

/** What is to be placed. */
struct PlacementRequest {
  const Service* service_ = nullptr;  ///< Where to.
  int64_t prompt_tokens_ = 0;         ///< Zero for plain services.
  int64_t answer_tokens_ = 0;         ///< Most that may be written.
  std::vector<TargetId> tried_;       ///< Targets that failed this request.
  uint64_t hash_ = 0;                 ///< Spreads requests that look alike.
  std::vector<TargetId> kept_;        ///< Engines with an idle connection.
};

/** Short prompts that wait for a slot. */
struct SlotFlow {
  double freed_per_ms_ = 0;  ///< Slots of all engines that become free.
  double start_ms_ = 0;      ///< From a free slot to the first event.
  /** @return Predicted time to the first event after @p ahead others, while
   * @p passing_rate prompts a second come later and go first. */
  double WaitMs(size_t ahead, double passing_rate) const;
};

/** Where a request goes. */
struct Placement {
  TargetId target_;                            ///< Gets the request.
  std::vector<TargetId> helpers_;              ///< Read parts of the prompt.
  std::vector<ReservationPlan> reservations_;  ///< For prompts that don't fit.
  PlacedWork work_;                            ///< For the ledger.
  double wait_ms_ = 0;     ///< Predicted time to the first event.
  size_t candidates_ = 0;  ///< Targets that could be chosen.
};

/**
 * Engines are split in three parts that follow the load: some take short
 * prompts, some own long prompts and write their answers, and the rest only
 * read parts of long prompts. Each gateway prefers other engines for short
 * prompts, so that reports that are a little old do not make all of them choose
 * the same one. Only what these could not start in time goes to any engine with
 * a free slot. Pure but for its references. Thread safety: owned by one thread.
 */
class Placer {
 public:
  /** @param own Data centre of this gateway. All references must outlive it. */
  Placer(NodeId self, DataCentreId own, const TargetDirectory& directory,
         const LoadLedger& ledger, const TargetHealth& health)
      : self_(std::move(self)),
        own_(std::move(own)),
        directory_(directory),
        ledger_(ledger),
        health_(health) {}

  /** @return True if the engines read this prompt together. */
  bool IsLong(const PlacementRequest& request) const;

  /**
   * Places a long prompt by work that @p granted knows, if enough readers are
   * free by @p granted; an engine reads the newest part first, so that parts
   * which pile up at it would wait for ever.
   * @return Where to send it, or nothing for now.
   */
  std::optional<Placement> PlaceLongNow(TimePoint now,
                                        const PlacementRequest& request,
                                        const GrantedWork& granted) const;

  /**
   * Places a short prompt at the leader, at an engine with a free slot.
   * @return Where to send it, or nothing if no engine has one now.
   */
  std::optional<Placement> PlaceShortNow(TimePoint now,
                                         const PlacementRequest& request,
                                         const GrantedWork& granted) const;

  /** @return How fast slots become free for prompts like @p request. */
  SlotFlow FlowOf(TimePoint now, const PlacementRequest& request,
                  const GrantedWork& granted) const;

  /** @return Engines that read long prompts, at least 1. */
  size_t ReaderCount(TimePoint now, const PlacementRequest& request,
                     const GrantedWork& granted) const;

  /** @return Where to send a request, or nothing if no target may take it. */
  std::optional<Placement> Place(TimePoint now,
                                 const PlacementRequest& request) const;

  /** @return How many of @p engines are left to short prompts.
   * @param short_rate Short prompts in a second, or 0 to go by the streams in
   * progress alone, which follow a burst two seconds late. */
  size_t ShortShare(TimePoint now, const EngineProfile& engine, size_t engines,
                    double short_rate = 0) const;

 private:
  /** A target that may take work. */
  struct Candidate {
    const DirectoryEntry* entry_ = nullptr;  ///< The target.
    TargetLoad load_;                        ///< Its work.
    uint64_t order_ = 0;         ///< Place in an order that all gateways share.
    double penalty_ms_ = 0;      ///< For distance, warm-up and failures.
    int64_t short_streams_ = 0;  ///< That reading of long prompts disturbs.
    bool on_trial_ = false;      ///< Failed lately; gets one request at a time.
    double reading_ms_ = 0;      ///< Parts of long prompts not yet read.
    int64_t open_parts_ = 0;     ///< Of prompts without a first event.
  };
  /** An engine and all work that the leader knows of there. */
  struct EngineRow {
    Candidate candidate_;    ///< Without its load.
    TargetLoad others_;      ///< Work that the leader did not place.
    TargetLoad long_;        ///< Long prompts that it placed.
    TargetLoad short_;       ///< Short prompts that it placed.
    EngineReading reading_;  ///< Parts of long prompts.
    /** @return The sum of all. */
    TargetLoad AllLoad(TimePoint now) const {
      return TargetLoad{
          others_.requests_ + long_.requests_ + short_.requests_,
          others_.prefill_ms_ + short_.prefill_ms_ + reading_.LeftMs(now),
          others_.tokens_ + long_.tokens_ + short_.tokens_};
    }
  };
  /** Rows of the engines of one service, kept from one placement to the next.
   */
  struct EngineTable {
    /** What the rows were made from. */
    struct Stamp {
      uint64_t directory_ = 0;  ///< Changes of the directory.
      uint64_t health_ = 0;     ///< Changes of the health.
      uint64_t epoch_ = 0;      ///< Of the granted work.
      friend bool operator==(const Stamp&, const Stamp&) = default;
    };
    std::vector<EngineRow> rows_;                  ///< In the shared order.
    std::unordered_map<TargetId, size_t> places_;  ///< Of rows_.
    Stamp stamp_;                  ///< When all rows were counted.
    size_t applied_ = 0;           ///< Of the touched engines.
    TimePoint counted_{-1000000};  ///< When all rows were counted.
  };
  /** Ready targets of one service. */
  struct ReadyTargets {
    uint64_t changes_ = UINT64_MAX;               ///< Of the directory.
    std::vector<const DirectoryEntry*> entries_;  ///< In the order of ids.
  };

  static void SortByOrder(std::vector<Candidate>& candidates);
  std::vector<Candidate> Candidates(TimePoint now,
                                    const PlacementRequest& request) const;
  const std::vector<const DirectoryEntry*>& ReadyOf(
      const std::string& service) const;
  bool Judge(TimePoint now, const DirectoryEntry& entry,
             Candidate& candidate) const;
  static bool IsTried(const PlacementRequest& request, const TargetId& id);
  void Count(const GrantedWork& granted, EngineRow& row) const;
  const EngineTable& Rows(TimePoint now, const Service& service,
                          const GrantedWork& granted) const;
  /** The best engine for a short prompt so far. */
  struct ShortChoice {
    std::optional<Candidate> best_;  ///< With its load.
    double score_ = 0;               ///< Lower is better.
  };
  static void Consider(TimePoint now, const PlacementRequest& request,
                       const EngineRow& row, double bias_ms,
                       ShortChoice& choice);
  static std::vector<const EngineRow*> Untried(
      const std::vector<EngineRow>& rows, const PlacementRequest& request);
  Placement PlaceCall(std::vector<Candidate>& candidates) const;
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
                                         const GrantedWork& granted) const;
  static void LeaveShortStreams(std::vector<Candidate>& zone);
  static Placement JoinReaders(const PlacementRequest& request,
                               const Candidate& owner,
                               const std::vector<Candidate>& helpers);
  static std::optional<size_t> TakeOwner(const PlacementRequest& request,
                                         const std::vector<Candidate>& free);
  size_t OwnerShare(const EngineProfile& engine, size_t engines) const;
  static bool HasRoom(const EngineProfile& engine, const Candidate& candidate,
                      int64_t tokens);
  static double WaitMs(const EngineProfile& engine, const Candidate& candidate,
                       int64_t tokens);
  static void AddHelpers(const std::vector<Candidate>& helpers, size_t count,
                         double part_ms, Placement& placement);
  static void Reserve(const EngineProfile& engine,
                      const PlacementRequest& request,
                      const std::vector<Candidate>& helpers,
                      Placement& placement);

  NodeId self_;                                        ///< This gateway.
  DataCentreId own_;                                   ///< Of this gateway.
  const TargetDirectory& directory_;                   ///< Targets.
  const LoadLedger& ledger_;                           ///< Their work.
  const TargetHealth& health_;                         ///< Their failures.
  mutable std::map<std::string, ReadyTargets> ready_;  ///< By service.
  mutable std::map<std::string, EngineTable> tables_;  ///< By service.
};

}  // namespace gv
