/** @file load_sum.cc Sum of the load reports of several gateways. */
#include "coordination/gateway/load_sum.h"

namespace gv {

void LoadSum::AddTotals(const GatewayLoad& load, int64_t sign) {
  totals_.summed_ += sign;
  totals_.short_streams_ += sign * load.short_streams_;
  totals_.long_prefill_ms_ += sign * load.long_prefill_ms_;
  totals_.long_tokens_ += sign * load.long_tokens_;
}

void LoadSum::AddRow(const TargetLoadRow& row, int64_t sign) {
  TargetLoadRow& sum = rows_[row.target_];
  sum.target_ = row.target_;
  sum.requests_ += sign * row.requests_;
  sum.prefill_ms_ += sign * row.prefill_ms_;
  sum.tokens_ += sign * row.tokens_;
  sum.granted_requests_ += sign * row.granted_requests_;
  sum.granted_tokens_ += sign * row.granted_tokens_;
  sum.granted_prefill_ms_ += sign * row.granted_prefill_ms_;
}

GatewayLoad LoadSum::Load() const {
  GatewayLoad load = totals_;
  for (const auto& [target, row] : rows_) {
    if (row.requests_ != 0 || row.prefill_ms_ != 0 || row.tokens_ != 0) {
      load.rows_.push_back(row);
    }
  }
  return load;
}

}  // namespace gv
