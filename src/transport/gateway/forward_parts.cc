/** @file forward_parts.cc Keeps requests, and prompts with parts, that crash
 * targets away from them. */
#include "transport/gateway/forward.h"
#include "transport/gateway/gateway.h"

namespace gv {
namespace {

constexpr unsigned kUnavailable = 503;

}  // namespace

std::vector<PromptPartId> Forward::Parts() const {
  std::vector<PromptPartId> parts = facts_.shared_parts_;
  const auto host = request_[boost::beast::http::field::host];
  const auto method = request_.method_string();
  const auto path = request_.target();
  std::string address(method.data(), method.size());
  address.append(" ").append(host.data(), host.size());
  address.append(path.data(), path.size());
  parts.push_back(WholeRequestPart(address, facts_.key_, facts_.part_list_,
                                   request_.body()));
  return parts;
}

bool Forward::IsQuarantined() const {
  return gateway_.Parts()
      .UntilTrial(gateway_.Now(), service_.name_, parts_)
      .has_value();
}

bool Forward::RefuseQuarantined() {
  const auto wait =
      gateway_.Parts().UntilTrial(gateway_.Now(), service_.name_, parts_);
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

void Forward::ReportIfUnanswered() {
  if (!attempt_->has_event_) {
    gateway_.OnAttemptBroken(attempt_->target_,
                             attempt_->connection_->Address(), service_.name_,
                             parts_, attempt_->sent_at_);
  }
}

}  // namespace gv
