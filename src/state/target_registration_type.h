/** @file target_registration_type.h What a target says of itself when it
 * registers without an agent. */
#pragma once

#include <string>

#include "state/clock_type.h"
#include "state/ids_type.h"

namespace gv {

/** Life cycle of an announced target, in the order in which it is passed. */
enum class RegistrationState : uint8_t { kReady, kDraining, kGone };

/** Warm-up of a registration that does not state one. Only at the gateway that
 * received it; what gateways send each other is never negative. */
inline constexpr Duration kUnstatedWarmUp{-1};
/** Warm-up of a registration that states no usable one. */
inline constexpr Duration kUnreadableWarmUp{-2};

/** One registration. A restarted target may keep its id; start_ms_ tells the
 * two apart. */
struct TargetRegistration {
  TargetId id_;               ///< Chosen by the target.
  std::string service_;       ///< Name of its service.
  std::string address_;       ///< "IP:port" for requests.
  DataCentreId data_centre_;  ///< Where it is.
  int64_t slots_ = 1;         ///< Requests at once.
  RegistrationState state_ = RegistrationState::kReady;  ///< Life cycle.
  Duration warm_up_;       ///< How much longer it is cold, or slow.
  uint64_t start_ms_ = 0;  ///< Wall time of its start, in milliseconds.
  uint64_t sequence_ = 0;  ///< Grows with each registration of one start.
  Duration age_;  ///< Since the target said this; grows while it is passed on.
  friend bool operator==(const TargetRegistration&,
                         const TargetRegistration&) = default;
};

/** @return True if @p a was said after @p b by the same target. A planned
 * departure is final within one start. Thread safety: pure. */
inline bool IsNewer(const TargetRegistration& a, const TargetRegistration& b) {
  if (a.start_ms_ != b.start_ms_) {
    return a.start_ms_ > b.start_ms_;
  }
  if (a.state_ != b.state_) {
    return a.state_ > b.state_;
  }
  return a.sequence_ > b.sequence_;
}

}  // namespace gv
