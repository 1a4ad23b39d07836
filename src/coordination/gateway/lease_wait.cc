/** @file lease_wait.cc Waiting for the lease of a gateway. */
#include "coordination/gateway/lease_wait.h"

#include <algorithm>
#include <optional>

#include "coordination/gateway/admission_policy.h"
#include "coordination/gateway/registry_type.h"

namespace gv {
namespace {

/** Time without an answer of a member after which this gateway counts as cut
 * off; several polls and their repeats. */
constexpr Duration kMemberSilence = 700_ms;
/** Time after the start in which a member that runs has answered. */
constexpr Duration kFirstAnswer = 200_ms;
/** Elections after which the members are not expected to find a leader soon;
 * split votes need a second one. */
constexpr int64_t kMaxElections = 3;
/** Time that a request needs at least once the lease is there. */
constexpr Duration kMinServiceTime = 100_ms;
/** Most memory of waiting requests, an eighth of a small VM. */
constexpr size_t kMaxHeldBytes = 16 << 20;

/** @return Time until the lease is expected, or nothing if that is unknown. */
std::optional<Duration> ExpectedWait(const LeaseOutlook& outlook) {
  if (!outlook.has_contact_) {
    if (outlook.running_ < kFirstAnswer) {
      return kPollPeriodWithoutLease;
    }
    // The members start as well, if all lost power: later than this gateway,
    // and first connections to a VM without power are repeated after a second.
    return outlook.running_ < outlook.usual_election_ * kMaxElections
               ? std::optional(outlook.usual_election_)
               : std::nullopt;
  }
  if (outlook.member_silence_ > kMemberSilence) {
    return std::nullopt;
  }
  if (outlook.leader_is_named_ &&
      outlook.in_contact_ < outlook.usual_election_) {
    return kPollPeriodWithoutLease;
  }
  for (int64_t election = 1; election <= kMaxElections; ++election) {
    const Duration end = outlook.usual_election_ * election;
    if (outlook.in_contact_ < end) {
      return end - outlook.in_contact_;
    }
  }
  return std::nullopt;
}

}  // namespace

Duration WaitForLeader(Duration time_left, Duration work, Duration election) {
  return CanFinish(CallerTime{time_left, {}}, WorkLeft{election, work})
             ? election
             : Duration();
}

LeaseDecision DecideLeaseWait(const LeaseOutlook& outlook,
                              const UnleasedRequest& request,
                              const HeldWork& held) {
  const std::optional<Duration> wait = ExpectedWait(outlook);
  if (!wait) {
    return LeaseDecision{};
  }
  const bool has_time =
      CanFinish(CallerTime{request.time_left_, {}},
                WorkLeft{*wait, std::max(kMinServiceTime, request.work_)});
  const bool has_memory = held.bytes_ + request.bytes_ <= kMaxHeldBytes;
  return LeaseDecision{has_time && has_memory, wait};
}

}  // namespace gv
