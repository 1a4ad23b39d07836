/** @file in_force.h Decides which revision of the settings is in force
 * everywhere. */
#pragma once

#include <map>
#include <vector>

#include "protocol/message.h"

namespace gv {

/**
 * Book of the settings leases that the present leader granted. A holder serves
 * under a lease only once it applied the revision of that lease, and never goes
 * back to an older revision. So a revision is in force when each holder either
 * confirmed it or has no unexpired lease of an older revision, and when all
 * leases of earlier leaders have run out. Thread safety: owned by the control
 * thread.
 */
class InForceBook {
 public:
  /**
   * Starts a term of leadership.
   * @param outstanding The longest lease that an earlier leader may have
   * granted.
   */
  void StartTerm(TimePoint now, Duration outstanding);

  /** Records a lease that @p holder may use once it applied @p revision. */
  void OnGrant(TimePoint now, const Endpoint& holder, Revision revision,
               Duration length);

  /** Records that @p holder serves under @p revision or a newer one. */
  void OnConfirm(const Endpoint& holder, Revision revision);

  /** Forgets what a holder confirmed, because it restarted; its leases count on
   * until they run out. */
  void OnRestart(const Endpoint& holder);

  /** @return True if @p revision is in force everywhere. */
  bool IsInForce(TimePoint now, Revision revision) const;

  /** @return Holders that may still serve under a revision before @p revision.
   */
  std::vector<Endpoint> Missing(TimePoint now, Revision revision) const;

  /** @return The newest revision up to @p newest that is in force, or none
   * while leases of earlier leaders may run. */
  Revision Newest(TimePoint now, Revision newest) const;

  /** @return How long leases of earlier leaders may still run. */
  Duration EarlierLeasesLeft(TimePoint now) const;

  /** @return True if the holder has an unexpired lease. */
  bool HasLease(TimePoint now, const Endpoint& holder) const;

  /** Removes expired leases, and holders without any. */
  void DropExpired(TimePoint now);

 private:
  /** Leases granted at one revision, joined: they end together. */
  struct GrantedLease {
    Revision revision_;  ///< Revision that the holder must have applied.
    TimePoint end_;      ///< End on the leader's clock.
  };

  /** What one holder has. */
  struct Holder {
    Revision confirmed_;                ///< Serves under this or a newer one.
    std::vector<GrantedLease> leases_;  ///< By revision, ascending.
  };

  static Revision ServedFrom(TimePoint now, const Holder& holder,
                             Revision newest);
  static bool MayServeBefore(TimePoint now, const Holder& holder,
                             Revision revision);

  std::map<Endpoint, Holder> holders_;                 ///< Holders with leases.
  TimePoint earlier_leases_end_ = TimePoint::Never();  ///< Of earlier leaders.
};

}  // namespace gv
