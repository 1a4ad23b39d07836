/** @file target_limits.h Limits of requests that targets name for all gateways
 * together. */
#pragma once

#include <optional>
#include <unordered_map>
#include <vector>

#include "protocol/registry_messages.h"
#include "state/clock_type.h"
#include "state/ids_type.h"

namespace gv {

/** Time for which a permit is valid, from the sending of the request for it or
 * from the receipt of the leader's placement. */
inline constexpr Duration kLimitPermitLifetime = 300_ms;
/** Time after which a request for a permit without a reply counts as refused.
 */
inline constexpr Duration kLimitReplyTimeout = 100_ms;
/** Longest time ahead for which the leader gives a permit. A new leader does
 * not know of these permits. */
inline constexpr Duration kMaxPermitWait = 500_ms;
/** The same for cold targets. The permits of the last leader and those of the
 * next one may fall into the same second; with 500 ms a cold target that takes
 * more than ten requests a second could get more than 1.5 times that and five.
 */
inline constexpr Duration kMaxColdPermitWait = 200_ms;
/** Age of a row that says nothing of a limit: the target never named one. */
inline constexpr Duration kNeverNamed{int64_t{1} << 50};

/** What a service says of its cold targets. */
struct ColdBounds {
  double per_second_ = 0;  ///< Requests that a cold target takes; above 0.
  Duration start_;         ///< Cold time after a start that states none.
  friend bool operator==(const ColdBounds&, const ColdBounds&) = default;
};

/** A target became cold, or is warm again. */
struct ColdChange {
  TargetId target_;        ///< Which.
  bool is_cold_ = false;   ///< Whether it is cold now.
  double per_second_ = 0;  ///< Requests per second while it is cold.
  Duration left_;          ///< Until it is warm; zero if it is.
};

/**
 * Limits that targets name, and the permits for requests to these targets. A
 * gateway that knows of a limit sends the target nothing without a permit.
 * Permits are given out by the leader alone, at the named rate, from a token
 * bucket that is empty when its leadership begins. So the sum over all gateways
 * holds whatever they know of each other: a lost permit counts as used, and a
 * new leader adds nothing to what the last one gave out. Gateways without a
 * leader leave these targets alone.
 * Load pattern: most engines of a service name a limit of about one request a
 * second while a burst needs twice as much.
 * Thread safety: owned by one thread.
 */
class TargetLimits {
 public:
  /** An answer of a target names a limit. Values are clamped to a usable range.
   * @param per_second Requests per second of all gateways together.
   * @return True if the limit is new or has another value. */
  bool OnNamed(TimePoint now, const TargetId& target, double per_second);
  /** An answer to a request that was sent at @p sent names no limit.
   * @return True if the target's limit is over: the request was sent after the
   * last answer that named it. */
  bool OnNotNamed(TimePoint now, const TargetId& target, TimePoint sent);
  /** Takes in what another gateway knows. @return True if this changes the
   * limit of the target. */
  bool Merge(TimePoint now, const TargetLimitRow& row);
  /**
   * A target is cold until @p until and takes few requests until then. It
   * counts as one that names a limit, or as one that names a lower limit: first
   * 0.75 times @p per_second, which rises to 0.9 times in the last second. In
   * the second after @p until it gets twice @p per_second, so that waiting
   * requests do not all arrive at once. A time that has passed ends an earlier
   * statement; for a target that is not cold it changes nothing.
   * @param per_second Requests per second of all gateways together; above 0.
   */
  void SetCold(TimePoint now, const TargetId& target, double per_second,
               TimePoint until);
  /** Adapts the limits of cold targets to the time, and ends those of warm
   * ones. @return Targets that became cold or warm since the last call. */
  std::vector<ColdChange> AdvanceCold(TimePoint now);
  /** @return Number of targets that are cold now. */
  size_t ColdCount(TimePoint now) const;
  /** @return True if requests to @p target need a permit. */
  bool IsLimited(const TargetId& target) const;
  /** @return True if no target has a limit. */
  bool Empty() const { return limited_ == 0; }
  /** @return What is known of a target, for another gateway; nothing if it
   * never named a limit. */
  std::optional<TargetLimitRow> Row(TimePoint now,
                                    const TargetId& target) const;
  /** @return The row for a request for a permit. If the target is limited only
   * because it is cold, the row's age is kNeverNamed, which changes nothing at
   * the leader. */
  TargetLimitRow AskRow(TimePoint now, const TargetId& target) const;
  /** @return True if the leader was not told of the limit within the last
   * second; the caller tells it now. */
  bool NeedsReport(TimePoint now, const TargetId& target);
  /** Removes targets that @p is_known does not name, if nothing was heard of
   * their limit for some minutes. */
  template <class IsKnown>
  void Expire(TimePoint now, IsKnown is_known) {
    std::erase_if(states_, [&](const auto& item) {
      const bool is_old = now - item.second.heard_at_ > kRetention &&
                          now - item.second.over_at_ > kRetention;
      const bool drop =
          is_old && (!item.second.per_second_ || !is_known(item.first));
      limited_ -= drop && item.second.per_second_ ? 1 : 0;
      cold_count_ -= drop && item.second.cold_ ? 1 : 0;
      return drop;
    });
  }

