/** @file lease_wait.h Decides whether a request waits for the lease of its
 * gateway or is refused at once. */
#pragma once

#include <cstddef>
#include <optional>

#include "state/clock_type.h"

namespace gv {

/** @return How long a long prompt waits for a leader that can place it: for
 * @p election, if its answer can still end after that, else not at all.
 * @param work That it takes once it is placed. Thread safety: pure. */
Duration WaitForLeader(Duration time_left, Duration work, Duration election);

/** What a gateway without a lease knows about the members that grant it. */
struct LeaseOutlook {
  Duration running_;  ///< Time since the start of this process.
  /** Time since a member last answered a poll; running_ if none has. */
  Duration member_silence_;
  /** Time since members answer again, after a start or after they were silent;
   * zero if none has answered. */
  Duration in_contact_;
  bool has_contact_ = false;      ///< A member has answered since the start.
  bool leader_is_named_ = false;  ///< The last answers name a leader.
  /** Usual time from the start of the members to a lease. */
  Duration usual_election_;
};

/** A request that needs the lease. */
struct UnleasedRequest {
  Duration time_left_;  ///< Until its deadline.
  Duration work_;       ///< That it takes, as far as is known; else zero.
  size_t bytes_ = 0;    ///< Memory that it takes while it waits.
};

/** Memory of the requests that wait for the lease. */
struct HeldWork {
  size_t requests_ = 0;  ///< Number of requests.
  size_t bytes_ = 0;     ///< Sum of their bytes.

  /** Counts a request of @p bytes that begins to wait. */
  void Add(size_t bytes) {
    ++requests_;
    bytes_ += bytes;
  }
  /** Counts a request off. @pre It was added with the same @p bytes. */
  void Remove(size_t bytes) {
    --requests_;
    bytes_ -= bytes;
  }
};

/** What happens to a request without a lease. */
struct LeaseDecision {
  bool waits_ = false;  ///< Else it is refused as "not run".
  /** Time until the lease is expected; nothing if that is unknown. */
  std::optional<Duration> lease_in_;
};

/**
 * Decides for one request; asked again on each tick while it waits.
 * Load pattern: all gateways restart at once in a burst. Within a second every
 * caller reconnects, most of them for the last time, and the lease comes when
 * a leader is elected. A request waits if it can still be served after that. A
 * gateway that the members do not answer lets nothing wait, as its lease may
 * not come back for long.
 * @param held Work that waits already, without this request.
 * @return Wait or refuse. Thread safety: pure.
 */
LeaseDecision DecideLeaseWait(const LeaseOutlook& outlook,
                              const UnleasedRequest& request,
                              const HeldWork& held);

}  // namespace gv
