/** @file load_sum.h Sum of the load reports of several gateways. */
#pragma once

#include <map>

#include "protocol/registry_messages.h"

namespace gv {

/** A sum of load reports. Reports can also be subtracted from it. Thread
 * safety: owned by one thread. */
class LoadSum {
 public:
  /**
   * Adds or subtracts a report.
   * @param sign 1 to add, -1 to subtract.
   * @param counts_target Returns true for the targets whose rows are included.
   */
  template <class TargetFilter>
  void Add(const GatewayLoad& load, int64_t sign, TargetFilter counts_target) {
    AddTotals(load, sign);
    for (const TargetLoadRow& row : load.rows_) {
      if (counts_target(row.target_)) {
        AddRow(row, sign);
      }
    }
  }
  /** @return The sum in the form of a report. */
  GatewayLoad Load() const;

 private:
  void AddTotals(const GatewayLoad& load, int64_t sign);
  void AddRow(const TargetLoadRow& row, int64_t sign);

  GatewayLoad totals_;                      ///< All fields but rows_.
  std::map<TargetId, TargetLoadRow> rows_;  ///< Sums by target.
};

}  // namespace gv