  /** Starts or stops giving out permits. @param granting True while this
   * gateway leads and no other one can. */
  void SetGranting(TimePoint now, bool granting);
  /** @return True if a request to @p target may be placed now: it has no limit,
   * or this gateway leads and has a permit for it. */
  bool HasPermit(TimePoint now, const TargetId& target) const;
  /** Takes a permit. @pre HasPermit() is true. */
  void TakePermit(TimePoint now, const TargetId& target);
  /** Takes a permit for a request to @p target that is sent after a wait.
   * @return The wait, or nothing if it would exceed @p longest_wait or this
   * gateway does not lead. */
  std::optional<Duration> TakePermitWithin(TimePoint now,
                                           const TargetId& target,
                                           Duration longest_wait);
  /** @return Time until the next permit for @p target. @pre This gateway
   * leads. */
  Duration UntilPermit(TimePoint now, const TargetId& target) const;
  /** Load pattern: more callers than @p target takes are refused at once; if
   * all were told the same time, they would return together. @return Time after
   * which a refused caller returns; each gets a later one, up to a maximum.
   * @pre This gateway leads. */
  Duration NextReturn(TimePoint now, const TargetId& target);
  /** @return True if no permit accrues for @p target while one is unused. */
  bool KeepsOnePermit(const TargetId& target) const;
  /** @return Requests per second; zero without a limit. */
  double PerSecond(const TargetId& target) const;

 private:
  /** Time after which an unknown target, or a limit that is over, is
   * forgotten. A target that was cut off may come back with its limit. */
  static constexpr Duration kRetention{600000};

  struct State {
    std::optional<double> named_;  ///< By answers; empty if it is over.
    std::optional<double> cold_;   ///< Rate of the cold target; set until the
                                   ///< second after cold_until_ is over.
    TimePoint cold_until_;         ///< When it is warm.
    bool is_cold_known_ = false;   ///< AdvanceCold() returned that it is cold.
    std::optional<double> per_second_;  ///< The lower one of both.
    TimePoint heard_at_;     ///< Receipt of the last answer that named it.
    TimePoint over_at_;      ///< Sending of the last request whose answer did
                             ///< not name it.
    TimePoint reported_at_;  ///< When the leader was told last.
    double tokens_ = 0;      ///< Permits at filled_at_; negative if given out
                             ///< ahead.
    TimePoint filled_at_;    ///< Time that tokens_ is of.
    TimePoint next_return_;  ///< Return of the last refused caller.
  };

  bool SetNamed(TimePoint now, State& state, std::optional<double> per_second);
  void SetLimit(TimePoint now, State& state);
  /** @return Requests per second that coldness allows now; above those of
   * State::cold_ once the target is warm. */
  static double ColdRate(TimePoint now, const State& state);
  /** @return Permits that accumulate at most. */
  static double Burst(const State& state);
  double TokensAt(TimePoint now, const State& state) const;
  const State* FindLimited(const TargetId& target) const;

  std::unordered_map<TargetId, State> states_;
  size_t limited_ = 0;     ///< States with a limit.
  size_t cold_count_ = 0;  ///< States whose cold_ is set.
  bool granting_ = false;  ///< This gateway gives out permits.
};

}  // namespace gv
