/** @file forward_parts.cc Keeps prompts with parts that crash engines away from
 * engines. */
#include "transport/gateway/forward.h"
#include "transport/gateway/gateway.h"

namespace gv {
namespace {

constexpr unsigned kUnavailable = 503;

}  // namespace

bool Forward::IsQuarantined() const {
  return gateway_.Parts()
      .UntilTrial(gateway_.Now(), service_.name_, facts_.shared_parts_)
      .has_value();
}

bool Forward::RefuseQuarantined() {
  const auto wait = gateway_.Parts().UntilTrial(gateway_.Now(), service_.name_,
                                                facts_.shared_parts_);
  if (!wait) {
    return false;
  }
  if (reached_ > 0) {
    DoNotRetry(kQuarantined);
  } else {
    Refuse(kUnavailable, kQuarantined, *wait);
  }
  return true;
}

void Forward::ReportIfWithoutEvent() {
  if (IsPrompt() && !attempt_->has_event_) {
    gateway_.OnPromptBroken(attempt_->target_, attempt_->connection_->Address(),
                            service_.name_, facts_.shared_parts_,
                            attempt_->sent_at_);
  }
}

}  // namespace gv
