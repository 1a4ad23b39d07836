/** @file credit_ledger.h Divides a target's capacity among entries as expiring
 * credits. */
#pragma once

#include <deque>
#include <map>

#include "protocol/target_messages.h"
#include "state/clock_type.h"
#include "state/ids_type.h"

namespace gv {

inline constexpr Duration kCreditDuration = 2_s;  ///< Validity of a grant.

/** KV tokens and streams. */
struct Capacity {
  int64_t tokens_ = 0;   ///< KV tokens.
  int64_t streams_ = 0;  ///< Streams at the same time.
  friend bool operator==(const Capacity&, const Capacity&) = default;
};

/**
 * Grants credits so that the sum of all that have not expired never exceeds the
 * capacity. An entry may use the largest of its grants that has not expired,
 * because a smaller later one may have been lost, until it acknowledges that
 * one. Thread safety: owned by the control thread.
 */
class CreditLedger {
 public:
  /** Sets what may be granted from now on; larger earlier grants run out. */
  void SetCapacity(const Capacity& capacity) { capacity_ = capacity; }

  /**
   * Grants credits to one entry.
   * @param demand What the entry holds and wants.
   * @param sequence Of the grant; grows with each.
   * @return The grant; valid for kCreditDuration from when the entry asked.
   */
  Capacity Grant(TimePoint now, const NodeId& entry, const Capacity& demand,
                 uint64_t sequence);

  /** The entry has this grant; it no longer uses older ones. */
  void Acknowledge(const NodeId& entry, uint64_t sequence);

  /** @return The sum of all grants that have not expired. */
  Capacity Outstanding(TimePoint now) const;

 private:
  /** One grant. */
  struct Granted {
    Capacity amount_;    ///< How much.
    TimePoint expires_;  ///< When it ends.
    uint64_t sequence_;  ///< Its number.
  };
  /** One entry. */
  struct Account {
    Capacity demand_;             ///< Last demand.
    std::deque<Granted> grants_;  ///< Not expired, oldest first.
  };
  static Capacity Largest(TimePoint now, const Account& account);
  void Forget(TimePoint now);

  Capacity capacity_;                   ///< What may be granted.
  std::map<NodeId, Account> accounts_;  ///< By entry.
};

}  // namespace gv
