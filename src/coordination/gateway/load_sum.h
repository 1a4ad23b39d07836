/** @file load_sum.h Adds up reports of gateways. */
#pragma once

#include <map>
#include <string>

#include "coordination/gateway/retry_window.h"
#include "protocol/registry_messages.h"

namespace gv {

/** A sum of reports from which single ones can be taken out again. Thread
 * safety: owned by one thread. */
class LoadSum {
 public:
  /** Adds a report, or takes it out. @param sign 1 or -1. @param wanted Accepts
   * the targets whose rows count. */
  template <class Wanted>
  void Add(const GatewayLoad& load, int64_t sign, Wanted wanted) {
    AddTotals(load, sign);
    for (const TargetLoadRow& row : load.rows_) {
      if (wanted(row.target_)) {
        AddRow(row, sign);
      }
    }
  }
  /** @return The sum as a report. */
  GatewayLoad Load() const;

 private:
  void AddTotals(const GatewayLoad& load, int64_t sign);
  void AddRow(const TargetLoadRow& row, int64_t sign);

  GatewayLoad totals_;                          ///< Without rows and repeats.
  std::map<TargetId, TargetLoadRow> rows_;      ///< By target.
  std::map<std::string, RepeatCount> repeats_;  ///< By service.
};

}  // namespace gv
