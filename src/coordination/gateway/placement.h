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

/** Work that the leader placed itself, and therefore knows without delay. */
struct GrantedWork {
  LoadLedger long_;          ///< Long prompts.
  LoadLedger short_;         ///< Short prompts.
  EngineReadings readings_;  ///< Parts of long prompts, by engine.
  double short_rate_ = 0;    ///< Short prompts that come in a second.
};

/** What is to be placed. */
struct PlacementRequest {
  const Service* service_ = nullptr;  ///< Where to.
  int64_t prompt_tokens_ = 0;         ///< Zero for plain services.
  int64_t answer_tokens_ = 0;         ///< Most that may be written.
  std::vector<TargetId> tried_;       ///< Targets that failed this request.
  uint64_t hash_ = 0;                 ///< Spreads requests that look alike.
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
  SlotFlow FlowOf(TimePoint now, const PlacementRequest& request) const;

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
  };

  static void SortByOrder(std::vector<Candidate>& candidates);
  std::vector<Candidate> Candidates(TimePoint now,
                                    const PlacementRequest& request) const;
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
  void AddGranted(TimePoint now, const GrantedWork& granted,
                  Candidate& candidate) const;
  std::vector<Candidate> LongZone(TimePoint now,
                                  const PlacementRequest& request,
                                  double short_rate) const;
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

  NodeId self_;                       ///< This gateway.
  DataCentreId own_;                  ///< Of this gateway.
  const TargetDirectory& directory_;  ///< Targets.
  const LoadLedger& ledger_;          ///< Their work.
  const TargetHealth& health_;        ///< Their failures.
};

}  // namespace gv
